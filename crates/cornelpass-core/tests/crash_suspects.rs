//! Tests of the detection of contents that crash targets, against a reference implementation and in
//! a simulation.
//!
//! The tests guard against a content that crashes one target after the other because callers repeat
//! it, and against harmless contents that are blocked because they ran beside it. The simulation
//! has one admission controller for each target. The controllers exchange their lists of crashes
//! with a delay, and callers repeat the crashing content immediately. There are no routers: each
//! request tries the controllers one after the other.

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

/// Step of the simulated clock.
const STEP: Duration = Duration::from_secs(1);

/// Number of targets, and of their admission controllers.
const TARGETS: usize = 12;

/// Smallest digest of a content that crashes targets; smaller digests are harmless contents.
const CRASHING_CONTENT: u64 = 1000;

/// Number of harmless contents, whose digests start at 0.
const HARMLESS_CONTENTS: u64 = 30;

/// Number of steps until the response to a request with a harmless content is complete.
const RESPONSE_STEPS: u32 = 6;

/// An event that [`Suspects`] records.
#[derive(Clone, Debug)]
enum Event {
    /// Crash of a target, with the contents in flight.
    Crash(BTreeSet<u64>),
    /// Complete response to a request with this content.
    Complete(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => prop::collection::btree_set(0_u64..6, 1..4).prop_map(Event::Crash),
        1 => (0_u64..6).prop_map(Event::Complete),
    ]
}

