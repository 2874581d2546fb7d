//! Tests of the load bound of a target, against a reference implementation and in a simulation.
//!
//! The tests guard against targets that admit requests although their load has reached the bound.
//! Causes that are simulated: routers with different and outdated loads, a router that knows only
//! some of the targets, restarts of targets, and a sudden rise of the load. The simulation has
//! several routers and targets. Reports of targets, and samples of the mean load that routers send,
//! take random times; requests arrive without delay, and are lost only when a target restarts.

mod common;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use common::{config, expect_admitted, refused, request};
use cornelpass_core::admission::bound::{Bound, SAMPLE_LIFETIME};
use cornelpass_core::admission::{Controller, Decision, Mean, Outcome, Ticket};
use cornelpass_core::placement::{Candidate, Placement, Rendezvous};
use cornelpass_core::refusal::Reason;
use cornelpass_core::table::{Policy, Target};
use cornelpass_core::target_report::{Report, Reports};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(50);

/// Longest delay of a report or a sample, in steps.
const MAX_DELAY_STEPS: u32 = 6;

/// Number of steps at the start in which no requests are placed.
const START_STEPS: u32 = 60;

/// Number of steps whose loads may be part of a sample that counts at present: the lifetime of a
/// sample (60 steps), the delays of the report and of the sample, and the current step.
const STALENESS_STEPS: usize = 60 + 2 * MAX_DELAY_STEPS as usize + 1;

const ROUTERS: usize = 5;
const TARGETS: usize = 9;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Load bound, by a reference implementation that reads the log of all samples.
fn reference_bound(
    log: &[(Instant, usize, Mean)],
    now: Instant,
    target: &Target,
    policy: &Policy,
) -> u32 {
    let latest = |router| log.iter().rev().find(|(_, name, _)| *name == router);
    let live = |(at, _, mean): &(Instant, usize, Mean)| {
        now - *at + ms(u64::from(mean.age_ms)) <= SAMPLE_LIFETIME
    };
    let mut means: Vec<u64> = (0..ROUTERS)
        .filter_map(latest)
        .filter(|entry| live(entry))
        .map(|entry| entry.2.milli)
        .collect();
    means.sort_unstable();
    let multiple = f64::from(policy.load_multiple_percent) / 100.0;
    let bound = match means.len() {
        0 => (f64::from(target.limit) / multiple).floor(),
        count => {
            (multiple * means[(count - 1) / 2] as f64 / 1000.0 * f64::from(target.weight)).ceil()
        }
    };
    bound.max(f64::from(policy.load_floor * target.weight)).min(f64::from(target.limit)) as u32
}

proptest! {
    #![proptest_config(config(1, 256))]

    #[test]
    fn bounds_equal_those_of_the_reference_implementation(
        weight in 1_u32..4,
        samples in prop::collection::vec((0..ROUTERS, 0_u64..40, 0_u32..4000, 0_u64..1500), 1..40),
    ) {
        let (target, policy) = (common::target(weight, 64, 4), Policy::default());
        let (mut bound, mut log, mut now) = (Bound::default(), Vec::new(), Instant::now());
        bound.configure(&target, &policy);
        for (router, load, age_ms, pause_ms) in samples {
            let mean = Mean { milli: load * 1000, age_ms };
            bound.record_mean(now, &router.to_string(), mean);
            log.push((now, router, mean));
            now += ms(pause_ms);
            prop_assert_eq!(bound.current(now), reference_bound(&log, now, &target, &policy));
        }
    }

}

proptest! {
    #![proptest_config(config(2, 24))]

    #[test]
    fn fleet_keeps_the_bound(seed in any::<u64>()) {
        prop_assert_eq!(Simulation::new(seed, Policy::default()).run(400), 0);
    }
}

#[test]
fn fleet_without_the_bound_exceeds_it() {
    let policy = Policy { load_multiple_percent: u32::MAX, ..Policy::default() };
    assert!(Simulation::new(1, policy).run(400) > 100);
}

