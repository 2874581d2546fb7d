//! Work of this router in progress, by target.
//!
//! An answer can be lost while its target works on: its request stays open here and weighs nothing
//! there. A request that has been quiet for [`STALL`] while its target was heard on behalf of others
//! counts as such, and not as load, since it would raise the mean and with it every target's bound.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time without a sign after which a request does not count, if its target was heard meanwhile.
///
/// Longer than an engine takes to read a long prompt behind others, and than the pauses of streams.
pub const STALL: Duration = Duration::from_millis(1_500);

/// Time over which the mean of the work at a target is taken: several requests long.
pub const MEAN_TIME: Duration = Duration::from_secs(2);

/// Mean below which a target without work is forgotten, in requests.
const LEAST_MEAN: f64 = 0.01;

/// Number of a request in progress at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// A request in progress.
#[derive(Clone, Copy, Debug)]
struct Work {
    content: u64,
    /// When it was sent, or gave its last sign.
    heard: Instant,
}

/// Work at one target.
#[derive(Clone, Debug, Default)]
struct Bench {
    works: BTreeMap<Ticket, Work>,
    /// Last sign for any request.
    heard: Option<Instant>,
    /// Mean load up to a moment, in requests.
    mean: Option<(f64, Instant)>,
}

impl Bench {
    fn load(&self, now: Instant) -> u32 {
        let stalled = |work: &Work| {
            let quiet = |at: Instant| at.saturating_duration_since(work.heard) > STALL;
            quiet(now) && self.heard.is_some_and(quiet)
        };
        let count = self.works.values().filter(|work| !stalled(work)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn mean(&self, now: Instant) -> f64 {
        let load = f64::from(self.load(now));
        let Some((mean, at)) = self.mean else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64() / MEAN_TIME.as_secs_f64();
        load + (mean - load) * (-age).exp()
    }

    /// Takes the work so far into the mean, before it changes.
    fn settle(&mut self, now: Instant) {
        self.mean = Some((self.mean(now), now));
    }
}

/// Requests of this router in progress, by target.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    benches: BTreeMap<String, Bench>,
    next: u64,
}

impl Loads {
    /// Counts a request that was sent to a target, with the digest of its content.
    pub fn sent(&mut self, now: Instant, target: &str, content: u64) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        let bench = self.benches.entry(target.to_owned()).or_default();
        bench.settle(now);
        bench.works.insert(ticket, Work { content, heard: now });
        ticket
    }

    /// A request has given a sign.
    pub fn sign(&mut self, now: Instant, target: &str, ticket: Ticket) {
        let Some(bench) = self.benches.get_mut(target) else { return };
        bench.heard = Some(now);
        if let Some(work) = bench.works.get_mut(&ticket) {
            work.heard = now;
        }
    }

    /// Counts a request that has ended there.
    pub fn ended(&mut self, now: Instant, target: &str, ticket: Ticket) {
        let Some(bench) = self.benches.get_mut(target) else { return };
        bench.settle(now);
        bench.works.remove(&ticket);
    }

    /// Drops the targets that have had no work for a time.
    pub fn forget(&mut self, now: Instant) {
        self.benches.retain(|_, bench| !bench.works.is_empty() || bench.mean(now) >= LEAST_MEAN);
    }

    /// Mean number of requests in progress at a target, over [`MEAN_TIME`].
    #[must_use]
    pub fn mean(&self, target: &str, now: Instant) -> f64 {
        self.benches.get(target).map_or(0.0, |bench| bench.mean(now))
    }

    /// Contents in progress at a target.
    #[must_use]
    pub fn contents(&self, target: &str) -> Vec<u64> {
        let works = self.benches.get(target).into_iter().flat_map(|bench| bench.works.values());
        works.map(|work| work.content).collect()
    }

    /// Requests in progress at a target, without those that have stalled.
    #[must_use]
    pub fn of(&self, target: &str, now: Instant) -> u32 {
        self.benches.get(target).map_or(0, |bench| bench.load(now))
    }
}
