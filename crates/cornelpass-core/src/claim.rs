//! Claims: rows in the platform's table that ensure that a call with an idempotency key runs at
//! most once.
//!
//! The row of a call is absent, open, started by one attempt, or done with a response. An attempt
//! starts by writing its token on condition that the row has not changed since it was read, and
//! runs only after that write succeeded. An attempt that never runs is recorded as void, so that
//! "not run" is only reported for attempts that can no longer start.
//!
//! An attempt is identified by its token. It may be delivered several times; each delivery has its
//! own holder identifier, and the delivery that the row names holds the claim. The functions decide
//! as follows, where "own" and "other" refer to the attempt that calls the function:
//!
//! | row                  | [`start`]   | [`finish`] | [`void`]     | [`release`]  |
//! |----------------------|-------------|------------|--------------|--------------|
//! | absent               | started     | refused    | open + void  | open + void  |
//! | open                 | started     | refused    | open + void  | open + void  |
//! | started, own holder  | run         | done       | refused      | open + void  |
//! | started, own token   | in progress | refused    | refused      | refused      |
//! | started, other token | in progress | refused    | + void       | + void       |
//! | done, own token      | answered    | recorded   | refused      | refused      |
//! | done, other token    | answered    | refused    | already void | already void |
//! | own token void       | void        | refused    | already void | already void |
//!
//! "Started", "open" and "done" in a column mean that the row is written with that progress,
//! "+ void" that the attempt is added to the void attempts of the row. The other entries are
//! outcomes without a write. The last row takes precedence over the other rows. If the content hash
//! of the row differs from that of the attempt, the attempt can never start: [`start`] returns
//! [`Start::KeyReused`], and [`void`] and [`release`] return [`Void::AlreadyVoid`] unless the row
//! names the token of the attempt as started or done.
//!
//! Each function takes the row as it was read, and returns the row to write or the outcome. A row
//! goes back from started to open only through [`release`], called by the holder before it sends
//! anything to the target. A row is never deleted, and its content hash never changes.

use serde::{Deserialize, Serialize};

/// Maximum number of void attempts that one row lists, which bounds the size of the row.
pub const VOID_LIMIT: usize = 16;

/// Stored response of a finished call, which a repeated call receives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Body as text.
    pub body: String,
}

/// Progress of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Progress {
    /// No attempt has started.
    #[default]
    Open,
    /// An attempt has started; only its holder knows whether the call ran.
    Started {
        /// Token of the attempt.
        token: String,
        /// Identifier of the delivery that holds the claim.
        holder: String,
    },
    /// An attempt has ended with a response.
    Done {
        /// Token of the attempt.
        token: String,
        /// Response of the attempt.
        answer: Answer,
    },
}

/// Row of a call; its key in the table consists of the organisation and the idempotency key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Hash of the call's content.
    pub digest: u64,
    /// Progress of the call.
    #[serde(flatten)]
    pub progress: Progress,
    /// Tokens of the attempts that can no longer start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub void: Vec<String>,
}

/// One delivery of an attempt to run a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt<'a> {
    /// Hash of the call's content.
    pub digest: u64,
    /// Token of the attempt. Its sender also knows the token, and can make the attempt void.
    pub token: &'a str,
    /// Identifier that is unique for each delivery, so that an attempt delivered twice runs once.
    pub holder: &'a str,
}

/// What an attempt does next in order to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Write the row on condition that it has not changed; the attempt may run after that.
    Write(Row),
    /// Run: the row already names this delivery, so the response to an earlier write was lost.
    Run,
    /// Do not run: an attempt has ended with this response.
    Answered(Answer),
    /// Do not run: another delivery or attempt has started and not ended.
    InProgress,
    /// Do not run: the key was used with a different content.
    KeyReused,
    /// Do not run: this attempt is void.
    Void,
}

