//! Reports of a target that may have been replaced, to its accountant and the next ones.
//!
//! A router that fails to reach a target reports the number of its failures, the age of the last
//! one and whether it shows a loss. A router to which a target states that it is cold reports the
//! time that is left. Numbers are absolute and ages relative, so that a lost or
//! repeated report does no harm. A report is repeated while the doubt lasts, at growing intervals,
//! and at once to another accountant.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::{Contact, Episode, Failure, Statement};
use crate::accounting::accountant::Accountant;
use crate::accounting::message::Stamp;
use crate::fleet::cold::Source;
use crate::fleet::{Fleet, Record};

/// Routers that get a report: the accountant, and those that a selection asks if it does not reply.
pub const RECEIVERS: usize = 3;

/// Shortest time between two reports of one target.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Reports that are repeated at each collection; later ones are repeated at [`LATE_INTERVAL`].
const EARLY_REPEATS: u32 = 3;

/// Difference of two stated cold times up to which they are the same statement.
const STATEMENT_TOLERANCE: Duration = Duration::from_millis(250);

/// Interval of the later repeats.
const LATE_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of targets in one report; they take 1 kB.
pub const MAX_ENTRIES: usize = 40;

/// News of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Short hash of the target's name ([`crate::report::short_hash`]).
    pub target: u32,
    /// Start time of the target in milliseconds since 1970; 0 if it is unknown.
    pub started_ms: u64,
    /// What the sender knows.
    pub news: News,
}

/// What a router knows of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// The router has failed to reach the target.
    Failure(Failures),
    /// The target has stated in a response that it stays cold for so many milliseconds.
    Cold(u32),
}

/// Failures of a router to reach one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures {
    /// Failures since the sender started.
    pub count: u32,
    /// Time since the last failure, in milliseconds.
    pub age_ms: u32,
    /// Whether the last failure shows a loss of contact.
    pub is_loss: bool,
    /// Losses since the sender started that followed a response, or were the first.
    pub episode: u32,
}

/// Report of a router's contact with targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Sequence stamp of the message.
    pub stamp: Stamp,
    /// Targets, at most [`MAX_ENTRIES`].
    pub entries: Vec<Entry>,
}

/// Last report of this router about one target.
#[derive(Clone, Debug, Default)]
pub(super) struct LastReport {
    /// Failures at the last report.
    failures: u32,
    /// Until when the target stays cold, by the last report.
    cold_until: Option<Instant>,
    at: Option<Instant>,
    accountant: Option<Accountant>,
    repeats: u32,
}

fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

impl Fleet {
    /// Report about a target for each receiver, if this router has news of it.
    pub fn due_contact(&mut self, now: Instant, target: &str) -> Vec<(SocketAddr, Report)> {
        let due = self.records.get(target).is_some_and(|record| Self::has_news(now, record));
        self.build_reports(now, if due { vec![target.to_owned()] } else { Vec::new() })
    }

    /// Reports about all targets for which one is due, with their receivers.
    pub fn all_due_contact(&mut self, now: Instant) -> Vec<(SocketAddr, Report)> {
        let due = self
            .records
            .iter()
            .filter(|(_, record)| Self::has_news(now, record) || self.is_repeat_due(now, record));
        let names = due.map(|(name, _)| name.clone()).collect();
        self.build_reports(now, names)
    }

    fn has_news(now: Instant, record: &Record) -> bool {
        let contact = &record.contact;
        let waited = |at: Instant| now.saturating_duration_since(at) >= MIN_INTERVAL;
        let extends = |until: Instant| {
            let reported = contact.last_report.cold_until;
            reported.is_none_or(|reported| {
                until.saturating_duration_since(reported) > STATEMENT_TOLERANCE
            })
        };
        let is_stated = contact.statement.is_some_and(|statement| extends(statement.until));
        let has_news = contact.failures != contact.last_report.failures || is_stated;
        has_news && contact.last_report.at.is_none_or(waited)
    }

    /// Whether the last failure shows no loss and may still take back a sign of a running process.
    fn is_unproven_repeat(contact: &Contact) -> bool {
        contact.last_report.repeats < EARLY_REPEATS
            && contact.last_failure.is_some_and(|failure| !failure.is_loss)
    }

