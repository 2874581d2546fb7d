//! Availability of a target as announced in its own responses.
//!
//! A target that is about to stop announces this in every response, often before the platform's
//! list shows it. A busy target may ask for a pause, a time without requests. Both announcements
//! take precedence over the list. A pause applies only to the router that received the response,
//! and ends after the time that the target asked for. A departure is reported to the other routers
//! as well. A restart of the target revokes both. A target that turns cold may also state the time
//! for which it stays cold ([`super::contact`]).

use std::time::{Duration, Instant};

use super::{Fleet, polling};
use crate::report::{self, Departure};

/// Longest pause that is applied.
///
/// A longer one is shortened to it, as it is treated as a mistake: a target that wants no requests
/// for so long leaves the list.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Announcement of a target in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the target is about to stop.
    pub leaving: bool,
    /// Time during which the target wants no requests from this router, if it asks for a pause.
    pub pause: Option<Duration>,
    /// Time for which the target stays cold, if it states it.
    pub cold_left: Option<Duration>,
}

/// Effect of a notice on the known availability of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// No announcement, or a departure that was announced before.
    #[strum(serialize = "known")]
    Unchanged,
    /// The target now leaves.
    #[strum(serialize = "leaves")]
    Leaving,
    /// The target asks for a pause.
    #[strum(serialize = "rests")]
    Paused,
}

/// Announcements of a target so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Availability {
    leaving: bool,
    paused_until: Option<Instant>,
}

impl Availability {
    /// Applies a notice; a shorter pause does not end a longer one.
    pub(super) fn apply(&mut self, now: Instant, notice: Notice) -> Change {
        if let Some(pause) = notice.pause {
            let until = now + pause.min(MAX_PAUSE);
            self.paused_until = self.paused_until.max(Some(until));
        }
        match notice {
            Notice { leaving: true, .. } if !self.leaving => {
                self.leaving = true;
                Change::Leaving
            }
            Notice { pause: Some(_), .. } => Change::Paused,
            _ => Change::Unchanged,
        }
    }

    /// Whether the target is about to stop.
    pub(super) const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Remaining time of the pause; none outside a pause.
    pub(super) fn pause_left(&self, now: Instant) -> Option<Duration> {
        let left = self.paused_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }
}

/// Time for which reports carry the departure of a target; the same as for other changes of
/// targets.
const DEPARTURE_REPORT_TIME: Duration = polling::CHANGE_REPEAT_TIME;

impl Fleet {
    /// Applies the notice in a response head; returns the resulting change.
    pub fn apply_notice(&mut self, now: Instant, target: &str, notice: Notice) -> Change {
        let Some(record) = self.records.get_mut(target) else { return Change::Unchanged };
        let change = record.availability.apply(now, notice);
        if change == Change::Leaving {
            let started_ms = record.row.started_ms.unwrap_or_default();
            self.departures.push_back((now, Departure { target: record.short_hash, started_ms }));
        }
        change
    }

    /// Departures that targets announced in responses, for the next report, latest first.
    pub fn departures_to_report(&mut self, now: Instant) -> Vec<Departure> {
        self.departures
            .retain(|(at, _)| now.saturating_duration_since(*at) <= DEPARTURE_REPORT_TIME);
        let latest = self.departures.iter().rev().take(report::MAX_LIST_LENGTH);
        latest.map(|(_, departure)| *departure).collect()
    }

    /// Takes the targets whose departure other routers have reported since the last call.
    pub fn take_peer_departures(&mut self) -> Vec<String> {
        std::mem::take(&mut self.peer_departures)
    }

    /// Applies another router's report that a target leaves, unless the target has restarted since.
    pub(super) fn apply_departure(&mut self, now: Instant, departure: Departure) {
        let Some(name) = self.names_by_hash.get(&departure.target).cloned() else { return };
        let started_ms =
            self.records.get(&name).map(|record| record.row.started_ms.unwrap_or_default());
        if started_ms == Some(departure.started_ms) {
            let notice = Notice { leaving: true, ..Notice::default() };
            if self.apply_notice(now, &name, notice) == Change::Leaving {
                self.peer_departures.push(name);
            }
        }
    }
}
