//! Tests of the warm-up of cold targets, against a reference implementation and with a
//! simulated engine.
//!
//! The tests guard against an engine that restarts cold, without notice, and gets more requests
//! than it can take. This comes about because a restart shows only in later messages, while further
//! requests are already on their way. The simulation has one admission controller and one engine
//! that restarts at random times. Messages take random times, and some losses of requests are never
//! reported. In the simulation, the load bound never applies, since its floor is the limit.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{config, expect_admitted, refused, request};
use cornelpass_core::admission::warmup::{
    DOWN_TIMEOUT, IDLE_TIMEOUT, LATE_FIRST_TOKEN, PROBE_TIMEOUT, Window,
};
use cornelpass_core::admission::{Controller, Decision, Outcome, Ticket};
use cornelpass_core::refusal::Reason;
use cornelpass_core::table::{Kind, Policy, Target};
use cornelpass_core::target_report::State;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of concurrent requests that the target can take while it is cold.
const COLD_LIMIT: u32 = 4;

/// Number of concurrent requests that the target can take when it is warm; also its limit in units
/// of load.
const LIMIT: u32 = 32;

/// Event that the window records.
#[derive(Clone, Copy, Debug)]
enum Event {
    Send(Ticket),
    Acknowledge(Ticket, u64),
    FirstToken(Ticket),
    Complete(Ticket),
    Disconnect,
}

fn event() -> impl Strategy<Value = Event> {
    let ticket = 0_u64..12;
    prop_oneof![
        4 => ticket.clone().prop_map(Event::Send),
        4 => (ticket.clone(), 1_u64..3).prop_map(|(t, boot)| Event::Acknowledge(t, boot)),
        4 => ticket.clone().prop_map(Event::FirstToken),
        3 => ticket.prop_map(Event::Complete),
        1 => Just(Event::Disconnect),
    ]
}

/// Position of the last event before `end` that matches.
fn last_match(log: &[Event], end: usize, matches: impl Fn(&Event) -> bool) -> Option<usize> {
    log[..end].iter().rposition(matches)
}

/// Position at which a request was sent, if it is in flight before `end`.
fn sent_at(log: &[Event], end: usize, ticket: Ticket) -> Option<usize> {
    let sent = last_match(log, end, |e| matches!(e, Event::Send(t) if *t == ticket))?;
    let completed = last_match(log, end, |e| matches!(e, Event::Complete(t) if *t == ticket));
    completed.is_none_or(|completed| completed < sent).then_some(sent)
}

/// Current boot number before `end`, and the position of its first acknowledgement.
///
/// The current boot number is the one whose first acknowledgement came last. Later acknowledgements
/// with the other number are delayed and do not count.
fn current_boot(log: &[Event], end: usize) -> (u64, usize) {
    let first = |number| first_acknowledged(log, end, number);
    match (first(1), first(2)) {
        (Some(one), Some(two)) if one < two => (2, two),
        (Some(one), Some(_)) => (1, one),
        (Some(one), None) => (1, one),
        (None, Some(two)) => (2, two),
        (None, None) => (0, 0),
    }
}

/// Position of the first acknowledgement before `end` with a boot number.
fn first_acknowledged(log: &[Event], end: usize, number: u64) -> Option<usize> {
    log[..end].iter().position(|e| matches!(e, Event::Acknowledge(_, boot) if *boot == number))
}

/// Number of requests that may be sent, by a reference implementation that searches the log of all
/// events.
fn reference_slots(log: &[Event]) -> u32 {
    let end = log.len();
    let in_flight: Vec<(Ticket, usize)> =
        (0..12).filter_map(|ticket| Some((ticket, sent_at(log, end, ticket)?))).collect();
    let acknowledged = |ticket, since, end: usize| {
        last_match(log, end, |e| matches!(e, Event::Acknowledge(t, _) if *t == ticket))
            .filter(|at| *at > since)
    };
    let unacknowledged =
        in_flight.iter().filter(|(t, since)| acknowledged(*t, *since, end).is_none());
    let last_disconnect = last_match(log, end, |e| matches!(e, Event::Disconnect)).unwrap_or(0);
    let start = last_disconnect.max(current_boot(log, end).1);
    let growth = (start..end).filter(|at| {
        let Event::FirstToken(ticket) = log[*at] else { return false };
        let Some(since) = sent_at(log, *at, ticket) else { return false };
        // Whether the first token at a position belongs to a request that the current boot
        // acknowledged, and that was sent after the last disconnect.
        let counts = |at: usize| {
            matches!(log[at], Event::FirstToken(t) if t == ticket)
                && acknowledged(ticket, since, at).is_some_and(|position| {
                    matches!(
                        log[position],
                        Event::Acknowledge(_, number) if number == current_boot(log, at).0
                    )
                })
                && last_match(log, at, |e| matches!(e, Event::Disconnect))
                    .is_none_or(|disconnected| disconnected < since)
        };
        // Only the first such token of a request counts.
        counts(*at) && !(since..*at).any(counts)
    });
    let size = (COLD_LIMIT as usize + growth.count()).min(LIMIT as usize);
    let headroom = size.saturating_sub(in_flight.len());
    headroom.min((COLD_LIMIT as usize).saturating_sub(unacknowledged.count())) as u32
}

