//! Rollout of a new version of a service.
//!
//! An [`order`] moves the traffic of a service to the targets of another version. Until the verdict,
//! a small share of the requests goes to them ([`exposure`]), the routers count how both versions
//! answer ([`evidence`]), and the first router by hash compares them ([`verdict`]) and writes the
//! result to the platform's store on the condition that nobody else has. [`Rollouts`] combines
//! these parts for all services. A service without an order is not affected in any way.
//!
//! `docs/design/rollout.md` states who decides, and what happens when something fails halfway.

pub mod evidence;
pub mod exposure;
mod messages;
pub mod order;
pub mod routing;
mod status;
pub mod step;
mod trial;
pub mod verdict;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use self::evidence::{Answer, Evidence, Key};
pub use self::order::{Order, State, Status};
pub use self::routing::Side;
pub use self::step::{Change, Figures, Message, Routers, Step, Summary, Written};
use self::trial::Trial;
use self::verdict::Verdict;
use crate::report;
use crate::revision::Revision;

/// Bounds of the deployment on the exposure of a version on trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Requirements {
    /// Largest part of the requests of a service that may reach a version on trial.
    pub expose_share: f64,
    /// Requests allowed on top of that part.
    pub expose_slack: u32,
    /// Time after the 50th bad answer of a version within which it must receive its last request.
    pub rollback: Duration,
}

impl Default for Requirements {
    fn default() -> Self {
        Self { expose_share: 0.1, expose_slack: 50, rollback: Duration::from_secs(5) }
    }
}

/// Interval of [`Rollouts::tick`].
pub const TICK: Duration = Duration::from_millis(100);

/// Time without a tick after which the process counts as suspended: what it knows about rollouts
/// may be out of date.
pub const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// Time after which the number of routers that a new process knows counts as complete.
const MEMBERS_DELAY: Duration = Duration::from_secs(3);

/// Rollouts of all services.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    requirements: Requirements,
    trials: BTreeMap<String, Trial>,
    /// Revision at which the order of a service was last removed.
    removed: BTreeMap<String, u64>,
    /// Until when the store's orders may be those of an older copy that it was restored from.
    restored_until: Option<Instant>,
    /// Orders that were read in that time although newer ones are known, with their revisions.
    postponed: BTreeMap<String, (Order, u64)>,
    /// When [`Self::tick`] was first and last called.
    ticked: Option<(Instant, Instant)>,
    /// Largest number of routers so far, once it counts as complete.
    members: usize,
    changes: Vec<(String, Change)>,
}

impl Rollouts {
    /// Sets the bounds of the deployment.
    pub const fn set_requirements(&mut self, requirements: Requirements) {
        self.requirements = requirements;
    }

