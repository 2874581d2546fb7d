//! Placement of chats: ranks the targets that serve the model of a chat.
//!
//! The input is the hash of the chat and the candidate targets with their weights, loads and load
//! bounds; the output is an order of preference. The default policy is weighted rendezvous hashing
//! with bounded loads: a chat stays at its target, whose prefix cache holds its prompt, unless the
//! target is overloaded.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::digest;

/// A target that may serve the chat.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the target.
    pub name: &'a str,
    /// Capacity relative to the other candidates, as in the operators' table.
    pub weight: u32,
    /// Fraction of the weight that the target can serve at present, from 0 to 1; below 1 while the
    /// target warms up.
    pub ramp: f64,
    /// Load as last reported, in units of load.
    pub load: u32,
    /// Load bound, in units of load: a target whose load has reached the bound ranks lower.
    pub bound: u32,
}

impl<'a> Candidate<'a> {
    /// Creates a candidate without load, without a bound and with its full weight.
    #[must_use]
    pub const fn new(name: &'a str, weight: u32) -> Self {
        Self { name, weight, ramp: 1.0, load: 0, bound: u32::MAX }
    }

    /// Sets the load and the bound, in units of load.
    #[must_use]
    pub const fn with_load(mut self, load: u32, bound: u32) -> Self {
        self.load = load;
        self.bound = bound;
        self
    }

    /// Sets the fraction of the weight that the target can serve at present, from 0 to 1.
    #[must_use]
    pub const fn with_ramp(mut self, ramp: f64) -> Self {
        self.ramp = ramp;
        self
    }

    /// Whether the load has reached the bound.
    #[must_use]
    pub const fn has_reached_bound(&self) -> bool {
        self.load >= self.bound
    }

    /// Whether the target is a last resort: `ramp` is 0, so that it should get no chats while other
    /// candidates can serve them.
    #[must_use]
    pub fn is_held_back(&self) -> bool {
        self.ramp <= 0.0
    }

    /// Tier of the candidate, the most preferred first: 0 below its bound, 1 at its bound or
    /// above, and 2 and 3 accordingly for a candidate with a `ramp` of 0.
    #[must_use]
    pub fn tier(&self) -> u8 {
        u8::from(self.has_reached_bound()) + 2 * u8::from(self.is_held_back())
    }

    /// Weight scaled by `ramp`, or the full weight if `ramp` is 0, so that such candidates can be
    /// ranked against each other.
    fn effective_weight(&self) -> f64 {
        f64::from(self.weight) * if self.is_held_back() { 1.0 } else { self.ramp }
    }
}

