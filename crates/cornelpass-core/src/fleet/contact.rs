//! Contact of this router with a target, and what its loss leaves uncertain.
//!
//! A target that refuses a connection has no process that listens. A target that does not react has
//! lost contact only after several attempts in a row, since packets can be lost. A broken response
//! or a reset of an open connection is no such evidence: the process may still be running.
//!
//! After a loss, the next process at the address may be a new one, and its row may follow late. So
//! the target is in doubt: it counts as cold ([`super::cold`]), and its accountant limits the
//! requests of all routers. The doubt ends
//!
//! - with a row that states a later start, unless the target was lost again after that start: the
//!   row states the cold time as well;
//! - one cold time after the target has completed a request that was sent after the loss: its
//!   process had started by then;
//! - at an accountant that gets no responses itself, one cold time and [`REPORT_MARGIN`] after it
//!   has granted a request, unless a router reports another failure.
//!
//! The failures of one router until it gets a response are an episode. Once another router reaches
//! the target, or is granted a request and reports no failure, further failures of that episode
//! concern its router alone, and change no doubt. This holds only while no other episode is open.
//!
//! A running target that turns cold may say so in its responses, before its row does.
//!
//! The router that loses contact, or gets such a response, tells the accountant, and the routers
//! that would be accountants next ([`report`]).

pub mod report;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use self::report::LastReport;
use super::Fleet;
use super::cold::Source;
use super::health::RESPONSE_TIMEOUT;
use super::row::Row;

/// Attempts to connect in a row without a reaction that show a loss of contact.
///
/// On the worst links, one of 20 attempts to connect to a running target gets no reaction in time.
pub const MAX_UNREACHABLE: u32 = 3;

/// Time within which routers report that a granted request did not reach its target: the time-out of
/// an attempt to connect, and the time after which a target counts as unresponsive.
pub const REPORT_MARGIN: Duration = RESPONSE_TIMEOUT.saturating_add(Duration::from_millis(150));

/// Longest time from the start of a process, as its row states it, until it accepts connections.
const BOOT_TIME: Duration = Duration::from_millis(300);

/// Evidence that a target accepts no connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Evidence {
    /// The target refused a connection.
    Refused,
    /// An attempt to connect got no reaction in time.
    Unreachable,
    /// An attempt to connect failed otherwise, which shows no loss.
    Unopened,
    /// Requests got no response, and several attempts to connect no reaction.
    Silent,
}

/// What a piece of evidence changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The evidence alone shows no loss.
    Unproven,
    /// The loss was known.
    Known,
    /// This router has now lost contact with the target.
    Lost,
}

/// Uncertainty whether the process of a target is still the known one.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    /// When a router last failed to reach the target.
    since: Instant,
    /// Latest start time at which a loss is known; 0 if it is unknown.
    started_ms: u64,
    /// Losses with a sign of a running process before each, which as many later starts explain.
    losses: u32,
    /// When the process that runs now had started at the latest; none if nothing shows that one
    /// runs.
    started_by: Option<Instant>,
}

impl Doubt {
    fn is_over(&self, now: Instant, cold_time: Duration) -> bool {
        self.started_by.is_some_and(|at| now.saturating_duration_since(at) >= cold_time)
    }
}

/// Losses of one router without a response between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Episode {
    router: SocketAddr,
    incarnation: u32,
    number: u32,
}

/// Episode of a router that has reported it.
#[derive(Clone, Copy, Debug)]
struct KnownEpisode {
    episode: Episode,
    /// When the router had reached the target again at the latest; none if it has only failed.
    over_by: Option<Instant>,
}

/// Failure of a router to reach a target.
#[derive(Clone, Copy, Debug)]
struct Failure {
    at: Instant,
    /// Start time of the target as the router knew it; 0 if it was unknown.
    started_ms: u64,
    /// Whether it shows a loss of contact.
    is_loss: bool,
}

/// Cold time that a target stated in a response to this router.
#[derive(Clone, Copy, Debug)]
struct Statement {
    until: Instant,
    /// Start time of the target as this router knew it; 0 if it was unknown.
    started_ms: u64,
}