proptest! {
    #![proptest_config(config(3, 256))]

    #[test]
    fn slots_equal_those_of_the_reference_implementation(
        events in prop::collection::vec(event(), 0..60),
    ) {
        let (mut window, mut now, mut log) = (Window::default(), Instant::now(), Vec::new());
        window.configure(&common::target(1, LIMIT, COLD_LIMIT));
        for event in events {
            match event {
                Event::Send(ticket) if sent_at(&log, log.len(), ticket).is_some() => continue,
                Event::Send(ticket) => window.record_sent(now, ticket, 1),
                Event::Acknowledge(ticket, _) if sent_at(&log, log.len(), ticket).is_none() => {
                    continue;
                }
                Event::Acknowledge(ticket, boot) => {
                    window.acknowledge(now, ticket, boot);
                }
                Event::FirstToken(ticket) => window.record_first_token(now, ticket),
                Event::Complete(ticket) => window.release(now, ticket, Outcome::Completed),
                Event::Disconnect => {
                    window.record_disconnect(now);
                    now += Duration::from_secs(2);
                }
            }
            log.push(event);
            prop_assert_eq!(window.slots(now), reference_slots(&log), "{:?}", log);
        }
    }

    #[test]
    fn cold_engine_gets_no_more_requests_than_it_can_take(seed in any::<u64>()) {
        prop_assert_eq!(Simulation::new(seed, COLD_LIMIT).run(1500), 0);
    }
}

#[test]
fn cold_engine_without_a_cold_limit_gets_more_requests_than_it_can_take() {
    assert!(Simulation::new(1, LIMIT).run(1500) > 0);
}

#[test]
fn engine_that_restarts_during_a_burst_gets_no_more_than_the_cold_limit() {
    let now = Instant::now();
    let mut controller =
        common::controller(&common::target(1, LIMIT, COLD_LIMIT), &Policy::default());
    common::warm_up(&mut controller, now, 1);
    let mut digests = 1..;
    let mut burst = |controller: &mut Controller| -> Vec<Decision> {
        digests.by_ref().take(20).map(|digest| controller.admit(now, &request(digest, 1))).collect()
    };
    let decisions = burst(&mut controller);
    assert_eq!(decisions.iter().filter(|decision| refused(**decision).is_none()).count(), 4);
    controller.acknowledge(now, expect_admitted(decisions[0]), 2);
    assert_eq!(controller.status(now).state, State::Warming);
    assert!(
        burst(&mut controller)
            .into_iter()
            .all(|decision| refused(decision) == Some(Reason::Warming))
    );
    controller.record_first_token(now, expect_admitted(decisions[0]));
    let admitted_later =
        burst(&mut controller).into_iter().filter(|decision| refused(*decision).is_none());
    assert_eq!(admitted_later.count(), 1);
}

#[test]
fn window_shrinks_after_a_late_first_token_and_while_the_target_is_idle() {
    let mut now = Instant::now();
    let mut controller =
        common::controller(&common::target(1, LIMIT, COLD_LIMIT), &Policy::default());
    common::warm_up(&mut controller, now, 1);
    let ticket = expect_admitted(controller.admit(now, &request(1, 1)));
    controller.acknowledge(now, ticket, 1);
    now += 2 * LATE_FIRST_TOKEN;
    controller.record_first_token(now, ticket);
    assert_eq!(
        (controller.status(now).state, controller.status(now).bound),
        (State::Warming, LIMIT / 2)
    );
    controller.release(now, ticket, Outcome::Completed);
    now += IDLE_TIMEOUT;
    assert_eq!(controller.status(now).bound, COLD_LIMIT);
}

#[test]
fn a_target_back_in_service_starts_with_the_cold_window() {
    let now = Instant::now();
    let mut controller =
        common::controller(&common::target(1, LIMIT, COLD_LIMIT), &Policy::default());
    common::warm_up(&mut controller, now, 1);
    controller.reset_warmup();
    let status = controller.status(now);
    assert_eq!((status.state, status.bound), (State::Warming, COLD_LIMIT));
    assert!(status.ramp_percent < 100, "{}", status.ramp_percent);
    for _ in 0..COLD_LIMIT {
        let ticket = expect_admitted(controller.admit(now, &request(0, 1)));
        controller.acknowledge(now, ticket, 1);
    }
    assert_eq!(refused(controller.admit(now, &request(0, 1))), Some(Reason::Warming));
}