    fn is_repeat_due(&self, now: Instant, record: &Record) -> bool {
        let contact = &record.contact;
        let Some(reported_at) = contact.last_report.at else { return false };
        let in_doubt =
            contact.last_failure.is_some() && contact.is_in_doubt(now, self.cold_time(record));
        let is_stated = contact.statement.is_some_and(|statement| statement.until > now);
        if !(in_doubt || is_stated || Self::is_unproven_repeat(contact))
            || record.is_announced_to_stop()
        {
            return false;
        }
        let waited = now.saturating_duration_since(reported_at);
        contact.last_report.accountant != Some(self.accountant(now, record))
            || contact.last_report.repeats < EARLY_REPEATS
            || waited >= LATE_INTERVAL
    }

    fn build_reports(&mut self, now: Instant, names: Vec<String>) -> Vec<(SocketAddr, Report)> {
        let mut entries: BTreeMap<SocketAddr, Vec<Entry>> = BTreeMap::new();
        for name in names {
            let Some(record) = self.records.get(&name) else { continue };
            let news = self.entries(now, record);
            let accountant = self.accountant(now, record);
            for receiver in self.accountants.successors(now, record.short_hash, RECEIVERS) {
                if let Accountant::Other(address) = receiver {
                    entries.entry(address).or_default().extend(&news);
                }
            }
            let Some(record) = self.records.get_mut(&name) else { continue };
            let contact = &mut record.contact;
            let is_repeat = contact.last_report.failures == contact.failures
                && contact.last_report.accountant == Some(accountant);
            let repeats = if is_repeat { contact.last_report.repeats + 1 } else { 0 };
            let cold_until = contact.statement.map(|statement| statement.until);
            let (failures, at) = (contact.failures, Some(now));
            let accountant = Some(accountant);
            contact.last_report = LastReport { failures, cold_until, at, accountant, repeats };
        }
        let mut reports = Vec::new();
        for (receiver, entries) in entries {
            for entries in entries.chunks(MAX_ENTRIES) {
                let (stamp, entries) = (self.next_stamp(), entries.to_vec());
                reports.push((receiver, Report { stamp, entries }));
            }
        }
        reports
    }

    /// What this router knows of a target, without failures that matter no more.
    fn entries(&self, now: Instant, record: &Record) -> Vec<Entry> {
        let (contact, target) = (&record.contact, record.short_hash);
        let matters = contact.failures != contact.last_report.failures
            || Self::is_unproven_repeat(contact)
            || contact.is_in_doubt(now, self.cold_time(record));
        let failure = contact.last_failure.filter(|_| matters).map(|failure| {
            let age_ms = milliseconds(now.saturating_duration_since(failure.at));
            let Contact { failures: count, episode, .. } = *contact;
            let is_loss = failure.is_loss;
            let news = News::Failure(Failures { count, age_ms, is_loss, episode });
            Entry { target, started_ms: failure.started_ms, news }
        });
        let statement = contact.statement.filter(|statement| statement.until > now);
        let statement = statement.map(|Statement { until, started_ms }| {
            let news = News::Cold(milliseconds(until.saturating_duration_since(now)));
            Entry { target, started_ms, news }
        });
        failure.into_iter().chain(statement).collect()
    }

    /// Applies another router's report.
    pub fn apply_contact(&mut self, now: Instant, router: SocketAddr, report: &Report) {
        for entry in &report.entries {
            self.apply_entry(now, router, report.stamp.incarnation, entry);
        }
    }

    /// Applies news of a target, unless they are known or about an earlier process of the target.
    fn apply_entry(&mut self, now: Instant, router: SocketAddr, incarnation: u32, entry: &Entry) {
        let Some(name) = self.names_by_hash.get(&entry.target).cloned() else { return };
        let Some(record) = self.records.get_mut(&name) else { return };
        let known_start = record.row.started_ms.unwrap_or_default();
        let Failures { count, age_ms, is_loss, episode } = match entry.news {
            News::Failure(failures) => failures,
            News::Cold(_) if entry.started_ms != 0 && entry.started_ms < known_start => return,
            News::Cold(left_ms) => {
                let left = Duration::from_millis(u64::from(left_ms));
                return self.state_cold(now, &name, left, Source::Router);
            }
        };
        let age = Duration::from_millis(u64::from(age_ms));
        let since = now.checked_sub(age).unwrap_or(now);
        let restarted = record.contact.restarted_at.is_some_and(|at| at > since);
        let is_outdated = entry.started_ms < known_start && restarted;
        let known = record.contact.reported.entry(router).or_insert((incarnation, 0));
        let is_known = *known >= (incarnation, count) && known.0 == incarnation;
        if is_known || is_outdated {
            return;
        }
        *known = (incarnation, count);
        let episode = Episode { router, incarnation, number: episode };
        let failure = Failure { at: since, started_ms: entry.started_ms, is_loss };
        self.apply_failure(now, &name, failure, episode);
    }
}
