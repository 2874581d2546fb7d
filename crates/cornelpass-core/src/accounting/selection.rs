//! Answers of accountants that are collected during one target selection.
//!
//! A selection finds a target for one attempt at a request. It may ask the accountants of several
//! targets in sequence. The answers, and the accountants that did not reply, are kept here between
//! two steps of the selection.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::message::{Demand, Question, Verdict};
use crate::contention::Cause;

/// Maximum number of questions in one selection.
///
/// Each question costs up to one round trip between data centres. After this many, the loads that
/// are known are accurate enough for a choice.
pub const MAX_QUESTIONS: u32 = 5;

/// Unanswered questions after which a selection asks no more accountants.
pub const MAX_UNANSWERED: usize = 3;

/// A question with its receiver and its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Address of the accountant.
    pub accountant: SocketAddr,
    /// Name of the target.
    pub target: String,
    /// Question to send.
    pub question: Question,
    /// The same question with urgency and organisation, to send in its place if requests differ in
    /// them.
    pub demand: Option<Demand>,
}

/// Answer of an accountant for one target, used in the selection in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Whether the request may go to the target.
    pub verdict: Verdict,
    /// Requests of all routers in progress at the target, without the request in question.
    pub load: u32,
    /// Whether the target is full below the limit of the question: it is fresh, and its window is
    /// full ([`crate::fleet::slow_start`]).
    pub window_full: bool,
}

impl Answer {
    /// Answer to a question with a limit.
    #[must_use]
    pub const fn new(verdict: Verdict, load: u32, limit: u32) -> Self {
        let window_full = matches!(verdict, Verdict::Full) && load < limit;
        Self { verdict, load, window_full }
    }
}

/// State of one target selection.
#[derive(Clone, Debug, Default)]
pub struct Selection {
    /// By the name of the target.
    answers: BTreeMap<String, Answer>,
    /// Accountants that did not reply.
    unresponsive: Vec<SocketAddr>,
    /// Questions sent, with or without a reply.
    questions: u32,
}

impl Selection {
    /// Records an answer that this router gave itself, as accountant of the target or because no
    /// accountant replies.
    pub fn record_own(&mut self, target: &str, answer: Answer) {
        self.answers.insert(target.to_owned(), answer);
    }

    /// Records the answer of another router.
    pub fn record_reply(&mut self, target: &str, answer: Answer) {
        self.questions += 1;
        self.record_own(target, answer);
    }

    /// Records that an accountant did not reply.
    ///
    /// Later questions of this selection exclude that accountant and go to the router that ranks
    /// next by hash.
    pub fn record_miss(&mut self, accountant: SocketAddr) {
        self.questions += 1;
        self.unresponsive.push(accountant);
    }

    /// Accountants that did not reply.
    #[must_use]
    pub fn unresponsive(&self) -> &[SocketAddr] {
        &self.unresponsive
    }

    /// Answer for a target, if there is one.
    #[must_use]
    pub fn answer_for(&self, target: &str) -> Option<Answer> {
        self.answers.get(target).copied()
    }

    /// Whether nothing was asked or answered yet.
    #[must_use]
    pub fn is_new(&self) -> bool {
        self.questions == 0 && self.answers.is_empty()
    }

    /// Whether no accountant has answered yet, this router included.
    #[must_use]
    pub fn is_unanswered(&self) -> bool {
        self.answers.is_empty()
    }

    /// Number of targets that have reached the limit, or whose room is withheld.
    #[must_use]
    pub fn full_targets(&self) -> usize {
        let full = |answer: &&Answer| {
            answer.verdict == Verdict::Full || answer.verdict.withheld().is_some()
        };
        self.answers.values().filter(full).count()
    }

    /// Why room at a target was withheld, if it was withheld at any.
    #[must_use]
    pub fn withheld(&self) -> Option<Cause> {
        self.answers.values().find_map(|answer| answer.verdict.withheld())
    }

    /// Whether targets without an answer are judged by estimates: no more questions may be asked,
    /// or room was withheld at as many targets as may be asked about.
    #[must_use]
    pub fn uses_estimates(&self) -> bool {
        let withheld = self.answers.values().filter(|answer| answer.verdict.withheld().is_some());
        !self.may_ask() || withheld.count() >= MAX_QUESTIONS as usize
    }

    /// Number of fresh targets whose windows are full.
    #[must_use]
    pub fn full_windows(&self) -> usize {
        self.answers.values().filter(|answer| answer.window_full).count()
    }

    /// Whether the selection may ask one more question.
    #[must_use]
    pub const fn may_ask(&self) -> bool {
        self.questions < MAX_QUESTIONS && self.unresponsive.len() < MAX_UNANSWERED
    }

    /// Number of questions sent so far.
    #[must_use]
    pub const fn question_count(&self) -> u32 {
        self.questions
    }

    /// Whether the accountant of a target has counted the request.
    #[must_use]
    pub fn is_granted(&self, target: &str) -> bool {
        self.answers.get(target).is_some_and(|answer| answer.verdict.is_granted())
    }

    /// Targets other than the chosen one where an accountant has counted the request.
    ///
    /// The caller reports its usage of these targets, so that the unused grants are released.
    pub fn granted_elsewhere(&self, chosen: &str) -> impl Iterator<Item = &str> {
        let granted = self.answers.iter().filter(|(_, answer)| answer.verdict.is_granted());
        granted.map(|(target, _)| target.as_str()).filter(move |target| *target != chosen)
    }
}
