//! How an attempt ended, and what that shows about its target.

use bytes::Bytes;
use cornelpass_core::fleet::{health, slow_start};
use cornelpass_core::refusal::{Execution, Reason};
use hyper::StatusCode;
use hyper::header::HeaderMap;

use crate::gateway::switch::Place;

/// How an attempt ended.
#[derive(Debug)]
pub enum Outcome {
    /// The complete response was forwarded to the caller.
    Complete {
        /// Whether only the end of the connection shows the end of the response.
        until_close: bool,
    },
    /// The complete error response of the target, with this status, was forwarded to the caller.
    ErrorForwarded(StatusCode),
    /// The caller has disconnected.
    CallerDisconnected,
    /// The target sent an error response, which was not forwarded to the caller.
    ErrorResponse(StatusCode, Box<HeaderMap>, Bytes),
    /// The attempt had no response yet and was abandoned for a place at another target, which is
    /// already charged to the retry budget.
    Abandoned(Box<Place>),
    /// The target reset a new connection before any byte of the request was sent: it accepts no more
    /// connections at present, and the request did not run.
    Reset,
    /// The attempt ended without a complete response.
    Failed {
        /// Reason of the failure.
        reason: Reason,
        /// Whether the request may have run.
        execution: Execution,
        /// Whether the request reached the target.
        reached_target: bool,
    },
}

impl Outcome {
    pub(super) const fn failed(reason: Reason, execution: Execution, reached_target: bool) -> Self {
        Self::Failed { reason, execution, reached_target }
    }

    /// The request reached the target and may have run.
    pub(super) const fn lost(reason: Reason) -> Self {
        Self::failed(reason, Execution::Unknown, true)
    }

    /// The same outcome of an attempt of which no byte was sent.
    pub(super) fn into_unsent(self) -> Self {
        match self {
            Self::Failed { reason, .. } => Self::failed(reason, Execution::NotRun, false),
            outcome => outcome,
        }
    }

    /// Whether the target refused the request for want of capacity.
    #[must_use]
    pub const fn is_shed(&self) -> bool {
        matches!(
            self,
            Self::Failed { reason: Reason::Overloaded, execution: Execution::NotRun, .. }
        )
    }

    /// Value of the label `outcome` in the metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Complete { .. } => "answered",
            Self::CallerDisconnected => "caller_gone",
            Self::ErrorResponse(..) | Self::ErrorForwarded(_) => "failed",
            Self::Abandoned(_) => "abandoned",
            Self::Reset => "reset",
            Self::Failed { execution: Execution::NotRun, reached_target: true, .. } => "refused",
            Self::Failed { reason: Reason::DeadlineExceeded, .. } => "late",
            Self::Failed { reached_target: false, .. } => "unreachable",
            Self::Failed { .. } => "lost",
        }
    }

    /// What the outcome shows about whether the target crashes at the request.
    #[must_use]
    pub const fn crash_evidence(&self) -> CrashEvidence {
        match self {
            Self::Complete { until_close: false } => CrashEvidence::Completed,
            Self::Complete { until_close: true } => CrashEvidence::CheckCompletion,
            // The request was sent, and then the connection failed, no response arrived in time, or
            // the response ended in the middle of an event.
            Self::Failed {
                reason: Reason::TargetLost | Reason::TargetError,
                execution: Execution::Unknown,
                ..
            } => CrashEvidence::CheckFailure,
            _ => CrashEvidence::None,
        }
    }

    /// Outcome for the health check of the target; none if the attempt shows nothing about its
    /// health.
    #[must_use]
    pub const fn health_outcome(&self) -> Option<health::Outcome> {
        match self {
            Self::Complete { .. } => Some(health::Outcome::Answered),
            Self::CallerDisconnected => None,
            // A few resets show that the target is at its cap; one that resets all is failing.
            Self::Reset => Some(health::Outcome::Failed),
            Self::ErrorResponse(..) | Self::ErrorForwarded(_) | Self::Abandoned(_) => {
                Some(health::Outcome::Failed)
            }
            // The request reached its own deadline, or the process ends, which shows nothing about
            // the target.
            Self::Failed { reason: Reason::DeadlineExceeded | Reason::Draining, .. } => None,
            Self::Failed { reached_target: false, .. } => Some(health::Outcome::Unreachable),
            Self::Failed { reason: Reason::TargetSilent, .. } => Some(health::Outcome::TimedOut),
            Self::Failed { .. } => Some(health::Outcome::Failed),
        }
    }
}

impl Outcome {
    /// Bad outcome for the slow start of the target, if it is one; a good one is recorded with the
    /// head of the response.
    #[must_use]
    pub const fn slow_start_evidence(&self) -> Option<slow_start::Outcome> {
        match self {
            Self::Complete { .. } | Self::CallerDisconnected => None,
            // Another target received the request, or the process ends.
            Self::Failed { reason: Reason::OutOfService | Reason::Draining, .. } => None,
            Self::Failed { reason: Reason::DeadlineExceeded, .. } | Self::Abandoned(_) => {
                Some(slow_start::Outcome::Late)
            }
            Self::Reset
            | Self::Failed { execution: Execution::NotRun, reached_target: true, .. } => {
                Some(slow_start::Outcome::Refused)
            }
            Self::ErrorResponse(..) | Self::ErrorForwarded(_) | Self::Failed { .. } => {
                Some(slow_start::Outcome::Failed)
            }
        }
    }
}

/// What the outcome of an attempt shows about whether the target crashes at the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashEvidence {
    /// Nothing.
    None,
    /// The target completed the response.
    Completed,
    /// The connection ended after a response without a length, which was complete unless the target
    /// has crashed.
    CheckCompletion,
    /// The response was lost, maybe because the target has crashed.
    CheckFailure,
}
