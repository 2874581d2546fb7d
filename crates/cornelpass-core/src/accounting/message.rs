//! Messages between a router and the accountant of a target.
//!
//! A [`Question`] asks whether a target may get one more request, and gets a [`Reply`]. A [`Note`]
//! reports usage without a question. A probe gets a [`Presence`]. All counts are absolute numbers,
//! so that a lost or repeated message does no harm.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::contention::Cause;

/// Usage of one target by one router: its load and failures, in absolute numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Short hash of the target's name ([`crate::report::short_hash`]).
    pub target: u32,
    /// Requests in progress.
    pub load: u16,
    /// Requests that failed within [`crate::fleet::health::FAILURE_WINDOW`].
    pub failed: u8,
    /// Requests that ended within [`crate::fleet::health::FAILURE_WINDOW`], failed ones included.
    pub ended: u8,
}

/// Sequence stamp that orders the messages of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Random number of the process; a new one shows a restart.
    pub incarnation: u32,
    /// Sequence number of the message within the process, from 1.
    pub number: u32,
}

/// Question to an accountant whether a target may get one more request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Sequence stamp; the reply repeats its number.
    pub stamp: Stamp,
    /// Usage of the target by the asking router, including the request in question.
    #[serde(rename = "line")]
    pub usage: Usage,
    /// Load of all routers, without the request in question, at which the target counts as full.
    pub limit: u16,
    /// Whether the asking router treats the target as cold.
    pub cold: bool,
}

/// Question with the urgency and the organisation of the request, which is sent in place of a
/// [`Question`] where requests differ in them ([`crate::contention`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Question, with the same reply.
    pub question: Question,
    /// Urgency from 0, the most urgent, to [`crate::contention::class::MAX_URGENCY`].
    pub urgency: u8,
    /// Short hash of the name of the organisation.
    pub organisation: u32,
    /// Whether this is the first target that the request asks for.
    pub is_first: bool,
}

/// Decision of an accountant on a question.
///
/// The reply to a [`Question`] has one of the first three, which routers of earlier releases know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// The request may go to the target and is counted there.
    Granted,
    /// The load of the target has reached the limit.
    Full,
    /// The target is cold or names a rate limit, and has no token left or has reached the load limit.
    Cold,
    /// The rest of the target's room is reserved for more urgent requests.
    Reserved,
    /// The target is busy, and the organisation has got its share.
    OverShare,
    /// As `Granted`, although room is reserved: the class of the request got less than its minimum.
    Minimum,
}

impl Verdict {
    /// Whether the accountant has counted the request at the target.
    #[must_use]
    pub const fn is_granted(self) -> bool {
        matches!(self, Self::Granted | Self::Minimum)
    }

    /// Why room is withheld from the request, if it is.
    #[must_use]
    pub const fn withheld(self) -> Option<Cause> {
        match self {
            Self::Reserved => Some(Cause::Class),
            Self::OverShare => Some(Cause::Organisation),
            Self::Granted | Self::Full | Self::Cold | Self::Minimum => None,
        }
    }
}

/// Load of one target by all routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Short hash of the target's name.
    pub target: u32,
    /// Requests in progress.
    pub load: u16,
}

/// Maximum number of other targets whose load a reply lists, or a [`Presence`] lists for one
/// service; they take 100 bytes.
pub const MAX_TARGET_LOADS: usize = 16;

/// Reply of an accountant to a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Sequence number of the question.
    pub number: u32,
    /// Random number of the accountant's process.
    pub incarnation: u32,
    /// Short hash of the target's name.
    pub target: u32,
    /// Whether the request may go to the target.
    pub verdict: Verdict,
    /// Requests of all routers in progress at the target, without the request in question.
    pub load: u16,
    /// Requests of routers other than the asking one that failed within
    /// [`crate::fleet::health::FAILURE_WINDOW`].
    pub failed: u8,
    /// Requests of routers other than the asking one that ended within
    /// [`crate::fleet::health::FAILURE_WINDOW`], failed ones included.
    pub ended: u8,
    /// Whether the accountant has counted for long enough to know the usage of all routers.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Whether the accountant is about to stop.
    pub leaving: bool,
    /// Loads of other targets of the same service with the same accountant, at most
    /// [`MAX_TARGET_LOADS`].
    #[serde(rename = "others")]
    pub other_loads: Vec<TargetLoad>,
}

/// Reply to a probe.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Random number of the sender's process.
    pub incarnation: u32,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// Loads of the targets whose accountant the sender is, at most [`MAX_TARGET_LOADS`] of each
    /// service.
    #[serde(rename = "tallies")]
    pub target_loads: Vec<TargetLoad>,
    /// Routers that recently stopped replying to the sender, at most [`MAX_UNRESPONSIVE`].
    #[serde(rename = "silent")]
    pub unresponsive: Vec<SocketAddr>,
}

/// Maximum number of unresponsive routers that a [`Presence`] lists; they take 128 bytes.
pub const MAX_UNRESPONSIVE: usize = 16;

/// Report of a router's usage of some targets to their accountant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// Sequence stamp of the message.
    pub stamp: Stamp,
    /// Usage by the sender, one element for each target.
    #[serde(rename = "lines")]
    pub usages: Vec<Usage>,
}

/// Unsolicited message to another router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Reports usage.
    Note(Note),
    /// Asks the receiver for a [`Presence`], which shows that it is running and lists loads.
    Probe,
}

/// Message with the address of its receiver.
pub type Outgoing = (SocketAddr, Message);
