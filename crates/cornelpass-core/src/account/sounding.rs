//! What accountants have said while one request looks for its target.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::message::{Question, Verdict};

/// Most questions for one attempt at a request: each takes a round trip between data centres at most,
/// and what is known by then is good enough.
pub const QUESTIONS: u32 = 5;

/// Unanswered questions after which none is asked for the attempt any more.
pub const MISSES: usize = 3;

/// A question, its receiver, and the target that it is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// The accountant's address.
    pub accountant: SocketAddr,
    /// Name of the target.
    pub target: String,
    /// The question.
    pub question: Question,
}

/// What is known of a target's load for the decision in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// Whether the request may go there.
    pub verdict: Verdict,
    /// Requests of all routers in progress there, without this one.
    pub load: u32,
}

/// What is known for one attempt at a request.
#[derive(Clone, Debug, Default)]
pub struct Sounding {
    told: BTreeMap<String, Told>,
    /// Accountants that did not answer.
    silent: Vec<SocketAddr>,
    asked: u32,
}

impl Sounding {
    /// Takes what this router knows by its own count.
    pub fn count(&mut self, target: &str, told: Told) {
        self.told.insert(target.to_owned(), told);
    }

    /// Takes another accountant's answer.
    pub fn answer(&mut self, target: &str, told: Told) {
        self.asked += 1;
        self.count(target, told);
    }

    /// An accountant did not answer; the next one by hash is asked.
    pub fn miss(&mut self, accountant: SocketAddr) {
        self.asked += 1;
        self.silent.push(accountant);
    }

    /// Accountants that did not answer.
    #[must_use]
    pub fn silent(&self) -> &[SocketAddr] {
        &self.silent
    }

    /// What was told of a target.
    #[must_use]
    pub fn told(&self, target: &str) -> Option<Told> {
        self.told.get(target).copied()
    }

    /// Targets that are at the limit.
    #[must_use]
    pub fn full(&self) -> usize {
        self.told.values().filter(|told| told.verdict == Verdict::Full).count()
    }

    /// Whether one more question may be asked.
    #[must_use]
    pub const fn may_ask(&self) -> bool {
        self.asked < QUESTIONS && self.silent.len() < MISSES
    }

    /// Questions so far.
    #[must_use]
    pub const fn asked(&self) -> u32 {
        self.asked
    }

    /// Whether another router has counted the request at a target.
    #[must_use]
    pub fn is_granted(&self, target: &str) -> bool {
        self.told.get(target).is_some_and(|told| told.verdict == Verdict::Granted)
    }

    /// Targets other than the chosen one at which the request was counted.
    pub fn granted_elsewhere(&self, chosen: &str) -> impl Iterator<Item = &str> {
        let granted = self.told.iter().filter(|(_, told)| told.verdict == Verdict::Granted);
        granted.map(|(target, _)| target.as_str()).filter(move |target| *target != chosen)
    }
}
