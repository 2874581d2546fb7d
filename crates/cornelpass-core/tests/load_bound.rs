//! The load bound, against a naive version and in a fleet whose routers disagree.

mod common;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use common::{admitted, config, refused, request};
use cornelpass_core::admission::bound::{Bound, SAMPLE_LIFETIME};
use cornelpass_core::admission::{Controller, Decision, Mean, Outcome, Ticket};
use cornelpass_core::placement::{Candidate, Placement, Rendezvous};
use cornelpass_core::refusal::Reason;
use cornelpass_core::table::{Policy, Target};
use cornelpass_core::target_report::{Report, View};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEP: Duration = Duration::from_millis(50);
const DELAY_STEPS: u32 = 6;
const QUIET_STEPS: u32 = 60;
const WINDOW_STEPS: usize = 60 + 2 * DELAY_STEPS as usize + 1;
const ROUTERS: usize = 5;
const TARGETS: usize = 9;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The bound by the text of the statement, from a log of views.
fn naive(log: &[(Instant, usize, Mean)], now: Instant, target: &Target, policy: &Policy) -> u32 {
    let latest = |router| log.iter().rev().find(|(_, name, _)| *name == router);
    let live = |(at, _, mean): &(Instant, usize, Mean)| {
        now - *at + ms(u64::from(mean.age_ms)) <= SAMPLE_LIFETIME
    };
    let mut means: Vec<u64> =
        (0..ROUTERS).filter_map(latest).filter(|v| live(v)).map(|v| v.2.milli).collect();
    means.sort_unstable();
    let multiple = f64::from(policy.load_multiple_percent) / 100.0;
    let bound = match means.len() {
        0 => (f64::from(target.limit) / multiple).floor(),
        n => (multiple * means[(n - 1) / 2] as f64 / 1000.0 * f64::from(target.weight)).ceil(),
    };
    bound.max(f64::from(policy.load_floor * target.weight)).min(f64::from(target.limit)) as u32
}

proptest! {
    #![proptest_config(config(1, 256))]

    #[test]
    fn bound_equals_naive(
        weight in 1_u32..4,
        views in prop::collection::vec((0..ROUTERS, 0_u64..40, 0_u32..4000, 0_u64..1500), 1..40),
    ) {
        let (target, policy) = (common::target(weight, 64, 4), Policy::default());
        let (mut bound, mut log, mut now) = (Bound::default(), Vec::new(), Instant::now());
        bound.configure(&target, &policy);
        for (router, load, age_ms, wait) in views {
            let mean = Mean { milli: load * 1000, age_ms };
            bound.record_mean(now, &router.to_string(), mean);
            log.push((now, router, mean));
            now += ms(wait);
            prop_assert_eq!(bound.current(now), naive(&log, now, &target, &policy));
        }
    }

}

proptest! {
    #![proptest_config(config(2, 24))]

    #[test]
    fn fleet_keeps_the_bound(seed in any::<u64>()) {
        prop_assert_eq!(Fleet::new(seed, Policy::default()).run(400), 0);
    }
}

#[test]
fn fleet_without_the_bound_passes_it() {
    let policy = Policy { load_multiple_percent: u32::MAX, ..Policy::default() };
    assert!(Fleet::new(1, policy).run(400) > 100);
}

#[test]
fn falling_mean_admits_nothing_above_it() {
    let now = Instant::now();
    let mut controller = common::controller(&common::target(1, 64, 64), &Policy::default());
    controller.record_mean(now, "router-1", Mean { milli: 20_000, age_ms: 0 });
    let tickets: Vec<Ticket> =
        (0..30).map(|n| admitted(controller.admit(now, &request(n, 1)))).collect();
    assert_eq!(refused(controller.admit(now, &request(0, 1))), Some(Reason::OverBound));
    controller.record_mean(now, "router-1", Mean { milli: 10_000, age_ms: 0 });
    for ticket in &tickets[..16] {
        assert_eq!(refused(controller.admit(now, &request(0, 1))), Some(Reason::OverBound));
        controller.release(now, *ticket, Outcome::Completed);
    }
    assert_eq!(
        refused(controller.admit(now, &request(0, 40))),
        None,
        "one request may pass the bound"
    );
    assert_eq!(refused(controller.admit(now, &request(0, 1))), Some(Reason::OverBound));
}

/// A moment of one target: load, and the part of its weight that reports show, in percent.
type Moment = (u32, u32);

/// Routers with stale views, one of them with a short list, and targets that restart.
struct Fleet {
    rng: StdRng,
    now: Instant,
    targets: Vec<(String, Target)>,
    controllers: Vec<Controller>,
    boots: Vec<u64>,
    running: Vec<Vec<(Ticket, u32)>>,
    views: Vec<View>,
    reports: Vec<(u32, usize, usize, Report)>,
    means: Vec<(u32, usize, usize, Mean)>,
    past: VecDeque<Vec<Moment>>,
    excesses: usize,
}

