//! Tests of the shares of organisations at one target.
//!
//! They guard against an organisation whose surge of requests takes up the whole bound of a target,
//! so that the target refuses requests of other organisations that are below their share. The
//! decisions must equal those of a reference implementation that recounts the log of all requests.

mod common;

use std::time::{Duration, Instant};

use common::{config, organisations, refused, target};
use cornelpass_core::admission::share::{ACTIVE_PERIOD, Capacity, Fit, Shares};
use cornelpass_core::admission::{Controller, Decision, Mean, Outcome, Request, Ticket};
use cornelpass_core::refusal::Reason;
use cornelpass_core::table::Policy;
use proptest::prelude::*;

/// Organisations, each with its name, weight and limit in units of load.
const ORGANISATIONS: [(&str, u32, u32); 4] =
    [("a", 1, 60), ("b", 2, 90), ("c", 3, 1000), ("d", 1, 8)];

/// Bound of the target, in units of load.
const BOUND_UNITS: u32 = 100;

/// Limit of the target, in units of load; shares apply above three quarters of the bound, because
/// half of this limit is less.
const LIMIT_UNITS: u32 = 120;

/// A request for admission: its time, the index of its organisation, its cost, whether it was
/// admitted, and when it ended.
type LoggedRequest = (Instant, usize, u32, bool, Option<Instant>);

/// Decides by the definition of the shares, from the log of all requests.
fn decide_from_log(
    log: &[LoggedRequest],
    now: Instant,
    organisation: usize,
    cost: u32,
    limit: u32,
) -> Fit {
    // Admitted, and not ended.
    let is_open = |request: &&LoggedRequest| request.3 && request.4.is_none();
    let load = |filter: Option<usize>| -> u32 {
        log.iter()
            .filter(is_open)
            .filter(|request| filter.is_none_or(|index| request.1 == index))
            .map(|request| request.2)
            .sum()
    };
    let is_recent =
        |index| log.iter().any(|request| request.1 == index && now - request.0 < ACTIVE_PERIOD);
    let is_active =
        |index: &usize| *index == organisation || load(Some(*index)) > 0 || is_recent(*index);
    let weight = |index: usize| f64::from(ORGANISATIONS[index].1);
    let active_weight: f64 = (0..4).filter(is_active).map(weight).sum();
    // The share of the inactive organisation with the largest weight stays free.
    let reserved_weight = (0..4).filter(|index| !is_active(index)).map(weight).fold(0.0, f64::max);
    let share =
        (f64::from(BOUND_UNITS) * weight(organisation) / (active_weight + reserved_weight)).floor();
    let own_load = load(Some(organisation));
    let contention_threshold = (0.75 * f64::from(BOUND_UNITS)).max(0.5 * f64::from(limit));
    let is_uncontended = f64::from(load(None) + cost) <= contention_threshold;
    let fits_share = own_load == 0 || is_uncontended || f64::from(own_load) < share;
    if own_load + cost <= ORGANISATIONS[organisation].2 && fits_share {
        Fit::Within
    } else {
        Fit::Over
    }
}

proptest! {
    #![proptest_config(config(4, 256))]

    /// A step is the index of an organisation, the cost of its request, the time since the previous
    /// step in milliseconds, and a number that selects an earlier request to end, or none.
    #[test]
    fn decisions_equal_those_from_the_log_of_all_requests(
        steps in prop::collection::vec((0..4_usize, 1_u32..12, 0_u64..3000, any::<u8>()), 1..80),
        limit in prop::sample::select(vec![LIMIT_UNITS, 160, 1000]),
    ) {
        let (mut shares, mut log, mut now) =
            (Shares::default(), Vec::<LoggedRequest>::new(), Instant::now());
        shares.configure(&organisations(&ORGANISATIONS));
        for (organisation, cost, gap_ms, end) in steps {
            now += Duration::from_millis(gap_ms);
            // Cost of the admitted requests that have not ended.
            let load: u32 = log
                .iter()
                .filter(|request| request.3 && request.4.is_none())
                .map(|request| request.2)
                .sum();
            let fit = shares.check(
                now,
                ORGANISATIONS[organisation].0,
                cost,
                Capacity { load, bound: BOUND_UNITS, limit }
            );
            prop_assert_eq!(fit, decide_from_log(&log, now, organisation, cost, limit));
            if fit == Fit::Within {
                shares.add(ORGANISATIONS[organisation].0, cost);
            }
            log.push((now, organisation, cost, fit == Fit::Within, None));
            let ended = usize::from(end) % log.len();
            let (_, organisation, cost, is_admitted, ended_at) = &mut log[ended];
            if end % 3 > 0 && *is_admitted && ended_at.is_none() {
                *ended_at = Some(now);
                shares.remove(ORGANISATIONS[*organisation].0, *cost);
            }
        }
    }

    #[test]
    fn a_surge_leaves_other_organisations_their_shares(
        costs in prop::collection::vec(1_u32..6, 400),
    ) {
        let (loads, refusals) = surge(&costs, ["large", "small"]);
        prop_assert_eq!(refusals, 0, "refused below its share");
        prop_assert!(loads[0] <= 75 && loads[1] >= 20, "{:?}", loads);
    }
}

