//! Datagrams that routers send each other, encoded with postcard.
//!
//! postcard encodes a variant by its position and a struct by the order of its fields, so both
//! orders are part of the format.

use serde::{Deserialize, Serialize};

use crate::accounting::message::{Demand, Note, Presence, Question, Reply};
use crate::accounting::selection::Query;
use crate::fleet::contact::report::Report as Contact;
use crate::fleet::rate_limit::report::LimitReport;
use crate::fleet::slow_start::Progress;
use crate::quarantine::bulletin::Bulletin;
use crate::report::Report;
use crate::rollout::evidence::Evidence;
use crate::rollout::verdict::Verdict;

/// Content of one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Datagram {
    /// Regular report of a router to all other routers.
    Report(Report),
    /// Question to the accountant of a target.
    Question(Question),
    /// Reply of an accountant to a question.
    Reply(Reply),
    /// Report of a router's usage to an accountant.
    Note(Note),
    /// Probe of whether the receiver is running.
    Probe,
    /// Reply to a probe.
    Presence(Presence),
    /// Crashes of targets and quarantined requests.
    Bulletin(Bulletin),
    /// Question to the accountant of a target, with the urgency and the organisation of the request.
    Demand(Demand),
    /// Outcomes of a router's requests at a fresh target.
    Progress(Progress),
    /// Counts of a router about the versions of a service with an order.
    Evidence(Evidence),
    /// State of the rollout of a service.
    Verdict(Verdict),
    /// Targets that a router fails to reach, for their accountants.
    Contact(Contact),
    /// Rate limit that a target names.
    RateLimit(LimitReport),
}

impl From<&Query> for Datagram {
    fn from(query: &Query) -> Self {
        query.demand.map_or(Self::Question(query.question), Self::Demand)
    }
}
