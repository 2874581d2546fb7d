//! History of the attempts at one request, and the decision whether another attempt follows.
//!
//! After an attempt that certainly did not run, another one may follow on any other target. After
//! an attempt that may have run, another one may follow only if the request may be repeated, and
//! then on no more targets than the operators allow: once that many targets may have run the
//! request, further attempts reuse these targets. Once the caller has received a part of the
//! response, only a request that can be resumed gets another attempt.

use std::collections::{BTreeMap, BTreeSet};

use crate::refusal::Execution;
use crate::request::RetrySafety;

/// Maximum number of attempts at one request, whether they ran or not.
pub const ATTEMPT_LIMIT: u32 = 4;

/// Retry policy of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// What may be retried after an attempt that may have run.
    pub retry_safety: RetrySafety,
    /// Maximum number of targets that may run the request.
    pub max_targets: u32,
}

/// An attempt that ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the request may have run on the target.
    pub execution: Execution,
    /// Whether the request reached its target, so that another attempt is charged as a retry.
    pub reached_target: bool,
    /// Whether the caller has received a part of the response.
    pub response_started: bool,
    /// Whether the target sent an error response, which it would probably send again.
    pub target_error: bool,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Make another attempt.
    Retry {
        /// Whether the attempt must be charged to the retry budget.
        charged: bool,
    },
    /// No further attempt: the request ends with an error response of a target, if there is one, or
    /// with a refusal.
    GiveUp,
}

/// Whether a target may be used for the next attempt; in descending order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Eligibility {
    /// The target has not been tried.
    Untried,
    /// The target may have run the request this number of times.
    Tried(u32),
    /// The target may not be used.
    Excluded,
}

/// History of the attempts at one request.
#[derive(Clone, Debug)]
pub struct History {
    policy: Policy,
    /// Number of times that each target may have run the request.
    runs: BTreeMap<String, u32>,
    /// Targets that did not run the request, or sent an error response.
    excluded: BTreeSet<String>,
    attempts: u32,
    execution: Execution,
}

impl History {
    /// Creates the history of a request without attempts.
    #[must_use]
    pub const fn new(policy: Policy) -> Self {
        Self {
            policy,
            runs: BTreeMap::new(),
            excluded: BTreeSet::new(),
            attempts: 0,
            execution: Execution::NotRun,
        }
    }

    /// Number of failed attempts so far.
    #[must_use]
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether any attempt may have run.
    #[must_use]
    pub const fn execution(&self) -> Execution {
        self.execution
    }

    /// Whether a target may be used for the next attempt, and how often it may have run the
    /// request.
    #[must_use]
    pub fn eligibility(&self, target: &str) -> Eligibility {
        if self.excluded.contains(target) {
            return Eligibility::Excluded;
        }
        match self.runs.get(target) {
            Some(count) => Eligibility::Tried(*count),
            None if self.is_at_target_limit() => Eligibility::Excluded,
            None => Eligibility::Untried,
        }
    }

    /// Whether the maximum number of targets may have run the request.
    fn is_at_target_limit(&self) -> bool {
        u32::try_from(self.runs.len()).unwrap_or(u32::MAX) >= self.policy.max_targets.max(1)
    }

    /// Whether another attempt may follow one that may have run.
    #[must_use]
    pub const fn is_repeatable(&self) -> bool {
        self.policy.retry_safety.allows_retry()
    }

    /// The history while an attempt is running at a target that may run the request: the target may
    /// not be used for another attempt.
    #[must_use]
    pub fn with_running(&self, target: &str) -> Self {
        let mut history = self.clone();
        history.attempts += 1;
        history.execution = Execution::Unknown;
        history.excluded.insert(target.to_owned());
        *history.runs.entry(target.to_owned()).or_default() += 1;
        history
    }

    /// Records an attempt that ended without a complete response, and decides what follows.
    pub fn record_failure(&mut self, target: &str, attempt: FailedAttempt) -> Next {
        self.attempts += 1;
        self.execution = self.execution.max(attempt.execution);
        if attempt.execution == Execution::NotRun || attempt.target_error {
            self.excluded.insert(target.to_owned());
        }
        if attempt.execution == Execution::Unknown {
            *self.runs.entry(target.to_owned()).or_default() += 1;
        }
        let allowed =
            self.execution == Execution::NotRun || self.policy.retry_safety.allows_retry();
        let can_continue =
            !attempt.response_started || self.policy.retry_safety == RetrySafety::Resumable;
        if !allowed || !can_continue || self.attempts >= ATTEMPT_LIMIT {
            return Next::GiveUp;
        }
        Next::Retry { charged: attempt.reached_target }
    }
}