#[test]
fn a_surge_within_one_organisation_causes_refusals() {
    let (_, refusals) = surge(&[1; 400], ["large", "large"]);
    assert!(refusals > 0);
}

#[test]
fn the_limit_of_an_organisation_holds_and_unknown_organisations_are_refused() {
    let (now, mut controller) =
        (Instant::now(), controller(LIMIT_UNITS, &[("a", 1, 10), ("b", 1, 100)]));
    let mut admit = |organisation, cost| {
        refused(controller.admit(now, &Request { organisation, digest: 1, cost }))
    };
    assert_eq!(admit("a", 10), None);
    assert_eq!(admit("a", 1), Some(Reason::OverShare));
    assert_eq!(admit("b", 1), None);
    assert_eq!(admit("z", 1), Some(Reason::UnknownOrganisation));
}

#[test]
fn shares_do_not_apply_far_below_the_limit_of_the_target() {
    let now = Instant::now();
    let mut controller = controller(1000, &[("large", 1, 1000), ("small", 1, 1000)]);
    controller.record_mean(now, "router-1", Mean::default());
    let mut admit = |organisation, digest| {
        refused(controller.admit(now, &Request { organisation, digest, cost: 1 }))
    };
    assert_eq!(admit("small", 0), None);
    let refusals: Vec<_> =
        (1..BOUND_UNITS.into()).filter_map(|digest| admit("large", digest)).collect();
    assert_eq!(refusals, []);
    assert_eq!(admit("large", BOUND_UNITS.into()), Some(Reason::OverBound));
}

/// Controller of a warm target whose bound is [`BOUND_UNITS`].
fn controller(limit: u32, rows: &[(&str, u32, u32)]) -> Controller {
    let mut controller = Controller::new();
    let policy = Policy { load_floor: BOUND_UNITS, ..Policy::default() };
    controller.configure(&target(1, limit, limit), &policy, &organisations(rows));
    controller
}

/// Simulates a surge at one target, with a step every 10 ms.
///
/// The first organisation sends a request in each step. From step 100 on, the second one sends a
/// request in each step while its load is below a fifth of the bound. The oldest request in
/// progress ends in every fourth step. Returns the highest load of each organisation, and how many
/// requests of the second one were refused. A third organisation stays inactive.
fn surge(costs: &[u32], names: [&str; 2]) -> ([u32; 2], usize) {
    let mut now = Instant::now();
    let mut controller =
        controller(LIMIT_UNITS, &[("large", 1, 1000), ("small", 1, 1000), ("third", 1, 1000)]);
    let mut loads = [0; 2];
    let mut refusals = 0;
    let mut admitted: Vec<(Ticket, u32, usize)> = Vec::new();
    for (step, cost) in costs.iter().enumerate() {
        now += Duration::from_millis(10);
        controller.record_mean(now, "router-1", Mean::default());
        let load = |admitted: &[(Ticket, u32, usize)], index| -> u32 {
            admitted.iter().filter(|entry| entry.2 == index).map(|entry| entry.1).sum()
        };
        for index in [0, 1] {
            let is_skipped = index == 1 && (step < 100 || load(&admitted, 1) >= BOUND_UNITS / 5);
            let request = Request { organisation: names[index], digest: step as u64, cost: *cost };
            if is_skipped {
                continue;
            }
            match controller.admit(now, &request) {
                Decision::Admit(ticket) => admitted.push((ticket, *cost, index)),
                // The index is 0 for the first organisation, so this counts the second one only.
                Decision::Refuse(_) => refusals += index,
            }
            loads[index] = loads[index].max(load(&admitted, index));
        }
        if step % 4 == 0 && !admitted.is_empty() {
            let (ticket, ..) = admitted.remove(0);
            controller.release(now, ticket, Outcome::Completed);
        }
    }
    (loads, refusals)
}
