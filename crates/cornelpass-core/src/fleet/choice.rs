//! Which target a request goes to.
//!
//! Targets are ranked by what the request's course allows, whether they are away, their load against
//! the bound, other doubts, and what they hold of the request's prompt, in this order. The first
//! that is warm, or has a place left for a cold target, gets the request.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::health::Standing;
use super::{Fleet, LAPSE_GRACE, Record, State, parts};
use crate::course::{Claim, Course};
use crate::placement::{Candidate, Least, Placement, Plain};
use crate::refusal::Reason;
use crate::request::{Prompt, Request};

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

/// A fetch of parts of a prompt from another target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Name of the other target.
    pub target: String,
    /// Whether nobody has told that it holds them.
    pub guessed: bool,
    /// Its address.
    pub address: SocketAddr,
    /// Tokens that need not be read again.
    pub tokens: u32,
}

/// Why a request goes nowhere now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// Time after which there may be room.
    pub wait: Duration,
}

/// Targets that may take a request.
struct Ranking<'a> {
    /// Names, the most preferred first.
    order: Vec<&'a str>,
    /// Why the first one comes first.
    cause: Cause,
    /// Load that each may reach, in requests.
    bound: u32,
}

/// How well a router sees the work of the others at a moment.
#[derive(Clone, Copy, Debug)]
struct Sight {
    now: Instant,
    /// Routers, this one included.
    members: u32,
    /// Age of what the others told, as a multiple of that at which it says nothing.
    blind: f64,
}

/// Targets that hold the shared parts of a prompt.
struct Holding<'a> {
    targets: BTreeSet<u32>,
    /// Data centres that they are in.
    data_centres: BTreeSet<&'a str>,
}

/// Targets in the order in which a prompt looks for its home.
struct Home<'a> {
    order: Vec<&'a str>,
}

impl Home<'_> {
    /// Place of a target, from 0.
    fn place(&self, target: &str) -> usize {
        self.order.iter().position(|name| *name == target).unwrap_or_default()
    }
}

/// How near a target is to the shared parts of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Nearness {
    /// It holds them.
    Holds,
    /// Another sound target in its data centre holds them.
    Near,
    /// They are farther away, or nowhere.
    Far,
}

impl Holding<'_> {
    fn nearness(&self, record: &Record) -> Nearness {
        if self.targets.contains(&record.short) {
            return Nearness::Holds;
        }
        let near = self.data_centres.contains(record.row.data_centre.as_str());
        if near { Nearness::Near } else { Nearness::Far }
    }
}

/// Age of what the routers tell at which it would say nothing about a target's load any more: about
/// as long as a request lasts.
const BLIND_AGE: Duration = Duration::from_millis(600);

/// Part of the bound up to which a router need not keep to its own part of it, however old that is.
const LEAST_FREE_PART: f64 = 0.4;

/// Part of [`BLIND_AGE`] above which means count as well. Below it, what was told a moment ago says more.
const BLIND_PART: f64 = 0.5;

/// Part of the bound that a target may be filled to on average: the rest is for requests that come together
/// by chance.
const FILL_PART: f64 = 0.75;

/// Time after which a target counts as a home that prompts have had: most come again within it.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Part of the load multiple that is not used if all targets are avoided.
const AVOIDED_PART: f64 = 0.5;

/// Time after which a refused request may find room, where nothing says when.
const ROOM_WAIT: Duration = Duration::from_millis(200);

