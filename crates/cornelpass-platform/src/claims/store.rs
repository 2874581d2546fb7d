//! Claims as rows of the platform's table, with large answers in its object store.
//!
//! Each function asks [`cornelpass_core::claim`] for a decision on the row, and commits the new row
//! on condition that the row has not changed. `start` first assumes that there is no row, which
//! saves a read; the other functions read the row first. After a conflict or a lost response the
//! function starts over with the row as it is then.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use cornelpass_core::claim::{self, Answer, Finish, Row, Start, Void};
use cornelpass_core::clock::{Clock, System};
use serde::{Deserialize, Serialize};

use super::{
    Claim, Claims, FinishOutcome, IN_PROGRESS_TIMEOUT, INLINE_LIMIT_BYTES, MAX_TRIES, StartOutcome,
    VoidOutcome,
};
use crate::error::Error;
use crate::objects::Objects;
use crate::table::{Commit, Revision, Table};

/// Value of a claim's row in the table.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Record {
    #[serde(flatten)]
    row: Row,
    /// Time of the start, in milliseconds since 1970; only decides how a started call is reported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    started_ms: Option<u64>,
    /// Key of the answer's body in the object store, if the body is not in the row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    object: Option<String>,
}

/// Record of a claim with the revision of its row, as it was read; `None` if the row does not
/// exist.
type StoredRecord = Option<(Revision, Record)>;

/// Outcome of a commit.
enum Outcome {
    /// The commit took effect.
    Committed,
    /// The row has changed, so the commit took no effect: read the row again.
    Conflict,
    /// The response was lost, so the commit may have taken effect: read the row again.
    Unknown,
    /// The table cannot be used.
    Failed,
}

/// Claims in the platform's table, with large answers in its object store.
pub struct TableClaims {
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    clock: Arc<dyn Clock>,
}

impl TableClaims {
    /// Creates claims in a table and an object store, with the system clock.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, objects: Arc<dyn Objects>) -> Self {
        Self { table, objects, clock: Arc::new(System) }
    }

    /// Replaces the system clock.
    #[must_use]
    pub fn with_clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = clock;
        self
    }

    fn deadline(&self, remaining: Duration) -> Instant {
        self.clock.now() + remaining
    }

    /// Current time in milliseconds since 1970.
    fn unix_time_ms(&self) -> u64 {
        let unix_time =
            self.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX)
    }

    /// Outcome for a repetition of a call that has started and has no answer.
    fn started_call_outcome(&self, stored: &StoredRecord) -> StartOutcome {
        let started_ms = stored.as_ref().and_then(|(_, record)| record.started_ms);
        let age_ms = started_ms.map(|started_ms| self.unix_time_ms().saturating_sub(started_ms));
        match age_ms.map(Duration::from_millis) {
            Some(age) if age > IN_PROGRESS_TIMEOUT => StartOutcome::OutcomeUnknown,
            _ => StartOutcome::InProgress,
        }
    }

    fn is_past(&self, deadline: Instant) -> bool {
        self.clock.now() >= deadline
    }

    /// Reads the row of a claim; repeats the read while responses are lost and time remains.
    fn read(&self, claim: &Claim, deadline: Instant) -> Result<StoredRecord, Error> {
        let key = claim.row_key();
        let mut result = self.table.read(&key);
        for _ in 1..MAX_TRIES {
            if !matches!(result, Err(Error::Lost { .. })) || self.is_past(deadline) {
                break;
            }
            result = self.table.read(&key);
        }
        let Some(row) = result? else { return Ok(None) };
        let record = Record::deserialize(&row.value)
            .map_err(|error| Error::Malformed { key, message: error.to_string() })?;
        Ok(Some((row.revision, record)))
    }

    /// Writes the row of a claim, on condition that the row is still as it was read.
    fn write(&self, claim: &Claim, stored: &StoredRecord, record: &Record) -> Outcome {
        let Ok(value) = serde_json::to_value(record) else { return Outcome::Failed };
        let (key, revision) = (claim.row_key(), stored.as_ref().map(|(revision, _)| *revision));
        match self.table.commit(&Commit::new().if_unchanged(&key, revision).put(&key, value)) {
            Ok(_) => Outcome::Committed,
            Err(Error::Conflict { .. }) => Outcome::Conflict,
            Err(Error::Lost { .. }) => Outcome::Unknown,
            Err(_) => Outcome::Failed,
        }
    }

    /// Returns the answer of a finished call; reads the body from the object store if it is not in
    /// the row.
    ///
    /// If the body cannot be read, the outcome contains `may_have_taken_effect`.
    fn load_answer(
        &self,
        answer: Answer,
        stored: &StoredRecord,
        may_have_taken_effect: bool,
    ) -> StartOutcome {
        let object_key = stored.as_ref().and_then(|(_, record)| record.object.as_deref());
        let Some(object_key) = object_key else { return StartOutcome::Answered(answer) };
        let body = self.objects.get(object_key).ok().flatten();
        match body.and_then(|bytes| String::from_utf8(bytes).ok()) {
            Some(body) => StartOutcome::Answered(Answer { body, ..answer }),
            None => StartOutcome::Unavailable { may_have_taken_effect },
        }
    }

    /// Stores a large body in the object store.
    ///
    /// Returns the key of the object, `Some(None)` if the body is small and belongs in the row, and
    /// `None` if the body cannot be stored.
    fn store_large_body(
        &self,
        claim: &Claim,
        answer: &Answer,
        deadline: Instant,
    ) -> Option<Option<String>> {
        if answer.body.len() <= INLINE_LIMIT_BYTES {
            return Some(None);
        }
        let key = claim.object_key();
        for _ in 0..MAX_TRIES {
            match self.objects.put(&key, answer.body.as_bytes()) {
                Ok(()) => return Some(Some(key)),
                Err(Error::Lost { .. }) if !self.is_past(deadline) => {}
                Err(_) => return None,
            }
        }
        None
    }

    /// Makes an attempt void as `decide` says, and repeats the decision after a conflict or a lost
    /// response.
    fn apply_void(
        &self,
        claim: &Claim,
        decide: impl Fn(Option<&Row>) -> Void,
        remaining: Duration,
    ) -> VoidOutcome {
        let deadline = self.deadline(remaining);
        for _ in 0..MAX_TRIES {
            if self.is_past(deadline) {
                break;
            }
            let Ok(stored) = self.read(claim, deadline) else { break };
            let row = match decide(stored.as_ref().map(|(_, record)| &record.row)) {
                Void::Write(row) => row,
                Void::AlreadyVoid => return VoidOutcome::Void,
                Void::Refused => return VoidOutcome::Refused,
            };
            let started_ms = stored.as_ref().and_then(|(_, record)| record.started_ms);
            match self.write(claim, &stored, &Record { row, started_ms, object: None }) {
                Outcome::Committed => return VoidOutcome::Void,
                Outcome::Conflict | Outcome::Unknown => {}
                Outcome::Failed => break,
            }
        }
        VoidOutcome::Unavailable
    }
}

