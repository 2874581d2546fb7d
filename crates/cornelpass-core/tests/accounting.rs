//! Accountants: who counts for a target, and what the count is.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::routers::{BOUNDS, Routers, address, fresh, name, prompt, request, row};
use cornelpass_core::accounting::accountant::{
    Accountant, Accountants, COLLECTION_INTERVAL, FIRST_PROBE_DELAY, FULL_COUNT_DELAY, JOIN_DELAY,
    MAX_MISSES,
};
use cornelpass_core::accounting::aggregator::{Aggregator, USAGE_LIFETIME};
use cornelpass_core::accounting::message::{Note, Question, Reply, Stamp, Usage, Verdict};
use cornelpass_core::accounting::selection::Selection;
use cornelpass_core::fleet::{Decision, Fleet};
use cornelpass_core::report::short_hash;
use cornelpass_core::request::RetrySafety;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Accountants as one of several routers sees them that started together.
fn view(now: Instant, own: usize, routers: usize) -> Accountants {
    let mut accountants = Accountants::new(address(own));
    (0..routers).for_each(|router| accountants.add(now, address(router)));
    accountants
}

fn owner(accountants: &Accountants, now: Instant, own: usize, target: u32) -> SocketAddr {
    match accountants.accountant_of(now, target) {
        Accountant::Own => address(own),
        Accountant::Other(other) => other,
    }
}

#[test]
fn all_routers_name_the_same_accountant_and_each_counts_for_its_part() {
    let now = Instant::now();
    let views: Vec<Accountants> = (0..20).map(|own| view(now, own, 20)).collect();
    let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for target in 0..2_000 {
        let owners: BTreeSet<SocketAddr> =
            views.iter().enumerate().map(|(own, view)| owner(view, now, own, target)).collect();
        assert_eq!(owners.len(), 1, "target {target}: {owners:?}");
        *counts.entry(*owners.first().unwrap()).or_default() += 1;
    }
    assert_eq!(counts.len(), 20);
    assert!(counts.values().all(|count| (50..200).contains(count)), "{counts:?}");
}

#[test]
fn a_silent_router_is_passed_over_until_it_answers_and_only_its_targets_move() {
    let now = Instant::now();
    let mut accountants = view(now, 0, 9);
    let before: Vec<_> = (0..500).map(|target| accountants.accountant_of(now, target)).collect();
    for _ in 1..MAX_MISSES {
        assert!(!accountants.record_unanswered(now, address(3)));
    }
    assert!(accountants.record_unanswered(now, address(3)));
    for (target, before) in (0..500).zip(&before) {
        let after = accountants.accountant_of(now, target);
        assert_ne!(after, Accountant::Other(address(3)));
        assert!(*before == after || *before == Accountant::Other(address(3)));
    }
    assert_eq!(accountants.select_probes(now, 0), []);
    assert_eq!(accountants.select_probes(now + FIRST_PROBE_DELAY, 0), [address(3)]);
    assert!(accountants.record_reply(now, address(3), 1, false));
    let again: Vec<_> = (0..500).map(|target| accountants.accountant_of(now, target)).collect();
    assert_eq!(again, before);
}

#[test]
fn a_router_that_does_not_answer_probes_is_passed_over() {
    let mut now = Instant::now();
    let mut accountants = view(now, 0, 5);
    let mut silent = BTreeSet::new();
    for _ in 0..8 {
        for probed in accountants.select_probes(now, 3) {
            if probed != address(2) {
                accountants.record_reply(now, probed, 1, false);
            }
        }
        now += COLLECTION_INTERVAL;
        silent.extend(accountants.recent_outages(now));
    }
    assert_eq!(silent, [address(2)].into());
}

#[test]
fn an_answer_between_two_misses_keeps_a_router() {
    let now = Instant::now();
    let mut accountants = view(now, 0, 3);
    for _ in 0..10 {
        assert!(!accountants.record_unanswered(now, address(1)));
        accountants.record_reply(now, address(1), 1, false);
    }
}

#[test]
fn a_router_that_is_added_waits_until_the_others_know_it_too() {
    let begun = Instant::now();
    let mut accountants = view(begun, 0, 3);
    let now = begun + JOIN_DELAY;
    accountants.add(now, address(7));
    let counts = |now| {
        (0..300)
            .any(|target| accountants.accountant_of(now, target) == Accountant::Other(address(7)))
    };
    assert!(!counts(now + JOIN_DELAY / 2));
    assert!(counts(now + JOIN_DELAY));
}

#[test]
fn one_that_is_about_to_stop_counts_for_nothing_until_its_next_start() {
    let now = Instant::now();
    let mut accountants = view(now, 0, 3);
    let counts = |accountants: &Accountants| {
        (0..300)
            .any(|target| accountants.accountant_of(now, target) == Accountant::Other(address(1)))
    };
    accountants.record_reply(now, address(1), 1, true);
    assert!(!counts(&accountants));
    accountants.record_incarnation(now, address(1), 1, true);
    assert!(!counts(&accountants));
    accountants.record_incarnation(now, address(1), 2, false);
    assert!(counts(&accountants));
}

/// A router among others, with a target, that looks at what is to be told for a time.
fn counting(time: Duration) -> (Fleet, Instant) {
    let mut now = Instant::now();
    let mut fleet = Fleet::new(BOUNDS).with_address(address(0), 1);
    fleet.apply_row(now, &name(0), row(0, "a"), 1);
    let until = now + time;
    while now < until {
        fleet.due_messages(now);
        now += COLLECTION_INTERVAL;
    }
    (fleet, now)
}

fn ask(fleet: &mut Fleet, now: Instant, number: u32, load: u16, limit: u16) -> Reply {
    let usage = Usage { target: short_hash(&name(0)), load, ..Usage::default() };
    let stamp = Stamp { incarnation: 9, number };
    fleet.answer_question(now, address(1), &Question { stamp, usage, limit, cold: false })
}

