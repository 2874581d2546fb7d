//! Errors of the platform's services, by what they say about the effect of the request.

use snafu::Snafu;

/// Failure of one request to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The request was not sent.
    #[snafu(display("platform unreachable: {message}"))]
    Unreachable {
        /// Cause.
        message: String,
    },
    /// The request may have been sent, but no complete response arrived: the request may have
    /// taken effect, or may still do so.
    #[snafu(display("no complete response from the platform: {message}"))]
    Lost {
        /// Cause.
        message: String,
    },
    /// A condition of the commit did not hold; the commit took no effect.
    #[snafu(display("conflict on {}", keys.join(", ")))]
    Conflict {
        /// Keys and prefixes whose condition did not hold.
        keys: Vec<String>,
    },
    /// The platform rejected the request, which took no effect.
    #[snafu(display("platform rejected the request with status {status}: {message}"))]
    Rejected {
        /// HTTP status code, 400 to 499.
        status: u16,
        /// Body of the response, or another cause.
        message: String,
    },
    /// The value of a row does not have the expected format.
    #[snafu(display("row {key} is malformed: {message}"))]
    Malformed {
        /// Key of the row.
        key: String,
        /// Cause.
        message: String,
    },
}

impl Error {
    /// Whether the request may have taken effect, or may still do so.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Lost { .. })
    }
}
