//! Contents that crash targets: against a naive version, and in a fleet whose lists lag.

mod common;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use common::{config, refused, request};
use cornelpass_core::admission::suspect::{
    CRASH_LIFETIME, CRASH_LIMIT, Level, RECORD_LIMIT, Suspects,
};
use cornelpass_core::admission::{Controller, Decision, Outcome, Ticket};
use cornelpass_core::digest;
use cornelpass_core::refusal::Reason;
use cornelpass_core::table::Policy;
use proptest::prelude::*;

const STEP: Duration = Duration::from_secs(1);
const GATES: usize = 12;
const KILLER: u64 = 1000;
const INNOCENTS: u64 = 30;
const ANSWER_STEPS: u32 = 6;

/// An event that [`Suspects`] records.
#[derive(Clone, Debug)]
enum Event {
    Lose(BTreeSet<u64>),
    Clear(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => prop::collection::btree_set(0_u64..6, 1..4).prop_map(Event::Lose),
        1 => (0_u64..6).prop_map(Event::Clear),
    ]
}

/// Standing of a content by the text of the statement, from the whole log.
fn naive(log: &[Event], digest: u64) -> Level {
    let mut crashes = 0;
    for (end, event) in log.iter().enumerate() {
        let suspect = |digest| naive(&log[..end], digest) != Level::Clear;
        match event {
            Event::Clear(cleared) if *cleared == digest && crashes < CRASH_LIMIT => crashes = 0,
            Event::Lose(lost) if lost.contains(&digest) => {
                let alone = lost.iter().filter(|other| suspect(**other)).eq([&digest]);
                crashes += if alone { CRASH_LIMIT } else { 1 };
            }
            _ => {}
        }
    }
    match crashes {
        0 => Level::Clear,
        1 => Level::Suspect,
        2..CRASH_LIMIT => Level::Repeated,
        _ => Level::Blocked,
    }
}

proptest! {
    #![proptest_config(config(5, 128))]

    #[test]
    fn standing_equals_naive(events in prop::collection::vec(event(), 0..7)) {
        let (mut suspects, now) = (Suspects::default(), Instant::now());
        for (end, event) in events.iter().enumerate() {
            match event {
                Event::Lose(lost) => {
 suspects.record_loss(now, &lost.iter().copied().collect::<Vec<_>>(), None)},
                Event::Clear(digest) => suspects.reset(now, *digest),
            }
            for digest in 0..6 {
                prop_assert_eq!(suspects.level(now, digest), naive(&events[..=end], digest));
            }
        }
    }

    #[test]
    fn one_content_takes_down_few_targets(
        lag in 0_u32..5, fuse in 1_u32..4, callers in 1_u32..5, seed in any::<u64>(),
    ) {
        let mut fleet = Fleet::new(lag, fuse, seed);
        fleet.run(200, callers, |_| KILLER);
        let ceiling = callers * (3 + 2 * lag.div_ceil(fuse));
        prop_assert!(fleet.lost <= ceiling, "lost {} of at most {}", fleet.lost, ceiling);
        prop_assert_eq!(fleet.answered.len() as u64, INNOCENTS);
        prop_assert!(fleet.blocked, "the caller was told that the content does not run");
    }
}

#[test]
fn content_that_is_not_recognised_takes_down_every_target() {
    let mut fleet = Fleet::new(0, 1, 1);
    fleet.run(200, 1, |attempt| KILLER + u64::from(attempt));
    assert!(fleet.lost > 100, "{}", fleet.lost);
}

#[test]
fn suspects_run_one_by_one_and_expire() {
    let mut now = Instant::now();
    let mut controller = common::controller(&common::target(1, 64, 64), &Policy::default());
    controller.merge_crashes(now, &[&[1, 2, 4, 4][..], &[3; CRASH_LIMIT as usize]].concat());
    assert_eq!(refused(controller.admit(now, &request(3, 1))), Some(Reason::SuspectedCrash));
    let first = common::admitted(controller.admit(now, &request(1, 1)));
    let copy = common::admitted(controller.admit(now, &request(1, 1)));
    assert_eq!(refused(controller.admit(now, &request(2, 1))), Some(Reason::Overloaded));
    assert_eq!(refused(controller.admit(now, &request(5, 1))), None, "others are not held up");
    controller.record_first_token(now, first);
    controller.record_first_token(now, copy);
    assert_eq!(refused(controller.admit(now, &request(4, 1))), Some(Reason::Overloaded));
    let second = common::admitted(controller.admit(now, &request(2, 1)));
    controller.release(now, first, Outcome::Completed);
    controller.release(now, second, Outcome::Completed);
    controller.release(now, copy, Outcome::Completed);
    assert_eq!(refused(controller.admit(now, &request(4, 1))), None);
    controller.record_disconnect(now);
    let blocked = controller.observed_crashes(now).into_iter().filter(|digest| *digest == 4);
    assert_eq!(blocked.count(), CRASH_LIMIT as usize, "the only suspect is blocked");
    now += CRASH_LIFETIME;
    assert_eq!(refused(controller.admit(now, &request(4, 1))), None);
}

