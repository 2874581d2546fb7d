//! Edits of the operators' rows, by a tool that declares the whole table.

use std::collections::BTreeMap;

use cornelpass_core::check::{self, Finding};
use cornelpass_core::table::Table as Declaration;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::ROWS;
use crate::error::Error;
use crate::table::{Commit, Listing, Revision, Row, Table};

/// The operators' rows as an operator saw them before an edit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Base {
    /// Rows by path, such as `target/engine-1`.
    pub rows: BTreeMap<String, Row>,
}

/// What became of an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// The rows are written.
    Written {
        /// Paths of the rows that changed.
        rows: Vec<String>,
    },
    /// The declaration has what the base has; nothing was written.
    Same,
    /// Somebody else changed rows of this edit after the base was read; nothing was written.
    Conflict {
        /// Paths of the rows.
        rows: Vec<String>,
    },
    /// The declaration does not pass the checks; nothing was written.
    Invalid {
        /// Everything that is wrong in it.
        findings: Vec<Finding>,
    },
    /// The answer was lost and the rows are not as declared: the edit may still land.
    Unknown {
        /// Paths of the rows that are not as declared.
        rows: Vec<String>,
    },
}

/// Reads the operators' rows.
///
/// # Errors
///
/// When the platform does not answer.
pub fn read(table: &dyn Table) -> Result<Base, Error> {
    let Listing { rows, .. } = table.scan(ROWS)?;
    let path = |row: &Row| row.key.strip_prefix(ROWS).unwrap_or(&row.key).to_owned();
    Ok(Base { rows: rows.into_iter().map(|row| (path(&row), row)).collect() })
}

/// Writes the rows in which a declaration differs from the base, all or none.
///
/// Only rows of this edit must be as they were in the base, so that edits of different rows
/// both take effect, and of two edits of one row the later is told of the earlier.
///
/// # Errors
///
/// When the platform does not answer.
pub fn apply(table: &dyn Table, base: &Base, declaration: &Declaration) -> Result<Edit, Error> {
    if let Err(findings) = check::check_table(declaration) {
        return Ok(Edit::Invalid { findings });
    }
    let changes = changes(base, declaration);
    if changes.is_empty() {
        return Ok(Edit::Same);
    }
    match table.commit(&commit(base, &changes)) {
        Ok(_) => Ok(Edit::Written { rows: changes.into_keys().collect() }),
        Err(Error::Conflict { keys }) => Ok(Edit::Conflict { rows: paths(&keys) }),
        Err(Error::Lost { message }) => recognise(table, changes, message),
        Err(error) => Err(error),
    }
}

/// New values by path; none for a row to delete.
fn changes(base: &Base, declaration: &Declaration) -> BTreeMap<String, Option<Value>> {
    let declared = check::to_rows(declaration);
    let gone = base.rows.keys().filter(|path| !declared.contains_key(*path));
    let mut changes: BTreeMap<String, Option<Value>> =
        gone.map(|path| (path.clone(), None)).collect();
    let normal = normal(base);
    for (path, value) in declared {
        let row = base.rows.get(&path);
        let row = row.map(|row| normal.get(&path).unwrap_or(&row.value));
        if row != Some(&value) {
            changes.insert(path, Some(value));
        }
    }
    changes
}

/// Rows of the base as a declaration has them, without columns at their defaults; none if the base
/// does not pass the checks.
fn normal(base: &Base) -> BTreeMap<String, Value> {
    let rows = base.rows.iter().map(|(path, row)| (path.as_str(), &row.value));
    check::check_rows(rows).map(|table| check::to_rows(&table)).unwrap_or_default()
}

fn commit(base: &Base, changes: &BTreeMap<String, Option<Value>>) -> Commit {
    let mut commit = Commit::new();
    for (path, value) in changes {
        let key = format!("{ROWS}{path}");
        let revision: Option<Revision> = base.rows.get(path).map(|row| row.revision);
        commit = commit.unchanged(&key, revision);
        commit = match value {
            Some(value) => commit.put(key, value.clone()),
            None => commit.delete(key),
        };
    }
    commit
}

/// Finds out after a lost answer whether the rows are as declared.
fn recognise(
    table: &dyn Table,
    changes: BTreeMap<String, Option<Value>>,
    message: String,
) -> Result<Edit, Error> {
    let Ok(now) = read(table) else { return Err(Error::Lost { message }) };
    let differs = |(path, value): (&String, &Option<Value>)| {
        let current = now.rows.get(path).map(|row| &row.value);
        (current != value.as_ref()).then(|| path.clone())
    };
    let rows: Vec<String> = changes.iter().filter_map(differs).collect();
    if rows.is_empty() {
        return Ok(Edit::Written { rows: changes.into_keys().collect() });
    }
    Ok(Edit::Unknown { rows })
}

fn paths(keys: &[String]) -> Vec<String> {
    keys.iter().map(|key| key.strip_prefix(ROWS).unwrap_or(key).to_owned()).collect()
}
