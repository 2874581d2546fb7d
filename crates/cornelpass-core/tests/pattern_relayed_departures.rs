//! Failure pattern: targets leave while pollers are restarted and datagrams are lost.
//!
//! Only a few routers, the pollers, poll the platform at short intervals and announce the changes
//! in their reports. The tests guard against a router that still lists a target as ready after the
//! time in which the target must get its last request, and against too many calls to the platform.
//! The simulation has the platform's rows, and the polls and the reports of all routers, with
//! restarts and lost datagrams. It has no requests, and messages that are not lost arrive without
//! delay.

#![allow(clippy::unwrap_used, reason = "test helpers")]

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use common::cluster::{leaving_row, row};
use cornelpass_core::fleet::polling::Next;
use cornelpass_core::fleet::{Fleet, Requirements, Row};
use cornelpass_core::report::Report;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(50);

/// Time after a target starts to leave, within which it must get its last request: the shortest
/// that the users require.
const DRAIN: Duration = Duration::from_secs(3);

/// Size of a report without changes, in bytes, with a typical number of cache entries.
///
/// The pause between two reports depends on their size.
const REPORT_BYTES: usize = 150;

/// Typical size of a change in a report, in bytes.
const CHANGE_BYTES: usize = 80;

/// Number of routers and targets, and the faults that are simulated.
#[derive(Clone, Copy)]
struct Scenario {
    routers: usize,
    targets: usize,
    /// Share of datagrams that are lost, from 0 to 1.
    loss: f64,
    /// Interval between two restarts of routers, lowest addresses first; none without restarts.
    restart_interval: Option<Duration>,
    /// Number of routers that restart at the same time.
    restart_count: usize,
    seed: u64,
}

struct Router {
    address: SocketAddr,
    fleet: Fleet,
    sequence: u32,
    incarnation: u32,
    last_poll: Option<Instant>,
    /// When the last report was sent, and the pause after that report.
    last_report: Option<(Instant, Duration)>,
    /// When the current process of the router starts; until then the router is stopped.
    starts_at: Instant,
    /// Number of polls so far.
    polls: usize,
}

impl Router {
    /// Stops the router; a new process without any state starts at a later time.
    fn restart(&mut self, starts_at: Instant) {
        self.incarnation += 1;
        self.fleet =
            Fleet::new(Requirements::default()).with_address(self.address, self.incarnation);
        (self.sequence, self.last_poll, self.last_report, self.starts_at) =
            (0, None, None, starts_at);
    }
}

