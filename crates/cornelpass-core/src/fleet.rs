//! The targets that a router may send routed requests to, and which of them a request goes to.
//!
//! The platform's list says which targets there are. What a target bears now follows from the
//! router's own evidence ([`health`]), from the work that this and the other routers have in
//! progress ([`load`]), and from its warm-up ([`cold`]). A [`Fleet`] joins these into candidates
//! and has a placement rank them.

pub mod cold;
pub mod health;
pub mod load;
pub mod lookout;
pub mod parts;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use self::cold::Gate;
use self::health::{Health, Outcome, Standing};
use self::load::{Loads, Ticket};
use self::lookout::Lookout;
use self::parts::Parts;
use crate::admission::suspect::Ledger;
use crate::course::{Claim, Course};
use crate::peers::{News, Peers};
use crate::placement::{Candidate, Least, Placement, Plain};
use crate::refusal::Reason;
use crate::report::{self, Report};
use crate::request::{Prompt, Repeat, Request};

/// Time after the platform's return within which entries that lapsed meanwhile come back.
///
/// The users' pages say about two seconds; the rest covers the way of the list to this process.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// Whether a listed target takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// It takes work.
    #[default]
    Ready,
    /// It is about to stop.
    Leaving,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Model or service that it serves.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Data centre that it is in.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Time for which it stays cold, when the entry was written.
    pub cold_left: Duration,
    /// Version of its weights, if it serves a model.
    pub weights: Option<u64>,
    /// Time of its start in milliseconds since 1970, if it says so.
    pub born: Option<u64>,
}

impl Row {
    /// Whether two entries say the same, apart from how long the target is still cold.
    fn says_the_same(&self, other: &Self) -> bool {
        let cold = self.cold_left.is_zero() == other.cold_left.is_zero();
        cold && *self == Self { cold_left: self.cold_left, ..other.clone() }
    }
}

/// Figures of the deployment that bound what targets get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Most load as a multiple of the mean.
    pub load_multiple: f64,
    /// Load added to that multiple, in requests.
    pub load_slack: u32,
    /// Multiple of the cold rate that a cold target bears in one second.
    pub cold_over: f64,
    /// Requests that it bears on top.
    pub cold_slack: u32,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { load_multiple: 2.0, load_slack: 3, cold_over: 1.5, cold_slack: 5 }
    }
}

/// What is known of one target.
#[derive(Clone, Debug)]
struct Record {
    /// Short hash of its name.
    short: u32,
    row: Row,
    /// Revision of the entry.
    revision: u64,
    cold_until: Option<Instant>,
    /// Since when it is known.
    since: Instant,
    /// Since when its entry has been missing.
    missing: Option<Instant>,
    health: Health,
    gate: Gate,
    /// Usual load of the other routers, in requests.
    usual: f64,
}

impl Record {
    /// Whether the target is listed, leaving or not, and nothing speaks against it.
    fn is_sound(&self, now: Instant) -> bool {
        self.missing.is_none() && self.health.standing(now) == Standing::Good
    }

    /// The target as it is reported if requests wait there.
    fn quiet(&self, now: Instant, name: &str) -> Option<Quiet> {
        let (open, since) = self.health.quiet()?;
        let time = now.saturating_duration_since(since);
        Some(Quiet { target: name.to_owned(), address: self.row.address, open, time })
    }

    /// How much speaks against sending a request to the target.
    ///
    /// One that is to be tried gets a request that may be repeated as if it were sound.
    fn doubt(&self, now: Instant, repeat: Repeat) -> Standing {
        match self.health.standing(now) {
            Standing::Trial if repeat.allowed() => Standing::Good,
            Standing::Trial => Standing::Failing,
            standing => standing,
        }
    }
}

/// How a target stands, for operators.
#[derive(Clone, Debug)]
pub struct Stand<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its entry.
    pub row: &'a Row,
    /// Whether the platform lists it.
    pub listed: bool,
    /// How this router thinks that it is.
    pub standing: Standing,
    /// Requests of all routers in progress there.
    pub load: u32,
}