#[test]
fn no_request_is_admitted_above_a_bound_that_has_fallen() {
    let now = Instant::now();
    let mut controller = common::controller(&common::target(1, 64, 64), &Policy::default());
    controller.record_mean(now, "router-1", Mean { milli: 20_000, age_ms: 0 });
    let tickets: Vec<Ticket> =
        (0..30).map(|digest| expect_admitted(controller.admit(now, &request(digest, 1)))).collect();
    assert_eq!(refused(controller.admit(now, &request(0, 1))), Some(Reason::OverBound));
    controller.record_mean(now, "router-1", Mean { milli: 10_000, age_ms: 0 });
    for ticket in &tickets[..16] {
        assert_eq!(refused(controller.admit(now, &request(0, 1))), Some(Reason::OverBound));
        controller.release(now, *ticket, Outcome::Completed);
    }
    assert_eq!(
        refused(controller.admit(now, &request(0, 40))),
        None,
        "one request may take the load above the bound"
    );
    assert_eq!(refused(controller.admit(now, &request(0, 1))), Some(Reason::OverBound));
}

/// Highest load of one target in a step, and the smallest share of its weight that it could serve,
/// in percent.
type Extremes = (u32, u32);

/// Routers with outdated reports, and targets that restart. The first router knows only some of the
/// targets.
struct Simulation {
    rng: StdRng,
    now: Instant,
    targets: Vec<(String, Target)>,
    controllers: Vec<Controller>,
    /// Boot numbers of the targets.
    boots: Vec<u64>,
    /// Requests by target, with the steps that they still take.
    running: Vec<Vec<(Ticket, u32)>>,
    /// Reports of targets as each router knows them.
    router_reports: Vec<Reports>,
    /// Reports on their way: step of arrival, router, target and content.
    reports: Vec<(u32, usize, usize, Report)>,
    /// Samples on their way: step of arrival, router, target and content.
    samples: Vec<(u32, usize, usize, Mean)>,
    /// Extremes of the targets in the last [`STALENESS_STEPS`], the latest step first.
    past: VecDeque<Vec<Extremes>>,
    /// Requests admitted although the load had reached the bound.
    excesses: usize,
}

