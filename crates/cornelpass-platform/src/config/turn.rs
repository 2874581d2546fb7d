//! Keeps the acceptor's turn in the table.

use std::time::Instant;

pub(super) use cornelpass_core::lease::Next;
use cornelpass_core::lease::{Lease, Tracker};

use super::{decode, encode};
use crate::error::Error;
use crate::table::{Commit, Revision, Table};

/// Key of the lease.
pub const TURN: &str = "accepted/turn";

/// A turn with the revision of the lease that it was decided by.
pub(super) struct Decision {
    pub(super) next: Next,
    revision: Option<Revision>,
}

/// Decides whose turn it is.
///
/// # Errors
///
/// When the platform does not answer or the lease is malformed.
pub(super) fn decide(
    turn: &mut Tracker,
    table: &dyn Table,
    now: Instant,
) -> Result<Decision, Error> {
    let row = table.read(TURN)?;
    let lease: Option<Lease> = row.as_ref().map(decode).transpose()?;
    let revision = row.map(|row| row.revision);
    Ok(Decision { next: turn.decide(now, lease.as_ref().zip(revision)), revision })
}

/// Writes the lease; false if another router was first, or if the answer was lost.
///
/// # Errors
///
/// When the platform does not answer.
pub(super) fn beat(turn: &Tracker, table: &dyn Table, decision: &Decision) -> Result<bool, Error> {
    let value = encode(TURN, &turn.lease())?;
    let commit = Commit::new().unchanged(TURN, decision.revision).put(TURN, value);
    match table.commit(&commit) {
        Ok(_) => Ok(true),
        Err(Error::Conflict { .. } | Error::Lost { .. }) => Ok(false),
        Err(error) => Err(error),
    }
}
