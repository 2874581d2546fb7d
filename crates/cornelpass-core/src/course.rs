//! The attempts at one request so far, and what follows from them.
//!
//! An attempt that surely did not run may be followed by another one anywhere. One that may have
//! run is followed by another only if the request may be repeated, and then at no more targets than
//! the operators allow: once that many targets have run it, further attempts go to these again.

use std::collections::{BTreeMap, BTreeSet};

use crate::refusal::Run;
use crate::request::Repeat;

/// Most attempts at one request, whatever became of them.
pub const ATTEMPT_LIMIT: u32 = 4;

/// What a request's terms allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// What may be done again.
    pub repeat: Repeat,
    /// Most targets that may run it.
    pub targets: u32,
}

/// How an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Whether it had an effect.
    pub run: Run,
    /// Whether the request reached its target, so that another attempt counts as a retry there.
    pub arrived: bool,
    /// Whether the caller has a part of the answer.
    pub begun: bool,
    /// Whether the target answered with a failure of its own, as it would again.
    pub answered: bool,
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Another attempt.
    Again {
        /// Whether it has to be paid from the retry budget.
        paid: bool,
    },
    /// The final answer.
    GiveUp,
}

/// How a target stands in view of the attempts so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Claim {
    /// It has not been tried.
    Fresh,
    /// It has run the request, this many times.
    Tried(u32),
    /// It may not be tried.
    Barred,
}

/// Attempts at one request.
#[derive(Clone, Debug)]
pub struct Course {
    terms: Terms,
    /// Times that each target may have run it.
    ran: BTreeMap<String, u32>,
    /// Targets that did not run it, or answered with a failure of their own.
    refused: BTreeSet<String>,
    attempts: u32,
    effect: Run,
}

impl Course {
    /// A request that has not been tried.
    #[must_use]
    pub const fn new(terms: Terms) -> Self {
        Self {
            terms,
            ran: BTreeMap::new(),
            refused: BTreeSet::new(),
            attempts: 0,
            effect: Run::NotRun,
        }
    }

    /// Attempts so far.
    #[must_use]
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether any attempt may have run.
    #[must_use]
    pub const fn effect(&self) -> Run {
        self.effect
    }

    /// Whether a target may be tried, and how often it was.
    #[must_use]
    pub fn claim(&self, target: &str) -> Claim {
        if self.refused.contains(target) {
            return Claim::Barred;
        }
        match self.ran.get(target) {
            Some(times) => Claim::Tried(*times),
            None if self.is_full() => Claim::Barred,
            None => Claim::Fresh,
        }
    }

    /// Whether as many targets have run it as may.
    fn is_full(&self) -> bool {
        u32::try_from(self.ran.len()).unwrap_or(u32::MAX) >= self.terms.targets.max(1)
    }

    /// Whether an attempt that may have run can be followed by another one.
    #[must_use]
    pub const fn is_repeatable(&self) -> bool {
        self.terms.repeat.allowed()
    }

    /// Takes the end of an attempt without a whole answer, and decides what follows.
    pub fn ended(&mut self, target: &str, ended: Ended) -> Next {
        self.attempts += 1;
        self.effect = self.effect.max(ended.run);
        if ended.run == Run::NotRun || ended.answered {
            self.refused.insert(target.to_owned());
        }
        if ended.run == Run::Unknown {
            *self.ran.entry(target.to_owned()).or_default() += 1;
        }
        let allowed = self.effect == Run::NotRun || self.terms.repeat.allowed();
        let spliced = !ended.begun || self.terms.repeat == Repeat::Rest;
        if !allowed || !spliced || self.attempts >= ATTEMPT_LIMIT {
            return Next::GiveUp;
        }
        Next::Again { paid: ended.arrived }
    }
}
