//! Which target a request goes to.
//!
//! The accountant ([`crate::account`]) of the first target of a ranking (`ranking`) is asked whether
//! that may get the request; if not, another one comes first. Where nobody can be asked, this router goes by
//! what it was last told.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::Fleet;
use super::health::Standing;
use super::homes::Fetch;
use super::ranking::Ranking;
use crate::account::accountant::Accountant;
use crate::account::message::Verdict;
use crate::account::sounding::{Query, Sounding, Told};
use crate::course::Course;
use crate::refusal::Reason;
use crate::request::Request;

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Name of the target.
    pub target: String,
    /// Address.
    pub address: SocketAddr,
    /// Load of the target when it was chosen, in requests.
    pub load: u32,
    /// Load that it might have reached, in requests.
    pub bound: u32,
    /// Where the load comes from.
    pub source: Source,
    /// How the target stood.
    pub standing: Standing,
    /// Place in the order of preference before loads and health counted, from 0.
    pub place: usize,
    /// Why the request goes there.
    pub cause: Cause,
    /// Where the target can fetch parts of the prompt from.
    pub fetch: Option<Fetch>,
}

/// Why a request goes to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// It has the least load, for a request without a prompt.
    Least,
    /// It holds the shared parts of the prompt.
    Holds,
    /// Nobody is known to hold them, and it comes first by hash.
    Home,
    /// The better one has been tried, or may not be tried any more.
    Tried,
    /// The better one is away.
    Away,
    /// The better one is at its load bound.
    Bound,
    /// The better one fails a part of its requests.
    Doubt,
    /// The better one is cold and has no place left.
    Cold,
}

/// What to do next for a request that looks for its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Ask an accountant.
    Ask(Query),
    /// Send the request.
    Send(Choice),
}

/// Where the load that a choice went by comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// An accountant, this router itself or another one.
    Counted,
    /// What an accountant told a time ago.
    Believed,
}

/// Why a request goes nowhere now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// Time after which there may be room.
    pub wait: Duration,
}

/// Time after which a refused request may find room, where nothing says when.
pub(super) const ROOM_WAIT: Duration = Duration::from_millis(200);

impl Fleet {
    /// Decides what to do next to find a target for a request, in view of the attempts so far and of what
    /// accountants have said for this one.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub fn decide(
        &mut self,
        now: Instant,
        request: &Request,
        course: &Course,
        sounding: &mut Sounding,
    ) -> Result<Decision, Refusal> {
        loop {
            let ranking = self.rank(now, request, course, sounding)?;
            let Ranking { cause, load, bound, limit, .. } = ranking;
            let Some(name) = ranking.order.first().map(|name| (*name).to_owned()) else {
                return Err(Refusal { reason: Reason::NoTarget, wait: ROOM_WAIT });
            };
            let record = &self.records[&name];
            let told = sounding.told(&name);
            let accountant = self.accountants.of_target_but(now, record.short, sounding.silent());
            match (told.map(|told| told.verdict), accountant) {
                (Some(Verdict::Cold), _) => {
                    return Err(Refusal { reason: Reason::Warming, wait: ROOM_WAIT });
                }
                // Where all are at the bound, nothing better is left.
                (Some(Verdict::Granted | Verdict::Full), _) => {
                    let choice = self.choice(now, request, &name, (load, bound), sounding);
                    return Ok(Decision::Send(Choice { cause, ..choice }));
                }
                (None, Accountant::Own) => {
                    let Some(told) = self.count(now, &name, limit) else { continue };
                    sounding.count(&name, told);
                }
                (None, Accountant::Other(address)) if sounding.may_ask() => {
                    if let Some(query) = self.query(now, address, &name, limit) {
                        return Ok(Decision::Ask(query));
                    }
                }
                (None, Accountant::Other(_)) if self.admit(&name, now) => {
                    let choice = self.choice(now, request, &name, (load, bound), sounding);
                    return Ok(Decision::Send(Choice { cause, ..choice }));
                }
                (None, Accountant::Other(_)) => {
                    let load = self.load(&name, now);
                    sounding.count(&name, Told { verdict: Verdict::Cold, load });
                }
            }
        }
    }

    /// A target as it is told to whoever sends the request.
    fn choice(
        &self,
        now: Instant,
        request: &Request,
        name: &str,
        (load, bound): (u32, u32),
        sounding: &Sounding,
    ) -> Choice {
        let record = &self.records[name];
        let source = sounding.told(name).map_or(Source::Believed, |_| Source::Counted);
        let (mut place, mut fetch) = (0, None);
        if let Some(prompt) = &request.prompt {
            let home = self.home(now, prompt, &request.service);
            place = home.place(name);
            let known = self.fetch(now, name, prompt);
            let guess = self.guess(now, name, prompt, &home);
            // Many targets hold a first part; the former home of the rest probably holds that as well.
            fetch =
                known.into_iter().chain(guess).max_by_key(|fetch| (fetch.tokens, !fetch.guessed));
        }
        let (target, address) = (name.to_owned(), record.row.address);
        Choice {
            target,
            address,
            load,
            bound,
            source,
            standing: record.health.standing(now),
            place,
            cause: Cause::Home,
            fetch,
        }
    }
}
