//! Which requests a rate-limited target gets.

use std::time::{Duration, Instant};

use crate::accounting::accountant::Accountant;
use crate::accounting::selection::Selection;
use crate::digest;
use crate::fleet::choice::{Refusal, WARMING};
use crate::fleet::{Fleet, Record};
use crate::refusal::Reason;
use crate::request::Request;

/// Part of the rate that a router grants at most while another one may grant the whole of it.
const DIVIDED_FRACTION: f64 = 0.5;

/// Factor of the part of the routers that an accountant hears from, up to which it grants the rate.
/// The others use their shares meanwhile.
const HEARD_FACTOR: f64 = 1.25;

/// Time after a request was turned away for which equally or less urgent ones are sent elsewhere
/// without a question.
const TURNED_AWAY_LIFETIME: Duration = Duration::from_millis(100);

/// What a router grants of a rate limit, in requests per second.
#[derive(Clone, Copy, Debug)]
enum Grant {
    /// The rate of all routers, as their accountant.
    Whole(f64),
    /// The part of some routers.
    Part(f64),
}

impl Fleet {
    /// Whether the requests to a target are limited by the rate that it names.
    pub(in crate::fleet) fn is_rate_limited(&self, name: &str, now: Instant) -> bool {
        let record = self.records.get(name);
        record.is_some_and(|record| record.rate_limit.limit.granted_rate(now).is_some())
    }

    /// Whether an accountant has just now turned such a request away from a target.
    pub(in crate::fleet) fn was_turned_away(
        &self,
        now: Instant,
        record: &Record,
        request: &Request,
    ) -> bool {
        let Some((at, urgency)) = record.rate_limit.turned_away else { return false };
        let is_recent = now.saturating_duration_since(at) < TURNED_AWAY_LIFETIME;
        let claim = || self.contention.claim(request, false);
        is_recent && claim().is_none_or(|claim| claim.urgency >= urgency)
    }

    /// What this router grants of the rate limit of a target, if it is asked.
    ///
    /// An accountant that hears from few routers grants no more than their part, and one that has
    /// just begun to count half: the accountant before may still grant. A router that stands in for
    /// an accountant, in its own view or in that of the asking router, grants the part of those that
    /// ask it.
    fn grant(&self, name: &str, now: Instant) -> Option<Grant> {
        let record = self.records.get(name)?;
        let rate = record.rate_limit.limit.granted_rate(now)?;
        let (known, replying) = self.accountants.counts();
        let target = record.short_hash;
        let is_accountant = self.accountant(now, record) == Accountant::Own
            && !self.accountants.is_substitute(now, target);
        if !is_accountant {
            let asking = 1 + self.aggregator.reporter_count(now, target);
            let part = asking as f64 / known as f64;
            return Some(Grant::Part(rate * part.min(DIVIDED_FRACTION)));
        }
        let heard = (replying as f64 / known as f64 * HEARD_FACTOR).min(1.0);
        let fraction = if self.has_full_count(now, name) { 1.0 } else { DIVIDED_FRACTION };
        Some(Grant::Whole(rate * heard.min(fraction)))
    }

    /// Takes the tokens that a request of any router needs at a cold or rate-limited target, as the
    /// accountant of the target.
    ///
    /// Takes none if one of them is missing. `kept` is the fraction of the saved tokens that is left
    /// to more urgent requests.
    pub(in crate::fleet) fn take_tokens(
        &mut self,
        name: &str,
        now: Instant,
        cold: bool,
        kept: f64,
    ) -> bool {
        match self.grant(name, now) {
            None => !cold || self.admit_shared(name, now),
            Some(Grant::Part(rate)) => {
                self.take_share(name, now, rate, |fleet| !cold || fleet.admit_shared(name, now))
            }
            Some(Grant::Whole(rate)) => {
                let service = self.records.get(name).map(|record| record.row.service.as_str());
                let since = service.and_then(|service| self.owned_since(service, name));
                let Some(record) = self.records.get_mut(name) else { return false };
                let tokens = &mut record.rate_limit.tokens;
                tokens.begin_count(since.or(tokens.last_refill()).unwrap_or(now));
                if !tokens.is_available(now, rate, kept) || cold && !self.admit_shared(name, now) {
                    return false;
                }
                if let Some(record) = self.records.get_mut(name) {
                    record.rate_limit.tokens.take();
                }
                true
            }
        }
    }

