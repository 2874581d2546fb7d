//! Protocol between a router and a target in HTTP headers.
//!
//! A router sends the conditions of an attempt in request headers, and a target returns the result,
//! its load and its notices in response headers. The names and formats of these headers belong to a
//! deployment, which implements the trait of this module.

use std::net::SocketAddr;
use std::time::Duration;

use cornelpass_core::fleet::notice::Notice;
use cornelpass_core::fleet::rate_limit::Rate;
use cornelpass_core::request::Request;
use hyper::StatusCode;
use hyper::header::HeaderMap;

/// Attempt at a request, as announced to the target in request headers.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// Request of the caller.
    pub request: &'a Request,
    /// Name of the target that must run the request; another target at the address refuses it.
    pub target: &'a str,
    /// Remaining time of the request.
    pub time_left: Duration,
    /// ID of the last event that the caller received, if the attempt resumes a stream.
    pub last_event_id: Option<u64>,
    /// Version of the model weights that the rest of the response must be generated with.
    pub weights_version: Option<u64>,
    /// Address of another target from which cached parts of the prompt can be fetched.
    pub fetch_from: Option<SocketAddr>,
    /// Urgency from 0, the most urgent, to 9; none if the target need not know it.
    pub urgency: Option<u8>,
}

/// Load that a target reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Requests that the target can run at the same time.
    pub slots: u32,
    /// Time that work takes now, in percent of the usual time, if reported.
    pub pace: Option<u32>,
}

/// Classification of a response by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Classification {
    /// The response belongs to another request.
    OtherRequest,
    /// The target reports that it did not run the request.
    NotRun {
        /// Whether another target received the request, because it now has the address.
        misdirected: bool,
        /// Whether the response contains the ID of the request. Without it, the response may belong
        /// to an earlier request on the same connection.
        identified: bool,
    },
    /// Response of the target to the request.
    Response {
        /// Whether the status reports success.
        success: bool,
        /// Version of the model weights that generate the response.
        weights_version: Option<u64>,
    },
    /// The response does not come from a target, for example because required headers are missing.
    Invalid,
}

/// Metadata of a response: the load of the target, and when the target closes the connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metadata {
    /// Load of the target, if reported.
    pub load: Option<Load>,
    /// Time after which the target closes an idle connection, if announced.
    pub idle_timeout: Option<Duration>,
    /// Whether the target closes the connection after the response.
    pub closes_connection: bool,
}

impl Metadata {
    /// Time after which the target closes the connection if it stays idle, zero if it closes the
    /// connection at once; none if the target announces no time.
    #[must_use]
    pub const fn reuse_timeout(&self) -> Option<Duration> {
        if self.closes_connection { Some(Duration::ZERO) } else { self.idle_timeout }
    }
}

/// What the head of a response says of the target's rate limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RateLimit {
    /// The target names no limit.
    Unnamed,
    /// The target names a limit.
    Named(Rate),
    /// The target names something that is no rate.
    Malformed(String),
}

/// Encoding and decoding of the headers.
pub trait Protocol: Send + Sync + 'static {
    /// Adds the headers of an attempt to a request.
    fn encode_attempt(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>);

    /// Classifies the head of a response to the request with an ID.
    fn classify(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> Classification;

    /// Decodes the metadata in the head of a response.
    fn metadata(&self, headers: &HeaderMap) -> Metadata;

    /// Decodes the notice to this router in the head of a response: that the target is about to
    /// stop, or must receive no requests for a time (pause).
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// Decodes what the head of a response says of the target's rate limit.
    fn rate_limit(&self, headers: &HeaderMap) -> RateLimit;

    /// Removes the hop-by-hop headers, which apply to one connection only (RFC 9110, section
    /// 7.6.1).
    fn strip_hop_by_hop(&self, headers: &mut HeaderMap);
}
