//! The claims in the table.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use cornelpass_core::claim::{self, Answer, Finish, Row, Start, Void};
use cornelpass_core::clock::{Clock, System};
use serde::{Deserialize, Serialize};

use super::{Claim, Claims, Finished, INLINE_LIMIT, PROGRESS_LIMIT, ROUNDS, Started, Voided};
use crate::error::Error;
use crate::objects::Objects;
use crate::table::{Commit, Revision, Table};

/// A claim's row as it stands in the table.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Record {
    #[serde(flatten)]
    row: Row,
    /// Time of day of the start, in milliseconds since 1970; for reports only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    started_ms: Option<u64>,
    /// Key of the answer's body in the object store.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    object: Option<String>,
}

/// A record with its revision, as it was read.
type Read = Option<(Revision, Record)>;

/// What a commit leads to.
enum Next {
    /// It took effect.
    Done,
    /// It did not: read the row again.
    Again,
    /// It may have: read the row again.
    Lost,
    /// The table cannot be used.
    Stop,
}

/// Claims in the platform's table, with large answers in its object store.
pub struct Store {
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    clock: Arc<dyn Clock>,
}

impl Store {
    /// Claims in a table and an object store, by the machine's clock.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, objects: Arc<dyn Objects>) -> Self {
        Self { table, objects, clock: Arc::new(System) }
    }

    /// Sets the clock.
    #[must_use]
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = clock;
        self
    }

    fn deadline(&self, remaining: Duration) -> Instant {
        self.clock.now() + remaining
    }

    /// Time of day in milliseconds since 1970.
    fn wall_ms(&self) -> u64 {
        let since = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    /// What a repeat of a started call is told.
    fn progress(&self, read: &Read) -> Started {
        let started_ms = read.as_ref().and_then(|(_, record)| record.started_ms);
        let age_ms = started_ms.map(|started_ms| self.wall_ms().saturating_sub(started_ms));
        match age_ms.map(Duration::from_millis) {
            Some(age) if age > PROGRESS_LIMIT => Started::OutcomeUnknown,
            _ => Started::InProgress,
        }
    }

    fn late(&self, deadline: Instant) -> bool {
        self.clock.now() >= deadline
    }

    /// Reads a row; tries again while answers are lost and there is time.
    fn read(&self, claim: &Claim, deadline: Instant) -> Result<Read, Error> {
        let key = claim.row();
        let mut result = self.table.read(&key);
        for _ in 1..ROUNDS {
            if !matches!(result, Err(Error::Lost { .. })) || self.late(deadline) {
                break;
            }
            result = self.table.read(&key);
        }
        let Some(row) = result? else { return Ok(None) };
        let record = Record::deserialize(&row.value)
            .map_err(|error| Error::Malformed { key, message: error.to_string() })?;
        Ok(Some((row.revision, record)))
    }

    fn write(&self, claim: &Claim, read: &Read, record: &Record) -> Next {
        let Ok(value) = serde_json::to_value(record) else { return Next::Stop };
        let (key, revision) = (claim.row(), read.as_ref().map(|(revision, _)| *revision));
        match self.table.commit(&Commit::new().unchanged(&key, revision).put(&key, value)) {
            Ok(_) => Next::Done,
            Err(Error::Conflict { .. }) => Next::Again,
            Err(Error::Lost { .. }) => Next::Lost,
            Err(_) => Next::Stop,
        }
    }

    /// The answer of a finished call, its body fetched if it is not in the row.
    fn answer(&self, answer: Answer, read: &Read, landed: bool) -> Started {
        let object = read.as_ref().and_then(|(_, record)| record.object.as_deref());
        let Some(object) = object else { return Started::Answered(answer) };
        let body = self.objects.get(object).ok().flatten();
        match body.and_then(|bytes| String::from_utf8(bytes).ok()) {
            Some(body) => Started::Answered(Answer { body, ..answer }),
            None => Started::Unavailable { landed },
        }
    }

    /// Stores a large body apart; gives the record's object, or nothing if it cannot be stored.
    fn store(&self, claim: &Claim, answer: &Answer, deadline: Instant) -> Option<Option<String>> {
        if answer.body.len() <= INLINE_LIMIT {
            return Some(None);
        }
        let key = claim.object();
        for _ in 0..ROUNDS {
            match self.objects.put(&key, answer.body.as_bytes()) {
                Ok(()) => return Some(Some(key)),
                Err(Error::Lost { .. }) if !self.late(deadline) => {}
                Err(_) => return None,
            }
        }
        None
    }

    /// Brings a claim's row to a state that a decision asks for.
    fn settle(
        &self,
        claim: &Claim,
        decide: impl Fn(Option<&Row>) -> Void,
        remaining: Duration,
    ) -> Voided {
        let deadline = self.deadline(remaining);
        for _ in 0..ROUNDS {
            if self.late(deadline) {
                break;
            }
            let Ok(read) = self.read(claim, deadline) else { break };
            let row = match decide(read.as_ref().map(|(_, record)| &record.row)) {
                Void::Write(row) => row,
                Void::Done => return Voided::Void,
                Void::Refused => return Voided::Refused,
            };
            let started_ms = read.as_ref().and_then(|(_, record)| record.started_ms);
            match self.write(claim, &read, &Record { row, started_ms, object: None }) {
                Next::Done => return Voided::Void,
                Next::Again | Next::Lost => {}
                Next::Stop => break,
            }
        }
        Voided::Unavailable
    }
}