/// Ranks the candidates for a chat.
pub trait Placement: Send + Sync {
    /// Returns the indices of all candidates, the most preferred first.
    ///
    /// `key` is the hash of the chat.
    fn rank(&self, key: u64, candidates: &[Candidate<'_>]) -> Vec<usize>;
}

/// Placement policies; the variants are named as in the settings.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// Weighted rendezvous hashing with bounded loads: [`Bounded`].
    #[default]
    Bounded,
    /// Weighted random order: [`Random`].
    Random,
    /// Lowest load per weight first: [`LeastLoaded`].
    LeastLoaded,
    /// Weighted rendezvous hashing without a bound: [`Rendezvous`].
    Hash,
}

impl Policy {
    /// Creates the placement of the policy.
    #[must_use]
    pub fn build(self) -> Box<dyn Placement> {
        match self {
            Self::Bounded => Box::new(Bounded),
            Self::Random => Box::new(Random::default()),
            Self::LeastLoaded => Box::new(LeastLoaded),
            Self::Hash => Box::new(Rendezvous),
        }
    }
}

/// Weighted rendezvous hashing with bounded loads.
///
/// A chat keeps its target while the load of the target is below the bound. Candidates whose
/// load has reached the bound rank after the others, and candidates with a `ramp` of 0 rank last.
///
/// Based on Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads" (2016),
/// with weighted rendezvous hashing in place of consistent hashing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bounded;

impl Placement for Bounded {
    fn rank(&self, key: u64, candidates: &[Candidate<'_>]) -> Vec<usize> {
        sort_by_rank(candidates, |candidate| (candidate.tier(), -score(key, candidate)))
    }
}

/// Weighted rendezvous hashing without a bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rendezvous;

impl Placement for Rendezvous {
    fn rank(&self, key: u64, candidates: &[Candidate<'_>]) -> Vec<usize> {
        sort_by_rank(candidates, |candidate| {
            (u8::from(candidate.is_held_back()), -score(key, candidate))
        })
    }
}

/// Weighted random order, different for each request.
///
/// The order depends on the key and on the number of earlier requests alone, so that runs can be
/// reproduced.
#[derive(Debug, Default)]
pub struct Random {
    ranked_count: AtomicU64,
}

impl Placement for Random {
    fn rank(&self, key: u64, candidates: &[Candidate<'_>]) -> Vec<usize> {
        let count = self.ranked_count.fetch_add(1, Ordering::Relaxed);
        let key = digest::pair(key, &count.to_string());
        Rendezvous.rank(key, candidates)
    }
}

/// Lowest load per weight first; equal candidates are ordered by rendezvous hashing. Candidates
/// with a `ramp` of 0 rank last. The weight is scaled by `ramp`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

impl Placement for LeastLoaded {
    fn rank(&self, key: u64, candidates: &[Candidate<'_>]) -> Vec<usize> {
        let mut ranked = Rendezvous.rank(key, candidates);
        let load_per_weight =
            |index: usize| f64::from(candidates[index].load) / candidates[index].effective_weight();
        let is_held_back = |index: usize| candidates[index].is_held_back();
        ranked.sort_by(|&a, &b| {
            is_held_back(a)
                .cmp(&is_held_back(b))
                .then(load_per_weight(a).total_cmp(&load_per_weight(b)))
        });
        ranked
    }
}

/// Values that determine the rank of a candidate.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation<'a> {
    /// Candidate with its weight, load and bound.
    pub candidate: Candidate<'a>,
    /// Weighted rendezvous score of the candidate for the chat.
    ///
    /// [`Bounded`] ranks by the score, highest first, within each tier; [`Rendezvous`] among the
    /// candidates with a `ramp` above 0, and then among those with a `ramp` of 0; [`LeastLoaded`]
    /// only among equal loads. [`Random`] ranks by the scores for another key.
    pub score: f64,
}

/// Explains the ranking of a placement, the most preferred candidate first.
#[must_use]
pub fn explain<'a>(
    placement: &dyn Placement,
    key: u64,
    candidates: &[Candidate<'a>],
) -> Vec<Explanation<'a>> {
    let to_explanation = |index: usize| {
        let candidate = candidates[index].clone();
        Explanation { score: score(key, &candidate), candidate }
    };
    placement.rank(key, candidates).into_iter().map(to_explanation).collect()
}

/// Returns the indices of the candidates, sorted by the tier and value that `rank` returns, in
/// ascending order; equal candidates keep their order.
fn sort_by_rank<'a>(
    candidates: &[Candidate<'a>],
    rank: impl Fn(&Candidate<'a>) -> (u8, f64),
) -> Vec<usize> {
    let mut ranked: Vec<((u8, f64), usize)> =
        candidates.iter().map(rank).zip(0..candidates.len()).collect();
    ranked.sort_by(|((a, x), i), ((b, y), j)| a.cmp(b).then(x.total_cmp(y)).then(i.cmp(j)));
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// Weighted rendezvous score; the candidate with the highest score is preferred.
///
/// The hash is mapped to a number `u` between 0 and 1, and the score is the effective
/// weight divided by `-ln(u)`.
fn score(key: u64, candidate: &Candidate<'_>) -> f64 {
    let hash = digest::pair(key, candidate.name);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    candidate.effective_weight() / -uniform.ln()
}
