//! The targets that a router may send routed requests to, and which of them a request goes to.
//!
//! The platform's list says which targets there are. What a target bears now follows from the
//! router's own evidence ([`health`]), from the work that this and the other routers have in
//! progress ([`load`]), and from its warm-up ([`cold`]). A [`Fleet`] joins these, and [`choice`] picks
//! a target for a request.

mod accounting;
pub mod choice;
pub mod cold;
pub mod health;
pub mod homes;
pub mod load;
pub mod lookout;
pub mod notice;
pub mod parts;
mod ranking;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use self::accounting::{Others, Owned};
pub use self::choice::{Choice, Decision, Refusal};
use self::cold::Gate;
use self::health::{Health, Outcome, Standing};
use self::load::{Loads, Ticket};
use self::lookout::Lookout;
use self::notice::{Change, Notice, Wish};
use self::parts::Parts;
use crate::account::accountant::Accountants;
use crate::account::book::Book;
use crate::account::message::Stamp;
use crate::admission::suspect::Ledger;
use crate::peers::{News, Peers};
use crate::report::{self, Departure, Entry, Report};
use crate::request::Repeat;

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
    /// Time in which a leaving target has to see its last request.
    pub drain: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            load_multiple: 2.0,
            load_slack: 3,
            cold_over: 1.5,
            cold_slack: 5,
            drain: Duration::from_secs(3),
        }
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
    /// Work of the other routers there, as an accountant told it.
    others: Others,
    /// What it has asked of this router.
    wish: Wish,
}

impl Record {
    /// Whether the target is listed, leaving or not, and nothing speaks against it.
    fn is_sound(&self, now: Instant) -> bool {
        self.missing.is_none() && self.health.standing(now) == Standing::Good
    }

    /// Whether an entry tells of a later start than the one that is known.
    fn is_restarted(&self, row: &Row) -> bool {
        self.row.born.zip(row.born).is_some_and(|(known, told)| told > known)
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

/// What the list says of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Listing {
    /// It takes work.
    Ready,
    /// It is about to stop.
    Leaving,
    /// It has no entry.
    Missing,
}

/// A target of which the list says something else than before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relisted {
    /// Its name.
    pub target: String,
    /// What the list says.
    pub listing: Listing,
    /// Revision of the entry.
    pub revision: u64,
    /// The router that told it; none if the platform did.
    pub told_by: Option<SocketAddr>,
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

/// Time for which a router tells that a target leaves: as long as other changes of targets.
const DEPARTURE_TIME: Duration = lookout::TELL_PERIOD;

/// The targets of a router.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    bounds: Bounds,
    records: BTreeMap<String, Record>,
    /// Names by their short hashes.
    names: BTreeMap<u32, String>,
    /// Changes of which targets there are.
    generation: u64,
    /// Targets that have started again while requests waited there.
    restarted: Vec<Quiet>,
    /// Targets that have said that they leave, and when this router learnt of it.
    departures: VecDeque<(Instant, Departure)>,
    /// Those of them of which another router told, until they are taken.
    departed: Vec<String>,
    /// What the list says newly of targets, until it is taken.
    relisted: Vec<Relisted>,
    closed: BTreeSet<String>,
    cold_rates: BTreeMap<String, f64>,
    loads: Loads,
    /// Questions that are not answered yet, by target.
    asked: BTreeMap<u32, u32>,
    accountants: Accountants,
    book: Book,
    owned: Owned,
    /// The last message of this router to accountants.
    stamp: Stamp,
    /// When this router last looked at what is to be told.
    looked: Option<Instant>,
    /// When all of its work was last told.
    refreshed: Option<Instant>,
    /// Whether this router is about to stop.
    leaving: bool,
    peers: Peers,
    parts: Parts,
    lookout: Lookout,
    /// Targets whose last change another router told first.
    second_hand: BTreeSet<String>,
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

