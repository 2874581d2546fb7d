//! Order in which targets are considered for a request.
//!
//! Targets are compared by these criteria in this order:
//!
//! 1. the earlier attempts at the request;
//! 2. whether a cold or rate-limited target has a token left;
//! 3. whether the target is unresponsive;
//! 4. the load against the load bound;
//! 5. whether contention withholds the target's room from the request;
//! 6. failures;
//! 7. what the target has cached of the request's prompt, and then the prompt's hash order; for a
//!    request without a prompt, the load.
//!
//! The load is the accountant's answer for this request ([`crate::accounting`]), or else an
//! estimate from the loads that accountants reported earlier.

use std::time::{Duration, Instant};

use super::choice::{Cause, DEFAULT_RETRY_DELAY, Refusal};
use super::health::Standing;
use super::{EXPIRED_ROW_GRACE, Fleet, Record, State, pace};
use crate::accounting::message::Verdict;
use crate::accounting::selection::{Answer, Selection};
use crate::contention::{self, Room};
use crate::digest;
use crate::history::{Eligibility, History};
use crate::placement::{Candidate, LeastLoaded, Placement, Rendezvous};
use crate::refusal::Reason;
use crate::request::Request;

/// Targets that may get a request, in order.
pub(super) struct Ranking<'a> {
    /// Names, the most preferred first.
    pub(super) order: Vec<&'a str>,
    /// Reason for the first target.
    pub(super) cause: Cause,
    /// Load of the first target, in requests.
    pub(super) load: u32,
    /// Load bound of each target, in requests.
    pub(super) bound: u32,
    /// Load of the first target at which the request goes to the second one, in requests.
    pub(super) limit: u32,
    /// Why the room of the first target is withheld from the request, if it is.
    pub(super) withheld: Option<contention::Cause>,
    /// Whether the first target is full, that is at its capacity.
    pub(super) full: bool,
}

/// Occupancy of a target as used in a ranking.
#[derive(Clone, Copy, Debug)]
struct Occupancy {
    /// Load, in requests.
    load: u32,
    /// Whether the target gets no more requests from this router because of its load.
    at_bound: bool,
    /// Whether the target is cold or names a rate limit, and has no token left.
    no_token: bool,
    /// Why the target's room is withheld from the request, if it is.
    withheld: Option<contention::Cause>,
    /// Load at which the target gets no more requests: its load bound or its capacity, whichever is
    /// lower.
    limit: u32,
    /// Whether the target is at its capacity; never for a target without a stated capacity.
    full: bool,
}

/// A target that may get the request.
#[derive(Clone, Copy)]
struct Target<'a> {
    name: &'a str,
    record: &'a Record,
    occupancy: Occupancy,
}

impl<'a> Target<'a> {
    const fn as_paced(&self) -> pace::Candidate<'a> {
        pace::Candidate { name: self.name, record: self.record, load: self.occupancy.load }
    }
}

/// Time constant with which a reported load loses weight against the average of the reports: about
/// the duration of a request.
const REPORT_TIME_CONSTANT: Duration = Duration::from_millis(600);

/// Age up to which a report that a target is at its bound is used without another question.
const AT_BOUND_LIFETIME: Duration = Duration::from_millis(100);

/// Minimum fraction of the bound up to which a router is not limited to its own share of the bound,
/// however old the reported load is.
const MIN_UNSHARED_FRACTION: f64 = 0.4;

/// Age, as a fraction of [`REPORT_TIME_CONSTANT`], above which average loads are considered as
/// well. Below it, the last reported load is more accurate than the averages.
const AVERAGE_AGE_FRACTION: f64 = 0.5;

/// Fraction of the bound to which a target may be filled on average; the rest is for requests that
/// arrive together by chance.
const AVERAGE_FILL_FRACTION: f64 = 0.75;

/// Fraction of the bound up to which a target probably has headroom, by the estimate of its load.
const HEADROOM_FRACTION: f64 = 0.6;

/// Number of full targets after which a request leaves the hash order that all routers share.
const FULL_TARGETS_BEFORE_SPREAD: usize = 2;

/// Number of fresh targets with full windows after which a request passes over the other fresh
/// targets. They have the lowest loads, so that all questions would be asked about them.
const FULL_WINDOWS_BEFORE_OTHERS: usize = 2;

/// Fraction by which the load multiple is reduced if all targets are avoided (failing or
/// unresponsive).
const AVOIDED_REDUCTION: f64 = 0.5;

