//! Targets that a router may send routed requests to, and the choice of one for each request.
//!
//! The platform's list names the targets. How many requests a target can accept now follows from
//! three sources: the outcomes of requests ([`health`]), the requests that all routers have in
//! progress there ([`load`], `accounting`), and the target's warm-up ([`cold`]). A [`Fleet`]
//! combines them, and [`choice`] picks a target for a request.

mod accounting;
mod capacity;
pub mod choice;
pub mod cold;
pub mod contact;
mod estimate;
mod failures;
pub mod health;
pub mod listing;
pub mod load;
pub mod locality;
pub mod notice;
pub mod outage;
pub mod pace;
pub mod polling;
pub mod prefix_cache;
mod ranking;
pub mod rate_limit;
mod record;
pub mod requirements;
pub mod row;
pub mod slow_start;
mod verdict;
pub mod versions;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use self::accounting::Ownership;
pub use self::choice::{Choice, Decision, Refusal};
use self::health::{Health, Outcome, Standing};
pub use self::listing::{Listing, ListingChange, Silence, Summary};
use self::load::{Loads, Ticket};
use self::notice::Availability;
use self::pace::Pace;
use self::polling::ChangeLog;
use self::prefix_cache::Index;
use self::rate_limit::{RateLimit, RateLimits};
use self::record::Record;
pub use self::requirements::Requirements;
pub use self::row::{Row, State};
use crate::accounting::accountant::Accountants;
use crate::accounting::aggregator::Aggregator;
use crate::accounting::message::Stamp;
use crate::clock;
use crate::contention::Contention;
use crate::contention::capacity::Capacities;
use crate::contention::failures::Failures;
use crate::peers::{Effect, Peers};
use crate::quarantine::Quarantine;
use crate::quarantine::feature::Feature;
use crate::report::{self, Departure, Entry, Report};
use crate::rollout::Rollouts;

/// Time after the platform becomes reachable again, within which targets rewrite the rows that
/// expired during the outage.
///
/// The users' documentation gives about two seconds; the rest is for the delivery of the list to
/// this process.
pub const EXPIRED_ROW_GRACE: Duration = Duration::from_millis(2_300);

/// Targets of a router, and what the router knows about each of them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    requirements: Requirements,
    records: BTreeMap<String, Record>,
    /// Names of targets by their short hashes.
    names_by_hash: BTreeMap<u32, String>,
    /// Increases each time a target is added or removed.
    generation: u64,
    /// Targets that restarted while requests were in progress there, until the caller takes them.
    restarted: Vec<Silence>,
    /// Targets that announced their departure, and when this router received the announcement.
    departures: VecDeque<(Instant, Departure)>,
    /// Targets whose departure another router reported, until the caller takes them.
    peer_departures: Vec<String>,
    /// Changes of listings, until the caller takes them.
    listing_changes: Vec<ListingChange>,
    closed_data_centres: BTreeSet<String>,
    cold_rates: BTreeMap<String, f64>,
    cold_times: BTreeMap<String, Duration>,
    capacities: Capacities,
    failures: Failures,
    loads: Loads,
    /// Number of unanswered questions to accountants, by the short hash of the target.
    pending_questions: BTreeMap<u32, u32>,
    accountants: Accountants,
    aggregator: Aggregator,
    ownership: Ownership,
    contention: Contention,
    /// Stamp of the last message of this router to accountants.
    last_stamp: Stamp,
    /// When this router last collected its due messages.
    last_collection: Option<Instant>,
    /// When this router last reported all of its usage to the accountants.
    last_usage_report: Option<Instant>,
    /// Whether this router is about to stop.
    leaving: bool,
    peers: Peers,
    cache_index: Index,
    change_log: ChangeLog,
    /// Targets whose last change came from another router before the platform sent it.
    peer_reported: BTreeSet<String>,
    quarantine: Quarantine,
    slow_start_disabled: bool,
    /// Until the caller takes them.
    slow_start_changes: Vec<slow_start::Change>,
    /// Until the caller takes them.
    cold_changes: Vec<cold::Change>,
    rate_limits: RateLimits,
    rollouts: Rollouts,
    /// When the platform became reachable again after an outage, if there was one.
    platform_back_since: Option<Instant>,
}

