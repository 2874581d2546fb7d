//! How a deployment spells what a router and a target tell each other in headers.

use std::net::SocketAddr;
use std::time::Duration;

use cornelpass_core::fleet::notice::Notice;
use cornelpass_core::request::Request;
use hyper::StatusCode;
use hyper::header::HeaderMap;

/// What a router tells a target with a request.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// The request.
    pub request: &'a Request,
    /// Name of the target that is meant.
    pub target: &'a str,
    /// Time left for the request.
    pub left: Duration,
    /// Number of the last event that the caller has.
    pub last_event: Option<u64>,
    /// Version of the weights that the answer has to continue with.
    pub weights: Option<u64>,
    /// Target from which parts of the prompt can be fetched.
    pub fetch: Option<SocketAddr>,
}

/// What a target says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// It answers another request.
    Foreign,
    /// The target says that it did not run the request.
    NotRun {
        /// Whether another target has the address.
        misdirected: bool,
    },
    /// The target's own answer.
    Answer {
        /// Whether it says that the request succeeded.
        success: bool,
        /// Version of the weights that it is made with.
        weights: Option<u64>,
    },
    /// No target answers like this.
    Garbage,
}

/// What is said besides the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Aside {
    /// Load of the target.
    pub load: Option<Load>,
    /// Time for which the target keeps an idle connection.
    pub idle_timeout: Option<Duration>,
    /// Whether the connection ends with the answer.
    pub closes: bool,
}

/// Spelling of headers.
pub trait Dialect: Send + Sync + 'static {
    /// Adds what the router tells the target.
    fn dress(&self, headers: &mut HeaderMap, order: &Order<'_>);

    /// Reads the head of an answer to a request.
    fn read(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> Reading;

    /// Reads what the head says besides.
    fn aside(&self, headers: &HeaderMap) -> Aside;

    /// Reads what the head of an answer asks of the router.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// Removes the headers that concern one connection only.
    fn strip(&self, headers: &mut HeaderMap);
}