/// A target that gives no sign while requests wait there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quiet {
    /// Its name.
    pub target: String,
    /// Its address.
    pub address: SocketAddr,
    /// Requests of this router that wait.
    pub open: u32,
    /// Time since the last sign.
    pub time: Duration,
}

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
    /// Where the target can fetch parts of the prompt from.
    pub fetch: Option<Fetch>,
}

/// A fetch of parts of a prompt from another target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Address of the other target.
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

/// Part by which a round of reports moves the usual load of a target.
const USUAL_PART: f64 = 0.3;

/// Time after which a refused request may find room, where nothing says when.
const ROOM_WAIT: Duration = Duration::from_millis(200);

/// The targets of a router.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    bounds: Bounds,
    records: BTreeMap<String, Record>,
    /// Names by their short hashes.
    names: BTreeMap<u32, String>,
    /// Reports that came since the last choice.
    reports: i32,
    /// Targets that have started again while requests waited there.
    restarted: Vec<Quiet>,
    closed: BTreeSet<String>,
    cold_rates: BTreeMap<String, f64>,
    loads: Loads,
    peers: Peers,
    parts: Parts,
    lookout: Lookout,
    suspects: Ledger,
    /// Since when the platform answers again, if it was away.
    returned: Option<Instant>,
}

impl Fleet {
    /// A fleet without targets.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// Tells the address of this router, for other routers' reports.
    #[must_use]
    pub fn at(self, address: SocketAddr) -> Self {
        Self { peers: Peers::of(address), ..self }
    }

    /// Takes the cold rates of the services, in requests a second.
    pub fn configure(&mut self, cold_rates: BTreeMap<String, f64>) {
        self.cold_rates = cold_rates;
    }

    /// Takes an entry; one that is older than what is known is ignored.
    ///
    /// Returns whether anything about the target changed.
    pub fn list(&mut self, now: Instant, name: &str, row: Row, revision: u64) -> bool {
        let cold_until = (!row.cold_left.is_zero()).then(|| now + row.cold_left);
        match self.records.get_mut(name) {
            Some(record) if record.revision >= revision => false,
            Some(record) => {
                let restarted = record.row.born != row.born;
                let changed = !record.row.says_the_same(&row) || record.missing.is_some();
                if restarted {
                    self.restarted.extend(record.quiet(now, name));
                    record.health = Health::default();
                    self.parts.forget(name);
                }
                record.cold_until = cold_until;
                record.missing = None;
                record.row = row;
                record.revision = revision;
                changed
            }
            None => {
                let (health, gate) = (Health::default(), Gate::default());
                let (missing, usual) = (None, 0.0);
                let since = now;
                let short = report::short(name);
                let record = Record {
                    short,
                    row,
                    revision,
                    cold_until,
                    since,
                    missing,
                    health,
                    gate,
                    usual,
                };
                self.names.insert(short, name.to_owned());
                self.records.insert(name.to_owned(), record);
                true
            }
        }
    }

    /// Takes the removal of an entry.
    pub fn unlist(&mut self, now: Instant, name: &str, revision: u64) -> bool {
        let Some(record) = self.records.get_mut(name) else { return false };
        if record.revision >= revision || record.missing.is_some() {
            return false;
        }
        record.revision = revision;
        record.missing = Some(now);
        true
    }

    /// Takes a whole list of names: entries of others are missing.
    pub fn retain(&mut self, now: Instant, listed: &BTreeSet<String>, revision: u64) {
        let names: Vec<String> =
            self.records.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        for name in names {
            self.unlist(now, &name, revision);
        }
    }

    /// The platform answers this router again, after it did not for a time.
    ///
    /// If it told other routers of the targets meanwhile, it was not away itself, and no entries
    /// have lapsed.
    pub fn returned(&mut self, now: Instant, away: Duration) {
        let told_others = self.peers.told(now).any(|(_, age, report)| {
            age + Duration::from_millis(u64::from(report.listed_ms)) < away
        });
        if !told_others {
            self.returned = Some(now);
        }
    }