impl Simulation {
    fn new(seed: u64, policy: Policy) -> Self {
        let now = Instant::now();
        let row =
            |index: usize| common::target(1 + index as u32 % 3, 200 * (1 + index as u32 % 3), 4);
        let targets: Vec<_> =
            (0..TARGETS).map(|index| (format!("engine-{index}"), row(index))).collect();
        let mut controllers: Vec<Controller> =
            targets.iter().map(|target| common::controller(&target.1, &policy)).collect();
        controllers.iter_mut().for_each(|controller| common::warm_up(controller, now, 1));
        Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            targets,
            controllers,
            boots: vec![1; TARGETS],
            running: vec![Vec::new(); TARGETS],
            router_reports: vec![Reports::new(); ROUTERS],
            reports: Vec::new(),
            samples: Vec::new(),
            past: VecDeque::new(),
            excesses: 0,
        }
    }

    /// Runs the simulation; returns the number of requests admitted although the load had reached
    /// the bound.
    fn run(&mut self, steps: u32) -> usize {
        for step in 0..steps {
            self.now += STEP;
            self.past.push_front(vec![(0, 100); TARGETS]);
            self.past.truncate(STALENESS_STEPS);
            self.record_extremes();
            self.exchange(step);
            self.progress(step);
            // A surge lasts for 39 of each 100 steps.
            let surge = step % 100 > 60;
            if step < START_STEPS {
                continue;
            }
            for _ in 0..self.rng.random_range(0..if surge { 16 } else { 4 }) {
                self.place(surge);
                self.record_extremes();
            }
        }
        self.excesses
    }

    /// Sends reports and samples with random delays, and delivers those that are due.
    ///
    /// Each target reports to each router once a second, at staggered steps.
    fn exchange(&mut self, step: u32) {
        let rng = &mut self.rng;
        for (index, controller) in self.controllers.iter().enumerate() {
            for router in 0..ROUTERS {
                if (step as usize + index + 3 * router).is_multiple_of(20) {
                    let status = controller.status(self.now);
                    let report = Report {
                        state: status.state,
                        load: status.load,
                        bound: status.bound,
                        boot: status.boot,
                        ramp_percent: status.ramp_percent,
                        ..Report::default()
                    };
                    let arrival = step + rng.random_range(0..=MAX_DELAY_STEPS);
                    self.reports.push((arrival, router, index, report));
                }
            }
        }
        for (_, router, index, report) in self.reports.extract_if(.., |report| report.0 <= step) {
            self.router_reports[router].record(&self.targets[index].0, self.now, report);
        }
        for (router, reports) in self.router_reports.iter().enumerate() {
            // The first router knows only two targets.
            let known = if router == 0 { 2 } else { TARGETS };
            let rows = self.targets[..known].iter().map(|(name, row)| (name.as_str(), row.weight));
            if let Some(mean) = reports.mean(rows, self.now) {
                let index = rng.random_range(0..TARGETS);
                self.samples.push((
                    step + rng.random_range(0..=MAX_DELAY_STEPS),
                    router,
                    index,
                    mean,
                ));
            }
        }
        for (_, router, index, mean) in self.samples.extract_if(.., |sample| sample.0 <= step) {
            self.controllers[index].record_mean(self.now, &router.to_string(), mean);
        }
    }

    /// Advances all requests by one step, and restarts targets at random.
    fn progress(&mut self, step: u32) {
        for index in 0..TARGETS {
            let controller = &mut self.controllers[index];
            if self.rng.random_bool(0.0005) {
                controller.record_disconnect(self.now);
                self.boots[index] += 1;
                for (ticket, _) in self.running[index].drain(..) {
                    controller.release(self.now, ticket, Outcome::Lost);
                }
            }
            if step.is_multiple_of(20) {
                controller.record_probe(self.now, self.boots[index]);
            }
            for (ticket, left) in &mut self.running[index] {
                controller.acknowledge(self.now, *ticket, self.boots[index]);
                controller.record_first_token(self.now, *ticket);
                *left -= 1;
            }
            for (ticket, _) in self.running[index].extract_if(.., |request| request.1 == 0) {
                controller.release(self.now, ticket, Outcome::Completed);
            }
        }
    }

    /// Sends a request through a random router to the first three targets of its order in turn,
    /// until one admits it.
    ///
    /// In a surge, few placement keys are in use, so that many requests try the same targets first.
    fn place(&mut self, surge: bool) {
        let key = if surge { self.rng.random_range(0..3) } else { self.rng.random() };
        let router = self.rng.random_range(0..ROUTERS);
        let (digest, cost) = (self.rng.random(), self.rng.random_range(1..8));
        let candidates: Vec<Candidate<'_>> = self
            .targets
            .iter()
            .map(|(name, row)| self.router_reports[router].candidate(name, row, self.now))
            .collect();
        for index in Rendezvous.rank(key, &candidates).into_iter().take(3) {
            let before = self.controllers[index].status(self.now).load;
            if let Decision::Admit(ticket) =
                self.controllers[index].admit(self.now, &request(digest, cost))
            {
                let duration = self.rng.random_range(4..100);
                self.running[index].push((ticket, duration));
                self.router_reports[router].record_sent(&self.targets[index].0, cost);
                self.check_bound(index, before);
                return;
            }
        }
    }

    /// Updates the extremes of each target in the current step.
    fn record_extremes(&mut self) {
        let Some(extremes) = self.past.front_mut() else { return };
        for (controller, (load, percent)) in self.controllers.iter().zip(extremes) {
            let status = controller.status(self.now);
            *load = status.load.max(*load);
            *percent = status.ramp_percent.min(*percent);
        }
    }

    /// Counts an admission if the load before it had reached the bound for the highest possible
    /// mean.
    ///
    /// 1.5 and 4 are the multiple and the floor of [`Policy::default`].
    fn check_bound(&mut self, index: usize, before: u32) {
        let row = &self.targets[index].1;
        let mean = self.highest_mean();
        let bound = (1.5 * mean * f64::from(row.weight)).ceil().max(f64::from(4 * row.weight));
        let without_mean = f64::from(row.limit) / 1.5;
        let bound = if mean.is_nan() { without_mean } else { bound };
        self.excesses += usize::from(f64::from(before) >= bound.min(f64::from(row.limit)));
    }

    /// Highest possible mean: the highest loads of the targets over the smallest weights, each
    /// within [`STALENESS_STEPS`].
    fn highest_mean(&self) -> f64 {
        let (mut load, mut weight) = (0, 0.0);
        for (index, (_, row)) in self.targets.iter().enumerate() {
            load += self.past.iter().map(|extremes| extremes[index].0).max().unwrap_or(0);
            let percent = self.past.iter().map(|extremes| extremes[index].1).min().unwrap_or(0);
            weight += f64::from(row.weight * percent) / 100.0;
        }
        f64::from(load) / weight
    }
}