/// Level of suspicion against a content, by a reference implementation that reads the log of all
/// events.
fn reference_level(log: &[Event], digest: u64) -> Level {
    let mut crashes = 0;
    for (end, event) in log.iter().enumerate() {
        let suspect = |digest| reference_level(&log[..end], digest) != Level::Clear;
        match event {
            Event::Complete(completed) if *completed == digest && crashes < CRASH_LIMIT => {
                crashes = 0
            }
            Event::Crash(in_flight) if in_flight.contains(&digest) => {
                // A crash with a single suspect in flight is attributed to that suspect, which is
                // blocked.
                let alone = in_flight.iter().filter(|other| suspect(**other)).eq([&digest]);
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
    fn levels_equal_those_of_the_reference_implementation(
        events in prop::collection::vec(event(), 0..7),
    ) {
        let (mut suspects, now) = (Suspects::default(), Instant::now());
        for (end, event) in events.iter().enumerate() {
            match event {
                Event::Crash(in_flight) => suspects.record_loss(
                    now,
                    &in_flight.iter().copied().collect::<Vec<_>>(),
                    None,
                ),
                Event::Complete(digest) => suspects.reset(now, *digest),
            }
            for digest in 0..6 {
                prop_assert_eq!(
                    suspects.level(now, digest),
                    reference_level(&events[..=end], digest)
                );
            }
        }
    }

    #[test]
    fn one_content_crashes_few_targets(
        list_delay in 0_u32..5,
        steps_to_crash in 1_u32..4,
        callers in 1_u32..5,
        seed in any::<u64>(),
    ) {
        let mut simulation = Simulation::new(list_delay, steps_to_crash, seed);
        simulation.run(200, callers, |_| CRASHING_CONTENT);
        // A caller can cause one crash in each `steps_to_crash` steps while a list is on its way.
        // The limit allows each caller twice as many crashes, and three more.
        let max_crashes = callers * (3 + 2 * list_delay.div_ceil(steps_to_crash));
        prop_assert!(
            simulation.crashes <= max_crashes,
            "{} crashes instead of at most {}", simulation.crashes, max_crashes
        );
        prop_assert_eq!(simulation.completed.len() as u64, HARMLESS_CONTENTS);
        prop_assert!(simulation.blocked, "the crashing content was never refused");
    }
}

#[test]
fn content_that_is_not_recognised_keeps_crashing_targets() {
    let mut simulation = Simulation::new(0, 1, 1);
    simulation.run(200, 1, |attempt| CRASHING_CONTENT + u64::from(attempt));
    assert!(simulation.crashes > 100, "{} crashes", simulation.crashes);
}

#[test]
fn suspects_run_one_by_one_and_expire() {
    let mut now = Instant::now();
    let mut controller = common::controller(&common::target(1, 64, 64), &Policy::default());
    // Contents 1 and 2 have one crash each, content 4 has two, content 3 is blocked, and content 5
    // has none.
    controller.merge_crashes(now, &[&[1, 2, 4, 4][..], &[3; CRASH_LIMIT as usize]].concat());
    assert_eq!(refused(controller.admit(now, &request(3, 1))), Some(Reason::SuspectedCrash));
    let first = common::expect_admitted(controller.admit(now, &request(1, 1)));
    let copy = common::expect_admitted(controller.admit(now, &request(1, 1)));
    assert_eq!(refused(controller.admit(now, &request(2, 1))), Some(Reason::Overloaded));
    assert_eq!(
        refused(controller.admit(now, &request(5, 1))),
        None,
        "a content without crashes is not restricted"
    );
    controller.record_first_token(now, first);
    controller.record_first_token(now, copy);
    assert_eq!(refused(controller.admit(now, &request(4, 1))), Some(Reason::Overloaded));
    let second = common::expect_admitted(controller.admit(now, &request(2, 1)));
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
fn number_of_records_is_limited_and_blocked_contents_are_kept() {
    let (mut suspects, now) = (Suspects::default(), Instant::now());
    suspects.merge(now, &[7; CRASH_LIMIT as usize]);
    suspects.merge(now, &(100..100 + 2 * RECORD_LIMIT as u64).collect::<Vec<_>>());
    assert_eq!(suspects.level(now, 7), Level::Blocked);
    let all = 0..100 + 2 * RECORD_LIMIT as u64;
    let known = all.filter(|digest| suspects.level(now, *digest) > Level::Clear);
    assert_eq!(known.count(), RECORD_LIMIT);
}

/// A request on a target: its content and the steps that it has run.
struct Run {
    digest: u64,
    ticket: Ticket,
    steps: u32,
}

/// Controllers that get each other's lists of crashes some steps later, and callers that repeat the
/// crashing content immediately.
struct Simulation {
    now: Instant,
    seed: u64,
    /// Delay of the lists of crashes, in steps.
    list_delay: usize,
    /// Steps after which the crashing content crashes its target.
    steps_to_crash: u32,
    controllers: Vec<Controller>,
    /// Requests by target.
    running: Vec<Vec<Run>>,
    /// Harmless contents to be sent, at first or again.
    waiting: VecDeque<u64>,
    /// Merged lists of crashes of the last steps, the latest first.
    lists: VecDeque<Vec<u64>>,
    /// Number of complete responses by content.
    completed: BTreeMap<u64, u32>,
    /// Whether a request with the crashing content was refused as a suspected crash.
    blocked: bool,
    /// Crashes of targets so far.
    crashes: u32,
}

impl Simulation {
    fn new(list_delay: u32, steps_to_crash: u32, seed: u64) -> Self {
        let row = common::target(1, 64, 64);
        Self {
            now: Instant::now(),
            seed,
            list_delay: list_delay as usize,
            steps_to_crash,
            controllers: (0..TARGETS)
                .map(|_| common::controller(&row, &Policy::default()))
                .collect(),
            running: (0..TARGETS).map(|_| Vec::new()).collect(),
            waiting: (0..HARMLESS_CONTENTS).collect(),
            lists: VecDeque::new(),
            completed: BTreeMap::new(),
            blocked: false,
            crashes: 0,
        }
    }

    /// Runs steps in which each of some callers repeats the crashing content as soon as the last
    /// request with that content has ended.
    ///
    /// `crashing_digest` gives the digest of the content for a number of crashes so far.
    fn run(&mut self, steps: u32, callers: u32, crashing_digest: impl Fn(u32) -> u64) {
        for _ in 0..steps {
            self.now += STEP;
            let merged = self
                .controllers
                .iter()
                .flat_map(|controller| controller.observed_crashes(self.now))
                .collect();
            self.lists.push_front(merged);
            if let Some(list) = self.lists.get(self.list_delay) {
                self.controllers
                    .iter_mut()
                    .for_each(|controller| controller.merge_crashes(self.now, list));
            }
            let in_progress =
                self.running.iter().flatten().filter(|run| run.digest >= CRASHING_CONTENT);
            for caller in in_progress.count()..callers as usize {
                // The callers start at different controllers.
                self.send(crashing_digest(self.crashes), 3 * caller);
            }
            for digest in std::mem::take(&mut self.waiting) {
                self.send(digest, 0);
            }
            (0..TARGETS).for_each(|index| self.progress(index));
        }
    }

    /// Sends a content to the first controller that admits it.
    ///
    /// The hash of the content, `shift` and the number of crashes determine which controller is
    /// tried first.
    fn send(&mut self, digest: u64, shift: usize) {
        let hash = digest::pair(self.seed, &digest.to_string()) as usize % TARGETS;
        let first = hash + shift + self.crashes as usize;
        for index in (0..TARGETS).map(|offset| (first + offset) % TARGETS) {
            match self.controllers[index].admit(self.now, &request(digest, 1)) {
                Decision::Admit(ticket) => {
                    self.controllers[index].acknowledge(self.now, ticket, 0);
                    return self.running[index].push(Run { digest, ticket, steps: 0 });
                }
                Decision::Refuse(Reason::SuspectedCrash) => {
                    self.blocked |= digest >= CRASHING_CONTENT;
                    return;
                }
                Decision::Refuse(_) => {}
            }
        }
        if digest < CRASHING_CONTENT {
            self.waiting.push_back(digest);
        }
    }

    /// Advances all requests on a target by one step.
    fn progress(&mut self, index: usize) {
        let (controller, running) = (&mut self.controllers[index], &mut self.running[index]);
        for run in running.iter_mut() {
            run.steps += 1;
            if run.steps == 2 {
                controller.record_first_token(self.now, run.ticket);
            }
        }
        if running
            .iter()
            .any(|run| run.digest >= CRASHING_CONTENT && run.steps >= self.steps_to_crash)
        {
            self.crashes += 1;
            for run in running.drain(..) {
                controller.release(self.now, run.ticket, Outcome::Lost);
                if run.digest < CRASHING_CONTENT {
                    self.waiting.push_back(run.digest);
                }
            }
        }
        for run in running.extract_if(.., |run| run.steps >= RESPONSE_STEPS) {
            controller.release(self.now, run.ticket, Outcome::Completed);
            *self.completed.entry(run.digest).or_default() += 1;
        }
    }
}
