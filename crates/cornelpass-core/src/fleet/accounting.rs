//! Count of the requests of all routers at each target.
//!
//! One router, the accountant of a target ([`crate::accounting`]), counts the requests of all
//! routers there, since each router sees only its own. This module implements both roles. As a
//! client, a router reports its usage (load and failure counts) to the accountants, asks them
//! before it sends a request, and keeps the loads that they report. As an accountant, a router sums
//! the reported usage and replies to questions. The inputs are the messages of
//! [`crate::accounting::message`] and this router's own requests in progress.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use super::{Fleet, Record};
use crate::accounting::accountant::{
    Accountant, COLLECTION_INTERVAL, FULL_COUNT_DELAY, PROBES_PER_COLLECTION, USAGE_REPORT_INTERVAL,
};
use crate::accounting::aggregator::TotalUsage;
use crate::accounting::message::{
    Demand, MAX_TARGET_LOADS, MAX_UNRESPONSIVE, Message, Note, Outgoing, Presence, Question, Reply,
    Stamp, TargetLoad, Usage, Verdict,
};
use crate::accounting::selection::{Answer, Query};
use crate::contention::Claim;
use crate::fleet::health::Count;

/// Placeholder for the address of a router that was not given its own.
const UNSET_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Gap between two collections of due messages after which this router treats its counts as
/// incomplete again: the process was suspended or ran far too late.
const MAX_COLLECTION_GAP: Duration = COLLECTION_INTERVAL.saturating_mul(3);

/// Targets for which this router is the accountant.
#[derive(Clone, Debug, Default)]
pub(super) struct Ownership {
    /// Names of the targets by service, with the start of the count for each target.
    targets: BTreeMap<String, BTreeMap<String, Instant>>,
    /// Time of the last change of the accountants, and generation of the target set, from which
    /// `targets` was computed.
    computed_for: Option<(Option<Instant>, u64)>,
}

fn saturate_u8(number: u32) -> u8 {
    u8::try_from(number).unwrap_or(u8::MAX)
}

fn saturate_u16(number: u32) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

impl Fleet {
    /// Adds a router that the platform, the settings or another router has listed.
    pub fn add_router(&mut self, now: Instant, address: SocketAddr) {
        self.peers.add(now, address);
        self.accountants.add(now, address);
    }

    /// Accountant of a target.
    pub(super) fn accountant(&self, now: Instant, record: &Record) -> Accountant {
        self.accountants.accountant_of(now, record.short_hash)
    }

    pub(super) fn next_stamp(&mut self) -> Stamp {
        self.last_stamp.number += 1;
        self.last_stamp
    }

    /// Usage of a target by this router, with the requests that accountants are being asked about.
    fn own_usage(&self, now: Instant, name: &str, record: &Record) -> Usage {
        let pending = self.pending_questions.get(&record.short_hash).copied().unwrap_or_default();
        let count = record.health.recent_count(now);
        Usage {
            target: record.short_hash,
            load: saturate_u16(self.loads.load(name, now) + pending),
            failed: saturate_u8(count.failed),
            ended: saturate_u8(count.ended),
        }
    }

    /// Counts one more request at a target as pending, and returns the question to its accountant.
    pub(super) fn start_query(
        &mut self,
        now: Instant,
        accountant: SocketAddr,
        name: &str,
        limit: u32,
        claim: Option<Claim>,
    ) -> Option<Query> {
        self.report_limit_once(now, name, accountant);
        let record = self.records.get(name)?;
        *self.pending_questions.entry(record.short_hash).or_default() += 1;
        let (usage, cold) = (self.own_usage(now, name, record), self.is_cold(record, now));
        let question =
            Question { stamp: self.next_stamp(), usage, limit: saturate_u16(limit), cold };
        let claim =
            claim.filter(|_| self.contention.compatibility().accepts_demands(now, accountant));
        let demand = claim.and_then(|claim| {
            let Claim { urgency, is_first, .. } = claim;
            Some(Demand { question, urgency, organisation: claim.organisation?, is_first })
        });
        Some(Query { accountant, target: name.to_owned(), question, demand })
    }

    fn remove_pending(&mut self, target: u32) {
        if let Some(pending) = self.pending_questions.get_mut(&target) {
            *pending -= 1;
            if *pending == 0 {
                self.pending_questions.remove(&target);
            }
        }
    }

