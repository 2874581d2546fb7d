//! State of the platform: rows, objects and instances, with the reads and writes of the requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::{Counters, Faults, Mode};

/// Value of a row and the revision of the commit that wrote the value.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Row {
    revision: u64,
    pub(super) value: Value,
}

#[derive(Deserialize)]
pub(super) struct Condition {
    key: String,
    revision: Option<u64>,
}

#[derive(Deserialize)]
pub(super) struct PrefixCondition {
    prefix: String,
    revision: u64,
}

#[derive(Deserialize)]
pub(super) struct Put {
    key: String,
    value: Value,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Commit {
    conditions: Vec<Condition>,
    prefix_conditions: Vec<PrefixCondition>,
    puts: Vec<Put>,
    deletes: Vec<String>,
}

/// Entry of the instance list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Instance {
    #[serde(default)]
    name: String,
    address: SocketAddr,
    state: String,
}

#[derive(Default)]
pub(super) struct State {
    revision: u64,
    pub(super) rows: BTreeMap<String, Row>,
    /// Revision of the last deletion of each deleted key.
    deletion_revisions: BTreeMap<String, u64>,
    pub(super) objects: BTreeMap<String, Vec<u8>>,
    pub(super) instance_lists: Vec<(Instant, BTreeMap<String, Instance>)>,
    pub(super) faults: Faults,
    pub(super) counters: Counters,
}

/// Response to a request, or none.
pub(super) enum Reply {
    Json(u16, Value),
    Bytes(Vec<u8>),
    NoResponse,
}

impl State {
    fn prefix_revision(&self, prefix: &str) -> u64 {
        let live = with_prefix(&self.rows, prefix).map(|(_, row)| row.revision);
        let deleted = with_prefix(&self.deletion_revisions, prefix).map(|(_, &revision)| revision);
        live.chain(deleted).max().unwrap_or(0)
    }

    pub(super) fn read_row(&mut self, key: &str) -> Reply {
        self.counters.reads += 1;
        match self.rows.get(key) {
            Some(row) => {
                Reply::Json(200, json!({"key": key, "revision": row.revision, "value": row.value}))
            }
            None => Reply::Json(404, json!({"error": "no such row"})),
        }
    }

    pub(super) fn scan_rows(&mut self, prefix: &str) -> Reply {
        self.counters.scans += 1;
        let rows: Vec<Value> = with_prefix(&self.rows, prefix)
            .map(|(key, row)| json!({"key": key, "revision": row.revision, "value": row.value}))
            .collect();
        Reply::Json(200, json!({"revision": self.prefix_revision(prefix), "rows": rows}))
    }

    fn conflicts(&self, commit: &Commit) -> Vec<String> {
        let rows = commit.conditions.iter().filter_map(|condition| {
            let current = self.rows.get(&condition.key).map(|row| row.revision);
            (current != condition.revision).then(|| condition.key.clone())
        });
        let prefixes = commit.prefix_conditions.iter().filter_map(|condition| {
            let current = self.prefix_revision(&condition.prefix);
            (current != condition.revision).then(|| condition.prefix.clone())
        });
        rows.chain(prefixes).collect()
    }

    pub(super) fn commit(&mut self, commit: Commit) -> Reply {
        let conflicts = self.conflicts(&commit);
        if !conflicts.is_empty() {
            self.counters.conflicts += 1;
            return Reply::Json(409, json!({"conflicts": conflicts}));
        }
        self.counters.commits += 1;
        self.revision += 1;
        let revision = self.revision;
        for key in commit.deletes {
            if self.rows.remove(&key).is_some() {
                self.deletion_revisions.insert(key, revision);
            }
        }
        for Put { key, value } in commit.puts {
            self.deletion_revisions.remove(&key);
            self.rows.insert(key, Row { revision, value });
        }
        Reply::Json(200, json!({"revision": revision}))
    }

    /// Writes and deletes rows in one commit without conditions.
    pub(super) fn write_unconditionally(
        &mut self,
        puts: Vec<(String, Value)>,
        deletes: Vec<String>,
    ) {
        let puts = puts.into_iter().map(|(key, value)| Put { key, value }).collect();
        let _ = self.commit(Commit { puts, deletes, ..Commit::default() });
    }

    pub(super) fn list_instances(&mut self, now: Instant) -> Reply {
        self.counters.instance_reads += 1;
        let lag = Duration::from_millis(self.faults.instance_lag_ms);
        let shown = self
            .instance_lists
            .iter()
            .rev()
            .find(|(listed_at, _)| now.saturating_duration_since(*listed_at) >= lag)
            .map(|(_, list)| list.values().cloned().collect::<Vec<_>>())
            .unwrap_or_default();
        Reply::Json(200, json!(shown))
    }

    pub(super) fn set_instance(
        &mut self,
        now: Instant,
        name: &str,
        mut instance: Instance,
    ) -> Reply {
        name.clone_into(&mut instance.name);
        let mut list = self.instance_lists.last().map(|(_, list)| list.clone()).unwrap_or_default();
        list.insert(name.to_owned(), instance);
        self.instance_lists.push((now, list));
        Reply::Json(200, json!({}))
    }

    /// Delay of the next response; none if the platform does not respond.
    pub(super) fn response_delay(&self) -> Option<Duration> {
        match self.faults.table {
            Mode::Up => Some(Duration::ZERO),
            Mode::Slow => Some(Duration::from_millis(self.faults.slow_ms)),
            Mode::Down => None,
        }
    }

    /// Applies a write, with the faults that lose requests and responses.
    pub(super) fn write_with_faults(&mut self, apply: impl FnOnce(&mut Self) -> Reply) -> Reply {
        if self.faults.lose_requests > 0 {
            self.faults.lose_requests -= 1;
            return Reply::NoResponse;
        }
        let reply = apply(self);
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return Reply::NoResponse;
        }
        reply
    }
}

/// Entries whose keys start with a prefix, in the order of the keys.
fn with_prefix<'a, T>(
    entries: &'a BTreeMap<String, T>,
    prefix: &'a str,
) -> impl Iterator<Item = (&'a String, &'a T)> {
    entries.range(prefix.to_owned()..).take_while(move |(key, _)| key.starts_with(prefix))
}
