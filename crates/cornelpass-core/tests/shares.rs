//! Shares of organisations: against a naive recount, and under a surge.

mod common;

use std::time::{Duration, Instant};

use common::{config, organisations, refused, target};
use cornelpass_core::admission::share::{ACTIVE_PERIOD, Capacity, Fit, Shares};
use cornelpass_core::admission::{Controller, Decision, Mean, Outcome, Request, Ticket};
use cornelpass_core::refusal::Reason;
use cornelpass_core::table::Policy;
use proptest::prelude::*;

const ROWS: [(&str, u32, u32); 4] = [("a", 1, 60), ("b", 2, 90), ("c", 3, 1000), ("d", 1, 8)];
const BOUND: u32 = 100;

/// Limit of which the half is under three quarters of the bound.
const LIMIT: u32 = 120;

/// A request for admission: time, row, cost, whether it was admitted, and its end.
type Asked = (Instant, usize, u32, bool, Option<Instant>);

/// The decision by the text of the statement, from the log of requests.
fn naive(log: &[Asked], now: Instant, row: usize, cost: u32, limit: u32) -> Fit {
    let open = |r: &&Asked| r.3 && r.4.is_none();
    let load = |of: Option<usize>| -> u32 {
        log.iter().filter(open).filter(|r| of.is_none_or(|of| r.1 == of)).map(|r| r.2).sum()
    };
    let asked = |of| log.iter().any(|r| r.1 == of && now - r.0 < ACTIVE_PERIOD);
    let active = |of: &usize| *of == row || load(Some(*of)) > 0 || asked(*of);
    let weight = |of: usize| f64::from(ROWS[of].1);
    let sum: f64 = (0..4).filter(active).map(weight).sum();
    let newcomer = (0..4).filter(|of| !active(of)).map(weight).fold(0.0, f64::max);
    let share = (f64::from(BOUND) * weight(row) / (sum + newcomer)).floor();
    let own = load(Some(row));
    let most = (0.75 * f64::from(BOUND)).max(0.5 * f64::from(limit));
    let uncontended = f64::from(load(None) + cost) <= most;
    let within = own == 0 || uncontended || f64::from(own) < share;
    if own + cost <= ROWS[row].2 && within { Fit::Within } else { Fit::Over }
}

proptest! {
    #![proptest_config(config(4, 256))]

    #[test]
    fn share_equals_naive(
        steps in prop::collection::vec((0..4_usize, 1_u32..12, 0_u64..3000, any::<u8>()), 1..80),
        limit in prop::sample::select(vec![LIMIT, 160, 1000]),
    ) {
        let (mut share, mut log, mut now) = (Shares::default(), Vec::<Asked>::new(), Instant::now());
        share.configure(&organisations(&ROWS));
        for (row, cost, wait, end) in steps {
            now += Duration::from_millis(wait);
            let load: u32 = log.iter().filter(|r| r.3 && r.4.is_none()).map(|r| r.2).sum();
            let fit = share.check(now, ROWS[row].0, cost, Capacity { load, bound: BOUND, limit });
            prop_assert_eq!(fit, naive(&log, now, row, cost, limit));
            if fit == Fit::Within {
                share.add(ROWS[row].0, cost);
            }
            log.push((now, row, cost, fit == Fit::Within, None));
            let ended = usize::from(end) % log.len();
            let (_, row, cost, admitted, done) = &mut log[ended];
            if end % 3 > 0 && *admitted && done.is_none() {
                *done = Some(now);
                share.remove(ROWS[*row].0, *cost);
            }
        }
    }

    #[test]
    fn surge_leaves_the_others_their_shares(costs in prop::collection::vec(1_u32..6, 400)) {
        let (loads, refusals) = surge(&costs, ["large", "small"]);
        prop_assert_eq!(refusals, 0, "refused below its share");
        prop_assert!(loads[0] <= 75 && loads[1] >= 20, "{:?}", loads);
    }
}

#[test]
fn surge_without_shares_takes_everything() {
    let (_, refusals) = surge(&[1; 400], ["large", "large"]);
    assert!(refusals > 0);
}

#[test]
fn limit_holds_and_unknown_organisations_are_refused() {
    let (now, mut controller) = (Instant::now(), controller(LIMIT, &[("a", 1, 10), ("b", 1, 100)]));
    let mut admit = |organisation, cost| {
        refused(controller.admit(now, &Request { organisation, digest: 1, cost }))
    };
    assert_eq!(admit("a", 10), None);
    assert_eq!(admit("a", 1), Some(Reason::OverShare));
    assert_eq!(admit("b", 1), None);
    assert_eq!(admit("z", 1), Some(Reason::UnknownOrganisation));
}

#[test]
fn a_target_with_much_room_holds_nobody_to_a_share() {
    let now = Instant::now();
    let mut controller = controller(1000, &[("large", 1, 1000), ("small", 1, 1000)]);
    controller.record_mean(now, "router-1", Mean::default());
    let mut admit = |organisation, digest| {
        refused(controller.admit(now, &Request { organisation, digest, cost: 1 }))
    };
    assert_eq!(admit("small", 0), None);
    let refusals: Vec<_> = (1..BOUND.into()).filter_map(|digest| admit("large", digest)).collect();
    assert_eq!(refusals, []);
    assert_eq!(admit("large", BOUND.into()), Some(Reason::OverBound));
}

/// A warm controller whose bound is [`BOUND`].
fn controller(limit: u32, rows: &[(&str, u32, u32)]) -> Controller {
    let mut controller = Controller::new();
    let policy = Policy { load_floor: BOUND, ..Policy::default() };
    controller.configure(&target(1, limit, limit), &policy, &organisations(rows));
    controller
}

/// One organisation asks without end, then another one asks for a fifth of the bound.
///
/// Gives the highest load of each, and how often the second was refused.
fn surge(costs: &[u32], names: [&str; 2]) -> ([u32; 2], usize) {
    let mut now = Instant::now();
    let mut controller =
        controller(LIMIT, &[("large", 1, 1000), ("small", 1, 1000), ("third", 1, 1000)]);
    let mut loads = [0; 2];
    let mut refusals = 0;
    let mut open: Vec<(Ticket, u32, usize)> = Vec::new();
    for (step, cost) in costs.iter().enumerate() {
        now += Duration::from_millis(10);
        controller.record_mean(now, "router-1", Mean::default());
        let used = |open: &[(Ticket, u32, usize)], who| -> u32 {
            open.iter().filter(|r| r.2 == who).map(|r| r.1).sum()
        };
        for who in [0, 1] {
            let late = who == 1 && (step < 100 || used(&open, 1) >= BOUND / 5);
            let request = Request { organisation: names[who], digest: step as u64, cost: *cost };
            if late {
                continue;
            }
            match controller.admit(now, &request) {
                Decision::Admit(ticket) => open.push((ticket, *cost, who)),
                Decision::Refuse(_) => refusals += who,
            }
            loads[who] = loads[who].max(used(&open, who));
        }
        if step % 4 == 0 && !open.is_empty() {
            let (ticket, ..) = open.remove(0);
            controller.release(now, ticket, Outcome::Completed);
        }
    }
    (loads, refusals)
}
