//! Makes the next version of the operators' rows.

use cornelpass_core::check::{self, Finding};
use cornelpass_core::config::{Snapshot, Version};

use super::{HEAD, Head, ROWS, decode, encode, snapshot_key};
use crate::error::Error;
use crate::table::{Commit, Listing, Revision, Row, Table};

/// Accepted versions that stay in the table for followers that lag.
pub const KEPT_VERSIONS: u64 = 64;

/// What became of the operators' rows.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The head stands for them, or they were reported before.
    Current,
    /// They do not pass the checks.
    Rejected {
        /// Revision of the rows.
        revision: Revision,
        /// Everything that is wrong in them.
        findings: Vec<Finding>,
    },
    /// They are the next version.
    Committed(Snapshot),
    /// The head or the rows moved, or the answer was lost: read the head again.
    Moved,
}

/// Accepts the operators' rows.
///
/// Any number of processes may accept at once: the checks depend on the rows alone, and the commit
/// of all but one of them fails. A commit that lands late fails likewise, because the head has
/// moved on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Acceptor {
    rejected: Revision,
}

impl Acceptor {
    /// An acceptor that has reported nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Accepts the operators' rows if they are newer than the head.
    ///
    /// The new version is higher than the head's and than the one held here, which is the higher
    /// one if the table was restored from an older state.
    ///
    /// # Errors
    ///
    /// When the platform does not answer or the head is malformed.
    pub fn accept(
        &mut self,
        table: &dyn Table,
        row: Option<&Row>,
        held: Version,
    ) -> Result<Verdict, Error> {
        let head: Head = row.map(decode).transpose()?.unwrap_or_default();
        let listing = table.scan(ROWS)?;
        if listing.revision <= head.source || listing.revision == self.rejected {
            return Ok(Verdict::Current);
        }
        match check(&listing) {
            Err(findings) => {
                self.rejected = listing.revision;
                Ok(Verdict::Rejected { revision: listing.revision, findings })
            }
            Ok(accepted) => {
                let version = head.version.max(held) + 1;
                let snapshot = Snapshot { version, source: listing.revision, table: accepted };
                commit(table, row.map(|row| row.revision), snapshot)
            }
        }
    }
}

fn check(listing: &Listing) -> Result<cornelpass_core::table::Table, Vec<Finding>> {
    let path = |row: &'_ Row| row.key.strip_prefix(ROWS).map(str::to_owned).unwrap_or_default();
    let paths: Vec<String> = listing.rows.iter().map(path).collect();
    check::check_rows(
        paths.iter().map(String::as_str).zip(listing.rows.iter().map(|row| &row.value)),
    )
}

fn commit(table: &dyn Table, head: Option<Revision>, snapshot: Snapshot) -> Result<Verdict, Error> {
    let key = snapshot_key(snapshot.version);
    let mut commit = Commit::new()
        .unchanged(HEAD, head)
        .prefix_unchanged(ROWS, snapshot.source)
        .put(HEAD, encode(HEAD, &Head::of(&snapshot))?)
        .put(&key, encode(&key, &snapshot)?);
    if let Some(version) = snapshot.version.checked_sub(KEPT_VERSIONS).filter(|&old| old > 0) {
        commit = commit.delete(snapshot_key(version));
    }
    match table.commit(&commit) {
        Ok(_) => Ok(Verdict::Committed(snapshot)),
        Err(Error::Conflict { .. } | Error::Lost { .. }) => Ok(Verdict::Moved),
        Err(error) => Err(error),
    }
}