/// Contact of this router with one target.
#[derive(Clone, Debug, Default)]
pub(super) struct Contact {
    /// Whether the target has not responded since the last loss.
    lost: bool,
    /// Attempts to connect in a row without a reaction.
    unreachable: u32,
    /// Failures of this router to reach the target so far.
    failures: u32,
    last_failure: Option<Failure>,
    /// Losses of contact of this router so far, which is the number of its last episode.
    episode: u32,
    doubt: Option<Doubt>,
    /// When a row with a later start arrived.
    restarted_at: Option<Instant>,
    /// Incarnation and failures of each router that has reported failures.
    reported: BTreeMap<SocketAddr, (u32, u32)>,
    /// Last episode of each router that has failed since the doubt began.
    episodes: BTreeMap<SocketAddr, KnownEpisode>,
    /// Start of the last episode.
    last_episode_at: Option<Instant>,
    /// When a router outside of the episodes had reached the target at the latest; none if nothing
    /// shows that one has.
    reached_by: Option<Instant>,
    /// Until when the target stays cold by its responses to any router.
    stated_until: Option<Instant>,
    /// Last statement of the target to this router.
    statement: Option<Statement>,
    /// Last report of this router to accountants.
    last_report: LastReport,
}

impl Contact {
    /// Records a part of a response.
    pub(super) const fn record_response(&mut self) {
        (self.lost, self.unreachable) = (false, 0);
    }

    fn record_evidence(&mut self, evidence: Evidence) -> Finding {
        match evidence {
            Evidence::Refused | Evidence::Silent => {}
            Evidence::Unopened => return Finding::Unproven,
            Evidence::Unreachable => {
                self.unreachable += 1;
                if self.unreachable < MAX_UNREACHABLE {
                    return Finding::Unproven;
                }
            }
        }
        match std::mem::replace(&mut self.lost, true) {
            true => Finding::Known,
            false => {
                self.episode += 1;
                Finding::Lost
            }
        }
    }

    /// Whether the process that runs now may be unknown, and cold.
    pub(super) fn is_in_doubt(&self, now: Instant, cold_time: Duration) -> bool {
        self.doubt.as_ref().is_some_and(|doubt| !doubt.is_over(now, cold_time))
    }

    /// Until when the target stays cold by its own responses.
    pub(super) const fn stated_until(&self) -> Option<Instant> {
        self.stated_until
    }

    /// Applies a statement; a shorter time does not end a longer one.
    pub(super) fn state_cold(&mut self, until: Instant) {
        self.stated_until = self.stated_until.max(Some(until));
    }

    /// Ends a doubt from before `sent_at`.
    pub(super) fn end_doubt(&mut self, sent_at: Instant) {
        self.doubt = self.doubt.filter(|doubt| sent_at <= doubt.since);
    }

    /// Begins a doubt, or renews it.
    fn begin_doubt(&mut self, now: Instant, since: Instant, started_ms: u64, cold_time: Duration) {
        let current = self.doubt.filter(|doubt| !doubt.is_over(now, cold_time));
        let Some(doubt) = current else {
            self.episodes.clear();
            self.doubt = Some(Doubt { since, started_ms, losses: 1, started_by: None });
            return;
        };
        let ran_before = doubt.started_by.is_some_and(|at| at <= since);
        let losses = doubt.losses + u32::from(ran_before);
        let started_by = doubt.started_by.filter(|_| since < doubt.since);
        let (since, started_ms) = (since.max(doubt.since), started_ms.max(doubt.started_ms));
        self.doubt = Some(Doubt { since, started_ms, losses, started_by });
    }

    /// Records a failure to reach the target that shows no loss by itself.
    ///
    /// While nothing shows that a process runs, it shows that none may run yet.
    fn renew_doubt(&mut self, since: Instant) {
        if let Some(doubt) = &mut self.doubt
            && doubt.started_by.is_none_or(|at| since < at)
        {
            (doubt.since, doubt.started_by) = (since.max(doubt.since), None);
        }
        self.reached_by = self.reached_by.filter(|at| *at <= since);
    }

    /// Whether a loss concerns its router alone.
    fn is_local(&self, since: Instant, episode: Episode) -> bool {
        let is_before = |at: Option<Instant>| at.is_some_and(|at| at <= since);
        is_before(self.reached_by)
            && self.episodes.iter().all(|(router, known)| match *router == episode.router {
                true => known.episode == episode,
                false => is_before(known.over_by),
            })
            && self.episodes.contains_key(&episode.router)
    }

    /// Records the episode of a loss; a new one takes back that another router reached the target.
    fn record_episode(&mut self, since: Instant, episode: Episode) {
        let known = KnownEpisode { episode, over_by: None };
        let before = self.episodes.insert(episode.router, known);
        if before.is_none_or(|before| before.episode != episode) {
            self.last_episode_at = self.last_episode_at.max(Some(since));
            self.reached_by = None;
        }
    }

