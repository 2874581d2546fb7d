//! Claims of calls that may not be repeated, as rows of the platform's table.
//!
//! The module [`cornelpass_core::claim`] decides whether a claim may run, finish or become void;
//! this module reads and writes the rows. Without faults a call takes two commits, one to start and
//! one to finish. If the response to a commit is lost, the row is read again; the holder in the row
//! shows whether the commit of this claim took effect. The functions do not wait between their
//! tries. After an outcome "unavailable" the function may be called again later, since every
//! function is idempotent for the same [`Claim`].

mod store;

use std::time::Duration;

use cornelpass_core::claim::{Answer, Attempt};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use uuid::Uuid;

pub use self::store::TableClaims;

/// Largest body of an answer that is stored in the row, in bytes; a larger one is stored in the
/// object store.
pub const INLINE_LIMIT_BYTES: usize = 32 * 1024;

/// Maximum number of rounds of one function, each with at most one commit. Also the maximum number
/// of tries of each read of the row, and of each write of an object.
pub const MAX_TRIES: usize = 8;

/// Time after which a started call without an answer is reported with
/// [`StartOutcome::OutcomeUnknown`] instead of [`StartOutcome::InProgress`].
///
/// Both outcomes mean that the call may have run; the row does not change.
pub const IN_PROGRESS_TIMEOUT: Duration = Duration::from_secs(120);

/// One delivery of an attempt to run a call.
///
/// Each delivery creates its own claim: two deliveries of one attempt are two claims, of which
/// only one may run the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    organisation: String,
    key: String,
    digest: u64,
    token: String,
    holder: String,
}

impl Claim {
    /// Creates a claim of an organisation's idempotency key, with the hash of the call's content
    /// and the token of the attempt.
    ///
    /// The claim gets a holder identifier that is unique for each delivery.
    #[must_use]
    pub fn new(
        organisation: impl Into<String>,
        key: impl Into<String>,
        digest: u64,
        token: impl Into<String>,
    ) -> Self {
        Self {
            organisation: organisation.into(),
            key: key.into(),
            digest,
            token: token.into(),
            holder: Uuid::new_v4().to_string(),
        }
    }

    /// Key of the row in the table.
    #[must_use]
    pub fn row_key(&self) -> String {
        format!("claim/{}/{}", escape(&self.organisation), escape(&self.key))
    }

    /// Key in the object store of the answer's body, if the body is larger than
    /// [`INLINE_LIMIT_BYTES`].
    #[must_use]
    pub fn object_key(&self) -> String {
        let (organisation, key) = (escape(&self.organisation), escape(&self.key));
        format!("answer/{organisation}/{key}/{}", self.holder)
    }

    /// Token of the attempt.
    #[must_use]
    pub fn token(&self) -> &str {
        &self.token
    }

    fn attempt(&self) -> Attempt<'_> {
        Attempt { digest: self.digest, token: &self.token, holder: &self.holder }
    }
}

fn escape(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}

/// Outcome of [`Claims::start`]: whether the call may run here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The call may run: this claim is its only holder.
    Run,
    /// The call has ended with this answer; return the answer to the caller.
    Answered(Answer),
    /// Another attempt, or another delivery of this attempt, has started and not ended.
    InProgress,
    /// Another attempt, or another delivery, started longer ago than [`IN_PROGRESS_TIMEOUT`] and
    /// recorded no answer.
    OutcomeUnknown,
    /// The key was used with another content.
    KeyReused,
    /// This attempt is void.
    Void,
    /// The row could not be read or written in time, the platform failed, or the body of the
    /// recorded answer could not be read; the call does not run here.
    Unavailable {
        /// Whether a write of this claim may have taken effect or may still do so. The claim must
        /// then be released in the background.
        may_have_taken_effect: bool,
    },
}

/// Outcome of [`Claims::finish`]: whether the answer is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishOutcome {
    /// The answer is recorded; repetitions of the call receive it.
    Recorded,
    /// The answer cannot be recorded: this claim does not hold the row.
    Refused,
    /// It is not known whether the answer is recorded: try again later.
    Unavailable,
}

/// Outcome of [`Claims::void`] and [`Claims::release`]: whether the attempt is void.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoidOutcome {
    /// The attempt has not run and never will.
    Void,
    /// The attempt may have run, or may still run.
    Refused,
    /// It is not known whether the attempt is void: it may have run.
    Unavailable,
}

/// Interface of the claims of calls.
///
/// A function starts no further round after the `remaining` time; [`Claims::finish`] makes at least
/// one round, unless a large answer cannot be stored. A round that has started is completed,
/// including the read after a failed commit of [`Claims::start`]. A request that has already been
/// sent may still take as long as the time-out of the platform's client. All functions block.
pub trait Claims: Send + Sync {
    /// Claims a call before it is sent to its target.
    fn start(&self, claim: &Claim, remaining: Duration) -> StartOutcome;

    /// Records the answer of a call that this claim started.
    fn finish(&self, claim: &Claim, answer: &Answer, remaining: Duration) -> FinishOutcome;

    /// Makes an attempt void after contact with its holder was lost.
    ///
    /// The attempt may be reported as not run only after [`VoidOutcome::Void`].
    fn void(&self, claim: &Claim, remaining: Duration) -> VoidOutcome;

    /// Gives up a claim whose holder has sent nothing to the target and never will.
    fn release(&self, claim: &Claim, remaining: Duration) -> VoidOutcome;
}
