//! What routers send each other as datagrams.

use serde::{Deserialize, Serialize};

use crate::account::message::{Note, Presence, Question, Reply};
use crate::report::Report;

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Datagram {
    /// What a router tells all others.
    Report(Report),
    /// A router asks the accountant of a target.
    Question(Question),
    /// The accountant's answer.
    Reply(Reply),
    /// A router tells an accountant of its work.
    Note(Note),
    /// Asks whether the receiver is there.
    Probe,
    /// It is.
    Presence(Presence),
}
