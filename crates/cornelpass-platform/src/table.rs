//! Transactional table of the platform: rows of JSON with revisions, and conditional commits.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::Error;

/// Revision of the table: each commit increases it.
pub type Revision = u64;

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Revision of the commit that last wrote the row.
    pub revision: Revision,
    /// Value of the row, in JSON.
    pub value: Value,
}

/// All rows under a prefix, as they were at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Highest revision that any row under the prefix ever had, deletions included; 0 if none.
    pub revision: Revision,
    /// Rows in the order of their keys.
    pub rows: Vec<Row>,
}

/// Condition on one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Revision that the row must have; `None` if the row must be absent.
    pub revision: Option<Revision>,
}

/// Condition on all rows under a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixCondition {
    /// Prefix of the keys.
    pub prefix: String,
    /// Revision that the [`Listing`] of the prefix must have.
    pub revision: Revision,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// New value of the row, in JSON.
    pub value: Value,
}

/// Writes that take effect together if all conditions hold, and not at all otherwise.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Commit {
    /// Conditions on rows.
    pub conditions: Vec<Condition>,
    /// Conditions on prefixes.
    pub prefix_conditions: Vec<PrefixCondition>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys of the rows to delete.
    pub deletes: Vec<String>,
}

impl Commit {
    /// Creates a commit without conditions and writes.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the condition that a row has a revision, or is absent if `revision` is `None`.
    #[must_use]
    pub fn if_unchanged(mut self, key: impl Into<String>, revision: Option<Revision>) -> Self {
        self.conditions.push(Condition { key: key.into(), revision });
        self
    }

    /// Adds the condition that no row under a prefix has changed since the listing with that
    /// revision.
    #[must_use]
    pub fn if_prefix_unchanged(mut self, prefix: impl Into<String>, revision: Revision) -> Self {
        self.prefix_conditions.push(PrefixCondition { prefix: prefix.into(), revision });
        self
    }

    /// Adds a row to write.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: Value) -> Self {
        self.puts.push(Put { key: key.into(), value });
        self
    }

    /// Adds a row to delete.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.deletes.push(key.into());
        self
    }
}

/// Interface of the table.
pub trait Table: Send + Sync {
    /// Reads a row; `None` if the row does not exist.
    ///
    /// # Errors
    ///
    /// If the platform gives no complete response, or rejects the request.
    fn read(&self, key: &str) -> Result<Option<Row>, Error>;

    /// Reads all rows under a prefix as they are at one moment.
    ///
    /// # Errors
    ///
    /// If the platform gives no complete response, or rejects the request.
    fn scan(&self, prefix: &str) -> Result<Listing, Error>;

    /// Makes a commit, and returns its revision.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] when a condition does not hold; [`Error::Lost`] when the commit may
    /// have taken effect.
    fn commit(&self, commit: &Commit) -> Result<Revision, Error>;
}
