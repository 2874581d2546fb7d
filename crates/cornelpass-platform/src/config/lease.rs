//! Reads and writes the acceptor lease in the platform's table.
//!
//! Only the holder of the lease reads all of the operators' rows and accepts versions. The lease
//! only saves reads; see [`cornelpass_core::lease`], which decides from the lease row whether this
//! router waits, acquires the lease or renews it.

use std::time::Instant;

pub(super) use cornelpass_core::lease::Next;
use cornelpass_core::lease::{Lease, Tracker};

use super::{decode, encode};
use crate::error::Error;
use crate::table::{Commit, Revision, Table};

/// Key of the lease row.
pub const LEASE_KEY: &str = "accepted/turn";

/// Outcome of [`write`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// This router holds the lease.
    Written,
    /// Another router wrote the row first.
    Conflict,
    /// The response was lost, so this router may hold the lease.
    Unknown,
}

/// Decision about the lease, with the revision of the lease row that the decision depends on.
pub(super) struct Decision {
    pub(super) next: Next,
    revision: Option<Revision>,
}

/// Reads the lease row, and decides whether this router waits, acquires the lease or renews it.
///
/// # Errors
///
/// If the platform does not respond, or the lease row is malformed.
pub(super) fn decide(
    tracker: &mut Tracker,
    table: &dyn Table,
    now: Instant,
) -> Result<Decision, Error> {
    let row = table.read(LEASE_KEY)?;
    let lease: Option<Lease> = row.as_ref().map(decode).transpose()?;
    let revision = row.map(|row| row.revision);
    Ok(Decision { next: tracker.decide(now, lease.as_ref().zip(revision)), revision })
}

/// Writes the lease row in order to acquire or renew the lease.
///
/// # Errors
///
/// If the platform cannot be reached, or rejects the commit.
pub(super) fn write(
    tracker: &Tracker,
    table: &dyn Table,
    decision: &Decision,
) -> Result<Outcome, Error> {
    let value = encode(LEASE_KEY, &tracker.lease())?;
    let commit = Commit::new().if_unchanged(LEASE_KEY, decision.revision).put(LEASE_KEY, value);
    match table.commit(&commit) {
        Ok(_) => Ok(Outcome::Written),
        Err(Error::Conflict { .. }) => Ok(Outcome::Conflict),
        Err(Error::Lost { .. }) => Ok(Outcome::Unknown),
        Err(error) => Err(error),
    }
}
