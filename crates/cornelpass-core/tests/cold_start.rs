//! Cold start: the window against a naive version, and an engine that turns cold without warning.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{admitted, config, refused, request};
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

const COLD_LIMIT: u32 = 4;
const LIMIT: u32 = 32;

/// What happened to the window, in order.
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

/// Position of the last event before `end` that fits.
fn last(log: &[Event], end: usize, fits: impl Fn(&Event) -> bool) -> Option<usize> {
    log[..end].iter().rposition(fits)
}

fn sent_at(log: &[Event], end: usize, ticket: Ticket) -> Option<usize> {
    let sent = last(log, end, |e| matches!(e, Event::Send(t) if *t == ticket))?;
    let done = last(log, end, |e| matches!(e, Event::Complete(t) if *t == ticket));
    done.is_none_or(|done| done < sent).then_some(sent)
}

/// Boot number in force before `end`: the last one acknowledged, unless a newer one was known.
fn boot(log: &[Event], end: usize) -> (u64, usize) {
    let of = |number| last_first(log, end, number);
    match (of(1), of(2)) {
        (Some(one), Some(two)) if one < two => (2, two),
        (Some(one), Some(_)) => (1, one),
        (Some(one), None) => (1, one),
        (None, Some(two)) => (2, two),
        (None, None) => (0, 0),
    }
}

fn last_first(log: &[Event], end: usize, number: u64) -> Option<usize> {
    log[..end].iter().position(|e| matches!(e, Event::Acknowledge(_, boot) if *boot == number))
}

/// Slots by the text of the statement, from the whole log.
fn naive(log: &[Event]) -> u32 {
    let end = log.len();
    let tickets: Vec<(Ticket, usize)> =
        (0..12).filter_map(|ticket| Some((ticket, sent_at(log, end, ticket)?))).collect();
    let acknowledged = |ticket, since, end: usize| {
        last(log, end, |e| matches!(e, Event::Acknowledge(t, _) if *t == ticket))
            .filter(|at| *at > since)
    };
    let unseen = tickets.iter().filter(|(t, since)| acknowledged(*t, *since, end).is_none());
    let cut = last(log, end, |e| matches!(e, Event::Disconnect)).unwrap_or(0);
    let start = cut.max(boot(log, end).1);
    let warm = (start..end).filter(|at| {
        let Event::FirstToken(ticket) = log[*at] else { return false };
        let Some(since) = sent_at(log, *at, ticket) else { return false };
        let counts = |at: usize| {
            matches!(log[at], Event::FirstToken(t) if t == ticket)
                && acknowledged(ticket, since, at).is_some_and(|ack| {
                    matches!(log[ack], Event::Acknowledge(_, number) if number == boot(log, at).0)
                })
                && last(log, at, |e| matches!(e, Event::Disconnect)).is_none_or(|cut| cut < since)
        };
        counts(*at) && !(since..*at).any(counts)
    });
    let window = (COLD_LIMIT as usize + warm.count()).min(LIMIT as usize);
    let window = window.saturating_sub(tickets.len());
    window.min((COLD_LIMIT as usize).saturating_sub(unseen.count())) as u32
}

proptest! {
    #![proptest_config(config(3, 256))]

    #[test]
    fn window_equals_naive(events in prop::collection::vec(event(), 0..60)) {
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
            prop_assert_eq!(window.slots(now), naive(&log), "{:?}", log);
        }
    }

    #[test]
    fn cold_engine_bears_what_it_gets(seed in any::<u64>()) {
        prop_assert_eq!(Beside::new(seed, COLD_LIMIT).run(1500), 0);
    }
}

#[test]
fn cold_engine_without_a_cold_limit_falls_over() {
    assert!(Beside::new(1, LIMIT).run(1500) > 0);
}

#[test]
fn engine_that_turns_cold_mid_burst_gets_no_more_than_the_cold_limit() {
    let now = Instant::now();
    let mut controller =
        common::controller(&common::target(1, LIMIT, COLD_LIMIT), &Policy::default());
    common::warm(&mut controller, now, 1);
    let mut digests = 1..;
    let mut burst = |controller: &mut Controller| -> Vec<Decision> {
        digests.by_ref().take(20).map(|digest| controller.admit(now, &request(digest, 1))).collect()
    };
    let first = burst(&mut controller);
    assert_eq!(first.iter().filter(|decision| refused(**decision).is_none()).count(), 4);
    controller.acknowledge(now, admitted(first[0]), 2);
    assert_eq!(controller.status(now).state, State::Warming);
    assert!(burst(&mut controller).into_iter().all(|v| refused(v) == Some(Reason::Warming)));
    controller.record_first_token(now, admitted(first[0]));
    let more = burst(&mut controller).into_iter().filter(|decision| refused(*decision).is_none());
    assert_eq!(more.count(), 1);
}