/// The platform and the routers.
struct Simulation {
    now: Instant,
    scenario: Scenario,
    random: StdRng,
    routers: Vec<Router>,
    /// The platform's rows of the targets, with their revisions.
    rows: BTreeMap<String, (Row, u64)>,
    /// When each leaving target started to leave.
    leaving_since: BTreeMap<String, Instant>,
    /// Last revision of the platform.
    revision: u64,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let now = Instant::now();
        let router = |index: usize| {
            let number = u16::try_from(index).unwrap() + 1;
            let [high, low] = number.to_be_bytes();
            let address = SocketAddr::from((Ipv4Addr::new(10, 1, high, low), 7000));
            let fleet = Fleet::new(Requirements::default()).with_address(address, 1);
            let (sequence, incarnation, last_poll, last_report, polls) = (0, 1, None, None, 0);
            Router {
                address,
                fleet,
                sequence,
                incarnation,
                last_poll,
                last_report,
                starts_at: now,
                polls,
            }
        };
        let routers = (0..scenario.routers).map(router).collect();
        let rows = (0..scenario.targets).map(|number| {
            let row = row(u8::try_from(number % 250).unwrap(), "a");
            (format!("t-{number}"), (row, 1))
        });
        let (rows, random) = (rows.collect(), StdRng::seed_from_u64(scenario.seed));
        Self { now, scenario, random, routers, rows, leaving_since: BTreeMap::new(), revision: 1 }
    }

    /// Half of the targets rewrite their rows; if `leaves`, one more target starts to leave.
    fn write_rows(&mut self, leaves: bool) {
        self.revision += 1;
        let revision = self.revision;
        for (number, (_, written)) in self.rows.values_mut().enumerate() {
            if number as u64 % 2 == revision % 2 {
                *written = revision;
            }
        }
        if leaves {
            let name = format!("t-{}", self.leaving_since.len());
            let (row, written) = self.rows.get_mut(&name).unwrap();
            (*row, *written) = (leaving_row(row.clone()), revision);
            self.leaving_since.insert(name, self.now);
        }
    }

    /// Responds to a poll of a router with all rows.
    fn poll(&mut self, index: usize) {
        let (now, revision) = (self.now, self.revision);
        let router = &mut self.routers[index];
        if router.last_poll.is_none() {
            let listed: BTreeSet<String> = self.rows.keys().cloned().collect();
            router.fleet.apply_complete_list(now, &listed, revision);
        }
        for (name, (row, written)) in &self.rows {
            router.fleet.apply_platform_row(now, name, Some(row.clone()), *written);
        }
        router.fleet.record_platform_sync(now, revision);
        (router.last_poll, router.polls) = (Some(now), router.polls + 1);
    }

    /// Sends a report of a router to all running routers, except for datagrams that are lost.
    fn send_report(&mut self, index: usize) {
        let now = self.now;
        let router = &mut self.routers[index];
        router.sequence += 1;
        let report = Report {
            incarnation: router.incarnation,
            sequence: router.sequence,
            listed_ms: router.fleet.change_log().response_age_ms(now),
            last_change: router.fleet.change_log().last_number(),
            changes: router.fleet.change_log().changes_to_report(now),
            span: router.fleet.change_log().span(),
            ..Report::default()
        };
        let others = self.scenario.routers - 1;
        let length = REPORT_BYTES + CHANGE_BYTES * report.changes.len();
        let pause = router.fleet.report_pause(now, length, others);
        router.last_report = Some((now, pause));
        let sender = router.address;
        for receiver in &mut self.routers {
            let receives = receiver.starts_at <= now && receiver.address != sender;
            if receives && !self.random.random_bool(self.scenario.loss) {
                receiver.fleet.apply_report(now, sender, report.clone());
            }
        }
    }

    /// Advances the clock by a step; each running router then polls and reports if due.
    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for index in 0..self.routers.len() {
            let router = &self.routers[index];
            if router.starts_at > now {
                continue;
            }
            let next = router.last_poll.map_or(Next::Poll, |last_poll| {
                let waited = now.duration_since(last_poll);
                router.fleet.next_poll(now, waited)
            });
            if next == Next::Poll {
                self.poll(index);
            }
            let router = &mut self.routers[index];
            let due = router.last_report.is_none_or(|(at, pause)| now.duration_since(at) >= pause);
            if due || (next == Next::Poll && router.fleet.change_log().is_report_due()) {
                self.send_report(index);
            }
        }
    }

    /// Targets that a running router still lists as ready longer than [`DRAIN`] after they started
    /// to leave, each with the address of the router.
    fn missed_departures(&self) -> Vec<(SocketAddr, String)> {
        // A router forgets a departure only when it restarts, so that checks over one more drain
        // time are enough.
        let overdue = self.leaving_since.iter().filter(|(_, at)| {
            let elapsed = self.now.duration_since(**at);
            elapsed > DRAIN && elapsed < DRAIN * 2
        });
        let overdue: Vec<&String> = overdue.map(|(name, _)| name).collect();
        let mut missed = Vec::new();
        for router in self.routers.iter().filter(|router| router.starts_at <= self.now) {
            let ready: BTreeSet<&str> = router
                .fleet
                .listed_targets()
                .filter(|(_, row, _)| row.state == cornelpass_core::fleet::State::Ready)
                .map(|(name, ..)| name)
                .collect();
            let is_ready = |name: &&&String| ready.contains(name.as_str());
            missed.extend(
                overdue.iter().filter(is_ready).map(|name| (router.address, (*name).clone())),
            );
        }
        missed
    }

    /// Simulates a period in which targets only rewrite their rows.
    fn run_without_changes(&mut self, duration: Duration) {
        for _ in 0..(duration.as_secs_f64() / STEP.as_secs_f64()) as u32 {
            self.write_rows(false);
            self.step();
        }
    }

    /// Simulates a period in which a target leaves every half second, and checks that no router
    /// misses a departure; returns the mean number of polls of a router per second.
    fn run(&mut self, duration: Duration) -> f64 {
        let steps = (duration.as_secs_f64() / STEP.as_secs_f64()) as u32;
        let mut restarted = 0;
        for step in 0..steps {
            self.write_rows(step % 10 == 9 && step > 60);
            let due = self.scenario.restart_interval.is_some_and(|interval| {
                let interval = (interval.as_secs_f64() / STEP.as_secs_f64()) as u32;
                step > 60 && step % interval == 0
            });
            if due {
                for _ in 0..self.scenario.restart_count {
                    let index = restarted % self.routers.len();
                    // The new process starts 0.9 s after the previous one has stopped.
                    self.routers[index].restart(self.now + Duration::from_millis(900));
                    restarted += 1;
                }
            }
            self.step();
            assert_eq!(self.missed_departures(), [], "step {step}, seed {}", self.scenario.seed);
        }
        let polls: usize = self.routers.iter().map(|router| router.polls).sum();
        polls as f64 / self.routers.len() as f64 / duration.as_secs_f64()
    }
}

