//! Several routers in front of the same targets, with a clock that a test moves.
//!
//! Requests last as long as the test says, reports travel when it says so, questions to accountants and
//! their answers at once unless one does not answer, and what each target has in progress is counted
//! beside the routers' own view.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use cornelpass_core::accounting::accountant::COLLECTION_INTERVAL;
use cornelpass_core::accounting::message::{Message, Note};
use cornelpass_core::accounting::selection::Selection;
use cornelpass_core::fleet::health::Outcome;
use cornelpass_core::fleet::load::Ticket;
use cornelpass_core::fleet::{Bounds, Choice, Decision, Fleet, Refusal, Row, State};
use cornelpass_core::history::{History, Policy};
use cornelpass_core::report::{self, Report};
use cornelpass_core::request::{Framing, Part, Prompt, Request, RetrySafety};

pub(crate) const SERVICE: &str = "model-pool";

/// Most load as a multiple of the mean, and what comes on top, in requests.
pub(crate) const BOUNDS: Bounds = Bounds {
    load_multiple: 2.0,
    load_slack: 3,
    cold_over: 1.5,
    cold_slack: 5,
    drain: Duration::from_secs(3),
};

pub(crate) fn address(host: usize) -> SocketAddr {
    let host = u32::try_from(host).unwrap();
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + host), 7000))
}

pub(crate) fn row(number: u8, data_centre: &str) -> Row {
    Row {
        service: SERVICE.to_owned(),
        address: SocketAddr::from((Ipv4Addr::new(10, 0, 1, number), 8000)),
        data_centre: data_centre.to_owned(),
        slots: 64,
        state: State::Ready,
        cold_left: Duration::ZERO,
        weights: Some(1),
        started_ms: Some(1),
    }
}

/// A prompt with a shared first part, a shared second part and one of its own.
pub(crate) fn prompt(root: u64, leaf: u64, own: u64) -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    let parts = vec![part(root, 2_500), part(1_000 + leaf, 6_000), part(1_000_000 + own, 500)];
    Prompt { model: "m".to_owned(), tokens: 9_000, max_answer_tokens: 50, parts }
}

pub(crate) fn request(now: Instant, repeat: RetrySafety, prompt: Option<Prompt>) -> Request {
    Request {
        id: "r".to_owned(),
        route: "brief".to_owned(),
        organisation: "org".to_owned(),
        service: SERVICE.to_owned(),
        retry_safety: repeat,
        framing: Framing::Events,
        max_targets: 2,
        priority: 1,
        prompt,
        digest: 1,
        arrived_at: now,
        deadline: now + Duration::from_secs(4),
        target_latency: Duration::from_millis(500),
        desired_event_gap: None,
    }
}

pub(crate) fn fresh(request: &Request) -> History {
    History::new(Policy { retry_safety: request.retry_safety, max_targets: request.max_targets })
}

/// A request in progress.
struct Running {
    router: usize,
    target: String,
    ticket: Ticket,
    ends: Instant,
}

/// Routers and the targets that they see.
pub(crate) struct Routers {
    pub(crate) now: Instant,
    pub(crate) fleets: Vec<Fleet>,
    sequence: u32,
    running: Vec<Running>,
    /// Requests in progress by target, whoever sent them.
    pub(crate) loads: BTreeMap<String, u32>,
    /// Targets in the order of the requests.
    pub(crate) sent: Vec<String>,
    /// Routers that answer nobody.
    pub(crate) silent: BTreeSet<usize>,
    /// Those of them that do not run at all.
    pub(crate) frozen: BTreeSet<usize>,
    /// When the routers last looked at what is to be told again.
    looked: Instant,
}

impl Routers {
    /// Routers in front of targets in data centres `a`, `b` and `c` in turn.
    pub(crate) fn new(routers: usize, targets: u8) -> Self {
        let now = Instant::now();
        let fleet = |router| Fleet::new(BOUNDS).with_address(address(router), 1);
        let mut fleets: Vec<Fleet> = (0..routers).map(fleet).collect();
        for fleet in &mut fleets {
            (0..routers).for_each(|router| fleet.add_router(now, address(router)));
            for number in 0..targets {
                let data_centre = ["a", "b", "c"][usize::from(number) % 3];
                fleet.apply_row(
                    now,
                    &name(number),
                    row(number, data_centre),
                    1 + u64::from(number),
                );
            }
        }
        let (running, loads, sent) = (Vec::new(), BTreeMap::new(), Vec::new());
        let (silent, frozen, looked) = (BTreeSet::new(), BTreeSet::new(), now);
        let mut routers =
            Self { now, fleets, sequence: 0, running, loads, sent, silent, frozen, looked };
        routers.report();
        routers
    }

    /// All routers tell each other.
    pub(crate) fn report(&mut self) {
        (0..self.fleets.len()).for_each(|router| self.report_of(router));
    }

    /// A router tells the others.
    pub(crate) fn report_of(&mut self, router: usize) {
        self.sequence += 1;
        let now = self.now;
        let others = self.fleets.len() - 1;
        let fleet = &mut self.fleets[router];
        let report = Report {
            incarnation: 1,
            sequence: self.sequence,
            cache_entries: fleet.cache_index().take_new_entries(report::max_cache_entries(others)),
            departures: fleet.departures_to_report(now),
            ..Report::default()
        };
        for (receiver, fleet) in self.fleets.iter_mut().enumerate() {
            if receiver != router {
                fleet.apply_report(now, address(router), report.clone());
            }
        }
    }

