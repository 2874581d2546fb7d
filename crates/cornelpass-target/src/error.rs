//! Failures of requests to targets, and whether the failed request may have run.

use cornelpass_core::refusal::Execution;
use snafu::Snafu;

/// Failure of a request to a target.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The request was not sent, for example because no connection could be opened.
    #[snafu(display("request not sent: {detail}"))]
    Unsent {
        /// Cause.
        detail: String,
    },
    /// The connection failed, or the target stopped responding, after the request may have been
    /// sent.
    #[snafu(display("response lost: {detail}"))]
    Lost {
        /// Cause.
        detail: String,
    },
    /// The target responded with an error status.
    #[snafu(display("target responded with status {status}: {detail}"))]
    Status {
        /// HTTP status.
        status: u16,
        /// Start of the response body, at most 200 characters.
        detail: String,
    },
}

impl Error {
    /// Whether the request may have run.
    #[must_use]
    pub const fn execution(&self) -> Execution {
        match self {
            Self::Unsent { .. } => Execution::NotRun,
            Self::Lost { .. } | Self::Status { .. } => Execution::Unknown,
        }
    }
}
