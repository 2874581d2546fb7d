//! A table in memory whose faults a test sets for each commit.

#![allow(dead_code, clippy::unwrap_used, reason = "each test uses a part")]

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use cornelpass_platform::Error;
use cornelpass_platform::table::{Commit, Listing, Revision, Row, Table};
use serde_json::Value;

/// Fault of one commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No fault.
    #[default]
    None,
    /// The commit takes effect, and its response is lost.
    LoseResponse,
    /// The request is lost, and the commit takes no effect.
    LoseRequest,
    /// The commit takes effect only when [`Memory::apply_delayed`] is called; its response is lost.
    Delay,
    /// The connection is refused.
    Refuse,
}

#[derive(Default)]
pub(crate) struct State {
    pub(crate) revision: Revision,
    pub(crate) rows: BTreeMap<String, (Revision, Value)>,
    /// Revision of the last deletion of each deleted key.
    pub(crate) deleted: BTreeMap<String, Revision>,
    pub(crate) delayed: Vec<Commit>,
    /// Number of commits that took effect.
    pub(crate) commits: u64,
    /// Faults of the next commits, the next one last.
    pub(crate) faults: Vec<Fault>,
    /// Whether all requests fail.
    pub(crate) down: bool,
}

impl State {
    fn listing(&self, prefix: &str) -> Listing {
        let has_prefix = |key: &String| key.starts_with(prefix);
        let rows: Vec<Row> = self
            .rows
            .iter()
            .filter(|(key, _)| has_prefix(key))
            .map(|(key, (revision, value))| Row {
                key: key.clone(),
                revision: *revision,
                value: value.clone(),
            })
            .collect();
        let row_revisions = rows.iter().map(|row| row.revision);
        let deletions =
            self.deleted.iter().filter(|(key, _)| has_prefix(key)).map(|(_, &revision)| revision);
        Listing { revision: row_revisions.chain(deletions).max().unwrap_or(0), rows }
    }

    pub(crate) fn apply(&mut self, commit: &Commit) -> Result<Revision, Error> {
        let mut conflicts = Vec::new();
        for condition in &commit.conditions {
            let current = self.rows.get(&condition.key).map(|(revision, _)| *revision);
            if current != condition.revision {
                conflicts.push(condition.key.clone());
            }
        }
        for condition in &commit.prefix_conditions {
            if self.listing(&condition.prefix).revision != condition.revision {
                conflicts.push(condition.prefix.clone());
            }
        }
        if !conflicts.is_empty() {
            return Err(Error::Conflict { keys: conflicts });
        }
        self.revision += 1;
        self.commits += 1;
        for key in &commit.deletes {
            if self.rows.remove(key).is_some() {
                self.deleted.insert(key.clone(), self.revision);
            }
        }
        for put in &commit.puts {
            self.deleted.remove(&put.key);
            self.rows.insert(put.key.clone(), (self.revision, put.value.clone()));
        }
        Ok(self.revision)
    }
}

/// Table in memory.
#[derive(Default)]
pub(crate) struct Memory {
    state: Mutex<State>,
}

impl Memory {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Makes one of the delayed commits take effect, if its conditions still hold.
    pub(crate) fn apply_delayed(&self, index: usize) {
        let mut state = self.state();
        if !state.delayed.is_empty() {
            let index = index % state.delayed.len();
            let commit = state.delayed.remove(index);
            let _ = state.apply(&commit);
        }
    }

    /// Sets the fault of the next commit.
    pub(crate) fn set_next_fault(&self, fault: Fault) {
        self.state().faults.push(fault);
    }
}

fn lost() -> Error {
    Error::Lost { message: "fault".to_owned() }
}

impl Table for Memory {
    fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        let state = self.state();
        if state.down {
            return Err(Error::Unreachable { message: "down".to_owned() });
        }
        let row = state.rows.get(key);
        Ok(row.map(|(revision, value)| Row {
            key: key.to_owned(),
            revision: *revision,
            value: value.clone(),
        }))
    }

    fn scan(&self, prefix: &str) -> Result<Listing, Error> {
        let state = self.state();
        if state.down {
            return Err(lost());
        }
        Ok(state.listing(prefix))
    }

    fn commit(&self, commit: &Commit) -> Result<Revision, Error> {
        let mut state = self.state();
        let fault = state.faults.pop().unwrap_or_default();
        match fault {
            _ if state.down => Err(Error::Unreachable { message: "down".to_owned() }),
            Fault::None => state.apply(commit),
            Fault::LoseResponse => state.apply(commit).and_then(|_| Err(lost())),
            Fault::LoseRequest => Err(lost()),
            Fault::Refuse => Err(Error::Unreachable { message: "refused".to_owned() }),
            Fault::Delay => {
                state.delayed.push(commit.clone());
                Err(lost())
            }
        }
    }
}