#[test]
fn probe_acknowledges_the_requests_that_were_sent_before_it() {
    let mut now = Instant::now();
    let mut controller =
        common::controller(&common::target(1, LIMIT, COLD_LIMIT), &Policy::default());
    common::warm_up(&mut controller, now, 1);
    let admit = |controller: &mut Controller, now| refused(controller.admit(now, &request(0, 1)));
    for _ in 0..COLD_LIMIT {
        assert_eq!(admit(&mut controller, now), None);
    }
    now += PROBE_TIMEOUT / 2;
    controller.record_probe(now, 1);
    assert_eq!(
        admit(&mut controller, now),
        Some(Reason::Warming),
        "the requests may have been sent after the query of the probe"
    );
    now += PROBE_TIMEOUT / 2;
    controller.record_probe(now, 1);
    assert_eq!(admit(&mut controller, now), None);
}

#[test]
fn down_target_gets_no_requests_until_it_responds_to_a_probe_or_the_timeout_ends() {
    let mut now = Instant::now();
    let mut controller =
        common::controller(&common::target(1, LIMIT, COLD_LIMIT), &Policy::default());
    common::warm_up(&mut controller, now, 1);
    for responded in [true, false] {
        controller.record_disconnect(now);
        assert_eq!(
            (controller.status(now).state, controller.status(now).ramp_percent),
            (State::Down, 0)
        );
        assert_eq!(refused(controller.admit(now, &request(0, 1))), Some(Reason::Warming));
        if responded {
            controller.record_probe(now, 2);
        } else {
            now += DOWN_TIMEOUT;
        }
        assert_eq!(
            (controller.status(now).state, controller.status(now).bound),
            (State::Warming, COLD_LIMIT)
        );
    }
}

#[test]
fn service_warms_up_by_complete_responses() {
    let now = Instant::now();
    let mut target = common::target(1, LIMIT, COLD_LIMIT);
    target.kind = Kind::Service;
    let mut controller = common::controller(&target, &Policy::default());
    for _ in COLD_LIMIT..LIMIT {
        assert_eq!(controller.status(now).state, State::Warming);
        let ticket = expect_admitted(controller.admit(now, &request(1, 1)));
        controller.acknowledge(now, ticket, 0);
        controller.release(now, ticket, Outcome::Completed);
    }
    assert_eq!(controller.status(now).state, State::Steady);
}

/// Message between the engine and its sidecar.
#[derive(Clone, Copy, Debug)]
enum Message {
    Request(Ticket),
    Cancel(Ticket),
    /// Acknowledgement of a request, with the boot number of the engine.
    Acknowledge(Ticket, u64),
    FirstToken(Ticket),
    Complete(Ticket),
    /// Reports that the engine lost the request.
    Lost(Ticket),
    /// Load report, with the boot number of the engine when it was sent.
    Probe(u64),
    Disconnect,
}

/// Steps that a request on the engine still takes until its first token, and until its end.
type Remaining = (u32, u32);

/// An admission controller, and an engine that restarts at random times and reports only some of
/// the lost requests and of the disconnects.
struct Simulation {
    rng: StdRng,
    now: Instant,
    controller: Controller,
    /// Messages on their way, with the steps at which they arrive.
    messages: Vec<(u32, Message)>,
    /// Requests on the engine.
    running: BTreeMap<Ticket, Remaining>,
    /// Requests that the controller has admitted and not released, and whether they are
    /// acknowledged.
    open: BTreeMap<Ticket, bool>,
    /// Boot number of the engine.
    boot: u64,
    /// First tokens since the last restart of the engine.
    first_tokens: u32,
    /// Requests that the engine received while it could not take them.
    excesses: usize,
}