/// Decides whether an attempt starts, given the row as it was read.
#[must_use]
pub fn start(row: Option<&Row>, attempt: &Attempt<'_>) -> Start {
    let Attempt { digest, token, holder } = *attempt;
    let progress = Progress::Started { token: token.to_owned(), holder: holder.to_owned() };
    let Some(row) = row else {
        return Start::Write(Row { digest, progress, void: Vec::new() });
    };
    if row.digest != digest {
        return Start::KeyReused;
    }
    if row.void.iter().any(|void_token| void_token == token) {
        return Start::Void;
    }
    match &row.progress {
        Progress::Open => Start::Write(Row { progress, ..row.clone() }),
        started if *started == progress => Start::Run,
        Progress::Started { .. } => Start::InProgress,
        Progress::Done { answer, .. } => Start::Answered(answer.clone()),
    }
}

/// What an attempt does next in order to record its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// Write the row on condition that it has not changed.
    Write(Row),
    /// The response is already recorded.
    Recorded,
    /// The response cannot be recorded: the row does not name this delivery as the holder.
    Refused,
}

/// Decides how the holder records its response, given the row as it was read.
#[must_use]
pub fn finish(row: Option<&Row>, attempt: &Attempt<'_>, response: &Answer) -> Finish {
    let Some(row) = row else { return Finish::Refused };
    match &row.progress {
        Progress::Started { token, holder }
            if token == attempt.token && holder == attempt.holder =>
        {
            let progress = Progress::Done { token: token.clone(), answer: response.clone() };
            Finish::Write(Row { progress, ..row.clone() })
        }
        Progress::Done { token, .. } if token == attempt.token => Finish::Recorded,
        _ => Finish::Refused,
    }
}

/// What to do next in order to make an attempt void.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Void {
    /// Write the row on condition that it has not changed; the attempt is void after that.
    Write(Row),
    /// Nothing to write: the attempt can never start.
    AlreadyVoid,
    /// The attempt cannot be made void: it may have run, or may still run.
    Refused,
}

/// Decides whether an attempt whose holder cannot be reached can be made void.
///
/// After [`Void::AlreadyVoid`], or after the write took effect, the attempt has not run and never
/// will. The result is [`Void::Refused`] if the attempt has started, or if the list of void
/// attempts is full.
#[must_use]
pub fn void(row: Option<&Row>, digest: u64, token: &str) -> Void {
    match row {
        Some(row) if has_started(row, token) => Void::Refused,
        _ => void_unstarted(row, digest, token),
    }
}

/// Decides how the holder of a claim gives the claim up without having run the call.
///
/// Only the holder itself may call this, and only if it has sent nothing to the target and never
/// will. The next attempt can then start.
#[must_use]
pub fn release(row: Option<&Row>, attempt: &Attempt<'_>) -> Void {
    let Attempt { digest, token, holder } = *attempt;
    let own = Progress::Started { token: token.to_owned(), holder: holder.to_owned() };
    match row {
        Some(row) if row.progress == own => {
            add_void(&Row { progress: Progress::Open, ..row.clone() }, token)
        }
        _ => void(row, digest, token),
    }
}

/// Whether the attempt has started or ended.
fn has_started(row: &Row, token: &str) -> bool {
    match &row.progress {
        Progress::Open => false,
        Progress::Started { token: started, .. } | Progress::Done { token: started, .. } => {
            started == token
        }
    }
}

/// Makes an attempt void that has not started.
fn void_unstarted(row: Option<&Row>, digest: u64, token: &str) -> Void {
    let Some(row) = row else {
        return add_void(&Row { digest, ..Row::default() }, token);
    };
    let ended = matches!(row.progress, Progress::Done { .. });
    let listed = row.void.iter().any(|void_token| void_token == token);
    if ended || listed || row.digest != digest { Void::AlreadyVoid } else { add_void(row, token) }
}

/// Adds an attempt to the void attempts of a row, unless the list is full.
fn add_void(row: &Row, token: &str) -> Void {
    if row.void.len() >= VOID_LIMIT {
        return Void::Refused;
    }
    let mut row = row.clone();
    row.void.push(token.to_owned());
    Void::Write(row)
}
