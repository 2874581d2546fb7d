//! Rollout of one service, as one router knows it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::evidence::{Counter, Evidence, Tally};
use super::exposure::Budget;
use super::order::{Order, State};
use super::status::Row;
use super::verdict::{Comparison, Finding, Verdict, decision_time};
use super::{Change, Figures, Requirements, Routers, Step, Summary};
use crate::accounting::message::Stamp;
use crate::{clock, digest, report};

/// Number of routers that count for a service; one decides, and the next ones can take over.
const COUNTING_ROUTERS: usize = 3;

/// Time without a heartbeat of the routers before it after which a counting router decides, for
/// each of these routers.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_000);

/// Time without an answer of another router after which a router reads the status row itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time without an answer of another router or the store after which a router goes on by itself.
const ALONE_TIMEOUT: Duration = Duration::from_secs(3);

/// Part of the time between decision and deadline for which a router waits for more evidence if
/// there is not enough.
const PATIENCE_PART: f64 = 0.3;

/// Rollout of one service.
#[derive(Clone, Debug)]
pub(super) struct Trial {
    pub(super) order: Order,
    /// Service.
    pub(super) service: String,
    /// Short hash of the service.
    pub(super) hash: u32,
    /// Revision at which the order was first written.
    pub(super) revision: u64,
    /// Revision at which the order was last written.
    pub(super) last_revision: u64,
    /// When the order was written, as far as it is known.
    started: Instant,
    /// When this router learnt of the order.
    known: Instant,
    pub(super) state: State,
    /// Whether this router knows that no verdict exists that it has missed.
    pub(super) confirmed: bool,
    /// Since when the router has tried to confirm the state.
    unconfirmed_since: Instant,
    pub(super) budget: Budget,
    /// Since when this router knows targets of the new version.
    pub(super) new_since: Option<Instant>,
    pub(super) counter: Counter,
    tally: Tally,
    comparison: Comparison,
    /// What this router has decided; it may not be written yet.
    decided: Option<Finding>,
    /// Status row in the platform's store.
    pub(super) row: Row,
    /// Routers from which the counting ones were last chosen, and those.
    counting: (Vec<SocketAddr>, Vec<SocketAddr>),
    /// When other routers last sent the state.
    heard: BTreeMap<SocketAddr, Instant>,
    /// Number of the last message.
    pub(super) number: u32,
    pub(super) sent_at: Option<Instant>,
    pub(super) heartbeat_at: Option<Instant>,
    /// When the state that has to be announced changed, and the number of announcements so far.
    pub(super) announced: Option<(Instant, usize)>,
    /// Versions that get nothing because an earlier order did not end with them.
    pub(super) barred: BTreeSet<String>,
    /// Whether the service has had targets of another version since the order.
    pub(super) had_old: bool,
    /// Whether the service has only had targets of the new version.
    pub(super) unopposed: bool,
    /// When the order is removed, if the store's list lacks it.
    pub(super) missing_until: Option<Instant>,
}

impl Trial {
    pub(super) fn new(
        now: Instant,
        service: &str,
        order: Order,
        revision: u64,
        barred: BTreeSet<String>,
    ) -> Self {
        Self {
            order,
            service: service.to_owned(),
            hash: report::short_hash(service),
            revision,
            last_revision: revision,
            started: now,
            known: now,
            state: State::Running,
            confirmed: false,
            unconfirmed_since: now,
            budget: Budget::default(),
            new_since: None,
            counter: Counter::default(),
            tally: Tally::default(),
            comparison: Comparison::default(),
            decided: None,
            row: Row::default(),
            counting: (Vec::new(), Vec::new()),
            heard: BTreeMap::new(),
            number: 0,
            sent_at: None,
            heartbeat_at: None,
            announced: None,
            barred,
            had_old: false,
            unopposed: false,
            missing_until: None,
        }
    }

