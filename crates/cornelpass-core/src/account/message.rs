//! What routers and accountants send each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Work and failures of one router at one target, in absolute numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Short hash of the target.
    pub target: u32,
    /// Requests in progress.
    pub load: u16,
    /// Requests that failed within the window of [`crate::fleet::health`].
    pub failed: u8,
    /// Requests that ended within it.
    pub ended: u8,
}

/// Where a message stands in what one process has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Random number of the process, so that a restart shows.
    pub incarnation: u32,
    /// Number of the message, from 1.
    pub number: u32,
}

/// Asks whether a target may get one more request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Number of the question.
    pub stamp: Stamp,
    /// The asking router's work there, with the request in question.
    pub line: Line,
    /// Load of all routers, without the request, from which on it goes elsewhere.
    pub limit: u16,
    /// Whether the asking router takes the target for cold.
    pub cold: bool,
}

/// What an accountant says to a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// The request is counted there.
    Granted,
    /// The target is at the limit.
    Full,
    /// The target is cold and has no place left now.
    Cold,
}

/// Load of a target, of all routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Short hash of the target.
    pub target: u32,
    /// Requests in progress.
    pub load: u16,
}

/// Most other targets that an answer tells of: they take 100 bytes.
pub const TALLY_LIMIT: usize = 16;

/// An accountant's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the question.
    pub number: u32,
    /// Process that answers.
    pub incarnation: u32,
    /// Short hash of the target.
    pub target: u32,
    /// Whether the request may go there.
    pub verdict: Verdict,
    /// Requests of all routers in progress there, without the one in question.
    pub load: u16,
    /// Requests of the other routers that failed there within the window.
    pub failed: u8,
    /// Requests of the other routers that ended there within it.
    pub ended: u8,
    /// Whether the accountant has counted for long enough to know all of them.
    pub whole: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Other targets of the same service that it counts for, at most [`TALLY_LIMIT`].
    pub others: Vec<Tally>,
}

/// Answer to a probe.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Random number of the process.
    pub incarnation: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Targets that it counts for, at most [`TALLY_LIMIT`] of each service.
    pub tallies: Vec<Tally>,
    /// Routers that do not answer it, at most [`SILENT_LIMIT`].
    pub silent: Vec<SocketAddr>,
}

/// Most routers in one answer that do not answer: they take 128 bytes.
pub const SILENT_LIMIT: usize = 16;

/// Tells an accountant of a router's work at some targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// Number of the message.
    pub stamp: Stamp,
    /// The router's work.
    pub lines: Vec<Line>,
}

/// A message to another router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Tells of work.
    Note(Note),
    /// Asks whether the router is there, and for the loads that it knows.
    Probe,
}

/// A message and its receiver.
pub type Letter = (SocketAddr, Message);