#[test]
fn window_closes_by_idleness_and_by_a_late_first_token() {
    let mut now = Instant::now();
    let mut controller =
        common::controller(&common::target(1, LIMIT, COLD_LIMIT), &Policy::default());
    common::warm(&mut controller, now, 1);
    let ticket = admitted(controller.admit(now, &request(1, 1)));
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
    common::warm(&mut controller, now, 1);
    controller.reset_warmup();
    let status = controller.status(now);
    assert_eq!((status.state, status.bound), (State::Warming, COLD_LIMIT));
    assert!(status.ramp_percent < 100, "{}", status.ramp_percent);
    for _ in 0..COLD_LIMIT {
        let ticket = admitted(controller.admit(now, &request(0, 1)));
        controller.acknowledge(now, ticket, 1);
    }
    assert_eq!(refused(controller.admit(now, &request(0, 1))), Some(Reason::Warming));
}

#[test]
fn probe_stands_for_the_acknowledgement_of_what_was_sent_before_it() {
    let mut now = Instant::now();
    let mut controller =
        common::controller(&common::target(1, LIMIT, COLD_LIMIT), &Policy::default());
    common::warm(&mut controller, now, 1);
    let admit = |controller: &mut Controller, now| refused(controller.admit(now, &request(0, 1)));
    for _ in 0..COLD_LIMIT {
        assert_eq!(admit(&mut controller, now), None);
    }
    now += PROBE_TIMEOUT / 2;
    controller.record_probe(now, 1);
    assert_eq!(
        admit(&mut controller, now),
        Some(Reason::Warming),
        "sent after the question, perhaps"
    );
    now += PROBE_TIMEOUT / 2;
    controller.record_probe(now, 1);
    assert_eq!(admit(&mut controller, now), None);
}