impl Fleet {
    /// A fleet without targets.
    #[must_use]
    pub fn new(requirements: Requirements) -> Self {
        Self { requirements, ..Self::default() }
    }

    /// Sets the address of this router for datagrams, and the random number of the process.
    #[must_use]
    pub fn with_address(self, address: SocketAddr, incarnation: u32) -> Self {
        let (peers, accountants) = (Peers::with_own_address(address), Accountants::new(address));
        Self { peers, accountants, last_stamp: Stamp { incarnation, number: 0 }, ..self }
    }

    /// Sets the cold rate of each service, in requests per second to one cold target.
    pub fn set_cold_rates(&mut self, cold_rates: BTreeMap<String, f64>) {
        self.cold_rates = cold_rates;
    }

    /// Sets the time for which the targets of each service are cold after their start.
    pub fn set_cold_times(&mut self, cold_times: BTreeMap<String, Duration>) {
        self.cold_times = cold_times;
    }

    /// Applies a target's row, unless the same or a later revision of it is known.
    ///
    /// Returns whether anything about the target changed.
    pub fn apply_row(&mut self, now: Instant, name: &str, row: Row, revision: u64) -> bool {
        self.record_version(name, &row, revision);
        let cold_until = (!row.cold_left.is_zero()).then(|| clock::after(now, row.cold_left));
        let row = self.with_version(name, row);
        let was_cold = self.records.get(name).is_some_and(|record| self.is_cold(record, now));
        let cold_time = self.cold_times.get(&row.service).copied().unwrap_or_default();
        match self.records.get_mut(name) {
            Some(record) if record.revision >= revision => false,
            Some(record) => {
                let row = if record.has_left_before(&row, revision) {
                    // The restored copy is from before the target left.
                    record.revision = revision;
                    if record.missing_since.is_some() {
                        return false;
                    }
                    Row { state: State::Leaving, ..row }
                } else {
                    row
                };
                let start_changed = record.row.started_ms != row.started_ms;
                let changed = !record.row.is_equivalent(&row) || record.missing_since.is_some();
                // Only a later start revokes the target's announcements: a row without a start time
                // proves no restart.
                if record.is_later_start(&row) {
                    record.availability = Availability::default();
                    record.contact.record_restart(now, &row, cold_time);
                    self.rate_limits.record_restart(name, &record.rate_limit);
                    record.rate_limit = RateLimit::default();
                }
                // After any other start time, the known health and cache may be those of an earlier
                // process.
                if start_changed {
                    self.restarted.extend(record.silence(now, name));
                    (record.health, record.pace) = (Health::default(), Pace::default());
                    self.cache_index.remove_target(name);
                }
                if start_changed || record.row.cold_left.is_zero() && cold_until.is_some() {
                    record.slow_start.begin(now);
                }
                record.cold_until = cold_until;
                record.missing_since = None;
                record.row = row;
                record.revision = revision;
                self.note_cold(now, name, was_cold, cold::Source::Row);
                changed
            }
            None => {
                let short_hash = report::short_hash(name);
                // The first complete list does not show which targets have started recently.
                let fresh = cold_until.is_some() || self.change_log.is_listed();
                let record = Record::new(now, short_hash, (row, revision), cold_until, fresh);
                self.generation += 1;
                self.names_by_hash.insert(short_hash, name.to_owned());
                self.records.insert(name.to_owned(), record);
                self.note_cold(now, name, false, cold::Source::Row);
                true
            }
        }
    }

    /// Applies a target's row that another router reported, like [`Self::apply_row`].
    ///
    /// Ignores a row from before this router's last complete list that does not contain the target:
    /// the target has been removed since.
    pub fn apply_peer_row(&mut self, now: Instant, name: &str, row: Row, revision: u64) -> bool {
        let is_removed = !self.records.contains_key(name)
            && self.change_log.synced_revision().is_some_and(|synced| revision <= synced);
        !is_removed && self.apply_row(now, name, row, revision)
    }