    /// Time since the order.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Time since this router learnt of the order.
    pub(super) fn known_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.known)
    }

    /// Whether the order has been missing from the store for long enough to count as removed.
    pub(super) fn is_missing(&self, now: Instant) -> bool {
        self.missing_until.is_some_and(|until| now >= until)
    }

    /// Versions that get nothing once another order replaces this one.
    pub(super) fn barred_after(&self, versions: &BTreeSet<String>) -> BTreeSet<String> {
        let mut barred = self.barred.clone();
        if self.state == State::Succeeded {
            barred.extend(versions.iter().filter(|version| **version != self.order.to).cloned());
        } else if !self.unopposed {
            barred.insert(self.order.to.clone());
        }
        barred
    }

    pub(super) fn record_members(&mut self, members: usize, incarnation: u32) {
        if self.budget.counts() == (0, 0) {
            let key = digest::pair(u64::from(incarnation), &self.revision.to_string());
            self.budget = Budget::new((key >> 32) as u32);
        }
        self.budget.record_members(members);
    }

    /// Takes over the age of the order as another router knows it.
    pub(super) fn record_age(&mut self, now: Instant, age_ms: u32) {
        let age = Duration::from_millis(u64::from(age_ms));
        if let Some(started) = now.checked_sub(age.min(clock::MAX_TIMER)) {
            self.started = self.started.min(started);
        }
    }

    /// Takes over a state that is ahead of the known one.
    pub(super) fn adopt(&mut self, state: State) -> Option<Change> {
        let ahead = state > self.state && !self.state.is_final();
        ahead.then(|| {
            self.state = state;
            Change::State(state)
        })
    }

    /// Marks the state as out of date, unless it is final; returns whether it was not.
    pub(super) fn suspend(&mut self, now: Instant) -> bool {
        let suspended = !self.state.is_final();
        if suspended {
            (self.confirmed, self.unconfirmed_since) = (false, now);
            self.row.forget();
        }
        suspended
    }

    pub(super) fn verdict(&self, now: Instant) -> Verdict {
        Verdict {
            service: self.hash,
            order: self.revision,
            content: self.order.content(),
            age_ms: u32::try_from(self.age(now).as_millis()).unwrap_or(u32::MAX),
            state: self.state,
        }
    }

    pub(super) fn summary(&self, now: Instant) -> Summary {
        Summary {
            order: self.order.clone(),
            revision: self.revision,
            age_ms: u32::try_from(self.age(now).as_millis()).unwrap_or(u32::MAX),
            state: self.state,
            barred: self.barred.clone(),
        }
    }

    pub(super) fn figures(&self, service: &str) -> Figures {
        let (requests, exposed) = self.budget.counts();
        let suspicion = self.comparison.suspicion(self.order.duration);
        Figures { service: service.to_owned(), state: self.state, requests, exposed, suspicion }
    }

    pub(super) fn apply_evidence(
        &mut self,
        now: Instant,
        router: SocketAddr,
        evidence: &Evidence,
    ) -> Option<Change> {
        self.record_age(now, evidence.age_ms);
        let known_for = self.known_for(now);
        self.tally.apply(known_for, router, evidence.stamp, &evidence.lines);
        self.adopt(evidence.state)
    }

    pub(super) fn apply_verdict(
        &mut self,
        now: Instant,
        router: SocketAddr,
        verdict: &Verdict,
    ) -> Option<Change> {
        self.record_age(now, verdict.age_ms);
        self.heard.insert(router, now);
        self.confirmed = true;
        if verdict.state.is_final() && self.state.is_final() && verdict.state != self.state {
            // The row in the store is the truth.
            self.row.forget();
        }
        self.adopt(verdict.state)
    }

    /// Adds the due steps; returns the changes.
    pub(super) fn tick(
        &mut self,
        now: Instant,
        routers: &Routers<'_>,
        requirements: &Requirements,
        steps: &mut Vec<Step>,
    ) -> Vec<Change> {
        let counting = self.counting_routers(routers);
        let acts = self.acts(now, routers.own, &counting);
        let mut changes = Vec::new();
        self.count_own(now, routers);
        if !self.state.is_final() {
            self.confirm_alone(now);
            self.comparison.advance(&self.tally, self.known_for(now), self.order.duration);
            if self.state == State::Running && self.comparison.is_bad() {
                changes.extend(self.stop(now));
            }
            if acts {
                changes.extend(self.decide(now, requirements));
            }
        }
        self.add_store_step(now, acts, routers.wall_ms, steps);
        self.add_messages(now, acts, routers, &counting, steps);
        changes
    }

    /// Goes on by itself if neither another router nor the store answers.
    fn confirm_alone(&mut self, now: Instant) {
        let waited = now.saturating_duration_since(self.unconfirmed_since);
        self.confirmed |= waited >= ALONE_TIMEOUT;
    }

    /// Stops the new version until the verdict is written, and announces that.
    fn stop(&mut self, now: Instant) -> Option<Change> {
        self.announced = Some((now, 0));
        self.adopt(State::Stopped)
    }

    /// Decides on the version when it is time.
    fn decide(&mut self, now: Instant, requirements: &Requirements) -> Vec<Change> {
        let duration = self.order.duration;
        let (age, decision) = (self.age(now), decision_time(duration, requirements));
        let patience = duration.saturating_sub(decision).mul_f64(PATIENCE_PART);
        let stopped = self.state == State::Stopped;
        if !self.confirmed || (age < decision && !stopped) {
            return Vec::new();
        }
        if stopped && self.decided.is_some_and(|finding| finding != Finding::Good) {
            return Vec::new();
        }
        let known_age = self.known_for(now);
        let mut finding = self.comparison.finding(&self.tally, known_age.min(duration), duration);
        if stopped {
            finding = Finding::Bad;
        }
        if matches!(finding, Finding::TooFew | Finding::Doubtful) && age < decision + patience {
            return Vec::new();
        }
        if self.decided == Some(finding) {
            return Vec::new();
        }
        self.decided = Some(finding);
        let new = self.tally.total().iter().filter(|(key, _)| key.new);
        let (answers, failures) = new.fold((0, 0), |(answers, failures), (_, counts)| {
            (answers + counts.ended, failures + counts.failed)
        });
        let mut changes = vec![Change::Decided { finding, answers, failures }];
        if finding != Finding::Good {
            changes.extend(self.stop(now));
        }
        changes
    }

    /// State that the status row should have.
    pub(super) fn desired_state(&self) -> State {
        match (self.state, self.decided) {
            (State::Stopped, _) => State::RolledBack,
            (State::Running, Some(Finding::Good)) => State::Succeeded,
            (state, _) => state,
        }
    }

    /// Records that the verdict is in the store, and announces it.
    pub(super) fn finish(&mut self, now: Instant, state: State) -> Option<Change> {
        if self.state == state {
            return None;
        }
        self.state = state;
        self.announced = Some((now, 0));
        Some(Change::State(state))
    }

    /// Routers that count for the service, the deciding one first.
    fn counting_routers(&mut self, routers: &Routers<'_>) -> Vec<SocketAddr> {
        if self.counting.0 != routers.live || self.counting.1.is_empty() {
            let seed = u64::from(self.hash);
            let mut ranked: Vec<SocketAddr> =
                routers.live.iter().copied().chain([routers.own]).collect();
            ranked.sort_by_cached_key(|address| digest::pair(seed, &address.to_string()));
            ranked.truncate(COUNTING_ROUTERS);
            self.counting = (routers.live.to_vec(), ranked);
        }
        self.counting.1.clone()
    }

    /// Whether this router decides: it is the first counting router, or those before it are silent.
    fn acts(&self, now: Instant, own: SocketAddr, counting: &[SocketAddr]) -> bool {
        let Some(position) = counting.iter().position(|address| *address == own) else {
            return false;
        };
        let delay = TAKEOVER_DELAY.saturating_mul(u32::try_from(position).unwrap_or(u32::MAX));
        let silent = |address: &SocketAddr| {
            let heard = self.heard.get(address).copied().unwrap_or(self.known);
            now.saturating_duration_since(heard) >= delay
        };
        counting[..position].iter().all(silent)
    }

    /// Adds the counts of this router to those of all.
    fn count_own(&mut self, now: Instant, routers: &Routers<'_>) {
        let known_for = self.known_for(now);
        self.number += 1;
        let stamp = Stamp { incarnation: routers.incarnation, number: self.number };
        let lines: Vec<_> =
            self.counter.counts().iter().map(|(key, counts)| (*key, counts.clone())).collect();
        self.tally.apply(known_for, routers.own, stamp, &lines);
    }

    /// Adds a read or a write of the status row if one is due.
    fn add_store_step(&mut self, now: Instant, acts: bool, wall_ms: u64, steps: &mut Vec<Step>) {
        let waited = now.saturating_duration_since(self.unconfirmed_since);
        let must_read = !self.confirmed && waited >= ANSWER_TIMEOUT;
        let age_ms = u64::try_from(self.age(now).as_millis()).unwrap_or(u64::MAX);
        let ordered_ms = wall_ms.saturating_sub(age_ms);
        steps.extend(self.next_store_step(now, acts, must_read, ordered_ms));
    }
}