impl Simulation {
    fn new(seed: u64, cold_limit: u32) -> Self {
        let policy = Policy { load_floor: LIMIT, ..Policy::default() };
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            controller: common::controller(&common::target(1, LIMIT, cold_limit), &policy),
            messages: Vec::new(),
            running: BTreeMap::new(),
            open: BTreeMap::new(),
            boot: 1,
            first_tokens: 0,
            excesses: 0,
        }
    }

    /// Runs steps of 20 ms; returns the number of requests that the engine could not take.
    fn run(&mut self, steps: u32) -> usize {
        for step in 0..steps {
            self.now += Duration::from_millis(20);
            self.deliver(step);
            self.progress(step);
            if self.rng.random_bool(0.005) {
                self.restart(step);
            }
            for _ in 0..self.rng.random_range(0..6) {
                if let Decision::Admit(ticket) =
                    self.controller.admit(self.now, &request(step.into(), 1))
                {
                    self.open.insert(ticket, false);
                    self.send(step, 1, Message::Request(ticket));
                }
            }
            self.cancel_some(step);
            if step.is_multiple_of(50) {
                self.send(step, 40, Message::Probe(self.boot));
            }
        }
        self.excesses
    }

    /// Sends a message that takes up to `max_delay` steps.
    fn send(&mut self, step: u32, max_delay: u32, message: Message) {
        let delay = self.rng.random_range(1..=max_delay);
        self.messages.push((step + delay, message));
    }

    fn deliver(&mut self, step: u32) {
        let due: Vec<_> = self.messages.extract_if(.., |message| message.0 <= step).collect();
        for (_, message) in due {
            match message {
                Message::Request(ticket) => self.receive(step, ticket),
                Message::Cancel(ticket) => self.drop_request(ticket),
                Message::Acknowledge(ticket, boot) => {
                    self.controller.acknowledge(self.now, ticket, boot);
                    self.open.entry(ticket).and_modify(|received| *received = true);
                }
                Message::FirstToken(ticket) => self.controller.record_first_token(self.now, ticket),
                Message::Complete(ticket) => self.release(ticket, Outcome::Completed),
                Message::Lost(ticket) => self.release(ticket, Outcome::Lost),
                Message::Probe(boot) => self.controller.record_probe(self.now, boot),
                Message::Disconnect => self.controller.record_disconnect(self.now),
            }
        }
    }

    /// Starts a request on the engine, and counts it if the engine cannot take it.
    ///
    /// After a restart, the engine can take the cold limit and one more request for each first
    /// token.
    fn receive(&mut self, step: u32, ticket: Ticket) {
        let first = self.rng.random_range(2..60);
        self.running.insert(ticket, (first, first + self.rng.random_range(1..100)));
        let count = self.running.len() as u32;
        self.excesses += usize::from(count > COLD_LIMIT + self.first_tokens);
        self.send(step, 3, Message::Acknowledge(ticket, self.boot));
    }

    /// Advances all requests on the engine by one step.
    fn progress(&mut self, step: u32) {
        let mut messages = Vec::new();
        for (ticket, (first, end)) in &mut self.running {
            *first = first.saturating_sub(1);
            *end -= 1;
            if *first == 0 && *end > 0 {
                messages.push(Message::FirstToken(*ticket));
                *first = u32::MAX;
                self.first_tokens += 1;
            }
            if *end == 0 {
                messages.push(Message::Complete(*ticket));
            }
        }
        self.running.retain(|_, (_, end)| *end > 0);
        messages.into_iter().for_each(|message| self.send(step, 3, message));
    }

    /// Restarts the engine cold: its requests are lost, and some of the losses are never reported.
    fn restart(&mut self, step: u32) {
        for ticket in std::mem::take(&mut self.running).into_keys() {
            if self.rng.random_bool(0.7) {
                self.send(step, 100, Message::Lost(ticket));
            }
        }
        if self.rng.random_bool(0.3) {
            self.send(step, 5, Message::Disconnect);
        }
        self.boot += 1;
        self.first_tokens = 0;
    }

    /// Cancels open requests at random.
    ///
    /// A request without an acknowledgement is released immediately; an acknowledged one is
    /// released when the engine drops it.
    fn cancel_some(&mut self, step: u32) {
        let open: Vec<(Ticket, bool)> = self.open.iter().map(|(t, r)| (*t, *r)).collect();
        for (ticket, received) in open {
            if self.rng.random_bool(0.01) {
                self.send(step, 50, Message::Cancel(ticket));
                if !received {
                    self.release(ticket, Outcome::Cancelled);
                }
            }
        }
    }

    /// Drops a cancelled request on the engine.
    fn drop_request(&mut self, ticket: Ticket) {
        self.running.remove(&ticket);
        self.release(ticket, Outcome::Cancelled);
    }

    fn release(&mut self, ticket: Ticket, outcome: Outcome) {
        if self.open.remove(&ticket).is_some() {
            self.controller.release(self.now, ticket, outcome);
        }
    }
}

#[test]
fn first_tokens_within_the_cold_time_do_not_grow_the_window() {
    let (mut now, mut window) = (Instant::now(), Window::default());
    let target = Target { cold_seconds: 10, ..common::target(1, LIMIT, COLD_LIMIT) };
    window.configure(&target);
    let mut size_after_response = |window: &mut Window, ticket| {
        window.record_sent(now, ticket, 1);
        window.acknowledge(now, ticket, 1);
        now += Duration::from_secs(2);
        window.record_first_token(now, ticket);
        window.release(now, ticket, Outcome::Completed);
        window.size(now)
    };
    let sizes: Vec<u32> = (0..7).map(|ticket| size_after_response(&mut window, ticket)).collect();
    let cold = COLD_LIMIT;
    assert_eq!(sizes, [cold, cold, cold, cold, cold + 1, cold + 2, cold + 3]);
}