    /// Applies an accountant's reply to a question; returns its verdict and the load of all
    /// routers.
    pub fn apply_reply(&mut self, now: Instant, query: &Query, reply: &Reply) -> Answer {
        self.remove_pending(query.question.usage.target);
        let (router, replies_to_demand) = (query.accountant, query.demand.is_some());
        let compatibility = self.contention.compatibility();
        compatibility.record_message(now, router, reply.incarnation, replies_to_demand);
        self.accountants.record_reply(now, query.accountant, reply.incarnation, reply.leaving);
        let own = u32::from(query.question.usage.load.saturating_sub(1));
        let mut answer = Answer::new(reply.verdict, reply.load.into(), query.question.limit.into());
        self.record_limit_verdict(now, query, reply.verdict);
        let Some(record) = self.records.get_mut(&query.target) else { return answer };
        record.remote_load.accountant = Some(query.accountant);
        if reply.complete {
            record.remote_load.record(now, answer.load.saturating_sub(own));
        } else {
            // The accountant may not know the usage of all routers yet, so its sum may be too low.
            answer.load = answer.load.max(own + record.remote_load.load());
        }
        let count = Count { failed: u32::from(reply.failed), ended: u32::from(reply.ended) };
        record.health.apply_remote_count(now, count);
        self.apply_target_loads(now, &reply.other_loads);
        answer
    }

    /// Applies sampled loads: an accountant reports them without a question about these targets.
    fn apply_target_loads(&mut self, now: Instant, target_loads: &[TargetLoad]) {
        for target_load in target_loads {
            let Some(name) = self.names_by_hash.get(&target_load.target) else { continue };
            let own = self.loads.load(name, now);
            if let Some(record) = self.records.get_mut(name) {
                record.remote_load.record(now, u32::from(target_load.load).saturating_sub(own));
                record.remote_load.sampled_at = Some(now);
            }
        }
    }

    /// Records a question that got no reply in time.
    ///
    /// Returns whether the router that was asked is excluded as an accountant from now on.
    pub fn record_timeout(&mut self, now: Instant, query: &Query) -> bool {
        self.remove_pending(query.question.usage.target);
        if query.demand.is_some() {
            self.contention.compatibility().record_miss(now, query.accountant);
        }
        self.accountants.record_unanswered(now, query.accountant)
    }

    /// Replies to another router's question.
    pub fn answer_question(
        &mut self,
        now: Instant,
        router: SocketAddr,
        question: &Question,
    ) -> Reply {
        let claim = self.unstated_claim(question.usage.target);
        let mut reply = self.answer(now, router, question, claim);
        reply.verdict = match reply.verdict {
            Verdict::Granted | Verdict::Minimum => Verdict::Granted,
            Verdict::Cold => Verdict::Cold,
            Verdict::Full | Verdict::Reserved | Verdict::OverShare => Verdict::Full,
        };
        reply
    }

    /// Replies to another router's question about a request whose urgency and organisation it
    /// states.
    pub fn answer_demand(&mut self, now: Instant, router: SocketAddr, demand: &Demand) -> Reply {
        let Demand { question, urgency, organisation, is_first } = *demand;
        let claim = Claim { urgency, organisation: Some(organisation), is_first };
        self.answer(now, router, &question, Some(claim))
    }

    fn answer(
        &mut self,
        now: Instant,
        router: SocketAddr,
        question: &Question,
        claim: Option<Claim>,
    ) -> Reply {
        let Question { stamp, usage, limit, cold } = *question;
        let TotalUsage { load, count } = self.sum_excluding(now, usage.target, router);
        let load = load + u32::from(usage.load.saturating_sub(1));
        let name = self.names_by_hash.get(&usage.target).cloned();
        if let Some(name) = &name {
            self.report_limit_once(now, name, router);
        }
        let verdict =
            self.decide_verdict(now, name.as_deref(), (load, u32::from(limit)), cold, claim);
        if let Some(name) = name.as_deref().filter(|_| verdict.is_granted()) {
            self.record_granted_router(now, name, router);
        }
        // A request that is not granted must not be counted: the usage in the question includes it.
        let unused = u16::from(!verdict.is_granted());
        let usage = Usage { load: usage.load.saturating_sub(unused), ..usage };
        self.aggregator.record(now, router, stamp, usage);
        let complete = name.as_deref().is_some_and(|name| self.has_full_count(now, name));
        Reply {
            number: stamp.number,
            incarnation: self.last_stamp.incarnation,
            target: usage.target,
            verdict,
            load: saturate_u16(load),
            failed: saturate_u8(count.failed),
            ended: saturate_u8(count.ended),
            complete,
            leaving: self.leaving,
            other_loads: self.other_target_loads(now, name.as_deref()),
        }
    }