impl Claims for TableClaims {
    /// Makes one commit and no read, unless the key was used before or a response is lost.
    fn start(&self, claim: &Claim, remaining: Duration) -> StartOutcome {
        let deadline = self.deadline(remaining);
        let (mut stored, mut may_have_taken_effect): (StoredRecord, bool) = (None, false);
        for _ in 0..MAX_TRIES {
            if self.is_past(deadline) {
                break;
            }
            let row = stored.as_ref().map(|(_, record)| &record.row);
            let row = match claim::start(row, &claim.attempt()) {
                Start::Write(row) => row,
                Start::Run => return StartOutcome::Run,
                Start::Answered(answer) => {
                    return self.load_answer(answer, &stored, may_have_taken_effect);
                }
                Start::InProgress => return self.started_call_outcome(&stored),
                Start::KeyReused => return StartOutcome::KeyReused,
                Start::Void => return StartOutcome::Void,
            };
            let record = Record { row, started_ms: Some(self.unix_time_ms()), object: None };
            match self.write(claim, &stored, &record) {
                Outcome::Committed => return StartOutcome::Run,
                Outcome::Conflict => {}
                Outcome::Unknown => may_have_taken_effect = true,
                Outcome::Failed => break,
            }
            match self.read(claim, deadline) {
                Ok(row) => stored = row,
                Err(_) => break,
            }
        }
        StartOutcome::Unavailable { may_have_taken_effect }
    }

    /// Makes one read and one commit, and writes one object if the answer is large, unless there is
    /// a conflict or a response is lost.
    fn finish(&self, claim: &Claim, answer: &Answer, remaining: Duration) -> FinishOutcome {
        let deadline = self.deadline(remaining);
        let Some(object) = self.store_large_body(claim, answer, deadline) else {
            return FinishOutcome::Unavailable;
        };
        let mut inline_answer = answer.clone();
        if object.is_some() {
            inline_answer.body.clear();
        }
        for _ in 0..MAX_TRIES {
            let Ok(stored) = self.read(claim, deadline) else { break };
            let row = stored.as_ref().map(|(_, record)| &record.row);
            let row = match claim::finish(row, &claim.attempt(), &inline_answer) {
                Finish::Write(row) => row,
                Finish::Recorded => return FinishOutcome::Recorded,
                Finish::Refused => return FinishOutcome::Refused,
            };
            let record = Record { row, started_ms: None, object: object.clone() };
            match self.write(claim, &stored, &record) {
                Outcome::Committed => return FinishOutcome::Recorded,
                Outcome::Conflict | Outcome::Unknown if !self.is_past(deadline) => {}
                _ => break,
            }
        }
        FinishOutcome::Unavailable
    }

    fn void(&self, claim: &Claim, remaining: Duration) -> VoidOutcome {
        let decide = |row: Option<&Row>| claim::void(row, claim.digest, &claim.token);
        self.apply_void(claim, decide, remaining)
    }

    fn release(&self, claim: &Claim, remaining: Duration) -> VoidOutcome {
        let decide = |row: Option<&Row>| claim::release(row, &claim.attempt());
        self.apply_void(claim, decide, remaining)
    }
}
