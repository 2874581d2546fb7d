//! Follows the accepted configuration, and accepts the operators' rows as its next version.
//!
//! Operators write rows under `config/`. A router whose [`Follower`] is accepting checks them and
//! makes the next version of them by one commit, on condition that neither the head nor any of
//! the operators' rows has changed meanwhile; so there is one version at a time and each is of a
//! table that was in the store at one moment. Everybody else follows `accepted/head`.

mod acceptor;
mod edit;
mod turn;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use cornelpass_core::check::Finding;
use cornelpass_core::clock::Clock;
use cornelpass_core::config::{OfferOutcome, Replica, Snapshot, Version};
use cornelpass_core::digest;
use cornelpass_core::lease::{HOLDER_POLL_FACTOR, Tracker};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

pub use self::acceptor::{Acceptor, KEPT_VERSIONS, Verdict};
pub use self::edit::{Base, Edit, apply, read};
pub use self::turn::TURN;
use crate::error::Error;
use crate::table::{Revision, Row, Table};

/// Prefix of the operators' rows.
pub const ROWS: &str = "config/";

/// Key of the accepted head.
pub const HEAD: &str = "accepted/head";

/// Times that a poll starts over when the head moves under it.
const ROUNDS: usize = 4;

/// Key of an accepted version.
#[must_use]
pub fn snapshot_key(version: Version) -> String {
    format!("accepted/snapshot/{version}")
}

/// The latest accepted version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Number of the version.
    pub version: Version,
    /// Revision of the operators' rows that it was made from.
    pub source: Revision,
    /// Hash of the snapshot's JSON.
    pub digest: u64,
}

impl Head {
    /// The head that names a snapshot.
    #[must_use]
    pub fn of(snapshot: &Snapshot) -> Self {
        let bytes = serde_json::to_vec(snapshot).unwrap_or_default();
        let Snapshot { version, source, .. } = *snapshot;
        Self { version, source, digest: digest::content(&bytes) }
    }
}

/// What a poll found.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The version in force is the latest.
    Unchanged,
    /// A higher version is in force now.
    Applied {
        /// Its number.
        version: Version,
    },
    /// The operators' rows do not pass the checks; the version in force stays. Reported once for
    /// each revision of the rows.
    Rejected {
        /// Revision of the rows.
        revision: Revision,
        /// Everything that is wrong in them.
        findings: Vec<Finding>,
    },
    /// The platform names a lower version than the one in force, which stays.
    Regressed {
        /// Version that the platform names.
        version: Version,
    },
    /// The platform did not answer, or not with a configuration; the version in force stays.
    Unreachable {
        /// Cause.
        error: Error,
    },
}

/// Keeps a replica up to date from the platform's table.
pub struct Follower {
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    replica: Arc<Mutex<Replica>>,
    acceptor: Option<Acceptor>,
    turn: Option<Tracker>,
    holds: bool,
}

/// What one round of a poll leads to.
enum Next {
    Report(Event),
    Again,
}

