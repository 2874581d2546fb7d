//! Status row of a rollout in the platform's store: when it is read and written, and by whom.
//!
//! Only the deciding router writes, on the condition that the row has the revision that it has read.
//! So a router that was suspended between its decision and its write changes nothing if another
//! router has written meanwhile; it reads the row and follows it.

use std::time::{Duration, Instant};

use super::order::{State, Status};
use super::trial::Trial;
use super::{Change, Step, Written};

/// Pause between two calls for the row after one that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time after which a call without a result counts as lost with the task that made it.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// Status row as this router knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct Row {
    /// Revision of the row, 0 if there is none; none if it must be read.
    revision: Option<u64>,
    /// State in the row, if it is about this order.
    written: Option<State>,
    /// When the call in progress started.
    called_at: Option<Instant>,
    /// When the next call may start.
    next_at: Option<Instant>,
}

impl Row {
    /// Makes the router read the row before anything else.
    pub(super) const fn forget(&mut self) {
        self.revision = None;
    }
}

impl Trial {
    /// Forgets the status row after a restore of the store.
    pub(super) const fn forget_row(&mut self) {
        (self.row.revision, self.row.written) = (None, None);
    }

    /// Read or write of the row that is due.
    pub(super) fn next_store_step(
        &mut self,
        now: Instant,
        acts: bool,
        must_read: bool,
        ordered_ms: u64,
    ) -> Option<Step> {
        let busy =
            self.row.called_at.is_some_and(|at| now.saturating_duration_since(at) < CALL_TIMEOUT);
        if busy || self.row.next_at.is_some_and(|at| now < at) {
            return None;
        }
        let service = self.service.clone();
        let desired = self.desired_state();
        if self.row.written == Some(desired) && self.row.revision.is_some() && self.confirmed {
            return None;
        }
        let step = match self.row.revision {
            None if acts || must_read => Step::Read { service },
            Some(expected) if acts && self.confirmed => {
                let status = Status {
                    state: desired,
                    to: self.order.to.clone(),
                    order: self.revision,
                    content: self.order.content(),
                    ordered_ms,
                };
                Step::Write { service, status, expected }
            }
            _ => return None,
        };
        self.row.called_at = Some(now);
        Some(step)
    }

    /// Applies the row with its revision; `removed` is the revision at which the last order of the
    /// service was removed.
    pub(super) fn apply_status(
        &mut self,
        now: Instant,
        row: Option<(Status, u64)>,
        removed: u64,
        wall_ms: u64,
    ) -> Option<Change> {
        (self.row.called_at, self.row.written) = (None, None);
        self.row.revision = Some(row.as_ref().map_or(0, |(_, revision)| *revision));
        self.confirmed = true;
        let (status, _) = row.filter(|(status, _)| self.is_about_this(status, removed))?;
        self.revision = self.revision.min(status.order);
        let age_ms = wall_ms.saturating_sub(status.ordered_ms);
        self.record_age(now, u32::try_from(age_ms).unwrap_or(u32::MAX));
        self.row.written = Some(status.state);
        if status.state.is_final() { self.finish(now, status.state) } else { None }
    }

    /// Whether a row states the result of this order and not of another one.
    fn is_about_this(&self, status: &Status, removed: u64) -> bool {
        status.content == self.order.content()
            && status.to == self.order.to
            && status.order > removed
            && status.order <= self.last_revision
    }

    pub(super) fn record_unread(&mut self, now: Instant) {
        self.row.called_at = None;
        self.row.next_at = Some(now + RETRY_PAUSE);
    }

    pub(super) fn record_write(
        &mut self,
        now: Instant,
        status: &Status,
        written: Written,
    ) -> Option<Change> {
        self.row.called_at = None;
        // The write has changed the row, or somebody else has, or it is not known.
        self.row.revision = None;
        let is_current = status.content == self.order.content();
        match written {
            Written::Done if is_current => {
                self.row.written = Some(status.state);
                if status.state.is_final() { self.finish(now, status.state) } else { None }
            }
            Written::Done | Written::Conflict => None,
            Written::Unknown => {
                self.row.next_at = Some(now + RETRY_PAUSE);
                None
            }
        }
    }
}