    /// Tells the address of this router for datagrams, and the random number of the process.
    #[must_use]
    pub fn at(self, address: SocketAddr, incarnation: u32) -> Self {
        let (peers, accountants) = (Peers::of(address), Accountants::of(address));
        Self { peers, accountants, stamp: Stamp { incarnation, number: 0 }, ..self }
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
                if record.is_restarted(&row) {
                    record.wish = Wish::default();
                }
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
                let (missing, others, since) = (None, Others::default(), now);
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
                    others,
                    wish: Wish::default(),
                };
                self.generation += 1;
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
            self.heard(now, &name, None, revision);
        }
    }

    /// The platform answers this router again, after it did not for a time.
    ///
    /// If it told other routers of the targets meanwhile, it was not away itself, and no entries
    /// have lapsed.
    pub fn returned(&mut self, now: Instant, away: Duration) {
        let told_others = self.peers.was_told(now, away);
        if !told_others {
            self.returned = Some(now);
        }
    }

    /// Takes the data centres that operators have taken out.
    ///
    /// Returns whether these are others than before.
    pub fn close(&mut self, closed: BTreeSet<String>) -> bool {
        let changed = self.closed != closed;
        self.closed = closed;
        changed
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
        for departure in &report.departures {
            self.departs(now, *departure);
        }
        for change in &report.changes {
            let known = || self.records.get(&change.name).map(|record| record.row.clone());
            let new = match &change.entry {
                Entry::Row(row) => self.list(now, &change.name, row.clone(), change.revision),
                // Nothing is sent to a target that is not known.
                Entry::Leaving => known().is_some_and(|row| {
                    let row = Row { state: State::Leaving, ..row };
                    self.list(now, &change.name, row, change.revision)
                }),
                Entry::Removed => self.unlist(now, &change.name, change.revision),
            };
            if new {
                self.second_hand.insert(change.name.clone());
                self.relist(&change.name, Some(router));
            }
        }
        let Report { incarnation, leaving, .. } = report;
        let news = self.peers.take(now, router, report);
        self.accountants.name(now, router);
        self.accountants.heard(now, router, incarnation, leaving);
        let contents: Vec<u64> =
            self.peers.reports(now).flat_map(|report| report.contents.iter().copied()).collect();
        self.suspects.merge(now, &contents);
        news
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

    /// Takes what the head of an answer asks for; returns what changes by it.
    pub fn notice(&mut self, now: Instant, target: &str, notice: Notice) -> Change {
        let Some(record) = self.records.get_mut(target) else { return Change::Known };
        let change = record.wish.take(now, notice);
        if change == Change::Leaves {
            let born = record.row.born.unwrap_or_default();
            self.departures.push_back((now, Departure { target: record.short, born }));
        }
        change
    }

    /// Targets that have said in answers that they leave, for the next report.
    pub fn departures(&mut self, now: Instant) -> Vec<Departure> {
        self.departures.retain(|(at, _)| now.saturating_duration_since(*at) <= DEPARTURE_TIME);
        let latest = self.departures.iter().rev().take(report::LIST_LIMIT);
        latest.map(|(_, departure)| *departure).collect()
    }

    /// Takes what the list says newly of targets, since the last call.
    pub fn take_relisted(&mut self) -> Vec<Relisted> {
        std::mem::take(&mut self.relisted)
    }

    /// Keeps what the list says of a target until it is taken.
    fn relist(&mut self, name: &str, told_by: Option<SocketAddr>) {
        let Some(record) = self.records.get(name) else { return };
        let listing = match (record.missing, record.row.state) {
            (Some(_), _) => Listing::Missing,
            (None, State::Ready) => Listing::Ready,
            (None, State::Leaving) => Listing::Leaving,
        };
        let (target, revision) = (name.to_owned(), record.revision);
        self.relisted.push(Relisted { target, listing, revision, told_by });
    }

    /// Takes the targets that leave by the word of other routers, since the last call.
    pub fn take_departed(&mut self) -> Vec<String> {
        std::mem::take(&mut self.departed)
    }

    /// Takes the word of another router that a target leaves, unless it has started again since.
    fn departs(&mut self, now: Instant, departure: Departure) {
        let Some(name) = self.names.get(&departure.target).cloned() else { return };
        let born = self.records.get(&name).map(|record| record.row.born.unwrap_or_default());
        if born == Some(departure.born) {
            let notice = Notice { leaving: true, rest: None };
            if self.notice(now, &name, notice) == Change::Leaves {
                self.departed.push(name);
            }
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

    /// Requests of all routers in progress at a target, as far as this one was told.
    #[must_use]
    pub fn load(&self, target: &str, now: Instant) -> u32 {
        let others = self.records.get(target).map(|record| record.others.load());
        self.loads.of(target, now) + others.unwrap_or_default()
    }

    /// The targets of a service that are remembered.
    fn serving(&self, service: &str) -> impl Iterator<Item = (&str, &Record)> {
        let named = self.records.iter().map(|(name, record)| (name.as_str(), record));
        named.filter(move |(_, record)| record.row.service == service)
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
        if self.names.len() != self.records.len() {
            self.generation += 1;
            self.names.retain(|_, name| self.records.contains_key(name));
        }
        self.loads.forget(now);
        let known: BTreeSet<SocketAddr> = self.peers.addresses().collect();
        self.accountants.retain(now, |address| known.contains(&address));
    }
}