    /// Takes the data centres that operators have taken out.
    pub fn close(&mut self, closed: BTreeSet<String>) {
        self.closed = closed;
    }

    /// Work of this router in progress, by target.
    #[must_use]
    pub const fn loads(&self) -> &Loads {
        &self.loads
    }

    /// The other routers.
    pub const fn peers(&mut self) -> &mut Peers {
        &mut self.peers
    }

    /// Takes another router's report.
    pub fn told(&mut self, now: Instant, router: SocketAddr, report: Report) -> News {
        for read in &report.reads {
            self.parts.note(now, *read);
        }
        for change in &report.changes {
            match &change.row {
                Some(row) => self.list(now, &change.name, row.clone(), change.revision),
                None => self.unlist(now, &change.name, change.revision),
            };
        }
        let news = self.peers.take(now, router, report);
        let contents: Vec<u64> =
            self.peers.reports(now).flat_map(|report| report.contents.iter().copied()).collect();
        self.suspects.merge(now, &contents);
        self.reports = self.reports.saturating_add(1);
        news
    }

    /// Brings what the other routers told to the records of the targets.
    ///
    /// Done when a choice needs it: reports of many routers come more often than requests do.
    fn refresh(&mut self, now: Instant) {
        self.peers.expire(now);
        // Each of the others contributes to the average as often as it tells.
        let part = USUAL_PART / self.peers.members(now).saturating_sub(1).max(1) as f64;
        let moved = 1.0 - (1.0 - part).powi(std::mem::take(&mut self.reports));
        for record in self.records.values_mut() {
            record.health.told(now, self.peers.failures(record.short));
            let load = f64::from(self.peers.load(record.short));
            record.usual += (load - record.usual) * moved;
        }
    }

    /// Failures of this router's requests, as they are told.
    #[must_use]
    pub fn failures(&self, now: Instant) -> Vec<(u32, u8, u8)> {
        let byte = |number: u32| u8::try_from(number).unwrap_or(u8::MAX);
        let counts = self.records.values().map(|record| (record.short, record.health.count(now)));
        let failed = counts.filter(|(_, count)| count.failed > 0);
        failed
            .map(|(short, count)| (short, byte(count.failed), byte(count.ended)))
            .take(report::LIST_LIMIT)
            .collect()
    }

    /// A request is on its way to a target, with the digest of its content.
    pub fn sent(&mut self, now: Instant, target: &str, content: u64) -> Ticket {
        if let Some(record) = self.records.get_mut(target) {
            record.health.sent(now);
        }
        self.loads.sent(now, target, content)
    }

    /// A sign came from a target, for a request.
    pub fn sign(&mut self, now: Instant, target: &str, ticket: Ticket) {
        self.loads.sign(now, target, ticket);
        if let Some(record) = self.records.get_mut(target) {
            record.health.sign(now);
        }
    }

    /// Targets that have given no sign for a time while requests waited there.
    #[must_use]
    pub fn quiet(&self, now: Instant, time: Duration) -> Vec<Quiet> {
        let quiet = self.records.iter().filter_map(|(name, record)| record.quiet(now, name));
        quiet.filter(|quiet| quiet.time > time).collect()
    }

    /// Takes the targets that have started again while requests waited there.
    pub fn take_restarted(&mut self) -> Vec<Quiet> {
        std::mem::take(&mut self.restarted)
    }

    /// Whether a target has given a sign within a time, and has failed nothing lately.
    #[must_use]
    pub fn is_alive(&self, now: Instant, target: &str, within: Duration) -> bool {
        self.records.get(target).is_some_and(|record| {
            let heard = record.health.heard();
            heard.is_some_and(|at| now.saturating_duration_since(at) < within)
                && record.health.count(now).failed == 0
        })
    }

