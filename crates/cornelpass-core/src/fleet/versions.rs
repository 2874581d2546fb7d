//! Versions of the targets in rollouts ([`crate::rollout`]).
//!
//! Only services with an order are affected. A target whose version is not known gets nothing
//! there, unless no version is: it may be one of the version on trial.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::choice::{DEFAULT_RETRY_DELAY, Refusal};
use super::{Fleet, Record, Row};
use crate::digest;
use crate::history::History;
use crate::refusal::Reason;
use crate::request::Request;
use crate::rollout::evidence::{self, Answer, Key};
use crate::rollout::routing::Candidate;
use crate::rollout::{Order, Rollouts, Routers, Side, State, Step, Summary};

/// Targets that may get a request, and the version among them that should get it.
type Restricted<'a> = (Vec<(&'a str, &'a Record)>, Option<&'a str>);

/// Factor by which the time to the first answer of a cold target is divided.
///
/// A target that has just started may be somewhat slower although its version is good. Bad versions
/// are several times slower.
const COLD_ALLOWANCE: f64 = 1.5;

impl Fleet {
    /// Rollouts of the services.
    pub const fn rollouts(&mut self) -> &mut Rollouts {
        &mut self.rollouts
    }

    /// Applies the order to move a service to a version.
    pub fn apply_order(&mut self, now: Instant, service: &str, order: Order, revision: u64) {
        let versions = self.versions_of(service);
        self.rollouts.apply_order(now, service, order, revision, &versions);
    }

    /// Applies the rollouts that another router knows.
    pub fn apply_rollouts(&mut self, now: Instant, summaries: BTreeMap<String, Summary>) {
        let versions: BTreeMap<String, BTreeSet<String>> =
            summaries.keys().map(|service| (service.clone(), self.versions_of(service))).collect();
        self.rollouts.apply_summaries(now, summaries, |service| {
            versions.get(service).cloned().unwrap_or_default()
        });
    }

    /// Steps of the rollouts that are due.
    pub fn rollout_steps(&mut self, now: Instant, wall_ms: u64) -> Vec<Step> {
        if self.rollouts.is_empty() {
            return self.rollouts.tick(now, &Routers::alone(self.last_stamp.incarnation));
        }
        for service in self.rollouts.services() {
            let Some(to) = self.rollouts.new_version(&service).map(str::to_owned) else { continue };
            let known = self.targets_of(&service).filter(|(_, record)| {
                record.missing_since.is_none() && !record.row.version.is_empty()
            });
            let (new, old): (Vec<bool>, Vec<bool>) =
                known.map(|(_, record)| record.row.version == to).partition(|is_new| *is_new);
            self.rollouts.record_targets(now, &service, old.len(), new.len());
        }
        let Some(own) = self.peers.own_address() else { return Vec::new() };
        let live: Vec<SocketAddr> =
            self.peers.live_reports_with_age(now).map(|(address, ..)| address).collect();
        let all: Vec<SocketAddr> = self.peers.addresses().collect();
        let members = self.peers.member_count(now);
        let incarnation = self.last_stamp.incarnation;
        let routers = Routers { own, live: &live, all: &all, members, incarnation, wall_ms };
        self.rollouts.tick(now, &routers)
    }

    /// Version and stratum under which the answer of a target to a request counts.
    ///
    /// None without an order for the service, or if the answer shows nothing about the version: a
    /// further attempt is at a request that has failed elsewhere, so it fails more often.
    #[must_use]
    pub fn evidence_key(
        &self,
        now: Instant,
        request: &Request,
        target: &str,
        first_attempt: bool,
    ) -> Option<Key> {
        let to = self.rollouts.new_version(&request.service)?;
        let record = self.records.get(target).filter(|_| first_attempt)?;
        if record.row.version.is_empty() {
            return None;
        }
        let cached = request
            .prompt
            .as_ref()
            .map(|prompt| self.holders(now, prompt).targets.contains(&record.short_hash));
        let stratum = evidence::stratum(&request.route, cached);
        Some(Key { new: record.row.version == to, stratum })
    }

    /// Records the answer of a target to a request of a service with an order.
    pub fn record_evidence(
        &mut self,
        now: Instant,
        service: &str,
        key: Key,
        target: &str,
        answer: Answer,
    ) {
        let cold = self.records.get(target).and_then(|record| record.cold_until);
        let is_cold = cold.is_some_and(|until| now < until);
        let adjust = |time: Duration| if is_cold { time.div_f64(COLD_ALLOWANCE) } else { time };
        let answer = match answer {
            Answer::Good(time) => Answer::Good(adjust(time)),
            Answer::Failed(time) => Answer::Failed(adjust(time)),
            Answer::Lost | Answer::Overdue => answer,
        };
        self.rollouts.record_answer(now, service, key, target, answer);
    }

