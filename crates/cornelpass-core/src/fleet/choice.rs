//! Choice of the target of a request.
//!
//! A ranking (`ranking`) orders the targets. The accountant of the first target, which counts the
//! requests of all routers there ([`crate::accounting`]), is asked whether it may get the request.
//! If not, the targets are ranked again with this answer. If no accountant replies, this router
//! decides by the loads that were last reported to it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::Fleet;
use super::health::Standing;
use super::locality::Fetch;
use super::ranking::Ranking;
use crate::accounting::accountant::Accountant;
use crate::accounting::message::Verdict;
use crate::accounting::selection::{Answer, Query, Selection};
use crate::contention::{self, Room};
use crate::history::History;
use crate::refusal::Reason;
use crate::request::Request;

/// Chosen target of a request, and the grounds for the choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Name of the target.
    pub target: String,
    /// Address of the target.
    pub address: SocketAddr,
    /// Load of the target when it was chosen, in requests.
    pub load: u32,
    /// Load bound of the target at that time, in requests.
    pub bound: u32,
    /// Source of the load.
    pub source: Source,
    /// Health of the target when it was chosen.
    pub standing: Standing,
    /// Whether the target counted as cold when it was chosen.
    pub cold: bool,
    /// Position of the target in the prompt's hash order, from 0, without regard to loads and
    /// failures; unresponsive targets are not in the order.
    pub position: usize,
    /// Reason for the choice.
    pub cause: Cause,
    /// Where the target can fetch cached prefixes of the prompt from, if anywhere.
    pub fetch: Option<Fetch>,
    /// Urgency that the target is told, if it is an engine and requests of its service differ.
    pub urgency: Option<u8>,
}

/// Reason for the choice of a target.
///
/// The first choice is the target that the cache and the hash order alone would select.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// Least load, for a request without a prompt.
    #[strum(serialize = "least")]
    LeastLoaded,
    /// The target has cached the shared parts of the prompt.
    #[strum(serialize = "holds")]
    Cached,
    /// No target is known to have cached the shared parts, and this one is first in the hash order.
    #[strum(serialize = "home")]
    Preferred,
    /// This is not the first attempt at the request.
    #[strum(serialize = "tried")]
    Retry,
    /// The first choice is unresponsive.
    #[strum(serialize = "away")]
    Unresponsive,
    /// The first choice is at its load bound, or several targets are full.
    Bound,
    /// The first choice fails a part of its requests.
    #[strum(serialize = "doubt")]
    Failing,
    /// The first choice is cold or names a rate limit, and has no token left.
    Cold,
    /// The room of the first choice is withheld from the request because of contention.
    Withheld,
}

/// Next step in the search for a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Ask an accountant.
    Ask(Query),
    /// Send the request.
    Send(Choice),
}

/// Source of the load on which a choice is based.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// Count of the accountant, this router or another one, for this request.
    Counted,
    /// Estimate from earlier reports of accountants.
    #[strum(serialize = "believed")]
    Estimated,
}

/// Refusal of a request for which no target is available now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Time after which a target may be available.
    pub retry_after: Duration,
}

/// Retry delay of a refused request, if it is not known when a target becomes available.
pub(super) const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Whether the count of the accountant can be read for this selection.
const fn can_ask(accountant: Accountant, selection: &Selection) -> bool {
    matches!(accountant, Accountant::Own) || selection.may_ask()
}

/// Refusal of a request for which there is no target.
const NO_TARGET: Refusal = Refusal { reason: Reason::NoTarget, retry_after: DEFAULT_RETRY_DELAY };

/// Refusal of a request for which there are only cold targets without tokens.
pub(super) const WARMING: Refusal =
    Refusal { reason: Reason::Warming, retry_after: DEFAULT_RETRY_DELAY };

/// Why room at other targets is withheld, if the first target is full.
///
/// A full target gets requests only if all targets are full. Targets whose room is withheld have
/// less load, so the request is refused if all are the one or the other.
fn withheld_elsewhere(
    verdict: Option<Verdict>,
    room: Room,
    bound: u32,
    selection: &Selection,
) -> Option<contention::Cause> {
    let is_full = verdict == Some(Verdict::Full) && (room.is_busy() || room.load >= bound);
    selection.withheld().filter(|_| is_full)
}