#[test]
fn an_accountant_says_that_it_may_not_know_all_work_after_its_start_or_a_pause() {
    let (mut fleet, now) = counting(FULL_COUNT_DELAY / 2);
    assert!(!ask(&mut fleet, now, 1, 1, 9).complete);
    let (mut fleet, now) = counting(FULL_COUNT_DELAY * 2);
    assert!(ask(&mut fleet, now, 1, 1, 9).complete);
    // It did not run for a time, or far too late.
    let now = now + FULL_COUNT_DELAY * 2;
    fleet.due_messages(now);
    assert!(!ask(&mut fleet, now, 2, 1, 9).complete);
}

#[test]
fn an_accountant_grants_places_up_to_the_limit_and_counts_only_those() {
    let (mut fleet, now) = counting(FULL_COUNT_DELAY * 2);
    assert_eq!(ask(&mut fleet, now, 1, 1, 2).verdict, Verdict::Granted);
    assert_eq!(ask(&mut fleet, now, 2, 2, 2).verdict, Verdict::Granted);
    let full = ask(&mut fleet, now, 3, 3, 2);
    assert_eq!((full.verdict, full.load), (Verdict::Full, 2));
    assert_eq!(ask(&mut fleet, now, 4, 3, 3).verdict, Verdict::Granted);
    let usage = Usage { target: short_hash(&name(0)), load: 1, ..Usage::default() };
    let note = Note { stamp: Stamp { incarnation: 9, number: 5 }, usages: vec![usage] };
    fleet.apply_note(now, address(1), &note);
    assert_eq!(ask(&mut fleet, now, 6, 2, 9).load, 1);
}

#[test]
fn an_answer_in_vain_is_made_up_for_by_the_next_note() {
    let mut routers = Routers::new(2, 6);
    let request = request(routers.now, RetrySafety::AtMostOnce, Some(prompt(0, 1, 1)));
    // The answer is lost on its way, so that the request goes by what is believed.
    let now = routers.now;
    let asked = (0..2).find_map(|router| {
        let fleet = &mut routers.fleets[router];
        match fleet.decide(now, &request, &fresh(&request), &mut Selection::default()) {
            Ok(Decision::Ask(query)) => Some((router, query)),
            _ => None,
        }
    });
    let (router, query) = asked.unwrap();
    let reply = routers.fleets[1 - router].answer_question(now, address(router), &query.question);
    assert_eq!((reply.verdict, reply.load), (Verdict::Granted, 0));
    routers.fleets[router].record_timeout(now, &query);
    routers.note(router, &query.target);
    let again = routers.fleets[1 - router].answer_question(now, address(7), &query.question);
    assert_eq!(again.load, 0);
}

/// What an aggregator should say, by looking at everything that was noted in time.
#[derive(Default)]
struct Naive {
    notes: Vec<(Instant, SocketAddr, Stamp, Usage)>,
}

impl Naive {
    fn last(
        &self,
        sender: SocketAddr,
        target: u32,
    ) -> Option<&(Instant, SocketAddr, Stamp, Usage)> {
        self.notes.iter().rev().find(|note| note.1 == sender && note.3.target == target)
    }

    fn note(&mut self, now: Instant, sender: SocketAddr, stamp: Stamp, usage: Usage) {
        let late = self.last(sender, usage.target).is_some_and(|(_, _, known, _)| {
            known.incarnation == stamp.incarnation && known.number >= stamp.number
        });
        if !late {
            self.notes.push((now, sender, stamp, usage));
        }
    }

    /// What has expired is forgotten, order and all.
    fn expire(&mut self, now: Instant) {
        self.notes.retain(|(at, ..)| now.duration_since(*at) < USAGE_LIFETIME);
    }

    fn others(&self, now: Instant, target: u32, router: SocketAddr) -> (u32, u32, u32) {
        let others = (0..5).map(address).filter(|sender| *sender != router);
        let last = others.filter_map(|sender| self.last(sender, target));
        let fresh = last.filter(|(at, ..)| now.duration_since(*at) < USAGE_LIFETIME);
        fresh.fold((0, 0, 0), |sum, (.., usage)| {
            let (failed, ended) = (u32::from(usage.failed), u32::from(usage.ended));
            (sum.0 + u32::from(usage.load), sum.1 + failed, sum.2 + ended)
        })
    }
}

#[test]
fn a_book_says_what_was_last_told_whatever_is_late_repeated_or_lost() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let (mut aggregator, mut naive) = (Aggregator::default(), Naive::default());
        for step in 0..200 {
            let usage = Usage {
                target: random.random_range(0..4),
                load: random.random_range(0..9),
                failed: random.random_range(0..3),
                ended: random.random_range(3..9),
            };
            let stamp = Stamp {
                incarnation: random.random_range(1..3),
                number: (step + 1 - random.random_range(0..step.clamp(1, 3))).max(1),
            };
            let router = address(random.random_range(0..5));
            aggregator.record(now, router, stamp, usage);
            naive.note(now, router, stamp, usage);
            now += Duration::from_millis(random.random_range(0..400));
            match random.random_range(0..9) {
                0 => now += Duration::from_secs(random.random_range(1..5)),
                1 => {
                    aggregator.expire(now);
                    naive.expire(now);
                }
                _ => {}
            }
            for target in 0..4 {
                for router in 0..5 {
                    let sum = aggregator.sum_excluding(now, target, address(router));
                    let own = (sum.load, sum.count.failed, sum.count.ended);
                    let wanted = naive.others(now, target, address(router));
                    assert_eq!(own, wanted, "seed {seed}, step {step}");
                }
            }
        }
    }
}