    /// Applies the removal of a row; returns whether it was new.
    pub fn apply_removal(&mut self, now: Instant, name: &str, revision: u64) -> bool {
        let Some(record) = self.records.get_mut(name) else { return false };
        if record.revision >= revision || record.missing_since.is_some() {
            return false;
        }
        record.revision = revision;
        record.missing_since = Some(now);
        true
    }

    /// Applies a complete list of names: all known targets outside it are marked as missing.
    pub fn apply_complete_list(&mut self, now: Instant, listed: &BTreeSet<String>, revision: u64) {
        let names: Vec<String> =
            self.records.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        for name in names {
            self.apply_platform_row(now, &name, None, revision);
        }
    }

    /// Records that the platform responds to this router again, after an outage that lasted
    /// `outage`.
    ///
    /// Starts [`EXPIRED_ROW_GRACE`], unless this router or other routers have read the targets
    /// meanwhile: then the platform itself was available and no rows have expired. Returns whether
    /// the grace starts.
    pub fn record_platform_return(&mut self, now: Instant, outage: Duration) -> bool {
        let responded = self.change_log.has_response_within(now, outage)
            || self.peers.platform_responded_to_others(now, outage);
        if !responded {
            self.platform_back_since = Some(now);
        }
        !responded
    }

    /// Sets the data centres that operators have taken out of service.
    ///
    /// Returns whether the set changed.
    pub fn set_closed_data_centres(&mut self, closed: BTreeSet<String>) -> bool {
        let changed = self.closed_data_centres != closed;
        self.closed_data_centres = closed;
        changed
    }

    /// Requests of this router in progress, by target.
    #[must_use]
    pub const fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Other routers and their last reports.
    pub const fn peers(&mut self) -> &mut Peers {
        &mut self.peers
    }

    /// Applies another router's report.
    pub fn apply_report(&mut self, now: Instant, router: SocketAddr, report: Report) -> Effect {
        for entry in &report.cache_entries {
            self.cache_index.insert(now, *entry);
        }
        for departure in &report.departures {
            self.apply_departure(now, *departure);
        }
        for change in &report.changes {
            let known = || self.records.get(&change.name).map(|record| record.row.clone());
            let new = match &change.entry {
                Entry::Row(row) => {
                    self.apply_peer_row(now, &change.name, row.clone(), change.revision)
                }
                // An unknown target gets no requests, so its departure needs no record.
                Entry::Leaving => known().is_some_and(|row| {
                    let row = Row { state: State::Leaving, ..row };
                    self.apply_row(now, &change.name, row, change.revision)
                }),
                Entry::Removed => self.apply_removal(now, &change.name, change.revision),
            };
            if new {
                self.peer_reported.insert(change.name.clone());
                self.queue_listing_change(&change.name, Some(router));
            }
        }
        let Report { incarnation, leaving, .. } = report;
        let effect = self.peers.apply_report(now, router, report);
        self.accountants.add(now, router);
        self.accountants.record_process(now, router, incarnation, leaving);
        effect
    }

    /// Records a request that was sent to a target, with its features.
    pub fn record_sent(&mut self, now: Instant, target: &str, features: &[Feature]) -> Ticket {
        if let Some(record) = self.records.get_mut(target) {
            record.health.record_sent(now);
        }
        self.loads.record_sent(now, target, features)
    }

    /// Records any response or part of a response from a target, for a request.
    pub fn record_response(&mut self, now: Instant, target: &str, ticket: Ticket) {
        self.loads.record_response(now, target, ticket);
        if let Some(record) = self.records.get_mut(target) {
            record.health.record_response(now);
            record.contact.record_response();
        }
    }

    /// Whether a target has responded within the last `within` and has no recent failures.
    #[must_use]
    pub fn is_responsive(&self, now: Instant, target: &str, within: Duration) -> bool {
        self.records.get(target).is_some_and(|record| {
            let last_response = record.health.last_response();
            last_response.is_some_and(|at| now.saturating_duration_since(at) < within)
                && record.health.recent_count(now).failed == 0
        })
    }

