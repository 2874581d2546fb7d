//! In which order targets come into question for a request.
//!
//! Targets are ranked by what the request's course allows, whether they have a place, whether they are
//! away, their load against the bound, other doubts, and what they hold of the request's prompt, in this
//! order. A load is what an accountant has said for this request, else what one told a time ago.

use std::time::{Duration, Instant};

use super::choice::{Cause, ROOM_WAIT, Refusal};
use super::health::Standing;
use super::{Fleet, LAPSE_GRACE, Record, State};
use crate::account::message::Verdict;
use crate::account::sounding::{Sounding, Told};
use crate::course::{Claim, Course};
use crate::digest;
use crate::placement::{Candidate, Least, Placement, Plain};
use crate::refusal::Reason;
use crate::request::Request;

/// Targets that may take a request.
pub(super) struct Ranking<'a> {
    /// Names, the most preferred first.
    pub(super) order: Vec<&'a str>,
    /// Why the first one comes first.
    pub(super) cause: Cause,
    /// Load of the first one, in requests.
    pub(super) load: u32,
    /// Load that each may reach, in requests.
    pub(super) bound: u32,
    /// Load from which on the request goes to the second one, in requests.
    pub(super) limit: u32,
}

/// A target's load as it counts for a choice.
#[derive(Clone, Copy, Debug)]
struct View {
    /// In requests.
    load: u32,
    /// Whether it is at the bound.
    over: bool,
    /// Whether it is cold and has no place left.
    shut: bool,
}

/// A target that comes into question.
#[derive(Clone, Copy)]
struct Open<'a> {
    name: &'a str,
    record: &'a Record,
    view: View,
}

/// Age at which what an accountant told says nothing about a target's load any more: about as long as a
/// request lasts.
const BLIND_AGE: Duration = Duration::from_millis(600);

/// Age up to which it is not asked again about a target that was at its bound.
const TRUST_AGE: Duration = Duration::from_millis(100);

/// Part of the bound up to which a router need not keep to its own part of it, however old that is.
const LEAST_FREE_PART: f64 = 0.4;

/// Part of [`BLIND_AGE`] above which means count as well. Below it, what was told a moment ago says more.
const BLIND_PART: f64 = 0.5;

/// Part of the bound that a target may be filled to on average: the rest is for requests that come together
/// by chance.
const FILL_PART: f64 = 0.75;

/// Part of the bound up to which a target probably has room, as far as is known of its load.
const ROOMY_PART: f64 = 0.6;

/// Homes of a prompt that are asked in the order that all routers agree on.
const FULL_HOMES: usize = 2;

/// Part of the load multiple that is not used if all targets are avoided.
const AVOIDED_PART: f64 = 0.5;