    /// Records a row that states a later start; its cold time replaces those of responses.
    ///
    /// It ends the doubt unless the target was lost again after that start.
    pub(super) fn record_restart(&mut self, now: Instant, row: &Row, cold_time: Duration) {
        self.restarted_at = Some(now);
        let started_ms = row.started_ms.unwrap_or_default();
        if !row.cold_left.is_zero() {
            (self.stated_until, self.statement) = (None, None);
        }
        let Some(doubt) = &mut self.doubt else { return };
        if started_ms > doubt.started_ms {
            doubt.losses = doubt.losses.saturating_sub(1);
        }
        let age = cold_time.saturating_sub(row.cold_left);
        let lost_since = now.saturating_duration_since(doubt.since) + BOOT_TIME < age;
        if doubt.losses == 0 && !lost_since {
            (self.doubt, self.reached_by) = (None, None);
        }
    }

    /// Records that the target has completed a request that was sent at `sent_at`.
    pub(super) fn record_completion(&mut self, now: Instant, sent_at: Instant) {
        if let Some(doubt) = &mut self.doubt
            && sent_at > doubt.since
        {
            doubt.started_by = Some(doubt.started_by.map_or(now, |at| at.min(now)));
        }
        if self.last_episode_at.is_some_and(|at| sent_at > at) {
            self.reached_by = Some(self.reached_by.map_or(now, |at| at.min(now)));
        }
    }

    /// Records that this router, as accountant, has granted a request.
    pub(super) fn record_grant(&mut self, now: Instant) {
        if let Some(doubt) = &mut self.doubt {
            doubt.started_by.get_or_insert(now + REPORT_MARGIN);
        }
    }

    /// Records that a router has been granted a request.
    fn record_granted_router(&mut self, now: Instant, router: SocketAddr) {
        if self.doubt.is_none() {
            return;
        }
        let reached_by = match self.episodes.get_mut(&router) {
            Some(known) => &mut known.over_by,
            None => &mut self.reached_by,
        };
        reached_by.get_or_insert(now + REPORT_MARGIN);
    }
}

impl Fleet {
    /// Records that a target did not accept a connection which was tried at `tried_at`.
    ///
    /// Ignores an attempt from before the row of the target's last start arrived, and a target that
    /// is about to stop.
    pub fn record_failed_contact(
        &mut self,
        now: Instant,
        target: &str,
        tried_at: Instant,
        evidence: Evidence,
    ) -> Finding {
        let Some(record) = self.records.get_mut(target) else { return Finding::Unproven };
        // The target was running after the attempt began.
        let responded = record.health.last_response().is_some_and(|at| at > tried_at);
        let restarted = record.contact.restarted_at.is_some_and(|at| at > tried_at);
        if restarted || record.is_announced_to_stop() || responded && evidence != Evidence::Refused
        {
            return Finding::Unproven;
        }
        let finding = record.contact.record_evidence(evidence);
        let is_loss = finding != Finding::Unproven;
        record.contact.failures += 1;
        let started_ms = record.row.started_ms.unwrap_or_default();
        let failure = Failure { at: now, started_ms, is_loss };
        record.contact.last_failure = Some(failure);
        let number = record.contact.episode;
        let incarnation = self.last_stamp.incarnation;
        let episode = Episode { router: self.own_address(), incarnation, number };
        self.apply_failure(now, target, failure, episode);
        finding
    }

    /// Queues the last statement of a target for its accountant.
    pub(super) fn queue_statement(&mut self, now: Instant, target: &str) {
        let Some(record) = self.records.get_mut(target) else { return };
        let until = record.contact.stated_until.filter(|until| *until > now);
        let started_ms = record.row.started_ms.unwrap_or_default();
        record.contact.statement = until.map(|until| Statement { until, started_ms });
    }

    /// Records that this router, as accountant, has granted a request of a router.
    pub(super) fn record_granted_router(&mut self, now: Instant, name: &str, router: SocketAddr) {
        if let Some(record) = self.records.get_mut(name) {
            record.contact.record_granted_router(now, router);
        }
    }

    /// Applies a failure of any router to reach a target.
    fn apply_failure(&mut self, now: Instant, target: &str, failure: Failure, episode: Episode) {
        let Failure { at: since, started_ms, is_loss } = failure;
        let Some(record) = self.records.get(target) else { return };
        let (was_cold, cold_time) = (self.is_cold(record, now), self.cold_time(record));
        let Some(record) = self.records.get_mut(target) else { return };
        let contact = &mut record.contact;
        if let Some(known) = contact.episodes.get_mut(&episode.router) {
            known.over_by = None;
        }
        match is_loss {
            true if contact.is_local(since, episode) => {}
            true => {
                contact.begin_doubt(now, since, started_ms, cold_time);
                contact.record_episode(since, episode);
            }
            false => contact.renew_doubt(since),
        }
        self.note_cold(now, target, was_cold, Source::LostContact);
    }
}
