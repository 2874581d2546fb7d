//! Targets leave while the routers that follow the platform for all are replaced and datagrams are lost:
//! each router knows of each leaving in time, though few of them ask the platform.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use common::routers::{leaving, row};
use cornelpass_core::fleet::polling::Next;
use cornelpass_core::fleet::{Bounds, Fleet, Row};
use cornelpass_core::report::Report;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Step of the clock.
const STEP: Duration = Duration::from_millis(50);

/// Time in which a leaving target has to see its last request: the users' shortest.
const DRAIN: Duration = Duration::from_secs(3);

/// Bytes of a report without changes and of a change in it, with reads of prompt parts as they come.
const REPORT_BYTES: usize = 150;
const CHANGE_BYTES: usize = 80;

/// How a fleet is disturbed.
#[derive(Clone, Copy)]
struct Trouble {
    routers: usize,
    targets: usize,
    /// Share of datagrams that are lost.
    lost: f64,
    /// Time between two restarts of routers, lowest addresses first; none if they stay.
    restarts: Option<Duration>,
    /// Routers that restart at once.
    at_once: usize,
    seed: u64,
}

struct Router {
    address: SocketAddr,
    fleet: Fleet,
    sequence: u32,
    incarnation: u32,
    asked: Option<Instant>,
    told: Option<(Instant, Duration)>,
    /// When it runs again, after a stop.
    starts: Instant,
    calls: usize,
}

impl Router {
    fn start(&mut self, at: Instant) {
        self.incarnation += 1;
        self.fleet = Fleet::new(Bounds::default()).with_address(self.address, self.incarnation);
        (self.sequence, self.asked, self.told, self.starts) = (0, None, None, at);
    }
}

struct Model {
    now: Instant,
    trouble: Trouble,
    random: StdRng,
    routers: Vec<Router>,
    /// The platform's entries, their revisions, and when each target began to leave.
    entries: BTreeMap<String, (Row, u64)>,
    left: BTreeMap<String, Instant>,
    revision: u64,
}

impl Model {
    fn new(trouble: Trouble) -> Self {
        let now = Instant::now();
        let router = |host: usize| {
            let host = u16::try_from(host).unwrap() + 1;
            let [high, low] = host.to_be_bytes();
            let address = SocketAddr::from((Ipv4Addr::new(10, 1, high, low), 7000));
            let fleet = Fleet::new(Bounds::default()).with_address(address, 1);
            let (sequence, incarnation, asked, told, calls) = (0, 1, None, None, 0);
            Router { address, fleet, sequence, incarnation, asked, told, starts: now, calls }
        };
        let routers = (0..trouble.routers).map(router).collect();
        let entries = (0..trouble.targets).map(|number| {
            let row = row(u8::try_from(number % 250).unwrap(), "a");
            (format!("t-{number}"), (row, 1))
        });
        let (entries, random) = (entries.collect(), StdRng::seed_from_u64(trouble.seed));
        Self { now, trouble, random, routers, entries, left: BTreeMap::new(), revision: 1 }
    }

    /// Half of the targets write their entries again, and one may leave.
    fn write(&mut self, leaves: bool) {
        self.revision += 1;
        let revision = self.revision;
        for (number, (_, entry)) in self.entries.values_mut().enumerate() {
            if number as u64 % 2 == revision % 2 {
                *entry = revision;
            }
        }
        if leaves {
            let name = format!("t-{}", self.left.len());
            let (row, entry) = self.entries.get_mut(&name).unwrap();
            (*row, *entry) = (leaving(row.clone()), revision);
            self.left.insert(name, self.now);
        }
    }

    fn ask(&mut self, index: usize) {
        let (now, revision) = (self.now, self.revision);
        let router = &mut self.routers[index];
        if router.asked.is_none() {
            let listed: BTreeSet<String> = self.entries.keys().cloned().collect();
            router.fleet.apply_complete_list(now, &listed, revision);
        }
        for (name, (row, entry)) in &self.entries {
            router.fleet.apply_platform_entry(now, name, Some(row.clone()), *entry);
        }
        router.fleet.record_platform_sync(now, revision);
        (router.asked, router.calls) = (Some(now), router.calls + 1);
    }

