//! Errors of requests to the platform. The variants show whether the request may have taken effect.

use cornelpass_core::fleet::outage::Failure;
use snafu::Snafu;

/// Smallest HTTP status of a server error.
const MIN_SERVER_ERROR: u16 = 500;

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
    /// The platform rejected the request.
    ///
    /// [`http::Platform`](crate::http::Platform) reports only status 400 to 499 in this way, and
    /// status 400 if the value to write cannot be encoded and nothing was sent; the request took no
    /// effect. The client of the gateway's store reports every status that is not a success in this
    /// way; after a server error (status 500 or more) the request may have taken effect.
    #[snafu(display("platform rejected the request with status {status}: {message}"))]
    Rejected {
        /// HTTP status code.
        status: u16,
        /// Body of the response, or another cause.
        message: String,
    },
    /// A row or a response does not have the expected format.
    #[snafu(display("row {key} is malformed: {message}"))]
    Malformed {
        /// Key of the row, or path of the request.
        key: String,
        /// Cause.
        message: String,
    },
}

impl Error {
    /// What the failure shows about the platform.
    #[must_use]
    pub const fn failure(&self) -> Failure {
        match self {
            Self::Lost { .. } => Failure::NoResponse,
            Self::Unreachable { .. } => Failure::Unavailable,
            Self::Rejected { status, .. } if *status >= MIN_SERVER_ERROR => Failure::Unavailable,
            Self::Rejected { .. } | Self::Conflict { .. } | Self::Malformed { .. } => {
                Failure::Rejected
            }
        }
    }

    /// Whether the request may have taken effect, or may still do so.
    ///
    /// False for every [`Error::Rejected`].
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Lost { .. })
    }
}
