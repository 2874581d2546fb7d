//! Where a chat goes: an order of preference over the targets that serve its model.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::digest;

/// A target that may take the chat.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the target.
    pub name: &'a str,
    /// Capacity relative to the other candidates, in units of the table.
    pub weight: u32,
    /// Part of the weight that the target can bear now, from 0 to 1.
    pub ramp: f64,
    /// Load as last reported, in units of load.
    pub load: u32,
    /// Load that the target may reach, in units of load.
    pub bound: u32,
}

impl<'a> Candidate<'a> {
    /// A candidate without load.
    #[must_use]
    pub const fn new(name: &'a str, weight: u32) -> Self {
        Self { name, weight, ramp: 1.0, load: 0, bound: u32::MAX }
    }

    /// Sets the load and the bound, in units of load.
    #[must_use]
    pub const fn load(mut self, load: u32, bound: u32) -> Self {
        self.load = load;
        self.bound = bound;
        self
    }

    /// Sets the part of the weight that counts.
    #[must_use]
    pub const fn ramp(mut self, ramp: f64) -> Self {
        self.ramp = ramp;
        self
    }

    /// Whether the load has reached the bound.
    #[must_use]
    pub const fn over(&self) -> bool {
        self.load >= self.bound
    }

    /// Whether the target should get nothing while others can.
    #[must_use]
    pub fn held(&self) -> bool {
        self.ramp <= 0.0
    }

    /// Candidates within their bound come before those over it, and those held back come last.
    #[must_use]
    pub fn tier(&self) -> u8 {
        u8::from(self.over()) + 2 * u8::from(self.held())
    }

    /// Weight that counts now.
    fn capacity(&self) -> f64 {
        f64::from(self.weight) * if self.held() { 1.0 } else { self.ramp }
    }
}

/// Orders candidates for a chat.
pub trait Placement: Send + Sync {
    /// Indices of the candidates, the most preferred first.
    fn rank(&self, key: u64, candidates: &[Candidate<'_>]) -> Vec<usize>;
}

/// Policies by the names that settings use.
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
    /// [`Bounded`].
    #[default]
    Bounded,
    /// [`Random`].
    Random,
    /// [`Least`].
    LeastLoaded,
    /// [`Plain`].
    Hash,
}

impl Policy {
    /// Builds the placement.
    #[must_use]
    pub fn build(self) -> Box<dyn Placement> {
        match self {
            Self::Bounded => Box::new(Bounded),
            Self::Random => Box::new(Random::default()),
            Self::LeastLoaded => Box::new(Least),
            Self::Hash => Box::new(Plain),
        }
    }
}

/// Weighted rendezvous hashing with bounded loads.
///
/// A chat keeps its target while the target is within its bound; the candidates over their bound
/// come after the others, and those that are held back come last. After Mirrokni, Thorup and
/// Zadimoghaddam, "Consistent Hashing with Bounded Loads" (2016), on weighted rendezvous hashing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bounded;

impl Placement for Bounded {
    fn rank(&self, key: u64, candidates: &[Candidate<'_>]) -> Vec<usize> {
        sorted(candidates, |candidate| (candidate.tier(), -score(key, candidate)))
    }
}

/// Weighted rendezvous hashing without a bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plain;

impl Placement for Plain {
    fn rank(&self, key: u64, candidates: &[Candidate<'_>]) -> Vec<usize> {
        sorted(candidates, |candidate| (u8::from(candidate.held()), -score(key, candidate)))
    }
}

/// Weighted random order, new for each request, and the same in each run.
#[derive(Debug, Default)]
pub struct Random {
    count: AtomicU64,
}

impl Placement for Random {
    fn rank(&self, key: u64, candidates: &[Candidate<'_>]) -> Vec<usize> {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        let key = digest::pair(key, &count.to_string());
        Plain.rank(key, candidates)
    }
}

/// The least load per weight first.
#[derive(Clone, Copy, Debug, Default)]
pub struct Least;

impl Placement for Least {
    fn rank(&self, key: u64, candidates: &[Candidate<'_>]) -> Vec<usize> {
        let mut ranked = Plain.rank(key, candidates);
        let load = |index: usize| f64::from(candidates[index].load) / candidates[index].capacity();
        let held = |index: usize| candidates[index].held();
        ranked.sort_by(|&a, &b| held(a).cmp(&held(b)).then(load(a).total_cmp(&load(b))));
        ranked
    }
}

/// Why a candidate stands where it does in an order.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation<'a> {
    /// The candidate.
    pub candidate: Candidate<'a>,
    /// Weighted rendezvous score of the chat at the candidate; the highest wins.
    pub score: f64,
}

/// Explains the order of a placement, the most preferred first.
#[must_use]
pub fn explain<'a>(
    placement: &dyn Placement,
    key: u64,
    candidates: &[Candidate<'a>],
) -> Vec<Explanation<'a>> {
    let explanation = |index: usize| {
        let candidate = candidates[index].clone();
        Explanation { score: score(key, &candidate), candidate }
    };
    placement.rank(key, candidates).into_iter().map(explanation).collect()
}

/// Indices of the candidates in ascending order of tier and value.
fn sorted<'a>(
    candidates: &[Candidate<'a>],
    rank: impl Fn(&Candidate<'a>) -> (u8, f64),
) -> Vec<usize> {
    let mut ranked: Vec<((u8, f64), usize)> =
        candidates.iter().map(rank).zip(0..candidates.len()).collect();
    ranked.sort_by(|((a, x), i), ((b, y), j)| a.cmp(b).then(x.total_cmp(y)).then(i.cmp(j)));
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// Weighted rendezvous score; the highest wins.
fn score(key: u64, candidate: &Candidate<'_>) -> f64 {
    let hash = digest::pair(key, candidate.name);
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    candidate.capacity() / -unit.ln()
}
