//! Pace of a target: how long work takes there now, as the target reports it in its responses.
//!
//! The figure changes many times a second and is out of date when it is read. A router therefore
//! keeps a slow average, and the newest figure, which loses weight with its age. It compares targets
//! by their work: the load, weighed by the pace. Requests without a prompt go to a target with
//! little work, with some randomness, so that routers that have read the same good news do not all
//! send to the same target. A prompt leaves a target with its cached prefix only if the target has
//! been slow for some time and clearly has more work than the others.
//!
//! The pace only orders targets: the accountants count requests, and the load bound is in requests
//! whatever the pace is. A target that reports no pace counts as being as fast as usual, and a
//! service whose targets report none is ordered by the loads alone.

use std::time::{Duration, Instant};

use super::{Fleet, Record};
use crate::digest;
use crate::request::Request;

/// Pace of a target that is as fast as usual, in percent.
pub const USUAL_PERCENT: u32 = 100;

/// Smallest and largest pace that are applied, in percent. A wrong figure beyond them would take
/// all requests from a target, or all to it.
const LIMITS_PERCENT: (u32, u32) = (25, 1_000);

/// Time constant of the average.
const AVERAGING_TIME: Duration = Duration::from_secs(3);

/// Time constant with which the newest figure loses weight against the average.
const NEWEST_TIME: Duration = Duration::from_secs(1);

/// Time constant with which the average returns to the usual pace without a figure: a target that
/// gets nothing because it was slow is tried again.
const FORGET_TIME: Duration = Duration::from_secs(20);

/// Largest part by which randomness raises the work of a target in a comparison.
const SPREAD: f64 = 0.3;

/// Average pace, as a multiple of the usual one, from which a target is slow.
const SLOW: f64 = 1.5;

/// Average pace below which a slow target is no longer slow.
const NO_LONGER_SLOW: f64 = 1.2;

/// Work of a slow target with a cached prefix, as a multiple of the mean work of the others, above
/// which the prompt goes elsewhere. Reading a prefix again takes several times as long as the rest of
/// a request, and uses the time of the other target.
const LEAVE_MULTIPLE: f64 = 3.0;

/// Pace of one target, as multiples of the usual one.
#[derive(Clone, Copy, Debug)]
struct Figures {
    average: f64,
    newest: f64,
    at: Instant,
}

/// Pace of one target as one router knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    figures: Option<Figures>,
    slow: bool,
}

fn decay(age: Duration, time: Duration) -> f64 {
    (-age.as_secs_f64() / time.as_secs_f64()).exp()
}

impl Pace {
    /// Records a figure that has just arrived; returns whether the target is slow, if that has
    /// changed.
    pub fn record(&mut self, now: Instant, percent: u32) -> Option<bool> {
        let (least, most) = LIMITS_PERCENT;
        let newest = f64::from(percent.clamp(least, most)) / f64::from(USUAL_PERCENT);
        let average = self.figures.map_or(newest, |before| {
            let age = now.saturating_duration_since(before.at);
            newest + (self.average(now) - newest) * decay(age, AVERAGING_TIME)
        });
        self.figures = Some(Figures { average, newest, at: now });
        let slow = average >= if self.slow { NO_LONGER_SLOW } else { SLOW };
        (std::mem::replace(&mut self.slow, slow) != slow).then_some(slow)
    }

    /// Whether the target has reported a pace.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.figures.is_some()
    }

    /// Average pace, as a multiple of the usual one.
    #[must_use]
    pub fn average(&self, now: Instant) -> f64 {
        self.figures.map_or(1.0, |figures| {
            let age = now.saturating_duration_since(figures.at);
            1.0 + (figures.average - 1.0) * decay(age, FORGET_TIME)
        })
    }

    /// Probable pace now, as a multiple of the usual one.
    #[must_use]
    pub fn current(&self, now: Instant) -> f64 {
        let average = self.average(now);
        self.figures.map_or(1.0, |figures| {
            let age = now.saturating_duration_since(figures.at);
            average + (figures.newest - average) * decay(age, NEWEST_TIME)
        })
    }
}

/// Target in a comparison, with its load in requests.
#[derive(Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub(super) name: &'a str,
    pub(super) record: &'a Record,
    pub(super) load: u32,
}

impl Candidate<'_> {
    /// Work with one more request, in requests at the usual pace.
    fn work(&self, pace: f64) -> f64 {
        (f64::from(self.load) + 1.0) * pace
    }

    /// Random number of a request for the target, from 0 to 1, by the digest of its ID.
    fn draw(&self, request: u64) -> f64 {
        let hash = digest::pair(request, self.name);
        (hash >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Whether any of the targets has reported a pace.
pub(super) fn is_reported(targets: &[Candidate<'_>]) -> bool {
    targets.iter().any(|target| target.record.pace.is_known())
}

/// Order of targets for a request without a prompt, by the index of each: least work first, with
/// some randomness.
pub(super) fn order(now: Instant, request: &Request, targets: &[Candidate<'_>]) -> Vec<usize> {
    let key = digest::key(&request.id);
    let work = |target: &Candidate<'_>| {
        target.work(target.record.pace.current(now)) * (1.0 + SPREAD * target.draw(key))
    };
    let mut ranked: Vec<(f64, usize)> = targets.iter().map(work).zip(0..).collect();
    ranked.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// Load of the first target, in requests, from which the second one has less work.
pub(super) fn limit(now: Instant, first: &Candidate<'_>, second: &Candidate<'_>) -> u32 {
    let pace = first.record.pace.current(now);
    (second.work(second.record.pace.current(now)) / pace).floor().max(1.0) as u32
}

/// Whether a prompt leaves a target that has its prefix: the target is slow, and has clearly more
/// work than the others on average.
pub(super) fn is_left(now: Instant, target: &Candidate<'_>, others: &[Candidate<'_>]) -> bool {
    let pace = target.record.pace.average(now);
    if pace < SLOW || others.len() < 2 {
        return false;
    }
    let work = |target: &Candidate<'_>| target.work(target.record.pace.average(now));
    let sum: f64 = others.iter().map(work).sum();
    let mean = (sum - work(target)) / (others.len() as f64 - 1.0);
    work(target) > LEAVE_MULTIPLE * mean
}

impl Fleet {
    /// Records the pace that a target has reported in a response; returns whether the target is
    /// slow, if that has changed. Enables slow starts.
    pub fn record_pace(&mut self, now: Instant, target: &str, percent: u32) -> Option<bool> {
        self.slow_start_disabled = false;
        self.records.get_mut(target)?.pace.record(now, percent)
    }

    /// Average pace of each target that has reported one, in percent.
    pub fn paces(&self, now: Instant) -> impl Iterator<Item = (&str, f64)> {
        let known = self.records.iter().filter(|(_, record)| record.pace.is_known());
        known.map(move |(name, record)| {
            (name.as_str(), record.pace.average(now) * f64::from(USUAL_PERCENT))
        })
    }
}