impl Fleet {
    /// Chooses a target for a request, in view of the attempts so far.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub fn choose(
        &mut self,
        now: Instant,
        request: &Request,
        course: &Course,
    ) -> Result<Choice, Refusal> {
        self.refresh(now);
        let ranking = self.rank(now, request, course)?;
        // Only a cold target may turn the request away; the rest of the order does not matter.
        let cold = ranking.order.iter().take_while(|name| self.is_cold(&self.records[**name], now));
        let tried: Vec<String> =
            ranking.order.iter().take(cold.count() + 1).map(|name| (*name).to_owned()).collect();
        let (bound, mut cause) = (ranking.bound, ranking.cause);
        for name in tried {
            if self.admit(&name, now) {
                return Ok(Choice { cause, ..self.choice(now, request, &name, bound) });
            }
            cause = Cause::Cold;
        }
        Err(Refusal { reason: Reason::Warming, wait: ROOM_WAIT })
    }

    /// The targets that may take a request, the most preferred first.
    fn rank(
        &self,
        now: Instant,
        request: &Request,
        course: &Course,
    ) -> Result<Ranking<'_>, Refusal> {
        let serving: Vec<(&str, &Record)> = self
            .serving(&request.service)
            .filter(|(_, record)| self.takes_work(record, now))
            .collect();
        if serving.is_empty() {
            return Err(Refusal { reason: Reason::NoTarget, wait: ROOM_WAIT });
        }
        let (resting, serving): (Vec<_>, Vec<_>) =
            serving.into_iter().partition(|(_, record)| record.wish.rest(now).is_some());
        if serving.is_empty() {
            let rests = resting.iter().filter_map(|(_, record)| record.wish.rest(now));
            let wait = rests.min().unwrap_or(ROOM_WAIT);
            return Err(Refusal { reason: Reason::Overloaded, wait });
        }
        let bound = self.bound(now, &request.service);
        let sight = self.sight(now);
        let open: Vec<(&str, &Record)> =
            serving.into_iter().filter(|(name, _)| course.claim(name) != Claim::Barred).collect();
        let candidates: Vec<Candidate<'_>> = open
            .iter()
            .map(|(name, record)| {
                Candidate::new(name, 1).load(self.seen(name, record, bound, sight), bound)
            })
            .collect();
        let mut ranked = match &request.prompt {
            Some(prompt) => {
                let holding = self.holding(now, prompt);
                let mut ranked = Plain.rank(prompt.key(), &candidates);
                ranked.sort_by_cached_key(|index| holding.nearness(open[*index].1));
                ranked
            }
            None => Least.rank(request.key(), &candidates),
        };
        let best = ranked.first().copied();
        // A failing target may answer; one over its bound crushes all that it runs.
        ranked.sort_by_cached_key(|index| {
            let (name, record) = open[*index];
            let doubt = record.doubt(now, request.repeat);
            (course.claim(name), doubt == Standing::Away, candidates[*index].over(), doubt)
        });
        let cause = match (best, ranked.first().copied()) {
            (Some(best), Some(first)) => {
                let over = candidates[best].over();
                self.cause(now, request, course, (open[best].1, over), best == first)
            }
            _ => Cause::Home,
        };
        let order = ranked.into_iter().map(|index| open[index].0).collect();
        Ok(Ranking { order, cause, bound })
    }

    /// Why a request goes to the first of a ranking, in view of the one that comes first for the prompt
    /// alone, and whether that is over its bound.
    fn cause(
        &self,
        now: Instant,
        request: &Request,
        course: &Course,
        (best, over): (&Record, bool),
        chosen: bool,
    ) -> Cause {
        let Some(prompt) = &request.prompt else { return Cause::Least };
        match best.doubt(now, request.repeat) {
            _ if course.attempts() > 0 => Cause::Tried,
            _ if chosen && self.holding(now, prompt).targets.contains(&best.short) => Cause::Holds,
            _ if chosen => Cause::Home,
            Standing::Away => Cause::Away,
            _ if over => Cause::Bound,
            _ => Cause::Doubt,
        }
    }

    /// A target as it is told to whoever sends the request.
    fn choice(&self, now: Instant, request: &Request, name: &str, bound: u32) -> Choice {
        let record = &self.records[name];
        let load = self.seen(name, record, bound, self.sight(now));
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
            standing: record.health.standing(now),
            place,
            cause: Cause::Home,
            fetch,
        }
    }

    /// Where a target can fetch parts of a prompt from.
    fn fetch(&self, now: Instant, target: &str, prompt: &Prompt) -> Option<Fetch> {
        // One that fails a part of its requests still hands out what it holds.
        let may_ask = |other: u32| {
            self.by_short(other).is_some_and(|record| {
                record.missing.is_none() && record.health.standing(now) != Standing::Away
            })
        };
        let data_centre = &self.records.get(target)?.row.data_centre;
        let near = |other: u32| {
            self.by_short(other).is_some_and(|record| record.row.data_centre == *data_centre)
        };
        let source = self.parts.source(target, prompt, may_ask, near)?;
        let name = self.names.get(&source.target)?;
        let address = self.address(name)?;
        Some(Fetch { target: name.clone(), guessed: false, address, tokens: source.tokens })
    }

    /// The targets of a service, by the order in which a prompt looks for its home.
    ///
    /// Targets that are leaving are among them, since they still hold what they have read.
    fn home(&self, now: Instant, prompt: &Prompt, service: &str) -> Home<'_> {
        let listed = self.serving(service).filter(|(_, record)| {
            record.missing.is_none() && record.health.standing(now) != Standing::Away
        });
        let listed: Vec<&str> = listed.map(|(name, _)| name).collect();
        let candidates: Vec<Candidate<'_>> =
            listed.iter().map(|name| Candidate::new(name, 1)).collect();
        let order = Plain.rank(prompt.key(), &candidates);
        Home { order: order.into_iter().map(|index| listed[index]).collect() }
    }

    /// Where a target can probably fetch the parts of a prompt from, if nobody told who holds them.
    ///
    /// That is the home that the prompt would have had without the target, or without the targets
    /// that came a short time ago.
    fn guess(&self, now: Instant, target: &str, prompt: &Prompt, home: &Home<'_>) -> Option<Fetch> {
        if self.parts.knows(prompt) || prompt.shared_tokens() < parts::LEAST_FETCH {
            return None;
        }
        let is_settled = |name: &str| {
            let since = self.records.get(name).map(|record| record.since);
            since.is_some_and(|since| now.saturating_duration_since(since) > SETTLE_TIME)
        };
        let first = home.order.iter().find(|name| is_settled(name) || **name == target)?;
        let other = match *first == target && is_settled(target) {
            true => return None,
            false if *first == target => {
                home.order.iter().find(|name| is_settled(name) && **name != target)?
            }
            false => first,
        };
        let (address, tokens) = (self.address(other)?, prompt.shared_tokens());
        Some(Fetch { target: (*other).to_owned(), guessed: true, address, tokens })
    }

    fn holding(&self, now: Instant, prompt: &Prompt) -> Holding<'_> {
        let targets: BTreeSet<u32> = self.parts.holders(prompt).collect();
        let records = targets.iter().filter_map(|target| self.by_short(*target));
        let records = records.filter(|record| record.is_sound(now));
        let data_centres = records.map(|record| record.row.data_centre.as_str()).collect();
        Holding { targets, data_centres }
    }

    fn by_short(&self, target: u32) -> Option<&Record> {
        self.records.get(self.names.get(&target)?)
    }

    /// The targets of a service that are remembered.
    fn serving(&self, service: &str) -> impl Iterator<Item = (&str, &Record)> {
        let named = self.records.iter().map(|(name, record)| (name.as_str(), record));
        named.filter(move |(_, record)| record.row.service == service)
    }

    /// Load that each target of a service may reach, in requests.
    ///
    /// The mean is over all targets that are listed, also those that get no new work. The more of
    /// them are avoided, the more of the load is at the others, which all come near the bound; what
    /// is wrong in the view of the mean would take them over it, so that the multiple is taken in part.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "loads are small")]
    fn bound(&self, now: Instant, service: &str) -> u32 {
        let listed = self.serving(service).filter(|(_, record)| record.missing.is_none());
        let (mut count, mut avoided, mut sum) = (0_u32, 0_u32, 0_u32);
        for (name, record) in listed {
            count += 1;
            avoided += u32::from(record.health.standing(now) >= Standing::Failing);
            sum += self.loads.of(name, now) + self.peers.load(record.short);
        }
        let targets = f64::from(count.max(1));
        let part = 1.0 - AVOIDED_PART * f64::from(avoided) / targets;
        (self.bounds.load_multiple * part * f64::from(sum) / targets) as u32
            + self.bounds.load_slack
    }

    /// How well this router sees the work of the others.
    fn sight(&self, now: Instant) -> Sight {
        let members = u32::try_from(self.peers.members(now)).unwrap_or(u32::MAX);
        let blind = self.peers.age(now).as_secs_f64() / BLIND_AGE.as_secs_f64();
        Sight { now, members, blind }
    }

    /// Load of a target, in requests, as it counts for a choice.
    ///
    /// All routers may send to the same target in the time in which what they tell grows old. So
    /// above a part of the bound, which is the smaller the older that is, none takes more than its
    /// own part of the bound. Where that is less than one request, the mean over time counts: what
    /// is told may be old, but what it says on average is not.
    fn seen(&self, name: &str, record: &Record, bound: u32, sight: Sight) -> u32 {
        let Sight { now, members, blind } = sight;
        let own = self.loads.of(name, now);
        let free_part = (1.0 - blind).max(LEAST_FREE_PART);
        let told = f64::from(self.peers.load(record.short));
        let usual = record.usual;
        let load = own + (usual + (told - usual) * (-blind).exp()).round() as u32;
        let mean = self.loads.mean(name, now);
        let filled = f64::from(bound) * FILL_PART;
        let full =
            blind > BLIND_PART && usual + mean >= filled && mean > filled / f64::from(members);
        let crowded =
            full || f64::from(load) >= f64::from(bound) * free_part && own > bound / members;
        if crowded { load.max(bound) } else { load }
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

    fn cold_rate(&self, service: &str) -> f64 {
        self.cold_rates.get(service).copied().unwrap_or_default()
    }

    /// Whether a target is cold, and its service limits what such a target gets.
    fn is_cold(&self, record: &Record, now: Instant) -> bool {
        record.cold_until.is_some_and(|until| now < until)
            && self.cold_rate(&record.row.service) > 0.0
    }

    /// Takes a place at a target if it is cold; a warm one has no such limit.
    fn admit(&mut self, name: &str, now: Instant) -> bool {
        let members = self.peers.members(now);
        let Some(record) = self.records.get(name) else { return false };
        if !self.is_cold(record, now) {
            return true;
        }
        let rate = self.cold_rate(&record.row.service);
        self.records.get_mut(name).is_some_and(|record| record.gate.admit(now, rate, members))
    }
}
