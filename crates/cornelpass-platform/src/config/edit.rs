//! Edits of the operators' rows, by a tool that declares the whole table.
//!
//! The tool reads the rows as a [`Base`]. Later it writes the difference between the base and a
//! declaration in one commit, on condition that the rows of the edit have not changed since.

use std::collections::BTreeMap;

use cornelpass_core::check::{self, Finding};
use cornelpass_core::table::Table as Declaration;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::ROWS_PREFIX;
use crate::error::Error;
use crate::table::{Commit, Listing, Revision, Row, Table};

/// Operators' rows as they were read before an edit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Base {
    /// Rows by path, such as `target/engine-1`.
    pub rows: BTreeMap<String, Row>,
}

/// Outcome of an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum EditOutcome {
    /// The changed rows were written.
    Written {
        /// Paths of the rows that changed.
        rows: Vec<String>,
    },
    /// The declaration is equal to the base; nothing was written.
    Unchanged,
    /// Rows of this edit were changed by others after the base was read; nothing was written.
    Conflict {
        /// Paths of the rows that others changed.
        rows: Vec<String>,
    },
    /// The declaration does not pass the checks; nothing was written.
    Invalid {
        /// All errors in the declaration.
        findings: Vec<Finding>,
    },
    /// The response was lost and the rows are not as declared: the edit may still take effect.
    Unknown {
        /// Paths of the rows that are not as declared.
        rows: Vec<String>,
    },
}

/// Reads the operators' rows.
///
/// # Errors
///
/// If the platform gives no complete response, or rejects the request.
pub fn read_base(table: &dyn Table) -> Result<Base, Error> {
    let Listing { rows, .. } = table.scan(ROWS_PREFIX)?;
    let path = |row: &Row| row.key.strip_prefix(ROWS_PREFIX).unwrap_or(&row.key).to_owned();
    Ok(Base { rows: rows.into_iter().map(|row| (path(&row), row)).collect() })
}

/// Writes the rows in which a declaration differs from the base, either all of them or none.
///
/// Only the rows of this edit must be as they were in the base. Therefore two edits of different
/// rows both take effect, and of two edits of the same row the later one fails with a conflict.
///
/// # Errors
///
/// If the platform gives no complete response and the rows cannot be read afterwards, or if it
/// rejects a request.
pub fn apply_edit(
    table: &dyn Table,
    base: &Base,
    declaration: &Declaration,
) -> Result<EditOutcome, Error> {
    if let Err(findings) = check::check_table(declaration) {
        return Ok(EditOutcome::Invalid { findings });
    }
    let changes = changes(base, declaration);
    if changes.is_empty() {
        return Ok(EditOutcome::Unchanged);
    }
    match table.commit(&commit(base, &changes)) {
        Ok(_) => Ok(EditOutcome::Written { rows: changes.into_keys().collect() }),
        Err(Error::Conflict { keys }) => Ok(EditOutcome::Conflict { rows: paths(&keys) }),
        Err(Error::Lost { message }) => check_rows_after_lost_response(table, changes, message),
        Err(error) => Err(error),
    }
}

/// New values of the changed rows by path; `None` for a row to delete.
fn changes(base: &Base, declaration: &Declaration) -> BTreeMap<String, Option<Value>> {
    let declared = check::to_rows(declaration);
    let removed_paths = base.rows.keys().filter(|path| !declared.contains_key(*path));
    let mut changes: BTreeMap<String, Option<Value>> =
        removed_paths.map(|path| (path.clone(), None)).collect();
    let normalised = normalise(base);
    for (path, value) in declared {
        let base_row = base.rows.get(&path);
        let base_value = base_row.map(|row| normalised.get(&path).unwrap_or(&row.value));
        if base_value != Some(&value) {
            changes.insert(path, Some(value));
        }
    }
    changes
}

/// Values of the base's rows in the form of a declaration, without columns that have their default
/// value; empty if the base does not pass the checks.
fn normalise(base: &Base) -> BTreeMap<String, Value> {
    let rows = base.rows.iter().map(|(path, row)| (path.as_str(), &row.value));
    check::check_rows(rows).map(|table| check::to_rows(&table)).unwrap_or_default()
}

/// Builds the commit that makes the changes, on condition that their rows are as in the base.
fn commit(base: &Base, changes: &BTreeMap<String, Option<Value>>) -> Commit {
    let mut commit = Commit::new();
    for (path, value) in changes {
        let key = format!("{ROWS_PREFIX}{path}");
        let revision: Option<Revision> = base.rows.get(path).map(|row| row.revision);
        commit = commit.if_unchanged(&key, revision);
        commit = match value {
            Some(value) => commit.put(key, value.clone()),
            None => commit.delete(key),
        };
    }
    commit
}

/// Reads the rows again after a lost response, to find out whether they are as declared.
fn check_rows_after_lost_response(
    table: &dyn Table,
    changes: BTreeMap<String, Option<Value>>,
    message: String,
) -> Result<EditOutcome, Error> {
    let Ok(current) = read_base(table) else { return Err(Error::Lost { message }) };
    let differs = |(path, value): (&String, &Option<Value>)| {
        let current_value = current.rows.get(path).map(|row| &row.value);
        (current_value != value.as_ref()).then(|| path.clone())
    };
    let rows: Vec<String> = changes.iter().filter_map(differs).collect();
    if rows.is_empty() {
        return Ok(EditOutcome::Written { rows: changes.into_keys().collect() });
    }
    Ok(EditOutcome::Unknown { rows })
}

/// Converts keys of operators' rows to paths.
fn paths(keys: &[String]) -> Vec<String> {
    keys.iter().map(|key| key.strip_prefix(ROWS_PREFIX).unwrap_or(key).to_owned()).collect()
}