impl Fleet {
    fn new(seed: u64, policy: Policy) -> Self {
        let now = Instant::now();
        let row = |n: usize| common::target(1 + n as u32 % 3, 200 * (1 + n as u32 % 3), 4);
        let targets: Vec<_> = (0..TARGETS).map(|n| (format!("engine-{n}"), row(n))).collect();
        let mut controllers: Vec<Controller> =
            targets.iter().map(|t| common::controller(&t.1, &policy)).collect();
        controllers.iter_mut().for_each(|controller| common::warm(controller, now, 1));
        Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            targets,
            controllers,
            boots: vec![1; TARGETS],
            running: vec![Vec::new(); TARGETS],
            views: vec![View::new(); ROUTERS],
            reports: Vec::new(),
            means: Vec::new(),
            past: VecDeque::new(),
            excesses: 0,
        }
    }

    /// Runs the fleet and counts the admissions above the stated bound.
    fn run(&mut self, steps: u32) -> usize {
        for step in 0..steps {
            self.now += STEP;
            self.past.push_front(vec![(0, 100); TARGETS]);
            self.past.truncate(WINDOW_STEPS);
            self.remember();
            self.exchange(step);
            self.progress(step);
            let surge = step % 100 > 60;
            if step < QUIET_STEPS {
                continue;
            }
            for _ in 0..self.rng.random_range(0..if surge { 16 } else { 4 }) {
                self.place(surge);
                self.remember();
            }
        }
        self.excesses
    }

    /// Reports and means, each delivered after a delay of its own.
    fn exchange(&mut self, step: u32) {
        let rng = &mut self.rng;
        for (index, controller) in self.controllers.iter().enumerate() {
            for router in 0..ROUTERS {
                if (step as usize + index + 3 * router).is_multiple_of(20) {
                    let s = controller.status(self.now);
                    let report = Report {
                        state: s.state,
                        load: s.load,
                        bound: s.bound,
                        boot: s.boot,
                        ramp_percent: s.ramp_percent,
                        ..Report::default()
                    };
                    let at = step + rng.random_range(0..=DELAY_STEPS);
                    self.reports.push((at, router, index, report));
                }
            }
        }
        for (_, router, index, report) in self.reports.extract_if(.., |r| r.0 <= step) {
            self.views[router].record(&self.targets[index].0, self.now, report);
        }
        for (router, view) in self.views.iter().enumerate() {
            let known = if router == 0 { 2 } else { TARGETS };
            let rows = self.targets[..known].iter().map(|(name, row)| (name.as_str(), row.weight));
            if let Some(mean) = view.mean(rows, self.now) {
                let index = rng.random_range(0..TARGETS);
                self.means.push((step + rng.random_range(0..=DELAY_STEPS), router, index, mean));
            }
        }
        for (_, router, index, mean) in self.means.extract_if(.., |m| m.0 <= step) {
            self.controllers[index].record_mean(self.now, &router.to_string(), mean);
        }
    }

    /// Requests end, and now and then a target restarts.
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
            for (ticket, _) in self.running[index].extract_if(.., |r| r.1 == 0) {
                controller.release(self.now, ticket, Outcome::Completed);
            }
        }
    }

    fn place(&mut self, surge: bool) {
        let key = if surge { self.rng.random_range(0..3) } else { self.rng.random() };
        let router = self.rng.random_range(0..ROUTERS);
        let (digest, cost) = (self.rng.random(), self.rng.random_range(1..8));
        let candidates: Vec<Candidate<'_>> = self
            .targets
            .iter()
            .map(|(name, row)| self.views[router].candidate(name, row, self.now))
            .collect();
        for index in Rendezvous.rank(key, &candidates).into_iter().take(3) {
            let before = self.controllers[index].status(self.now).load;
            if let Decision::Admit(ticket) =
                self.controllers[index].admit(self.now, &request(digest, cost))
            {
                let left = self.rng.random_range(4..100);
                self.running[index].push((ticket, left));
                self.views[router].record_sent(&self.targets[index].0, cost);
                self.check(index, before);
                return;
            }
        }
    }

    /// Keeps the highest load and the least weight that each target shows in this step.
    fn remember(&mut self) {
        let Some(moment) = self.past.front_mut() else { return };
        for (controller, (load, percent)) in self.controllers.iter().zip(moment) {
            let status = controller.status(self.now);
            *load = status.load.max(*load);
            *percent = status.ramp_percent.min(*percent);
        }
    }

    /// Counts an admission whose load before it had reached the bound at the peak mean.
    fn check(&mut self, index: usize, before: u32) {
        let row = &self.targets[index].1;
        let peak = self.peak();
        let bound = (1.5 * peak * f64::from(row.weight)).ceil().max(f64::from(4 * row.weight));
        let unseen = f64::from(row.limit) / 1.5;
        let bound = if peak.is_nan() { unseen } else { bound };
        self.excesses += usize::from(f64::from(before) >= bound.min(f64::from(row.limit)));
    }

    /// Each target's highest load within the staleness window, over the least weight shown in it.
    fn peak(&self) -> f64 {
        let (mut load, mut weight) = (0, 0.0);
        for (index, (_, row)) in self.targets.iter().enumerate() {
            load += self.past.iter().map(|moment| moment[index].0).max().unwrap_or(0);
            let percent = self.past.iter().map(|moment| moment[index].1).min().unwrap_or(0);
            weight += f64::from(row.weight * percent) / 100.0;
        }
        f64::from(load) / weight
    }
}