impl Fleet {
    /// Targets that may get a request, the most preferred first.
    pub(super) fn rank(
        &self,
        now: Instant,
        request: &Request,
        history: &History,
        selection: &Selection,
    ) -> Result<Ranking<'_>, Refusal> {
        let available = self.available(now, &request.service)?;
        let (available, favoured) = self.restrict_versions(now, request, history, available)?;
        let mean = self.mean_load(now, &request.service);
        let bound = self.load_bound(now, &request.service, mean);
        let targets: Vec<Target<'_>> = available
            .into_iter()
            .filter(|(name, _)| history.eligibility(name) != Eligibility::Excluded)
            .map(|(name, record)| {
                let occupancy =
                    self.occupancy(now, name, record, (mean, bound), request, selection);
                Target { name, record, occupancy }
            })
            .collect();
        // If the first targets of the hash order are full, other routers find them full as well. If
        // all routers kept to the shared order, their requests would meet at the next target.
        let spread =
            request.prompt.is_some() && selection.full_targets() >= FULL_TARGETS_BEFORE_SPREAD;
        let preferred = self.order_by_preference(now, request, &targets, bound, spread);
        let best = preferred.first().copied();
        let mut ranked = preferred;
        // The bound comes before failures: a failing target may still respond, while a target above
        // its bound impairs all requests that it runs.
        ranked.sort_by_cached_key(|index| {
            let Target { name, record, occupancy } = targets[*index];
            let Occupancy { load, at_bound, no_token, withheld, .. } = occupancy;
            let standing = record.standing_for(now, request.retry_safety);
            let nearly_full = spread && f64::from(load) > f64::from(bound) * HEADROOM_FRACTION;
            let excess = if at_bound { load } else { 0 };
            (
                history.eligibility(name),
                no_token,
                standing == Standing::Unresponsive,
                at_bound,
                withheld.is_some(),
                excess,
                favoured.is_some_and(|version| record.row.version != version),
                nearly_full,
                standing,
            )
        });
        let first = ranked.first().copied();
        let cause = best.map_or(Cause::Preferred, |best| {
            self.cause(now, request, history, selection, &targets[best], first == Some(best))
        });
        let occupancy = first.map(|first| targets[first].occupancy);
        let limit = occupancy.map_or(bound, |occupancy| occupancy.limit);
        // Only an answer to a question with the bound shows whether the window of a fresh target is
        // full.
        let fresh = first.is_some_and(|first| self.is_limited(now, targets[first].record));
        let limit = match (&request.prompt, ranked.get(1)) {
            (None, Some(second)) if !fresh => {
                let (first, second) = (&targets[ranked[0]], &targets[*second]);
                limit.min(pace::limit(now, &first.as_paced(), &second.as_paced()))
            }
            _ => limit,
        };
        let load = occupancy.map_or(0, |occupancy| occupancy.load);
        let full = occupancy.is_some_and(|occupancy| occupancy.full);
        let withheld = occupancy.and_then(|occupancy| occupancy.withheld);
        let order = ranked.into_iter().map(|index| targets[index].name).collect();
        Ok(Ranking { order, cause, load, bound, limit, withheld, full })
    }

    /// Targets of a service that accept new requests and have not asked for a pause.
    fn available(&self, now: Instant, service: &str) -> Result<Vec<(&str, &Record)>, Refusal> {
        let serving: Vec<(&str, &Record)> = self
            .targets_of(service)
            .filter(|(_, record)| self.accepts_requests(record, now))
            .collect();
        if serving.is_empty() {
            return Err(Refusal { reason: Reason::NoTarget, retry_after: DEFAULT_RETRY_DELAY });
        }
        let (paused, available): (Vec<_>, Vec<_>) = serving
            .into_iter()
            .partition(|(_, record)| record.availability.pause_left(now).is_some());
        if available.is_empty() {
            let pauses =
                paused.iter().filter_map(|(_, record)| record.availability.pause_left(now));
            let retry_after = pauses.min().unwrap_or(DEFAULT_RETRY_DELAY);
            return Err(Refusal { reason: Reason::Overloaded, retry_after });
        }
        Ok(available)
    }

    /// Indices of targets by what they have cached of a request's prompt and by the hash order;
    /// without a prompt, by their loads.
    ///
    /// With `spread`, the hash order is that of the request instead of the prompt, and among
    /// equally near targets the least loaded comes first.
    fn order_by_preference(
        &self,
        now: Instant,
        request: &Request,
        targets: &[Target<'_>],
        bound: u32,
        spread: bool,
    ) -> Vec<usize> {
        let candidates: Vec<Candidate<'_>> = targets
            .iter()
            .map(|target| Candidate::new(target.name, 1).with_load(target.occupancy.load, bound))
            .collect();
        let paced: Vec<pace::Candidate<'_>> = targets.iter().map(Target::as_paced).collect();
        let paced = Some(paced).filter(|paced| pace::is_reported(paced)).unwrap_or_default();
        let Some(prompt) = &request.prompt else {
            if !paced.is_empty() {
                return pace::order(now, request, &paced);
            }
            return LeastLoaded.rank(request.placement_key(), &candidates);
        };
        let holders = self.holders(now, prompt);
        let key = if spread { digest::key(&request.id) } else { prompt.placement_key() };
        let mut ranked = Rendezvous.rank(key, &candidates);
        ranked.sort_by_cached_key(|index| {
            let load = if spread { targets[*index].occupancy.load } else { 0 };
            let left = paced.get(*index).is_some_and(|target| pace::is_left(now, target, &paced));
            (left, holders.proximity(targets[*index].record), load)
        });
        ranked
    }

    /// Reason for the first target of a ranking.
    ///
    /// `best` is the target that is first for the prompt alone; `is_first` says whether that target
    /// is also first in the ranking.
    fn cause(
        &self,
        now: Instant,
        request: &Request,
        history: &History,
        selection: &Selection,
        best: &Target<'_>,
        is_first: bool,
    ) -> Cause {
        let Some(prompt) = &request.prompt else { return Cause::LeastLoaded };
        let cached = || self.holders(now, prompt).targets.contains(&best.record.short_hash);
        match best.record.standing_for(now, request.retry_safety) {
            _ if history.attempts() > 0 => Cause::Retry,
            _ if selection.full_targets() >= FULL_TARGETS_BEFORE_SPREAD => Cause::Bound,
            _ if is_first && cached() => Cause::Cached,
            _ if is_first => Cause::Preferred,
            Standing::Unresponsive => Cause::Unresponsive,
            _ if best.occupancy.no_token => Cause::Cold,
            _ if best.occupancy.at_bound => Cause::Bound,
            _ if best.occupancy.withheld.is_some() => Cause::Withheld,
            _ => Cause::Failing,
        }
    }

    /// Load bound of each target of a service, in requests.
    ///
    /// The more targets are avoided (failing or unresponsive), the more of the load is on the other
    /// targets, which all come close to the bound. Errors in the estimate of the mean would then
    /// take them above it, so the multiple is reduced in proportion to the avoided targets.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "loads are small")]
    fn load_bound(&self, now: Instant, service: &str, mean: f64) -> u32 {
        let listed = self.targets_of(service).filter(|(_, record)| record.missing_since.is_none());
        let (mut count, mut avoided) = (0_u32, 0_u32);
        for (_, record) in listed {
            count += 1;
            avoided += u32::from(record.health.standing(now) >= Standing::Failing);
        }
        let fraction = 1.0 - AVOIDED_REDUCTION * f64::from(avoided) / f64::from(count.max(1));
        (self.requirements.load_multiple * fraction * mean) as u32 + self.requirements.load_slack
    }

    /// Mean load of the targets of a service, in requests.
    ///
    /// The mean uses the loads that this router counts as accountant, and the recently sampled
    /// loads of the other targets (`Estimate::sampled_at`). The loads in replies to questions are
    /// left out, since questions are asked about the busier targets. The mean includes targets that
    /// get no new requests.
    pub(super) fn mean_load(&self, now: Instant, service: &str) -> f64 {
        let counted = self.target_loads(now, service).map(|target| u32::from(target.load));
        let listed = self.targets_of(service).filter(|(_, record)| record.missing_since.is_none());
        let sampled = listed.filter_map(|(name, record)| {
            record.remote_load.sample(now).map(|remote| remote + self.loads.load(name, now))
        });
        let (count, sum) = counted
            .chain(sampled)
            .fold((0_u32, 0_u32), |(count, sum), load| (count + 1, sum + load));
        if count > 0 {
            return f64::from(sum) / f64::from(count);
        }
        // No load is known yet, so each other router is assumed to have as many requests as this
        // one.
        let listed = self.targets_of(service).filter(|(_, record)| record.missing_since.is_none());
        let (count, own) = listed.fold((0_u32, 0_u32), |(count, own), (name, _)| {
            (count + 1, own + self.loads.load(name, now))
        });
        f64::from(own) * self.peers.member_count(now) as f64 / f64::from(count.max(1))
    }

    /// Occupancy of a target, by the accountant's answer for this request or else by an estimate.
    fn occupancy(
        &self,
        now: Instant,
        name: &str,
        record: &Record,
        (mean, bound): (f64, u32),
        request: &Request,
        selection: &Selection,
    ) -> Occupancy {
        let capacity = self.capacity(record);
        let limit = capacity.unwrap_or(bound).min(bound);
        if let Some(Answer { verdict, load, window_full }) = selection.answer_for(name) {
            let at_limit = !verdict.is_granted() && load >= limit;
            let full = at_limit && capacity.is_some_and(|capacity| load >= capacity);
            let (at_bound, no_token) = (at_limit || window_full, verdict == Verdict::Cold);
            return Occupancy {
                load,
                at_bound,
                no_token,
                withheld: verdict.withheld(),
                limit,
                full,
            };
        }
        let own = self.loads.load(name, now);
        let (remote, average, age) =
            record.remote_load.with_age(now).unwrap_or((mean, mean, REPORT_TIME_CONSTANT));
        // The older the last report, the more the average of the reports counts.
        let staleness = age.as_secs_f64() / REPORT_TIME_CONSTANT.as_secs_f64();
        let load = own + (average + (remote - average) * (-staleness).exp()).round() as u32;
        let room = Room { load, slots: self.contended_slots(record) };
        let withheld = selection
            .uses_estimates()
            .then(|| self.withheld_by_estimate(now, request, room, selection))
            .flatten();
        let passed_over =
            !selection.may_ask() || selection.full_windows() >= FULL_WINDOWS_BEFORE_OTHERS;
        if self.is_limited(now, record) && passed_over {
            // Without its accountant's answer, the window of a fresh target counts as full.
            return Occupancy {
                load,
                at_bound: true,
                no_token: false,
                withheld,
                limit,
                full: false,
            };
        }
        let at_limit = |limit| {
            if selection.may_ask() {
                own >= limit || age < AT_BOUND_LIFETIME && load >= limit
            } else {
                load >= limit || self.exceeds_own_share(now, name, load, average, staleness, limit)
            }
        };
        let (at_bound, full) = (at_limit(limit), capacity.is_some_and(at_limit));
        let no_token = self.was_turned_away(now, record, request);
        Occupancy { load, at_bound, no_token, withheld, limit, full }
    }

    /// Whether a target whose accountant does not reply gets no more requests from this router.
    ///
    /// All routers may send to the same target until a new load is reported. So above a fraction of
    /// the bound, which falls with the age of the last report, no router exceeds its own share of
    /// the bound. If the last report is old, the averages over time are compared as well: a share
    /// below one request cannot be seen in a single count, and the average of the reports stays
    /// accurate for longer than one report.
    fn exceeds_own_share(
        &self,
        now: Instant,
        name: &str,
        load: u32,
        average: f64,
        staleness: f64,
        bound: u32,
    ) -> bool {
        let members = u32::try_from(self.peers.member_count(now)).unwrap_or(u32::MAX);
        let unshared_fraction = (1.0 - staleness).max(MIN_UNSHARED_FRACTION);
        let own_average = self.loads.average(name, now);
        let filled = f64::from(bound) * AVERAGE_FILL_FRACTION;
        let full = staleness > AVERAGE_AGE_FRACTION
            && average + own_average >= filled
            && own_average > filled / f64::from(members);
        let own = self.loads.load(name, now);
        full || f64::from(load) >= f64::from(bound) * unshared_fraction && own > bound / members
    }

    /// Whether a target accepts new requests and has not asked for a pause.
    pub(super) fn may_take(&self, now: Instant, record: &Record) -> bool {
        self.accepts_requests(record, now) && record.availability.pause_left(now).is_none()
    }

    fn accepts_requests(&self, record: &Record, now: Instant) -> bool {
        record.row.state == State::Ready
            && !record.availability.is_leaving()
            && !self.closed_data_centres.contains(&record.row.data_centre)
            && record.missing_since.is_none_or(|at| self.may_reappear(at, now))
    }

    /// Whether a row that has been missing since `missing_since` may be rewritten shortly.
    ///
    /// Rows expire while the platform's store is unavailable; running targets rewrite them when
    /// the store is available again.
    fn may_reappear(&self, missing_since: Instant, now: Instant) -> bool {
        self.platform_back_since.is_some_and(|at| {
            missing_since >= at && now.saturating_duration_since(at) < EXPIRED_ROW_GRACE
        })
    }
}