    /// Versions of the known targets of a service.
    fn versions_of(&self, service: &str) -> BTreeSet<String> {
        let versions = self.targets_of(service).map(|(_, record)| record.row.version.clone());
        versions.filter(|version| !version.is_empty()).collect()
    }

    /// Fills in the version of a target that is known only from another router's report.
    ///
    /// Reports state no versions, so the platform's row of the same revision adds it.
    pub(super) fn record_version(&mut self, name: &str, row: &Row, revision: u64) {
        let Some(record) = self.records.get_mut(name) else { return };
        if record.revision == revision && record.row.version.is_empty() {
            record.row.version.clone_from(&row.version);
        }
    }

    /// Adds the known version to a row without one, unless the target may have restarted.
    pub(super) fn with_version(&self, name: &str, row: Row) -> Row {
        let known = self.records.get(name).map(|record| &record.row);
        let known = known.filter(|known| {
            row.version.is_empty()
                && known.started_ms == row.started_ms
                && known.address == row.address
        });
        match known {
            Some(known) => Row { version: known.version.clone(), ..row },
            None => row,
        }
    }

    /// Whether the version of a listed target of a service with an order is not known.
    pub(super) fn lacks_versions(&self) -> bool {
        !self.rollouts.is_empty()
            && self.records.values().any(|record| {
                record.missing_since.is_none()
                    && record.row.version.is_empty()
                    && self.rollouts.has_order(&record.row.service)
            })
    }

    /// Whether a target gets no ordinary requests because of a rollout.
    ///
    /// It is then in no hash order of prompts, so that no request looks for cached parts there.
    pub(super) fn is_off_rollout(&self, record: &Record) -> bool {
        let service = record.row.service.as_str();
        let Some(to) = self.rollouts.new_version(service) else { return false };
        if self.rollouts.is_unopposed(service) || record.row.version.is_empty() {
            return false;
        }
        match self.rollouts.state(service) {
            Some(State::Succeeded) => record.row.version != to,
            _ => record.row.version == to,
        }
    }

    /// Targets that may get a request by the rollout of its service, if there is one.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the rollout leaves no target.
    pub(super) fn restrict_versions<'a>(
        &'a self,
        now: Instant,
        request: &Request,
        history: &History,
        available: Vec<(&'a str, &'a Record)>,
    ) -> Result<Restricted<'a>, Refusal> {
        let service = request.service.as_str();
        let Some(to) = self.rollouts.new_version(service) else { return Ok((available, None)) };
        let mut available = available;
        if available.iter().any(|(_, record)| !record.row.version.is_empty()) {
            available.retain(|(_, record)| !record.row.version.is_empty());
        }
        available.retain(|(_, record)| !self.rollouts.is_barred(service, &record.row.version));
        if self.rollouts.is_unopposed(service) {
            return Ok((available, None));
        }
        let (mut new, mut old): (Vec<_>, Vec<_>) =
            available.into_iter().partition(|(_, record)| record.row.version == to);
        let candidate = Candidate {
            service,
            id: &request.id,
            first_attempt: history.attempts() == 0,
            old_targets: old.len(),
        };
        let (restricted, preferred) = match self.rollouts.side(now, &candidate) {
            // If the new targets are gone, refusing everything helps nobody.
            Some(Side::New) if new.is_empty() => (old, None),
            Some(Side::New) => (new, None),
            Some(Side::Trial(count)) => {
                new.sort_by_cached_key(|(name, _)| digest::pair(digest::key(to), name));
                old.extend(new.into_iter().take(count));
                (old, Some(to))
            }
            Some(Side::Old) | None => (old, None),
        };
        if restricted.is_empty() {
            return Err(Refusal { reason: Reason::NoTarget, retry_after: DEFAULT_RETRY_DELAY });
        }
        Ok((restricted, preferred))
    }

    /// Records that a request is about to be sent to a target; returns whether the rollout of its
    /// service allows it.
    pub(super) fn withdraw_exposure(
        &mut self,
        now: Instant,
        name: &str,
        history: &History,
    ) -> bool {
        let Some(row) = self.records.get(name).map(|record| &record.row) else { return true };
        self.rollouts.withdraw(now, &row.service, &row.version, history.attempts() == 0)
    }
}