    fn tell(&mut self, index: usize) {
        let now = self.now;
        let router = &mut self.routers[index];
        router.sequence += 1;
        let report = Report {
            incarnation: router.incarnation,
            sequence: router.sequence,
            listed_ms: router.fleet.change_log().answer_age_ms(now),
            last_change: router.fleet.change_log().last_number(),
            changes: router.fleet.change_log().changes_to_report(now),
            span: router.fleet.change_log().span(),
            ..Report::default()
        };
        let others = self.trouble.routers - 1;
        let length = REPORT_BYTES + CHANGE_BYTES * report.changes.len();
        let period = router.fleet.report_pause(now, length, others);
        router.told = Some((now, period));
        let from = router.address;
        for receiver in &mut self.routers {
            let runs = receiver.starts <= now && receiver.address != from;
            if runs && !self.random.random_bool(self.trouble.lost) {
                receiver.fleet.apply_report(now, from, report.clone());
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for index in 0..self.routers.len() {
            let router = &self.routers[index];
            if router.starts > now {
                continue;
            }
            let next = router.asked.map_or(Next::Poll, |asked| {
                let waited = now.duration_since(asked);
                router.fleet.next_poll(now, waited)
            });
            if next == Next::Poll {
                self.ask(index);
            }
            let router = &mut self.routers[index];
            let due = router.told.is_none_or(|(at, period)| now.duration_since(at) >= period);
            if due || (next == Next::Poll && router.fleet.change_log().is_report_due()) {
                self.tell(index);
            }
        }
    }

    /// Targets that left longer ago than they may and that a running router still takes for usable.
    fn late(&self) -> Vec<(SocketAddr, String)> {
        // What is known once stays known, but to a router that starts again.
        let overdue = self.left.iter().filter(|(_, at)| {
            let time = self.now.duration_since(**at);
            time > DRAIN && time < DRAIN * 2
        });
        let overdue: Vec<&String> = overdue.map(|(name, _)| name).collect();
        let mut late = Vec::new();
        for router in self.routers.iter().filter(|router| router.starts <= self.now) {
            let ready: BTreeSet<&str> = router
                .fleet
                .listed_targets()
                .filter(|(_, row, _)| row.state == cornelpass_core::fleet::State::Ready)
                .map(|(name, ..)| name)
                .collect();
            let known = |name: &&&String| ready.contains(name.as_str());
            late.extend(overdue.iter().filter(known).map(|name| (router.address, (*name).clone())));
        }
        late
    }

    /// Plays some seconds in which targets only write their entries again.
    fn rest(&mut self, time: Duration) {
        for _ in 0..(time.as_secs_f64() / STEP.as_secs_f64()) as u32 {
            self.write(false);
            self.step();
        }
    }

    /// Plays some seconds, with a target leaving every half second; returns calls a router a second.
    fn play(&mut self, time: Duration) -> f64 {
        let steps = (time.as_secs_f64() / STEP.as_secs_f64()) as u32;
        let mut restarted = 0;
        for step in 0..steps {
            self.write(step % 10 == 9 && step > 60);
            let due = self.trouble.restarts.is_some_and(|gap| {
                let gap = (gap.as_secs_f64() / STEP.as_secs_f64()) as u32;
                step > 60 && step % gap == 0
            });
            if due {
                for _ in 0..self.trouble.at_once {
                    let index = restarted % self.routers.len();
                    self.routers[index].start(self.now + Duration::from_millis(900));
                    restarted += 1;
                }
            }
            self.step();
            assert_eq!(self.late(), [], "step {step}, seed {}", self.trouble.seed);
        }
        let calls: usize = self.routers.iter().map(|router| router.calls).sum();
        calls as f64 / self.routers.len() as f64 / time.as_secs_f64()
    }
}

const GROWN: Trouble =
    Trouble { routers: 21, targets: 56, lost: 0.0, restarts: None, at_once: 1, seed: 0 };

#[test]
fn all_routers_know_in_time_with_few_calls() {
    for (routers, targets) in [(28, 52), (68, 120), (300, 200)] {
        let mut model = Model::new(Trouble { routers, targets, ..GROWN });
        let calls = model.play(Duration::from_secs(12));
        let own = 2.0 / 1.2 / routers as f64;
        assert!(calls <= 0.4 + own, "{routers} routers: {calls} calls a router a second");
    }
}

#[test]
fn all_routers_know_in_time_though_datagrams_are_lost() {
    for seed in 0..6 {
        Model::new(Trouble { lost: 0.05, seed, ..GROWN }).play(Duration::from_secs(20));
    }
}

#[test]
fn all_routers_know_in_time_while_those_that_ask_for_them_are_replaced() {
    let gap = Duration::from_secs(2);
    for seed in 0..6 {
        let (at_once, lost) = (1 + seed as usize % 3, 0.02);
        let trouble = Trouble { restarts: Some(gap), at_once, lost, seed, ..GROWN };
        Model::new(trouble).play(Duration::from_secs(25));
    }
}

#[test]
fn few_ask_while_nothing_happens() {
    for (routers, targets) in [(28, 52), (68, 120), (300, 200)] {
        let mut model = Model::new(Trouble { routers, targets, ..GROWN });
        model.rest(Duration::from_secs(10));
        let before: usize = model.routers.iter().map(|router| router.calls).sum();
        model.rest(Duration::from_secs(10));
        let after: usize = model.routers.iter().map(|router| router.calls).sum();
        // Two ask often; each of the others once in 10 s at most.
        assert!(after - before <= 2 * 12 + routers, "{routers} routers: {} calls", after - before);
    }
}