    /// Verdict on one more request at a target for which this router is the accountant, and the
    /// load of all routers there.
    pub(super) fn count_locally(
        &mut self,
        now: Instant,
        name: &str,
        limit: u32,
        claim: Option<Claim>,
    ) -> Option<Answer> {
        let own = self.own_address();
        let record = self.records.get(name)?;
        let (short_hash, cold) = (record.short_hash, self.is_cold(record, now));
        let last_reported = record.remote_load.load();
        let TotalUsage { mut load, count } = self.aggregator.sum_excluding(now, short_hash, own);
        let complete = self.has_full_count(now, name);
        if let Some(record) = self.records.get_mut(name) {
            record.health.apply_remote_count(now, count);
            if complete {
                record.remote_load.record(now, load);
            } else {
                load = load.max(last_reported);
            }
        }
        let load = load + self.loads.load(name, now);
        let verdict = self.decide_verdict(now, Some(name), (load, limit), cold, claim);
        if verdict.is_granted() {
            self.record_granted_router(now, name, own);
        }
        Some(Answer::new(verdict, load, limit))
    }

    pub(super) fn own_address(&self) -> SocketAddr {
        self.peers.own_address().unwrap_or(UNSET_ADDRESS)
    }

    /// Usage of a target by all routers, this router included, except one other router.
    fn sum_excluding(&self, now: Instant, target: u32, router: SocketAddr) -> TotalUsage {
        let others = self.aggregator.sum_excluding(now, target, router);
        let Some(name) = self.names_by_hash.get(&target) else { return others };
        let Some(record) = self.records.get(name) else { return others };
        let usage = self.own_usage(now, name, record);
        let count = Count { failed: u32::from(usage.failed), ended: u32::from(usage.ended) };
        TotalUsage { load: others.load + u32::from(usage.load), count: others.count.plus(count) }
    }

    /// Records the usage that another router reports.
    pub fn apply_note(&mut self, now: Instant, router: SocketAddr, note: &Note) {
        for usage in &note.usages {
            self.aggregator.record(now, router, note.stamp, *usage);
        }
    }

    /// Reports to the accountants of a target after this router's usage of it has changed.
    pub fn notes_for(&mut self, now: Instant, target: &str) -> Vec<(SocketAddr, Note)> {
        let Some(record) = self.records.get(target) else { return Vec::new() };
        let usage = self.own_usage(now, target, record);
        let receivers: Vec<SocketAddr> = self.note_receivers(now, record).collect();
        let stamp = self.next_stamp();
        receivers
            .into_iter()
            .map(|address| (address, Note { stamp, usages: vec![usage] }))
            .collect()
    }

    /// Other routers that count for a target: its accountant, and the router that last replied to a
    /// question about the target if that is a different router.
    fn note_receivers(
        &self,
        now: Instant,
        record: &Record,
    ) -> impl Iterator<Item = SocketAddr> + use<> {
        let accountant = match self.accountant(now, record) {
            Accountant::Own => None,
            Accountant::Other(address) => Some(address),
        };
        let last_asked = record.remote_load.accountant.filter(|other| accountant != Some(*other));
        accountant.into_iter().chain(last_asked)
    }

    /// This router's reply to a probe.
    #[must_use]
    pub fn build_presence(&self, now: Instant) -> Presence {
        let services = self.ownership.targets.keys();
        let target_loads =
            services.flat_map(|service| self.target_loads(now, service).take(MAX_TARGET_LOADS));
        let mut unresponsive = self.accountants.recent_outages(now);
        unresponsive.truncate(MAX_UNRESPONSIVE);
        let (incarnation, leaving) = (self.last_stamp.incarnation, self.leaving);
        Presence { incarnation, leaving, target_loads: target_loads.collect(), unresponsive }
    }

    /// Applies another router's reply to a probe.
    ///
    /// Returns whether that router was excluded as an accountant until now.
    pub fn apply_presence(
        &mut self,
        now: Instant,
        router: SocketAddr,
        presence: &Presence,
    ) -> bool {
        self.apply_target_loads(now, &presence.target_loads);
        let compatibility = self.contention.compatibility();
        compatibility.record_message(now, router, presence.incarnation, false);
        for other in &presence.unresponsive {
            self.accountants.record_reported_miss(now, *other);
        }
        self.accountants.record_reply(now, router, presence.incarnation, presence.leaving)
    }