impl Follower {
    /// A follower that accepts nothing.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, clock: Arc<dyn Clock>, replica: Arc<Mutex<Replica>>) -> Self {
        Self { table, clock, replica, acceptor: None, turn: None, holds: false }
    }

    /// Also accepts the operators' rows.
    #[must_use]
    pub fn accepting(mut self) -> Self {
        self.acceptor = Some(Acceptor::new());
        self
    }

    /// Accepts only while it holds the acceptor's turn, under a token that is unique in the fleet.
    #[must_use]
    pub fn by_turns(mut self, token: &str) -> Self {
        self.turn = Some(Tracker::new(token));
        self
    }

    /// Time until the next poll, given the usual time between two.
    #[must_use]
    pub fn pause(&self, period: Duration) -> Duration {
        if self.holds { period / HOLDER_POLL_FACTOR } else { period }
    }

    /// Looks once for a new version; blocks while the platform answers.
    ///
    /// Takes one read when nothing has changed, and one scan if it also accepts; by turns, one
    /// more read, and a commit if it holds the turn. After a report of rejected rows the next poll
    /// follows the head.
    pub fn poll(&mut self) -> Event {
        for _ in 0..ROUNDS {
            match self.round() {
                Ok(Next::Report(event)) => return event,
                Ok(Next::Again) => {}
                Err(error) => return Event::Unreachable { error },
            }
        }
        Event::Unreachable { error: Error::Conflict { keys: vec![HEAD.to_owned()] } }
    }

    fn round(&mut self) -> Result<Next, Error> {
        let (asked, held) = (self.clock.now(), self.replica().version());
        let row = self.table.read(HEAD)?;
        let verdict = self.accept(row.as_ref(), held)?;
        match verdict {
            Verdict::Current => self.follow(row.as_ref(), held, asked),
            Verdict::Rejected { revision, findings } => {
                Ok(Next::Report(Event::Rejected { revision, findings }))
            }
            Verdict::Committed(snapshot) => Ok(Next::Report(self.take(snapshot, asked))),
            Verdict::Moved => Ok(Next::Again),
        }
    }

    /// Accepts the operators' rows if this process does so, and if it is its turn.
    fn accept(&mut self, row: Option<&Row>, held: Version) -> Result<Verdict, Error> {
        let Some(acceptor) = &mut self.acceptor else { return Ok(Verdict::Current) };
        let table = self.table.as_ref();
        let Some(turn) = &mut self.turn else { return acceptor.accept(table, row, held) };
        let decision = turn::decide(turn, table, self.clock.now())?;
        self.holds = decision.next == turn::Next::Renew;
        match decision.next {
            turn::Next::Wait => Ok(Verdict::Current),
            turn::Next::Acquire if turn::beat(turn, table, &decision)? => {
                acceptor.accept(table, row, held)
            }
            turn::Next::Acquire => Ok(Verdict::Current),
            turn::Next::Renew => {
                let verdict = acceptor.accept(table, row, held)?;
                turn::beat(turn, table, &decision)?;
                Ok(verdict)
            }
        }
    }

    /// Takes the version that the head names; `held` was in force before the head was read.
    fn follow(&self, row: Option<&Row>, held: Version, asked: Instant) -> Result<Next, Error> {
        let head: Head = row.map(decode).transpose()?.unwrap_or_default();
        if head.version < held {
            return Ok(Next::Report(Event::Regressed { version: head.version }));
        }
        if head.version == 0 {
            return Ok(Next::Report(Event::Unchanged));
        }
        if head.version == held {
            self.replica().confirm_version(held, Duration::ZERO, asked);
            return Ok(Next::Report(Event::Unchanged));
        }
        let key = snapshot_key(head.version);
        let Some(row) = self.table.read(&key)? else { return Ok(Next::Again) };
        let snapshot: Snapshot = decode(&row)?;
        if Head::of(&snapshot) != head {
            let message = "not the snapshot that the head names".to_owned();
            return Err(Error::Malformed { key, message });
        }
        Ok(Next::Report(self.take(snapshot, asked)))
    }

    fn take(&self, snapshot: Snapshot, asked: Instant) -> Event {
        let version = snapshot.version;
        let mut replica = self.replica();
        match replica.offer(snapshot) {
            OfferOutcome::Applied => {
                replica.confirm(asked);
                Event::Applied { version }
            }
            OfferOutcome::Unchanged => {
                replica.confirm(asked);
                Event::Unchanged
            }
            OfferOutcome::Outdated => Event::Unchanged,
        }
    }

    fn replica(&self) -> std::sync::MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the value of a row.
fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    T::deserialize(&row.value)
        .map_err(|error| Error::Malformed { key: row.key.clone(), message: error.to_string() })
}

/// Writes the value of a row.
fn encode(key: &str, value: &impl Serialize) -> Result<serde_json::Value, Error> {
    serde_json::to_value(value)
        .map_err(|error| Error::Malformed { key: key.to_owned(), message: error.to_string() })
}
