//! Homes of prompts: which engines keep which shared parts.
//!
//! Prompts that begin with the same part have their homes on the same few engines, so that the part
//! is read on few of them. How many these are follows from the part's share of the work: as many as
//! it takes to carry it, in powers of two, so that small changes of the share move nothing. Within
//! them the rest of the shared parts decides. Both choices are rendezvous hashes, which move only
//! what has to move when an engine comes or goes.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::digest;
use crate::request::Prompt;

/// Time in which a part's share of the work fades by half.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Most first parts whose work is remembered.
const MEMORY_LIMIT: usize = 1024;

/// Growth beyond a power of two at which the next one is taken, and shrinkage for the one before.
const HYSTERESIS: f64 = 1.3;

/// Work that fades.
#[derive(Clone, Copy, Debug)]
struct Faded {
    seconds: f64,
    at: Instant,
    /// Engines that carry it.
    width: usize,
}

impl Faded {
    fn value(&self, now: Instant) -> f64 {
        let halves = now.saturating_duration_since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.seconds * (-halves).exp2()
    }

    fn add(&mut self, now: Instant, seconds: f64) {
        self.seconds = self.value(now) + seconds;
        self.at = now;
    }
}

/// Work by first part, and the homes that follow from it.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    work: BTreeMap<u64, Faded>,
    total: Option<Faded>,
}

impl Homes {
    /// Homes of which no work is known.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the time that a request spent at an engine.
    pub fn worked(&mut self, now: Instant, root: u64, time: Duration) {
        let fresh = Faded { seconds: 0.0, at: now, width: 1 };
        let seconds = time.as_secs_f64();
        self.total.get_or_insert(fresh).add(now, seconds);
        self.work.entry(root).or_insert(fresh).add(now, seconds);
        if self.work.len() > MEMORY_LIMIT {
            let least =
                self.work.iter().min_by(|(_, a), (_, b)| a.value(now).total_cmp(&b.value(now)));
            if let Some(root) = least.map(|(root, _)| *root) {
                self.work.remove(&root);
            }
        }
    }

    /// Engines that carry the prompts that begin with a part, of a number of engines.
    pub fn width(&mut self, now: Instant, root: u64, engines: usize) -> usize {
        let total = self.total.map_or(0.0, |total| total.value(now));
        let Some(work) = self.work.get_mut(&root).filter(|_| total > 0.0) else { return 1 };
        #[expect(clippy::cast_precision_loss, reason = "there are few engines")]
        let needed = work.value(now) / total * engines as f64;
        work.width = adjust(work.width, needed).min(engines.max(1));
        work.width
    }

    /// The engines in the order in which they are to get a prompt.
    pub fn rank<'a>(
        &mut self,
        now: Instant,
        prompt: &Prompt,
        engines: impl IntoIterator<Item = &'a str>,
    ) -> Vec<&'a str> {
        let root = prompt.root();
        let mut ranked = by_score(root, engines);
        let width = self.width(now, root, ranked.len());
        let homes: Vec<&str> = ranked.iter().take(width).copied().collect();
        ranked.splice(..homes.len(), by_score(prompt.key(), homes));
        ranked
    }
}

/// The least power of two that carries what is needed, unless the current one nearly does.
fn adjust(mut width: usize, needed: f64) -> usize {
    #[expect(clippy::cast_precision_loss, reason = "there are few engines")]
    let carries = |width: usize| width as f64;
    while needed > carries(width) * HYSTERESIS {
        width *= 2;
    }
    while width > 1 && needed * HYSTERESIS < carries(width / 2) {
        width /= 2;
    }
    width
}

/// Names in the descending order of their rendezvous scores.
fn by_score<'a>(key: u64, names: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<(u64, &str)> =
        names.into_iter().map(|name| (digest::pair(key, name), name)).collect();
    scored.sort_by(|a, b| match b.0.cmp(&a.0) {
        Ordering::Equal => a.1.cmp(b.1),
        order => order,
    });
    scored.into_iter().map(|(_, name)| name).collect()
}