    /// Records the end of a request at a target.
    ///
    /// An `outcome` of none means that the attempt shows nothing about the target's health, for
    /// example because the caller disconnected. Returns the target's standing before and after.
    pub fn record_end(
        &mut self,
        now: Instant,
        target: &str,
        ticket: Ticket,
        outcome: Option<Outcome>,
    ) -> (Standing, Standing) {
        let sent_at = self.loads.sent_at(target, ticket);
        self.loads.record_end(now, target, ticket);
        let Some(record) = self.records.get_mut(target) else {
            return (Standing::Good, Standing::Good);
        };
        let before = record.health.standing(now);
        if outcome == Some(Outcome::Answered)
            && let Some(sent_at) = sent_at
        {
            record.contact.record_completion(now, sent_at);
        }
        match outcome {
            Some(outcome) => record.health.record_end(now, outcome),
            None => record.health.record_end_without_evidence(),
        }
        (before, record.health.standing(now))
    }

    /// Requests that crash targets.
    pub const fn quarantine(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Records that a target crashed at `at` while it ran a request with these features, which was
    /// sent at `sent_at`.
    ///
    /// The other requests in progress there become part of the evidence. The end of a target that
    /// was about to stop is no crash. Returns whether the crash counts.
    pub fn record_crash(
        &mut self,
        at: Instant,
        target: &str,
        features: &[Feature],
        sent_at: Instant,
    ) -> bool {
        let Some(record) = self.records.get(target).filter(|record| !record.is_leaving()) else {
            return false;
        };
        let own = features.iter().map(|feature| (*feature, sent_at));
        let in_progress = self.loads.features(target).chain(own);
        self.quarantine.record_crash(at, record.short_hash, in_progress);
        true
    }

    /// Log of the target changes that the platform sent to this router.
    pub const fn change_log(&mut self) -> &mut ChangeLog {
        &mut self.change_log
    }

    /// Index of the prompt prefixes that targets have cached.
    pub const fn cache_index(&mut self) -> &mut Index {
        &mut self.cache_index
    }

    /// Requests of all routers in progress at a target, as far as this router knows.
    #[must_use]
    pub fn load(&self, target: &str, now: Instant) -> u32 {
        let remote = self.records.get(target).map(|record| record.remote_load.load());
        self.loads.load(target, now) + remote.unwrap_or_default()
    }

    /// Known targets of a service, listed or missing.
    fn targets_of(&self, service: &str) -> impl Iterator<Item = (&str, &Record)> {
        let named = self.records.iter().map(|(name, record)| (name.as_str(), record));
        named.filter(move |(_, record)| record.row.service == service)
    }

    /// Address of a target.
    #[must_use]
    pub fn address(&self, target: &str) -> Option<SocketAddr> {
        self.records.get(target).map(|record| record.row.address)
    }

    /// Listed targets, with the revisions of their rows.
    pub fn listed_targets(&self) -> impl Iterator<Item = (&str, &Row, u64)> {
        let listed = self.records.iter().filter(|(_, record)| record.missing_since.is_none());
        listed.map(|(name, record)| (name.as_str(), &record.row, record.revision))
    }

    /// Data centres that are out of service.
    #[must_use]
    pub const fn closed_data_centres(&self) -> &BTreeSet<String> {
        &self.closed_data_centres
    }

    /// Removes the targets that have been missing for `after`, which must be longer than any
    /// request lasts.
    ///
    /// Also removes idle targets from [`Loads`], and accountants that are no longer known routers.
    pub fn remove_missing(&mut self, now: Instant, after: Duration) {
        self.records.retain(|_, record| {
            record.missing_since.is_none_or(|at| now.saturating_duration_since(at) < after)
        });
        if self.names_by_hash.len() != self.records.len() {
            self.generation += 1;
            self.names_by_hash.retain(|_, name| self.records.contains_key(name));
        }
        self.loads.remove_idle(now);
        let known: BTreeSet<SocketAddr> = self.peers.addresses().collect();
        self.accountants.retain(now, |address| known.contains(&address));
    }
}