    /// Takes the tokens that a request of this router needs at a cold or rate-limited target, from
    /// this router's own parts of the rates.
    ///
    /// Takes none if one of them is missing.
    pub(in crate::fleet) fn take_own_tokens(&mut self, name: &str, now: Instant) -> bool {
        let Some(record) = self.records.get(name) else { return false };
        let Some(rate) = record.rate_limit.limit.granted_rate(now) else {
            return self.admit_own(name, now);
        };
        let (known, _) = self.accountants.counts();
        // The accountant may be granting the whole rate to other routers.
        let share = rate * DIVIDED_FRACTION / known as f64;
        self.take_share(name, now, share, |fleet| fleet.admit_own(name, now))
    }

    /// Takes a token of this router's share of a rate limit, if `admit` takes what else is needed.
    fn take_share(
        &mut self,
        name: &str,
        now: Instant,
        rate: f64,
        admit: impl FnOnce(&mut Self) -> bool,
    ) -> bool {
        let (known, _) = self.accountants.counts();
        let phase = self.accountants.own_index() as f64 / known as f64;
        let Some(record) = self.records.get_mut(name) else { return false };
        let Some(token) = record.rate_limit.share.available(now, rate, phase) else { return false };
        if !admit(self) {
            return false;
        }
        if let Some(record) = self.records.get_mut(name) {
            record.rate_limit.share.take(token);
        }
        true
    }

    /// Whether a question about a target would go to a router that stands in for its accountant,
    /// which did not reply, although this router knows a rate limit and its own share of it.
    pub(in crate::fleet) fn must_use_share(
        &self,
        name: &str,
        now: Instant,
        selection: &Selection,
    ) -> bool {
        let Some(record) = self.records.get(name) else { return false };
        if record.rate_limit.limit.rate().is_none() || selection.unresponsive().is_empty() {
            return false;
        }
        let accountant = self.accountant(now, record);
        selection.unresponsive().iter().any(|one| accountant == Accountant::Other(*one))
    }

    /// Refusal of a request for which only cold or rate-limited targets without a token are left.
    pub(in crate::fleet) fn refuse_without_token(
        &mut self,
        now: Instant,
        request: &Request,
    ) -> Refusal {
        let targets = self.targets_of(&request.service);
        let limited = targets.filter(|(_, record)| {
            record.rate_limit.limit.granted_rate(now).is_some()
                || record
                    .rate_limit
                    .turned_away
                    .is_some_and(|(at, _)| now.saturating_duration_since(at) < TURNED_AWAY_LIFETIME)
        });
        let rates = limited.map(|(_, record)| record.rate_limit.limit.granted_rate(now));
        let (count, rate) = rates
            .fold((0_u32, 0.0), |(count, sum), rate| (count + 1, sum + rate.unwrap_or_default()));
        if count == 0 {
            return WARMING;
        }
        let (routers, _) = self.accountants.counts();
        let refusals = self.rate_limits.refusals.entry(request.service.clone()).or_default();
        // The upper bits of the hash are a random number that costs no state.
        let draw = (digest::key(&request.id) >> 32) as f64 / f64::from(u32::MAX);
        let retry_after = refusals.record(now, rate / routers as f64, draw);
        Refusal { reason: Reason::RateLimited, retry_after }
    }

    /// Takes the number of requests that were refused because of rate limits, by service, since the
    /// last call.
    pub fn take_rate_limit_refusals(&mut self, now: Instant) -> Vec<(String, u32)> {
        let refusals = &mut self.rate_limits.refusals;
        let counts = refusals
            .iter_mut()
            .map(|(service, refusals)| (service.clone(), refusals.take_unreported()));
        let counts = counts.filter(|(_, count)| *count > 0).collect();
        refusals.retain(|_, refusals| !refusals.is_idle(now));
        counts
    }
}