/// Scenario without faults.
const NO_FAULTS: Scenario = Scenario {
    routers: 21,
    targets: 56,
    loss: 0.0,
    restart_interval: None,
    restart_count: 1,
    seed: 0,
};

#[test]
fn all_routers_know_of_departures_in_time_with_few_platform_calls() {
    for (routers, targets) in [(28, 52), (68, 120), (300, 200)] {
        let mut simulation = Simulation::new(Scenario { routers, targets, ..NO_FAULTS });
        let polls = simulation.run(Duration::from_secs(12));
        // The limit is a mean over all routers: 0.4 polls per second, and one poll in 1.2 s for
        // each of the two pollers. A poller polls every 0.9 s; the 0.4 polls cover the rest of its
        // polls and the polls of the other routers.
        let by_pollers = 2.0 / 1.2 / routers as f64;
        assert!(
            polls <= 0.4 + by_pollers,
            "{routers} routers: {polls} polls per router and second"
        );
    }
}

#[test]
fn all_routers_know_of_departures_in_time_though_datagrams_are_lost() {
    for seed in 0..6 {
        Simulation::new(Scenario { loss: 0.05, seed, ..NO_FAULTS }).run(Duration::from_secs(20));
    }
}

#[test]
fn all_routers_know_of_departures_in_time_while_pollers_are_restarted() {
    let interval = Duration::from_secs(2);
    for seed in 0..6 {
        let (restart_count, loss) = (1 + seed as usize % 3, 0.02);
        let scenario =
            Scenario { restart_interval: Some(interval), restart_count, loss, seed, ..NO_FAULTS };
        Simulation::new(scenario).run(Duration::from_secs(25));
    }
}

#[test]
fn few_routers_poll_while_no_target_changes() {
    for (routers, targets) in [(28, 52), (68, 120), (300, 200)] {
        let mut simulation = Simulation::new(Scenario { routers, targets, ..NO_FAULTS });
        simulation.run_without_changes(Duration::from_secs(10));
        let before: usize = simulation.routers.iter().map(|router| router.polls).sum();
        simulation.run_without_changes(Duration::from_secs(10));
        let after: usize = simulation.routers.iter().map(|router| router.polls).sum();
        // Each of the two pollers polls every 0.9 s, at most 12 times in 10 s, and every other
        // router at most once.
        assert!(after - before <= 2 * 12 + routers, "{routers} routers: {} polls", after - before);
    }
}