#[test]
fn memory_is_bounded_and_keeps_what_is_blocked() {
    let (mut suspects, now) = (Suspects::default(), Instant::now());
    suspects.merge(now, &[7; CRASH_LIMIT as usize]);
    suspects.merge(now, &(100..100 + 2 * RECORD_LIMIT as u64).collect::<Vec<_>>());
    assert_eq!(suspects.level(now, 7), Level::Blocked);
    let all = 0..100 + 2 * RECORD_LIMIT as u64;
    let known = all.filter(|digest| suspects.level(now, *digest) > Level::Clear);
    assert_eq!(known.count(), RECORD_LIMIT);
}

/// A request that waits or runs: its content and the steps it has run.
struct Run {
    digest: u64,
    ticket: Ticket,
    steps: u32,
}

/// Controllers that hear of each other's crashes some steps later, and callers that send again at once.
struct Fleet {
    now: Instant,
    seed: u64,
    lag: usize,
    fuse: u32,
    controllers: Vec<Controller>,
    running: Vec<Vec<Run>>,
    waiting: VecDeque<u64>,
    lists: VecDeque<Vec<u64>>,
    answered: BTreeMap<u64, u32>,
    blocked: bool,
    lost: u32,
}

impl Fleet {
    fn new(lag: u32, fuse: u32, seed: u64) -> Self {
        let row = common::target(1, 64, 64);
        Self {
            now: Instant::now(),
            seed,
            lag: lag as usize,
            fuse,
            controllers: (0..GATES).map(|_| common::controller(&row, &Policy::default())).collect(),
            running: (0..GATES).map(|_| Vec::new()).collect(),
            waiting: (0..INNOCENTS).collect(),
            lists: VecDeque::new(),
            answered: BTreeMap::new(),
            blocked: false,
            lost: 0,
        }
    }

    fn run(&mut self, steps: u32, callers: u32, killer: impl Fn(u32) -> u64) {
        for _ in 0..steps {
            self.now += STEP;
            let joined = self
                .controllers
                .iter()
                .flat_map(|controller| controller.observed_crashes(self.now))
                .collect();
            self.lists.push_front(joined);
            if let Some(list) = self.lists.get(self.lag) {
                self.controllers
                    .iter_mut()
                    .for_each(|controller| controller.merge_crashes(self.now, list));
            }
            let sent = self.running.iter().flatten().filter(|run| run.digest >= KILLER);
            for caller in sent.count()..callers as usize {
                self.place(killer(self.lost), 3 * caller);
            }
            for digest in std::mem::take(&mut self.waiting) {
                self.place(digest, 0);
            }
            (0..GATES).for_each(|index| self.serve(index));
        }
    }

    /// Tries the controllers in the order of a hash, some further on, and by one more after each loss.
    fn place(&mut self, digest: u64, shift: usize) {
        let hash = digest::pair(self.seed, &digest.to_string()) as usize % GATES;
        let key = hash + shift + self.lost as usize;
        for index in (0..GATES).map(|n| (key + n) % GATES) {
            match self.controllers[index].admit(self.now, &request(digest, 1)) {
                Decision::Admit(ticket) => {
                    self.controllers[index].acknowledge(self.now, ticket, 0);
                    return self.running[index].push(Run { digest, ticket, steps: 0 });
                }
                Decision::Refuse(Reason::SuspectedCrash) => {
                    self.blocked |= digest >= KILLER;
                    return;
                }
                Decision::Refuse(_) => {}
            }
        }
        if digest < KILLER {
            self.waiting.push_back(digest);
        }
    }

    fn serve(&mut self, index: usize) {
        let (controller, running) = (&mut self.controllers[index], &mut self.running[index]);
        for run in running.iter_mut() {
            run.steps += 1;
            if run.steps == 2 {
                controller.record_first_token(self.now, run.ticket);
            }
        }
        if running.iter().any(|run| run.digest >= KILLER && run.steps >= self.fuse) {
            self.lost += 1;
            for run in running.drain(..) {
                controller.release(self.now, run.ticket, Outcome::Lost);
                if run.digest < KILLER {
                    self.waiting.push_back(run.digest);
                }
            }
        }
        for run in running.extract_if(.., |run| run.steps >= ANSWER_STEPS) {
            controller.release(self.now, run.ticket, Outcome::Completed);
            *self.answered.entry(run.digest).or_default() += 1;
        }
    }
}