impl Fleet {
    /// The targets that may take a request, the most preferred first.
    pub(super) fn rank(
        &self,
        now: Instant,
        request: &Request,
        course: &Course,
        sounding: &Sounding,
    ) -> Result<Ranking<'_>, Refusal> {
        let willing = self.willing(now, &request.service)?;
        let mean = self.mean(now, &request.service);
        let bound = self.bound(now, &request.service, mean);
        let open: Vec<Open<'_>> = willing
            .into_iter()
            .filter(|(name, _)| course.claim(name) != Claim::Barred)
            .map(|(name, record)| {
                let view = self.view(now, name, record, (mean, bound), sounding);
                Open { name, record, view }
            })
            .collect();
        // Where the first homes are full, other routers find them full as well: if all went on in the same
        // order, they would meet at the next target.
        let spread = request.prompt.is_some() && sounding.full() >= FULL_HOMES;
        let preferred = self.prefer(now, request, &open, bound, spread);
        let best = preferred.first().copied();
        let mut ranked = preferred;
        // A failing target may answer; one over its bound crushes all that it runs.
        ranked.sort_by_cached_key(|index| {
            let Open { name, record, view: View { load, over, shut } } = open[*index];
            let doubt = record.doubt(now, request.repeat);
            let tight = spread && f64::from(load) > f64::from(bound) * ROOMY_PART;
            let excess = if over { load } else { 0 };
            (course.claim(name), shut, doubt == Standing::Away, over, excess, tight, doubt)
        });
        let first = ranked.first().copied();
        let cause = best.map_or(Cause::Home, |best| {
            self.cause(now, request, course, sounding, &open[best], first == Some(best))
        });
        let limit = match (&request.prompt, ranked.get(1)) {
            (None, Some(second)) => bound.min(open[*second].view.load + 1),
            _ => bound,
        };
        let load = first.map_or(0, |first| open[first].view.load);
        let order = ranked.into_iter().map(|index| open[index].name).collect();
        Ok(Ranking { order, cause, load, bound, limit })
    }

    /// The targets of a service that take work, and have not asked for quiet.
    fn willing(&self, now: Instant, service: &str) -> Result<Vec<(&str, &Record)>, Refusal> {
        let serving: Vec<(&str, &Record)> =
            self.serving(service).filter(|(_, record)| self.takes_work(record, now)).collect();
        if serving.is_empty() {
            return Err(Refusal { reason: Reason::NoTarget, wait: ROOM_WAIT });
        }
        let (resting, willing): (Vec<_>, Vec<_>) =
            serving.into_iter().partition(|(_, record)| record.wish.rest(now).is_some());
        if willing.is_empty() {
            let rests = resting.iter().filter_map(|(_, record)| record.wish.rest(now));
            let wait = rests.min().unwrap_or(ROOM_WAIT);
            return Err(Refusal { reason: Reason::Overloaded, wait });
        }
        Ok(willing)
    }

    /// Indices of targets by what they hold of a request's prompt; without one, by their loads.
    fn prefer(
        &self,
        now: Instant,
        request: &Request,
        open: &[Open<'_>],
        bound: u32,
        spread: bool,
    ) -> Vec<usize> {
        let candidates: Vec<Candidate<'_>> = open
            .iter()
            .map(|open| Candidate::new(open.name, 1).load(open.view.load, bound))
            .collect();
        let Some(prompt) = &request.prompt else {
            return Least.rank(request.key(), &candidates);
        };
        let holding = self.holding(now, prompt);
        let key = if spread { digest::key(&request.id) } else { prompt.key() };
        let mut ranked = Plain.rank(key, &candidates);
        ranked.sort_by_cached_key(|index| {
            let load = if spread { open[*index].view.load } else { 0 };
            (holding.nearness(open[*index].record), load)
        });
        ranked
    }

    /// Why a request goes to the first of a ranking, in view of the one that comes first for the prompt
    /// alone, and whether that is the same.
    fn cause(
        &self,
        now: Instant,
        request: &Request,
        course: &Course,
        sounding: &Sounding,
        best: &Open<'_>,
        chosen: bool,
    ) -> Cause {
        let Some(prompt) = &request.prompt else { return Cause::Least };
        let holds = || self.holding(now, prompt).targets.contains(&best.record.short);
        match best.record.doubt(now, request.repeat) {
            _ if course.attempts() > 0 => Cause::Tried,
            _ if sounding.full() >= FULL_HOMES => Cause::Bound,
            _ if chosen && holds() => Cause::Holds,
            _ if chosen => Cause::Home,
            Standing::Away => Cause::Away,
            _ if best.view.shut => Cause::Cold,
            _ if best.view.over => Cause::Bound,
            _ => Cause::Doubt,
        }
    }

    /// Load that each target of a service may reach, in requests.
    ///
    /// The more targets are avoided, the more of the load is at the others, which all come near the bound;
    /// what is wrong in the view of the mean would take them over it, so that the multiple is taken in part.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "loads are small")]
    fn bound(&self, now: Instant, service: &str, mean: f64) -> u32 {
        let listed = self.serving(service).filter(|(_, record)| record.missing.is_none());
        let (mut count, mut avoided) = (0_u32, 0_u32);
        for (_, record) in listed {
            count += 1;
            avoided += u32::from(record.health.standing(now) >= Standing::Failing);
        }
        let part = 1.0 - AVOIDED_PART * f64::from(avoided) / f64::from(count.max(1));
        (self.bounds.load_multiple * part * mean) as u32 + self.bounds.load_slack
    }

    /// Mean load of the targets of a service, in requests.
    ///
    /// It is over all targets whose load accountants told of lately without being asked about them, since
    /// those that are asked about are the busier ones; also over those that get no new work.
    fn mean(&self, now: Instant, service: &str) -> f64 {
        let counted = self.tallies(now, service).map(|tally| u32::from(tally.load));
        let listed = self.serving(service).filter(|(_, record)| record.missing.is_none());
        let sampled = listed.filter_map(|(name, record)| {
            record.others.sample(now).map(|others| others + self.loads.of(name, now))
        });
        let (count, sum) = counted
            .chain(sampled)
            .fold((0_u32, 0_u32), |(count, sum), load| (count + 1, sum + load));
        if count > 0 {
            return f64::from(sum) / f64::from(count);
        }
        // Nobody has told yet: the others do as much as this router.
        let listed = self.serving(service).filter(|(_, record)| record.missing.is_none());
        let (count, own) = listed.fold((0_u32, 0_u32), |(count, own), (name, _)| {
            (count + 1, own + self.loads.of(name, now))
        });
        f64::from(own) * self.peers.members(now) as f64 / f64::from(count.max(1))
    }

    /// Load of a target as it counts for a choice.
    fn view(
        &self,
        now: Instant,
        name: &str,
        record: &Record,
        (mean, bound): (f64, u32),
        sounding: &Sounding,
    ) -> View {
        if let Some(Told { verdict, load }) = sounding.told(name) {
            let over = verdict != Verdict::Granted && load >= bound;
            return View { load, over, shut: verdict == Verdict::Cold };
        }
        let own = self.loads.of(name, now);
        let (others, usual, age) = record.others.seen(now).unwrap_or((mean, mean, BLIND_AGE));
        let blind = age.as_secs_f64() / BLIND_AGE.as_secs_f64();
        let load = own + (usual + (others - usual) * (-blind).exp()).round() as u32;
        if sounding.may_ask() {
            let over = own >= bound || age < TRUST_AGE && load >= bound;
            return View { load, over, shut: false };
        }
        let over = load >= bound || self.is_crowded(now, name, load, usual, blind, bound);
        View { load, over, shut: false }
    }

    /// Whether a target whose accountant does not answer gets nothing more from this router.
    ///
    /// All routers may send to the same target in the time in which what was told grows old. So
    /// above a part of the bound, which is the smaller the older that is, none takes more than its
    /// own part of the bound. Where that is less than one request, the mean over time counts: what
    /// is told may be old, but what it says on average is not.
    fn is_crowded(
        &self,
        now: Instant,
        name: &str,
        load: u32,
        usual: f64,
        blind: f64,
        bound: u32,
    ) -> bool {
        let members = u32::try_from(self.peers.members(now)).unwrap_or(u32::MAX);
        let free_part = (1.0 - blind).max(LEAST_FREE_PART);
        let mean = self.loads.mean(name, now);
        let filled = f64::from(bound) * FILL_PART;
        let full =
            blind > BLIND_PART && usual + mean >= filled && mean > filled / f64::from(members);
        let own = self.loads.of(name, now);
        full || f64::from(load) >= f64::from(bound) * free_part && own > bound / members
    }

    fn takes_work(&self, record: &Record, now: Instant) -> bool {
        record.row.state == State::Ready
            && !record.wish.is_leaving()
            && !self.closed.contains(&record.row.data_centre)
            && record.missing.is_none_or(|at| self.lapsed(at, now))
    }

    /// Whether an entry that is missing since a moment may be back shortly.
    ///
    /// Entries lapse while the platform's store is away, and servers that live write them again.
    fn lapsed(&self, since: Instant, now: Instant) -> bool {
        self.returned
            .is_some_and(|at| since >= at && now.saturating_duration_since(at) < LAPSE_GRACE)
    }
}