    /// A request has ended at a target; without an outcome if its caller has left.
    ///
    /// Returns how the target stood before and stands now.
    pub fn ended(
        &mut self,
        now: Instant,
        target: &str,
        ticket: Ticket,
        outcome: Option<Outcome>,
    ) -> (Standing, Standing) {
        self.loads.ended(now, target, ticket);
        let Some(record) = self.records.get_mut(target) else {
            return (Standing::Good, Standing::Good);
        };
        let before = record.health.standing(now);
        match outcome {
            Some(outcome) => record.health.ended(now, outcome),
            None => record.health.dropped(),
        }
        (before, record.health.standing(now))
    }

    /// Contents suspected of crashing targets.
    pub const fn suspects(&mut self) -> &mut Ledger {
        &mut self.suspects
    }

    /// A target was lost under a request, and can not be reached any more: its contents in progress
    /// are suspected, the request's own among them.
    ///
    /// Returns the contents.
    pub fn crashed(&mut self, now: Instant, target: &str, content: u64) -> Vec<u64> {
        let mut contents = self.loads.contents(target);
        contents.push(content);
        self.suspects.lose(now, &contents, None);
        contents
    }

    /// What the platform told this router.
    pub const fn lookout(&mut self) -> &mut Lookout {
        &mut self.lookout
    }

    /// Parts of prompts that targets hold.
    pub const fn parts(&mut self) -> &mut Parts {
        &mut self.parts
    }

    /// Requests of all routers in progress at a target.
    #[must_use]
    pub fn load(&self, target: &str, now: Instant) -> u32 {
        self.loads.of(target, now) + self.peers.load(report::short(target))
    }

    /// Address of a target.
    #[must_use]
    pub fn address(&self, target: &str) -> Option<SocketAddr> {
        self.records.get(target).map(|record| record.row.address)
    }

    /// Targets that are listed, with the revisions of their entries.
    pub fn listed(&self) -> impl Iterator<Item = (&str, &Row, u64)> {
        let listed = self.records.iter().filter(|(_, record)| record.missing.is_none());
        listed.map(|(name, record)| (name.as_str(), &record.row, record.revision))
    }

    /// How all targets that are remembered stand.
    pub fn stands(&self, now: Instant) -> impl Iterator<Item = Stand<'_>> {
        self.records.iter().map(move |(name, record)| Stand {
            name,
            row: &record.row,
            listed: record.missing.is_none(),
            standing: record.health.standing(now),
            load: self.load(name, now),
        })
    }

    /// Data centres that are out of service.
    #[must_use]
    pub const fn closed(&self) -> &BTreeSet<String> {
        &self.closed
    }

    /// Drops the targets that have been gone for longer than any request lasts.
    pub fn forget(&mut self, now: Instant, after: Duration) {
        self.records.retain(|_, record| {
            record.missing.is_none_or(|at| now.saturating_duration_since(at) < after)
        });
        self.names.retain(|_, name| self.records.contains_key(name));
        self.loads.forget(now);
    }

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
        let bound = ranking.bound;
        for name in tried {
            if self.admit(&name, now) {
                return Ok(self.choice(now, request, &name, bound));
            }
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
        // A failing target may answer; one over its bound crushes all that it runs.
        ranked.sort_by_cached_key(|index| {
            let (name, record) = open[*index];
            let doubt = record.doubt(now, request.repeat);
            (course.claim(name), doubt == Standing::Away, candidates[*index].over(), doubt)
        });
        let order = ranked.into_iter().map(|index| open[index].0).collect();
        Ok(Ranking { order, bound })
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
            fetch = known.or_else(|| self.guess(now, name, prompt, &home));
        }
        let (target, address) = (name.to_owned(), record.row.address);
        Choice { target, address, load, bound, standing: record.health.standing(now), place, fetch }
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
        let address = self.by_short(source.target)?.row.address;
        Some(Fetch { address, tokens: source.tokens })
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
        let address = self.address(other)?;
        Some(Fetch { address, tokens: prompt.shared_tokens() })
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