#[test]
fn down_target_gets_nothing_until_it_is_heard_or_tried_again() {
    let mut now = Instant::now();
    let mut controller =
        common::controller(&common::target(1, LIMIT, COLD_LIMIT), &Policy::default());
    common::warm(&mut controller, now, 1);
    for heard in [true, false] {
        controller.record_disconnect(now);
        assert_eq!(
            (controller.status(now).state, controller.status(now).ramp_percent),
            (State::Down, 0)
        );
        assert_eq!(refused(controller.admit(now, &request(0, 1))), Some(Reason::Warming));
        if heard {
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
fn service_warms_by_whole_answers() {
    let now = Instant::now();
    let mut target = common::target(1, LIMIT, COLD_LIMIT);
    target.kind = Kind::Service;
    let mut controller = common::controller(&target, &Policy::default());
    for _ in COLD_LIMIT..LIMIT {
        assert_eq!(controller.status(now).state, State::Warming);
        let ticket = admitted(controller.admit(now, &request(1, 1)));
        controller.acknowledge(now, ticket, 0);
        controller.release(now, ticket, Outcome::Completed);
    }
    assert_eq!(controller.status(now).state, State::Steady);
}

/// What travels between the engine and the process beside it.
#[derive(Clone, Copy, Debug)]
enum Message {
    Request(Ticket),
    Cancel(Ticket),
    Acknowledge(Ticket, u64),
    FirstToken(Ticket),
    Complete(Ticket),
    Lost(Ticket),
    Probe(u64),
    Disconnect,
}

/// A request on the engine: the steps until its first token and until its end.
type Run = (u32, u32);

/// A controller beside an engine that turns cold now and then, and does not always say so.
struct Beside {
    rng: StdRng,
    now: Instant,
    controller: Controller,
    mail: Vec<(u32, Message)>,
    running: BTreeMap<Ticket, Run>,
    open: BTreeMap<Ticket, bool>,
    boot: u64,
    tokens: u32,
    excesses: usize,
}

impl Beside {
    fn new(seed: u64, cold_limit: u32) -> Self {
        let policy = Policy { load_floor: LIMIT, ..Policy::default() };
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            controller: common::controller(&common::target(1, LIMIT, cold_limit), &policy),
            mail: Vec::new(),
            running: BTreeMap::new(),
            open: BTreeMap::new(),
            boot: 1,
            tokens: 0,
            excesses: 0,
        }
    }

    /// Runs steps of 20 ms and counts requests that the engine received above what it bears.
    fn run(&mut self, steps: u32) -> usize {
        for step in 0..steps {
            self.now += Duration::from_millis(20);
            self.deliver(step);
            self.serve(step);
            if self.rng.random_bool(0.005) {
                self.restart(step);
            }
            for _ in 0..self.rng.random_range(0..6) {
                if let Decision::Admit(ticket) =
                    self.controller.admit(self.now, &request(step.into(), 1))
                {
                    self.open.insert(ticket, false);
                    self.post(step, 1, Message::Request(ticket));
                }
            }
            self.cancel(step);
            if step.is_multiple_of(50) {
                self.post(step, 40, Message::Probe(self.boot));
            }
        }
        self.excesses
    }

    fn post(&mut self, step: u32, most: u32, message: Message) {
        let delay = self.rng.random_range(1..=most);
        self.mail.push((step + delay, message));
    }

    fn deliver(&mut self, step: u32) {
        let due: Vec<_> = self.mail.extract_if(.., |mail| mail.0 <= step).collect();
        for (_, message) in due {
            match message {
                Message::Request(ticket) => self.receive(step, ticket),
                Message::Cancel(ticket) => self.drop(ticket),
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

    fn receive(&mut self, step: u32, ticket: Ticket) {
        let first = self.rng.random_range(2..60);
        self.running.insert(ticket, (first, first + self.rng.random_range(1..100)));
        let held = self.running.len() as u32;
        self.excesses += usize::from(held > COLD_LIMIT + self.tokens);
        self.post(step, 3, Message::Acknowledge(ticket, self.boot));
    }

    fn serve(&mut self, step: u32) {
        let mut messages = Vec::new();
        for (ticket, (first, end)) in &mut self.running {
            *first = first.saturating_sub(1);
            *end -= 1;
            if *first == 0 && *end > 0 {
                messages.push(Message::FirstToken(*ticket));
                *first = u32::MAX;
                self.tokens += 1;
            }
            if *end == 0 {
                messages.push(Message::Complete(*ticket));
            }
        }
        self.running.retain(|_, (_, end)| *end > 0);
        messages.into_iter().for_each(|message| self.post(step, 3, message));
    }

    /// Turns cold: what ran is gone, and some connections never say so.
    fn restart(&mut self, step: u32) {
        for ticket in std::mem::take(&mut self.running).into_keys() {
            if self.rng.random_bool(0.7) {
                self.post(step, 100, Message::Lost(ticket));
            }
        }
        if self.rng.random_bool(0.3) {
            self.post(step, 5, Message::Disconnect);
        }
        self.boot += 1;
        self.tokens = 0;
    }

    /// Callers give up; what the engine has received is released when it has dropped it.
    fn cancel(&mut self, step: u32) {
        let open: Vec<(Ticket, bool)> = self.open.iter().map(|(t, r)| (*t, *r)).collect();
        for (ticket, received) in open {
            if self.rng.random_bool(0.01) {
                self.post(step, 50, Message::Cancel(ticket));
                if !received {
                    self.release(ticket, Outcome::Cancelled);
                }
            }
        }
    }

    fn drop(&mut self, ticket: Ticket) {
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
fn first_tokens_within_the_cold_time_open_nothing() {
    let (mut now, mut window) = (Instant::now(), Window::default());
    let target = Target { cold_seconds: 10, ..common::target(1, LIMIT, COLD_LIMIT) };
    window.configure(&target);
    let mut answer = |window: &mut Window, ticket| {
        window.record_sent(now, ticket, 1);
        window.acknowledge(now, ticket, 1);
        now += Duration::from_secs(2);
        window.record_first_token(now, ticket);
        window.release(now, ticket, Outcome::Completed);
        window.size(now)
    };
    let sizes: Vec<u32> = (0..7).map(|ticket| answer(&mut window, ticket)).collect();
    let cold = COLD_LIMIT;
    assert_eq!(sizes, [cold, cold, cold, cold, cold + 1, cold + 2, cold + 3]);
}