    /// Whether no service has an order.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.trials.is_empty()
    }

    /// Services with orders.
    #[must_use]
    pub fn services(&self) -> Vec<String> {
        self.trials.keys().cloned().collect()
    }

    /// Whether a service has an order.
    #[must_use]
    pub fn has_order(&self, service: &str) -> bool {
        self.trials.contains_key(service)
    }

    /// State of the rollout of a service; none without an order.
    #[must_use]
    pub fn state(&self, service: &str) -> Option<State> {
        self.trials.get(service).map(|trial| trial.state)
    }

    /// Applies the order of a service; `versions` are the versions of its targets now.
    ///
    /// An order of the same content as the one in force is the same order. Another order of an older
    /// copy that the store was restored from counts only if the operators do not write the one in
    /// force, or its removal, again.
    pub fn apply_order(
        &mut self,
        now: Instant,
        service: &str,
        order: Order,
        revision: u64,
        versions: &BTreeSet<String>,
    ) {
        if self.removed.get(service).is_some_and(|removed| *removed >= revision) {
            return;
        }
        self.postponed.remove(service);
        if self.is_of_older_copy(now, service, &order, revision) {
            self.postponed.insert(service.to_owned(), (order, revision));
            return;
        }
        let mut barred = BTreeSet::new();
        if let Some(trial) = self.trials.get_mut(service) {
            if trial.last_revision >= revision || trial.order == order {
                trial.last_revision = trial.last_revision.max(revision);
                trial.missing_until = None;
                return;
            }
            barred = trial.barred_after(versions);
            barred.remove(&order.to);
        }
        self.changes.push((service.to_owned(), Change::Ordered(order.clone())));
        let trial = Trial::new(now, service, order, revision, barred);
        self.trials.insert(service.to_owned(), trial);
    }

    /// Applies the removal of the order of a service.
    pub fn remove_order(&mut self, service: &str, revision: u64) {
        self.postponed.remove(service);
        let known = self.trials.get(service).map(|trial| trial.last_revision);
        if known.is_some_and(|known| known > revision) {
            return;
        }
        let removed = self.removed.entry(service.to_owned()).or_default();
        *removed = revision.max(*removed);
        if self.trials.remove(service).is_some() {
            self.changes.push((service.to_owned(), Change::Removed));
        }
    }

    /// Applies a complete list of the services with orders at a revision.
    ///
    /// The orders of other services are removed. After a restore of the store from an older copy
    /// the operators write their orders again, so that they are removed only when the time for that
    /// has passed.
    pub fn apply_complete_list(&mut self, now: Instant, listed: &BTreeSet<String>, revision: u64) {
        let grace = self.restored_until.filter(|until| now < *until);
        let missing: Vec<String> =
            self.trials.keys().filter(|service| !listed.contains(*service)).cloned().collect();
        for service in missing {
            let Some(trial) = self.trials.get_mut(&service) else { continue };
            match grace {
                Some(until) => {
                    trial.missing_until.get_or_insert(until);
                }
                None => self.remove_order(&service, revision),
            }
        }
    }

    /// Records that the store was restored from an older copy, which may lack the status rows.
    ///
    /// Within `grace` the operators write their orders again.
    pub fn record_restore(&mut self, now: Instant, grace: Duration) {
        self.restored_until = Some(now + grace);
        self.trials.values_mut().for_each(Trial::forget_row);
    }

    /// Records the answer of a target; does nothing without an order.
    pub fn record_answer(
        &mut self,
        now: Instant,
        service: &str,
        key: Key,
        target: &str,
        answer: Answer,
    ) {
        if let Some(trial) = self.trials.get_mut(service) {
            trial.counter.record(now, key, target, answer);
        }
    }

    /// Applies the counts of another router; returns a reply if that router should know the state.
    pub fn apply_evidence(
        &mut self,
        now: Instant,
        router: SocketAddr,
        evidence: &Evidence,
    ) -> Option<Verdict> {
        let Evidence { service, order, content, .. } = *evidence;
        // A process that has just resumed may receive a message before its first tick.
        let running = self.is_running(now);
        let (name, trial) = self.trial_of((service, order, content))?;
        let change = trial.apply_evidence(now, router, evidence);
        let reply = (evidence.asks && trial.confirmed && running) || trial.state > evidence.state;
        let reply = reply.then(|| trial.verdict(now));
        self.changes.extend(change.map(|change| (name, change)));
        reply
    }

    /// Applies the state that another router has sent; returns a reply if that router should know
    /// the state of this one.
    pub fn apply_verdict(
        &mut self,
        now: Instant,
        router: SocketAddr,
        verdict: &Verdict,
    ) -> Option<Verdict> {
        let Verdict { service, order, content, .. } = *verdict;
        let (name, trial) = self.trial_of((service, order, content))?;
        let change = trial.apply_verdict(now, router, verdict);
        let reply = (trial.state > verdict.state).then(|| trial.verdict(now));
        self.changes.extend(change.map(|change| (name, change)));
        reply
    }

    /// Applies the status row of a service, with its revision; none if there is no row.
    pub fn apply_status(
        &mut self,
        now: Instant,
        service: &str,
        row: Option<(Status, u64)>,
        wall_ms: u64,
    ) {
        let removed = self.removed.get(service).copied().unwrap_or_default();
        let Some(trial) = self.trials.get_mut(service) else { return };
        let change = trial.apply_status(now, row, removed, wall_ms);
        self.changes.extend(change.map(|change| (service.to_owned(), change)));
    }

    /// Records that the status row of a service could not be read.
    pub fn record_unread(&mut self, now: Instant, service: &str) {
        if let Some(trial) = self.trials.get_mut(service) {
            trial.record_unread(now);
        }
    }

    /// Records the result of writing the status row of a service.
    pub fn record_write(&mut self, now: Instant, service: &str, status: &Status, written: Written) {
        let Some(trial) = self.trials.get_mut(service) else { return };
        let change = trial.record_write(now, status, written);
        self.changes.extend(change.map(|change| (service.to_owned(), change)));
    }

    /// Steps that are due; called every [`TICK`].
    pub fn tick(&mut self, now: Instant, routers: &Routers<'_>) -> Vec<Step> {
        let (first, last) = self.ticked.unwrap_or((now, now));
        self.ticked = Some((first, now));
        if now.saturating_duration_since(last) > MAX_TICK_GAP {
            for (service, trial) in &mut self.trials {
                if trial.suspend(now) {
                    self.changes.push((service.clone(), Change::Suspended));
                }
            }
        }
        if routers.members > 1 || now.saturating_duration_since(first) >= MEMBERS_DELAY {
            self.members = self.members.max(routers.members);
        }
        let expired = self.trials.iter().filter(|(_, trial)| trial.is_missing(now));
        let expired: Vec<(String, u64)> =
            expired.map(|(service, trial)| (service.clone(), trial.last_revision)).collect();
        for (service, revision) in expired {
            self.remove_order(&service, revision);
        }
        if self.restored_until.is_some_and(|until| now >= until) {
            self.restored_until = None;
            for (service, (order, revision)) in std::mem::take(&mut self.postponed) {
                self.apply_order(now, &service, order, revision, &BTreeSet::new());
            }
        }
        let mut steps = Vec::new();
        for (service, trial) in &mut self.trials {
            trial.record_members(self.members, routers.incarnation);
            let changes = trial.tick(now, routers, &self.requirements, &mut steps);
            self.changes.extend(changes.into_iter().map(|change| (service.clone(), change)));
        }
        steps
    }

    /// Takes the changes since the last call, each with its service.
    pub fn take_changes(&mut self) -> Vec<(String, Change)> {
        std::mem::take(&mut self.changes)
    }

    /// Rollouts for a router that starts, by service.
    #[must_use]
    pub fn summaries(&self, now: Instant) -> BTreeMap<String, Summary> {
        let summaries = self.trials.iter();
        summaries.map(|(service, trial)| (service.clone(), trial.summary(now))).collect()
    }

    /// Applies the rollouts that another router knows.
    pub fn apply_summaries(
        &mut self,
        now: Instant,
        summaries: BTreeMap<String, Summary>,
        versions: impl Fn(&str) -> BTreeSet<String>,
    ) {
        for (service, summary) in summaries {
            let Summary { order, revision, age_ms, state, barred } = summary;
            let content = order.content();
            self.apply_order(now, &service, order, revision, &versions(&service));
            let id = (report::short_hash(&service), revision, content);
            let Some((name, trial)) = self.trial_of(id) else { continue };
            trial.barred.extend(barred);
            trial.record_age(now, age_ms);
            let change = trial.adopt(state);
            self.changes.extend(change.map(|change| (name, change)));
        }
    }

    /// Numbers of all rollouts.
    #[must_use]
    pub fn figures(&self) -> Vec<Figures> {
        let figures = self.trials.iter();
        figures.map(|(service, trial)| trial.figures(service)).collect()
    }

    /// Rollout that a message is about: service, revision and content of the order.
    ///
    /// The sender and this router may have read the same order at different revisions, if it was
    /// written twice. Both then use the first one.
    fn trial_of(
        &mut self,
        (hash, order, content): (u32, u64, u32),
    ) -> Option<(String, &mut Trial)> {
        let removed = &self.removed;
        let (service, trial) = self.trials.iter_mut().find(|(_, trial)| trial.hash == hash)?;
        let is_removed = removed.get(service).is_some_and(|removed| *removed >= order);
        if is_removed || trial.order.content() != content {
            return None;
        }
        trial.revision = trial.revision.min(order);
        Some((service.clone(), trial))
    }

    /// Whether an order is one of an older copy that the store was restored from: its row is older
    /// than the order in force, or than the removal of the last one, apart from the era.
    fn is_of_older_copy(&self, now: Instant, service: &str, order: &Order, revision: u64) -> bool {
        if self.restored_until.is_none_or(|until| now >= until) {
            return false;
        }
        let known = self.trials.get(service);
        if known.is_some_and(|trial| trial.order == *order) {
            return false;
        }
        let known = known.map(|trial| trial.last_revision);
        let known = known.or_else(|| self.removed.get(service).copied());
        let (known, row) = (known.map(Revision::unpack), Revision::unpack(revision));
        known.is_some_and(|known| known.era < row.era && row.number <= known.number)
    }

    /// Whether the process has run without interruption.
    fn is_running(&self, now: Instant) -> bool {
        self.ticked.is_some_and(|(_, last)| now.saturating_duration_since(last) <= MAX_TICK_GAP)
    }
}