impl Fleet {
    /// Decides on the next step to find a target for a request.
    ///
    /// The decision depends on the earlier attempts at the request and on the accountants' answers
    /// for this attempt.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no target may get the request now.
    pub fn decide(
        &mut self,
        now: Instant,
        request: &Request,
        history: &History,
        selection: &mut Selection,
    ) -> Result<Decision, Refusal> {
        self.record_asked(now, request, selection);
        loop {
            let claim = self.contention.claim(request, selection.is_unanswered());
            let ranking = self.rank(now, request, history, selection)?;
            let Ranking { cause, load, bound, limit, withheld, full, .. } = ranking;
            let Some(name) = ranking.order.first().map(|name| (*name).to_owned()) else {
                return Err(NO_TARGET);
            };
            let record = &self.records[&name];
            let answer = selection.answer_for(&name);
            let accountant = self.accountants.accountant_excluding(
                now,
                record.short_hash,
                selection.unresponsive(),
            );
            if full && (answer.is_some() || !can_ask(accountant, selection)) {
                return Err(self.refuse_full(now, request));
            }
            let verdict = answer.map(|answer| answer.verdict);
            let room = Room { load, slots: self.contended_slots(record) };
            if let Some(cause) =
                withheld.or_else(|| withheld_elsewhere(verdict, room, bound, selection))
            {
                return Err(self.refuse_withheld(now, request, cause));
            }
            match (verdict, accountant) {
                (Some(Verdict::Cold), _) => return Err(self.refuse_without_token(now, request)),
                // A full target comes first only if no better target is left.
                (Some(_), _) => {
                    let loads = (load, bound);
                    if let Some(choice) =
                        self.choose(now, request, history, &name, loads, selection)
                    {
                        return Ok(Decision::Send(Choice { cause, ..choice }));
                    }
                }
                (None, Accountant::Own) => {
                    let answer = self.count_locally(now, &name, limit, claim);
                    answer.into_iter().for_each(|answer| selection.record_own(&name, answer));
                }
                (None, Accountant::Other(address))
                    if selection.may_ask() && !self.must_use_share(&name, now, selection) =>
                {
                    if let Some(query) = self.start_query(now, address, &name, limit, claim) {
                        return Ok(Decision::Ask(query));
                    }
                }
                (None, Accountant::Other(_)) if self.admit_unasked(&name, now, selection) => {
                    let loads = (load, bound);
                    if let Some(choice) =
                        self.choose(now, request, history, &name, loads, selection)
                    {
                        return Ok(Decision::Send(Choice { cause, ..choice }));
                    }
                }
                (None, Accountant::Other(_)) => {
                    let load = self.load(&name, now);
                    selection.record_own(&name, Answer::new(Verdict::Cold, load, limit));
                }
            }
        }
    }

    /// Records the demand of a request whose selection begins.
    fn record_asked(&mut self, now: Instant, request: &Request, selection: &Selection) {
        let claim = self.contention.claim(request, selection.is_unanswered());
        if let Some(claim) = claim.filter(|_| selection.is_new()) {
            self.contention.record_own_asked(now, &request.service, claim);
        }
    }

    /// Refusal of a request from which the room of all targets is withheld.
    fn refuse_withheld(
        &mut self,
        now: Instant,
        request: &Request,
        cause: contention::Cause,
    ) -> Refusal {
        let reason = match cause {
            contention::Cause::Class => Reason::LessUrgent,
            contention::Cause::Organisation => Reason::OverShare,
        };
        Refusal { reason, retry_after: self.record_claim_refused(now, request, cause) }
    }

    /// Chooses a target, unless the rollout of its version has no exposure left for the request.
    fn choose(
        &mut self,
        now: Instant,
        request: &Request,
        history: &History,
        name: &str,
        (load, bound): (u32, u32),
        selection: &Selection,
    ) -> Option<Choice> {
        if !self.withdraw_exposure(now, name, history) {
            return None;
        }
        self.record_claim_sent(now, request, name, load);
        Some(self.build_choice(now, request, name, (load, bound), selection))
    }

    /// Description of a chosen target; the caller sets the cause.
    fn build_choice(
        &self,
        now: Instant,
        request: &Request,
        name: &str,
        (load, bound): (u32, u32),
        selection: &Selection,
    ) -> Choice {
        let record = &self.records[name];
        let source = selection.answer_for(name).map_or(Source::Estimated, |_| Source::Counted);
        let (mut position, mut fetch) = (0, None);
        if let Some(prompt) = &request.prompt {
            let preference = self.preference(now, prompt, &request.service);
            position = preference.position(name);
            let recorded = self.recorded_fetch(now, name, prompt);
            let inferred = self.inferred_fetch(now, name, prompt, &preference);
            // Many targets hold the first part of a prompt. The inferred holder probably has the
            // following parts as well, so the fetch that saves most tokens is used.
            fetch = recorded
                .into_iter()
                .chain(inferred)
                .max_by_key(|fetch| (fetch.tokens, !fetch.inferred));
        }
        let classes = self.contention.classes();
        // An engine runs requests in the order of their urgency. One that was granted only to give
        // its class a minimum would wait there behind all others.
        let is_minimum =
            selection.answer_for(name).is_some_and(|answer| answer.verdict == Verdict::Minimum);
        let urgency = classes
            .engine_urgency(&request.service, request.priority)
            .map(|urgency| if is_minimum { 0 } else { urgency });
        let (target, address) = (name.to_owned(), record.row.address);
        Choice {
            target,
            address,
            load,
            bound,
            source,
            standing: record.health.standing(now),
            cold: self.is_cold(record, now),
            position,
            cause: Cause::Preferred,
            fetch,
            urgency,
        }
    }
}
