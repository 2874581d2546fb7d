//! Accepts the operators' rows as the next version of the configuration.
//!
//! The acceptor reads the operators' rows and the head row, checks the operators' rows, and commits
//! the next version on condition that neither has changed meanwhile.

use cornelpass_core::check::{self, Finding};
use cornelpass_core::config::{Snapshot, Version};

use super::{HEAD_KEY, Head, ROWS_PREFIX, decode, encode, snapshot_key};
use crate::error::Error;
use crate::table::{Commit, Listing, Revision, Row, Table};

/// Number of accepted versions that stay in the table, for followers that lag behind.
pub const KEPT_VERSIONS: u64 = 64;

/// Outcome of [`Acceptor::accept`].
#[derive(Clone, Debug, PartialEq)]
pub enum Acceptance {
    /// The head names the version of these rows, or the rows were rejected before.
    Current,
    /// The operators' rows do not pass the checks.
    Rejected {
        /// Revision of the rows.
        revision: Revision,
        /// All errors in the rows.
        findings: Vec<Finding>,
    },
    /// The operators' rows were committed as the next version.
    Committed(Snapshot),
    /// The head or the operators' rows have changed, or the response was lost: read the head again.
    Superseded,
}

/// Accepts the operators' rows.
///
/// Any number of processes may accept at the same time: the checks depend on the rows alone, and
/// the commits of all processes but one fail. A commit that arrives late fails for the same reason:
/// the head has changed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Acceptor {
    /// Revision of the operators' rows that were last rejected; 0 if none.
    rejected: Revision,
}

impl Acceptor {
    /// Creates an acceptor that has not rejected any rows.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Accepts the operators' rows if they are newer than those of the head.
    ///
    /// The new version is higher than the version of the head and than `active_version`, the
    /// version that is active in this process. The latter is the higher one if the platform's
    /// table was restored from an older state.
    ///
    /// # Errors
    ///
    /// If the platform does not respond, or the head row is malformed.
    pub fn accept(
        &mut self,
        table: &dyn Table,
        head_row: Option<&Row>,
        active_version: Version,
    ) -> Result<Acceptance, Error> {
        let head: Head = head_row.map(decode).transpose()?.unwrap_or_default();
        let listing = table.scan(ROWS_PREFIX)?;
        if listing.revision <= head.source || listing.revision == self.rejected {
            return Ok(Acceptance::Current);
        }
        match check(&listing) {
            Err(findings) => {
                self.rejected = listing.revision;
                Ok(Acceptance::Rejected { revision: listing.revision, findings })
            }
            Ok(checked) => {
                let version = head.version.max(active_version) + 1;
                let snapshot = Snapshot { version, source: listing.revision, table: checked };
                commit(table, head_row.map(|row| row.revision), snapshot)
            }
        }
    }
}

/// Checks the operators' rows, and returns them as a table.
fn check(listing: &Listing) -> Result<cornelpass_core::table::Table, Vec<Finding>> {
    let path =
        |row: &'_ Row| row.key.strip_prefix(ROWS_PREFIX).map(str::to_owned).unwrap_or_default();
    let paths: Vec<String> = listing.rows.iter().map(path).collect();
    check::check_rows(
        paths.iter().map(String::as_str).zip(listing.rows.iter().map(|row| &row.value)),
    )
}

/// Commits a snapshot and the head that names it, and deletes the snapshot that is
/// [`KEPT_VERSIONS`] versions older.
///
/// `head_revision` is the revision of the head row as it was read.
fn commit(
    table: &dyn Table,
    head_revision: Option<Revision>,
    snapshot: Snapshot,
) -> Result<Acceptance, Error> {
    let key = snapshot_key(snapshot.version);
    let mut commit = Commit::new()
        .if_unchanged(HEAD_KEY, head_revision)
        .if_prefix_unchanged(ROWS_PREFIX, snapshot.source)
        .put(HEAD_KEY, encode(HEAD_KEY, &Head::for_snapshot(&snapshot))?)
        .put(&key, encode(&key, &snapshot)?);
    if let Some(version) = snapshot.version.checked_sub(KEPT_VERSIONS).filter(|&old| old > 0) {
        commit = commit.delete(snapshot_key(version));
    }
    match table.commit(&commit) {
        Ok(_) => Ok(Acceptance::Committed(snapshot)),
        Err(Error::Conflict { .. } | Error::Lost { .. }) => Ok(Acceptance::Superseded),
        Err(error) => Err(error),
    }
}
