//! What routers tell each other about the rate limits of targets.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::limit::Observation;
use super::report::LimitReport;
use super::{Change, Rate, Source};
use crate::accounting::accountant::{Accountant, COLLECTION_INTERVAL};
use crate::accounting::message::Verdict;
use crate::accounting::selection::Query;
use crate::fleet::Fleet;

/// Time for which the end of a limit is reported.
const END_REPORT_TIME: Duration = Duration::from_secs(3);

/// Collections in this time.
const END_REPEATS: u8 = (END_REPORT_TIME.as_millis() / COLLECTION_INTERVAL.as_millis()) as u8;

impl Fleet {
    /// Records what a response of a target says of its rate limit.
    ///
    /// Reports a limit that begins, changes or ends to the accountant of the target at once.
    pub fn record_rate_limit(
        &mut self,
        now: Instant,
        target: &str,
        sent_at: Instant,
        rate: Option<Rate>,
    ) {
        let observation = Observation { rate, sent_at, received_at: now };
        let changed = self.apply_observation(now, target, observation, Source::Response);
        let Some(record) = self.records.get_mut(target) else { return };
        let in_force = record.rate_limit.limit.rate();
        if in_force.is_some() && in_force == rate {
            record.rate_limit.repeats = 1;
        }
        if changed {
            record.rate_limit.repeats = if rate.is_some() { 1 } else { END_REPEATS };
            self.report_limit(now, target);
        }
    }

    /// Applies another router's report of a rate limit.
    ///
    /// Ignores the report of another process of the target.
    pub fn apply_limit_report(&mut self, now: Instant, router: SocketAddr, report: &LimitReport) {
        let Some(name) = self.names_by_hash.get(&report.target).cloned() else { return };
        let started_ms = self.records.get(&name).map(|record| record.row.started_ms);
        if started_ms.map(Option::unwrap_or_default) != Some(report.started_ms) {
            return;
        }
        if let Some(observation) = report.observation(now) {
            self.apply_observation(now, &name, observation, Source::Router(router));
        }
    }

    /// Applies an observation; returns whether the limit in force has changed.
    fn apply_observation(
        &mut self,
        now: Instant,
        target: &str,
        observation: Observation,
        source: Source,
    ) -> bool {
        let Some(record) = self.records.get_mut(target) else { return false };
        let before = record.rate_limit.limit.rate();
        let Some(kind) = record.rate_limit.limit.apply(now, observation) else { return false };
        record.rate_limit.informed.clear();
        let (target, rate) = (target.to_owned(), record.rate_limit.limit.rate());
        self.rate_limits.changes.push(Change { target, kind, before, rate, source });
        true
    }

    /// Takes the reports that have to be sent now.
    pub fn take_limit_reports(&mut self) -> Vec<(SocketAddr, LimitReport)> {
        std::mem::take(&mut self.rate_limits.reports)
    }

    /// Takes the changes of rate limits since the last call.
    pub fn take_rate_limit_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.rate_limits.changes)
    }

    /// Rate limits in force, in requests per second, as far as this router knows.
    pub fn rate_limits(&self) -> impl Iterator<Item = (&str, f64)> {
        let limits = self.records.iter();
        limits.filter_map(|(name, record)| {
            Some((name.as_str(), record.rate_limit.limit.rate()?.per_second()))
        })
    }

    /// Reports the limit of a target to its accountant and to the router that would be next.
    fn report_limit(&mut self, now: Instant, target: &str) {
        let Some(record) = self.records.get(target) else { return };
        for accountant in self.accountants.successors(now, record.short_hash, 2) {
            if let Accountant::Other(router) = accountant {
                self.report_limit_to(now, target, router);
            }
        }
    }

    fn report_limit_to(&mut self, now: Instant, target: &str, router: SocketAddr) {
        let incarnation = self.accountants.incarnation(router);
        let Some(record) = self.records.get_mut(target) else { return };
        let Some(observation) = record.rate_limit.limit.last() else { return };
        record.rate_limit.informed.insert(router, incarnation);
        let started_ms = record.row.started_ms.unwrap_or_default();
        let report = LimitReport::new(now, record.short_hash, started_ms, observation);
        self.rate_limits.reports.push((router, report));
    }

    /// Reports the limit of a target to a router that is asked about it or has asked, unless this
    /// router has informed the same process before.
    ///
    /// A router that knows the limit keeps to its share if the accountant does not reply.
    pub(in crate::fleet) fn report_limit_once(
        &mut self,
        now: Instant,
        target: &str,
        router: SocketAddr,
    ) {
        let Some(record) = self.records.get(target) else { return };
        let limit = &record.rate_limit;
        let incarnation = self.accountants.incarnation(router);
        if limit.limit.rate().is_some() && limit.informed.get(&router) != Some(&incarnation) {
            self.report_limit_to(now, target, router);
        }
    }

    /// Reports the limits that responses have named since the last collection, and those that have
    /// ended lately.
    pub(in crate::fleet) fn repeat_limit_reports(&mut self, now: Instant) {
        let due: Vec<String> = self
            .records
            .iter_mut()
            .filter(|(_, record)| record.rate_limit.repeats > 0)
            .map(|(name, record)| {
                record.rate_limit.repeats -= 1;
                record.rate_limit.informed.clear();
                name.clone()
            })
            .collect();
        for name in due {
            self.report_limit(now, &name);
        }
    }

    /// Records an accountant's verdict on a question.
    ///
    /// An accountant that turns a request away although the last response has named no limit may not
    /// know of its end.
    pub(in crate::fleet) fn record_limit_verdict(
        &mut self,
        now: Instant,
        query: &Query,
        verdict: Verdict,
    ) {
        let Some(record) = self.records.get(&query.target) else { return };
        if verdict != Verdict::Cold || self.is_cold(record, now) {
            return;
        }
        let urgency = query.demand.map_or(0, |demand| demand.urgency);
        let Some(record) = self.records.get_mut(&query.target) else { return };
        let limit = &mut record.rate_limit;
        if limit.limit.rate().is_none() {
            limit.repeats = limit.repeats.max(1);
        }
        limit.turned_away = Some((now, urgency));
    }
}