    /// Collects the due messages: periodic reports of this router's usage, probes of
    /// excluded routers, and probes of some responsive routers for the loads that enter the mean.
    pub fn due_messages(&mut self, now: Instant) -> Vec<Outgoing> {
        let suspended = self
            .last_collection
            .is_some_and(|at| now.saturating_duration_since(at) > MAX_COLLECTION_GAP);
        if suspended {
            // The other routers may have used another accountant in the meantime.
            self.ownership = Ownership::default();
        }
        self.last_collection = Some(now);
        self.update_ownership(now);
        let mut usages_by_receiver: BTreeMap<SocketAddr, Vec<Usage>> = BTreeMap::new();
        let due = self
            .last_usage_report
            .is_none_or(|at| now.saturating_duration_since(at) >= USAGE_REPORT_INTERVAL);
        if due {
            self.last_usage_report = Some(now);
            self.aggregator.expire(now);
            for (name, record) in &self.records {
                let usage = self.own_usage(now, name, record);
                if usage.load == 0 && usage.failed == 0 {
                    continue;
                }
                for address in self.note_receivers(now, record) {
                    usages_by_receiver.entry(address).or_default().push(usage);
                }
            }
        }
        self.repeat_limit_reports(now);
        let stamp = self.next_stamp();
        let notes = usages_by_receiver
            .into_iter()
            .map(|(address, usages)| (address, Message::Note(Note { stamp, usages })));
        let probes = self.accountants.select_probes(now, PROBES_PER_COLLECTION).into_iter();
        notes.chain(probes.map(|address| (address, Message::Probe))).collect()
    }

    /// Recomputes the targets that this router counts, if the accountants or the targets changed.
    fn update_ownership(&mut self, now: Instant) {
        let computed_for = Some((self.accountants.last_change(), self.generation));
        if self.ownership.computed_for == computed_for {
            return;
        }
        let mut targets: BTreeMap<String, BTreeMap<String, Instant>> = BTreeMap::new();
        for (name, record) in &self.records {
            if self.accountant(now, record) == Accountant::Own {
                let since = self.owned_since(&record.row.service, name).unwrap_or(now);
                targets.entry(record.row.service.clone()).or_default().insert(name.clone(), since);
            }
        }
        self.ownership = Ownership { targets, computed_for };
    }

    /// Since when this router has counted a target; none if it does not.
    pub(super) fn owned_since(&self, service: &str, name: &str) -> Option<Instant> {
        self.ownership.targets.get(service)?.get(name).copied()
    }

    /// Whether this router has counted a target for long enough to know the usage by all
    /// routers.
    pub(super) fn has_full_count(&self, now: Instant, name: &str) -> bool {
        let record = self.records.get(name);
        let since = record.and_then(|record| self.owned_since(&record.row.service, name));
        since.is_some_and(|since| now.saturating_duration_since(since) >= FULL_COUNT_DELAY)
    }

    /// Loads of the targets of a service that this router counts, without targets that it has
    /// counted for too short a time to know the usage by all routers.
    pub(super) fn target_loads(
        &self,
        now: Instant,
        service: &str,
    ) -> impl Iterator<Item = TargetLoad> {
        let own = self.own_address();
        let names = self.ownership.targets.get(service).into_iter().flatten();
        let counted = names
            .filter(move |(_, since)| now.saturating_duration_since(**since) >= FULL_COUNT_DELAY);
        counted.filter_map(move |(name, _)| {
            let record = self.records.get(name).filter(|record| record.missing_since.is_none())?;
            let load = self.aggregator.sum_excluding(now, record.short_hash, own).load
                + self.loads.load(name, now);
            Some(TargetLoad { target: record.short_hash, load: saturate_u16(load) })
        })
    }

    /// Loads of the other targets of a target's service that this router counts.
    fn other_target_loads(&self, now: Instant, name: Option<&str>) -> Vec<TargetLoad> {
        let record = name.and_then(|name| self.records.get(name));
        let Some(record) = record else { return Vec::new() };
        let target_loads = self.target_loads(now, &record.row.service);
        target_loads
            .filter(|other| other.target != record.short_hash)
            .take(MAX_TARGET_LOADS)
            .collect()
    }

    /// Announces from now on that this router is about to stop: it and the others then use another
    /// accountant.
    pub fn announce_stop(&mut self) {
        self.leaving = true;
        self.accountants.announce_stop();
        self.ownership = Ownership::default();
    }
}