impl Claims for Store {
    /// Takes one commit and no read unless the key was used before.
    fn start(&self, claim: &Claim, remaining: Duration) -> Started {
        let deadline = self.deadline(remaining);
        let (mut read, mut landed): (Read, bool) = (None, false);
        for _ in 0..ROUNDS {
            if self.late(deadline) {
                break;
            }
            let row = read.as_ref().map(|(_, record)| &record.row);
            let row = match claim::start(row, &claim.attempt()) {
                Start::Write(row) => row,
                Start::Run => return Started::Run,
                Start::Answered(answer) => return self.answer(answer, &read, landed),
                Start::InProgress => return self.progress(&read),
                Start::KeyReused => return Started::KeyReused,
                Start::Void => return Started::Void,
            };
            let record = Record { row, started_ms: Some(self.wall_ms()), object: None };
            match self.write(claim, &read, &record) {
                Next::Done => return Started::Run,
                Next::Again => {}
                Next::Lost => landed = true,
                Next::Stop => break,
            }
            match self.read(claim, deadline) {
                Ok(found) => read = found,
                Err(_) => break,
            }
        }
        Started::Unavailable { landed }
    }

    /// Takes one read and one commit, and one object if the answer is large.
    fn finish(&self, claim: &Claim, answer: &Answer, remaining: Duration) -> Finished {
        let deadline = self.deadline(remaining);
        let Some(object) = self.store(claim, answer, deadline) else {
            return Finished::Unavailable;
        };
        let mut inline = answer.clone();
        if object.is_some() {
            inline.body.clear();
        }
        for _ in 0..ROUNDS {
            let Ok(read) = self.read(claim, deadline) else { break };
            let row = read.as_ref().map(|(_, record)| &record.row);
            let row = match claim::finish(row, &claim.attempt(), &inline) {
                Finish::Write(row) => row,
                Finish::Recorded => return Finished::Recorded,
                Finish::Refused => return Finished::Refused,
            };
            let record = Record { row, started_ms: None, object: object.clone() };
            match self.write(claim, &read, &record) {
                Next::Done => return Finished::Recorded,
                Next::Again | Next::Lost if !self.late(deadline) => {}
                _ => break,
            }
        }
        Finished::Unavailable
    }

    fn void(&self, claim: &Claim, remaining: Duration) -> Voided {
        let decide = |row: Option<&Row>| claim::void(row, claim.digest, &claim.token);
        self.settle(claim, decide, remaining)
    }

    fn release(&self, claim: &Claim, remaining: Duration) -> Voided {
        let decide = |row: Option<&Row>| claim::release(row, &claim.attempt());
        self.settle(claim, decide, remaining)
    }
}