    /// Moves the clock; requests that are due end with an answer.
    pub(crate) fn advance(&mut self, by: Duration) {
        self.now += by;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition::<Vec<_>, _>(|running| running.ends <= self.now);
        self.running = running;
        for Running { router, target, ticket, .. } in ended {
            self.end(router, &target, ticket, Outcome::Answered);
            *self.loads.get_mut(&target).unwrap() -= 1;
        }
        if self.now.duration_since(self.looked) >= COLLECTION_INTERVAL {
            self.looked = self.now;
            let running = (0..self.fleets.len()).filter(|router| !self.frozen.contains(router));
            running.collect::<Vec<_>>().into_iter().for_each(|router| self.look(router));
        }
    }

    /// A request of a router ends at a target.
    pub(crate) fn end(&mut self, router: usize, target: &str, ticket: Ticket, outcome: Outcome) {
        self.fleets[router].record_end(self.now, target, ticket, Some(outcome));
        self.note(router, target);
    }

    /// A router tells again what is due.
    fn look(&mut self, router: usize) {
        for (receiver, message) in self.fleets[router].due_messages(self.now) {
            match message {
                Message::Note(note) => self.deliver(router, receiver, &note),
                Message::Probe => {
                    let to = self.index(receiver).filter(|to| !self.silent.contains(to));
                    if let Some(to) = to.filter(|_| !self.silent.contains(&router)) {
                        let presence = self.fleets[to].build_presence(self.now);
                        self.fleets[router].apply_presence(self.now, receiver, &presence);
                    }
                }
            }
        }
    }

    fn index(&self, router: SocketAddr) -> Option<usize> {
        (0..self.fleets.len()).find(|index| address(*index) == router)
    }

    fn deliver(&mut self, sender: usize, receiver: SocketAddr, note: &Note) {
        let Some(receiver) = self.index(receiver) else { return };
        if !self.silent.contains(&sender) && !self.silent.contains(&receiver) {
            self.fleets[receiver].apply_note(self.now, address(sender), note);
        }
    }

    /// A router tells the accountant of a target what it has there.
    pub(crate) fn note(&mut self, router: usize, target: &str) {
        for (receiver, note) in self.fleets[router].notes_for(self.now, target) {
            self.deliver(router, receiver, &note);
        }
    }

    /// Finds a target for a request in view of the attempts so far.
    pub(crate) fn find(
        &mut self,
        router: usize,
        request: &Request,
        history: &History,
    ) -> Result<(Choice, Selection), Refusal> {
        let (now, mut selection) = (self.now, Selection::default());
        loop {
            let decision = self.fleets[router].decide(now, request, history, &mut selection)?;
            let query = match decision {
                Decision::Send(choice) => return Ok((choice, selection)),
                Decision::Ask(query) => query,
            };
            let to = self.index(query.accountant);
            let there = |router: &usize| !self.silent.contains(router);
            match to.filter(there).filter(|_| there(&router)) {
                Some(to) => {
                    let reply =
                        self.fleets[to].answer_question(now, address(router), &query.question);
                    let answer = self.fleets[router].apply_reply(now, &query, &reply);
                    selection.record_reply(&query.target, answer);
                }
                None => {
                    self.fleets[router].record_timeout(now, &query);
                    selection.record_miss(query.accountant);
                    self.note(router, &query.target);
                }
            }
        }
    }

    /// Sends a request that lasts for a time; returns where it went.
    pub(crate) fn send(
        &mut self,
        router: usize,
        request: &Request,
        lasts: Duration,
    ) -> Result<Choice, Refusal> {
        let now = self.now;
        let (choice, selection) = self.find(router, request, &fresh(request))?;
        let fleet = &mut self.fleets[router];
        let ticket = fleet.record_sent(now, &choice.target, 1);
        if let Some(prompt) = &request.prompt {
            fleet.cache_index().record_prefill(now, &choice.target, prompt, choice.position);
        }
        if !selection.is_granted(&choice.target) {
            self.note(router, &choice.target);
        }
        for target in selection.granted_elsewhere(&choice.target) {
            self.note(router, target);
        }
        let target = choice.target.clone();
        *self.loads.entry(target.clone()).or_default() += 1;
        self.sent.push(target.clone());
        self.running.push(Running { router, target, ticket, ends: now + lasts });
        Ok(choice)
    }

    /// Mean of the targets' loads.
    pub(crate) fn mean(&self, targets: usize) -> f64 {
        f64::from(self.loads.values().sum::<u32>()) / targets as f64
    }
}

pub(crate) fn name(number: u8) -> String {
    format!("t-{number}")
}

/// Names of different targets in a list.
pub(crate) fn distinct(names: &[String]) -> BTreeSet<&str> {
    names.iter().map(String::as_str).collect()
}

/// The entry of a target that is about to stop.
pub(crate) fn leaving(row: Row) -> Row {
    Row { state: State::Leaving, ..row }
}
