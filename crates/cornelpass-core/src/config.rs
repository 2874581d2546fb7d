//! Versions of the chat interface's configuration, and the replica of the active version that each
//! process holds. (The gateway interface has its own configuration: [`crate::gateway_config`].)
//!
//! A configuration consists of the operators' [`Table`] and a version number.
//! A version is accepted once, by one conditional write to the platform's table. A [`Replica`]
//! applies a version only if the version is higher than the active one, so that no process reverts
//! to an earlier configuration. [`Startup`] decides when a process may serve with its replica,
//! because a process may have missed a version before its start or during a pause.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::table::Table;

/// Time for which a process without a recent confirmation from the platform collects versions from
/// its peers before it serves.
///
/// Also the maximum age of a confirmation that lets a process serve at once.
pub const STARTUP_HOLD: Duration = Duration::from_secs(3);

/// Maximum time between two calls of [`Startup::decide`] for the process to count as running
/// throughout.
pub const MAX_DECISION_GAP: Duration = Duration::from_secs(1);

/// Number of an accepted configuration; 0 if there is none.
pub type Version = u64;

/// An accepted configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of the configuration.
    pub version: Version,
    /// Revision of the operators' rows that the table was built from.
    pub source: u64,
    /// Organisations, data centres, targets and policy.
    pub table: Table,
}

/// Result of offering a configuration to a [`Replica`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The offered version is higher and is now active.
    Applied,
    /// The offered version was already active.
    Unchanged,
    /// The offered version is lower than the active one and was ignored.
    Outdated,
}

/// Replica of the configuration in this process: the active version.
///
/// Also records when the active version was last confirmed to be the latest one. The platform
/// confirms it directly, or a peer reports how long ago the platform confirmed it to that peer.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    active: Arc<Snapshot>,
    confirmed_at: Option<Instant>,
}

impl Replica {
    /// Creates a replica without a configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Active version; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> Version {
        self.active.version
    }

    /// Active configuration; the default one, of version 0, if there is none.
    #[must_use]
    pub fn current(&self) -> Arc<Snapshot> {
        Arc::clone(&self.active)
    }

    /// Applies a configuration if its version is higher than the active one.
    ///
    /// The new version is not confirmed to be the latest.
    pub fn offer(&mut self, snapshot: Snapshot) -> OfferOutcome {
        match snapshot.version.cmp(&self.active.version) {
            std::cmp::Ordering::Less => OfferOutcome::Outdated,
            std::cmp::Ordering::Equal => OfferOutcome::Unchanged,
            std::cmp::Ordering::Greater => {
                self.active = Arc::new(snapshot);
                self.confirmed_at = None;
                OfferOutcome::Applied
            }
        }
    }

    /// Records that the platform returned the active version as the latest one.
    ///
    /// `requested_at` is the time at which the request to the platform was sent, not the time of
    /// the response, because the version may have been superseded in between.
    pub fn confirm(&mut self, requested_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    /// Records the report of a peer that the platform confirmed `version` to it `age` ago.
    ///
    /// Has no effect unless `version` is the active version here. `requested_at` is the time at
    /// which the request to the peer was sent, so that a response that was delayed on its way does
    /// not count as recent.
    pub fn confirm_version(&mut self, version: Version, age: Duration, requested_at: Instant) {
        if version == self.active.version
            && let Some(confirmed_at) = requested_at.checked_sub(age)
        {
            self.confirm(confirmed_at);
        }
    }

    /// Time since the active version was last confirmed to be the latest; `None` if it never was.
    #[must_use]
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.saturating_duration_since(confirmed_at))
    }
}

/// What a process may do after a start or a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The process has no configuration: wait for the platform or a peer.
    Unconfigured,
    /// The configuration is not recently confirmed: continue to collect versions from the peers.
    Unconfirmed {
        /// Time for which the process must still collect versions.
        remaining: Duration,
    },
    /// The process may serve with the active configuration.
    Ready,
}

/// Decides when a process may serve after a start or after a pause in which it did not run.
///
/// A process may serve at once if its active version was confirmed within [`STARTUP_HOLD`], which
/// is the case when the platform responds. Otherwise the process applies the highest version that
/// its peers offer, and serves after it has collected versions for [`STARTUP_HOLD`]. Time in which
/// the process did not run does not count. Once a process may serve, it may continue to do so until
/// a pause. A gap of more than [`MAX_DECISION_GAP`] between two decisions means that the process
/// was paused; it is then treated as just started, because it may have missed a version.
#[derive(Clone, Copy, Debug, Default)]
pub struct Startup {
    /// Running time since the first decision with a configuration, or since the last pause.
    running_time: Duration,
    last_decision: Option<Instant>,
    /// Whether a decision allowed the process to serve. Holds until a pause, even if the
    /// confirmation of the active version gets old.
    may_serve: bool,
}

impl Startup {
    /// Creates the state of a process that has just started.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides what the process may do; must be called at least once every [`MAX_DECISION_GAP`].
    pub fn decide(&mut self, now: Instant, replica: &Replica) -> Readiness {
        if replica.version() == 0 {
            return Readiness::Unconfigured;
        }
        self.add_running_time(now);
        let is_confirmed = replica.confirmation_age(now).is_some_and(|age| age <= STARTUP_HOLD);
        self.may_serve |= is_confirmed || self.running_time >= STARTUP_HOLD;
        if self.may_serve {
            return Readiness::Ready;
        }
        Readiness::Unconfirmed { remaining: STARTUP_HOLD.saturating_sub(self.running_time) }
    }

    /// Adds the time since the last decision, or starts over if the process was paused.
    fn add_running_time(&mut self, now: Instant) {
        let gap =
            self.last_decision.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.last_decision = self.last_decision.max(Some(now));
        if gap <= MAX_DECISION_GAP {
            self.running_time += gap;
        } else {
            self.running_time = Duration::ZERO;
            self.may_serve = false;
        }
    }
}
