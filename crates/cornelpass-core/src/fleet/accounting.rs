//! The work at targets, as accountants count it for all routers.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use super::{Fleet, Record};
use crate::account::accountant::{Accountant, LEARN, LOOK, PROBED, REFRESH};
use crate::account::book::Sum;
use crate::account::message::{
    Letter, Line, Message, Note, Presence, Question, Reply, SILENT_LIMIT, Stamp, TALLY_LIMIT,
    Tally, Verdict,
};
use crate::account::sounding::{Query, Told};
use crate::fleet::health::Count;

/// Time for which the load of a target counts for the mean.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(2);

/// Stands for the address of a router that was not told its own.
const UNKNOWN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Time between two looks after which this router counts anew: it did not run, or far too late.
const PAUSE: Duration = LOOK.saturating_mul(3);

/// Part by which an answer moves the usual load of a target.
const USUAL_PART: f64 = 0.3;

/// Targets that this router counts for, by service.
#[derive(Clone, Debug, Default)]
pub(super) struct Owned {
    /// Names, with the time since which it does.
    targets: BTreeMap<String, BTreeMap<String, Instant>>,
    /// View of the accountants, and of which targets there are, that it follows from.
    basis: Option<(Option<Instant>, u64)>,
}

/// What an accountant told of the other routers' work at a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Others {
    load: u32,
    at: Option<Instant>,
    /// Mean of what was told.
    usual: f64,
    /// Who told it when it was asked about the target.
    accountant: Option<SocketAddr>,
    /// When it was told without being asked about the target.
    sampled: Option<Instant>,
}

impl Others {
    fn take(&mut self, now: Instant, load: u32) {
        let before = if self.at.is_some() { self.usual } else { f64::from(load) };
        self.usual = before + (f64::from(load) - before) * USUAL_PART;
        (self.load, self.at) = (load, Some(now));
    }

    /// Load as it was told last.
    pub(super) const fn load(&self) -> u32 {
        self.load
    }

    /// Load that was told without being asked for a time ago at most.
    pub(super) fn sample(&self, now: Instant) -> Option<u32> {
        let fresh = |at: Instant| now.saturating_duration_since(at) < SAMPLE_LIFETIME;
        self.sampled.is_some_and(fresh).then_some(self.load)
    }

    /// Load as far as it is known, usual load, and age of what is known; nothing if nobody told.
    pub(super) fn seen(&self, now: Instant) -> Option<(f64, f64, Duration)> {
        let age = now.saturating_duration_since(self.at?);
        Some((f64::from(self.load), self.usual, age))
    }
}

fn byte(number: u32) -> u8 {
    u8::try_from(number).unwrap_or(u8::MAX)
}

fn half(number: u32) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

impl Fleet {
    /// A router that the platform, the settings or another router name.
    pub fn meet(&mut self, now: Instant, address: SocketAddr) {
        self.peers.name(now, address);
        self.accountants.name(now, address);
    }

    /// Who counts for a target.
    pub(super) fn accountant(&self, now: Instant, record: &Record) -> Accountant {
        self.accountants.of_target(now, record.short)
    }

    fn stamp(&mut self) -> Stamp {
        self.stamp.number += 1;
        self.stamp
    }

    /// Work of this router at a target.
    fn line(&self, now: Instant, name: &str, record: &Record) -> Line {
        let asked = self.asked.get(&record.short).copied().unwrap_or_default();
        let count = record.health.count(now);
        Line {
            target: record.short,
            load: half(self.loads.of(name, now) + asked),
            failed: byte(count.failed),
            ended: byte(count.ended),
        }
    }

    /// A question about one more request at a target.
    pub(super) fn query(
        &mut self,
        now: Instant,
        accountant: SocketAddr,
        name: &str,
        limit: u32,
    ) -> Option<Query> {
        let record = self.records.get(name)?;
        *self.asked.entry(record.short).or_default() += 1;
        let (line, cold) = (self.line(now, name, record), self.is_cold(record, now));
        let question = Question { stamp: self.stamp(), line, limit: half(limit), cold };
        Some(Query { accountant, target: name.to_owned(), question })
    }

    fn asked(&mut self, target: u32) {
        if let Some(asked) = self.asked.get_mut(&target) {
            *asked -= 1;
            if *asked == 0 {
                self.asked.remove(&target);
            }
        }
    }

    /// Takes an accountant's answer.
    pub fn replied(&mut self, now: Instant, query: &Query, reply: &Reply) -> Told {
        self.asked(query.question.line.target);
        self.accountants.answered(now, query.accountant, reply.incarnation, reply.leaving);
        let own = u32::from(query.question.line.load.saturating_sub(1));
        let mut told = Told { verdict: reply.verdict, load: u32::from(reply.load) };
        let Some(record) = self.records.get_mut(&query.target) else { return told };
        record.others.accountant = Some(query.accountant);
        if reply.whole {
            record.others.take(now, told.load.saturating_sub(own));
        } else {
            // It has not heard of all others yet.
            told.load = told.load.max(own + record.others.load());
        }
        let count = Count { failed: u32::from(reply.failed), ended: u32::from(reply.ended) };
        record.health.told(now, count);
        self.tallied(now, &reply.others);
        told
    }

    /// Takes the loads of targets that an accountant tells of without being asked about them.
    fn tallied(&mut self, now: Instant, tallies: &[Tally]) {
        for tally in tallies {
            let Some(name) = self.names.get(&tally.target) else { continue };
            let own = self.loads.of(name, now);
            if let Some(record) = self.records.get_mut(name) {
                record.others.take(now, u32::from(tally.load).saturating_sub(own));
                record.others.sampled = Some(now);
            }
        }
    }

    /// A question was not answered in time; returns whether the accountant is passed over from now on.
    pub fn unanswered(&mut self, now: Instant, query: &Query) -> bool {
        self.asked(query.question.line.target);
        self.accountants.unanswered(now, query.accountant)
    }

    /// Answers another router's question.
    pub fn answer(&mut self, now: Instant, router: SocketAddr, question: &Question) -> Reply {
        let Question { stamp, line, limit, cold } = *question;
        let Sum { load, count } = self.counted(now, line.target, router);
        let load = load + u32::from(line.load.saturating_sub(1));
        let name = self.names.get(&line.target).cloned();
        let verdict = self.verdict(now, name.as_deref(), load, u32::from(limit), cold);
        let unused = u16::from(verdict != Verdict::Granted);
        let line = Line { load: line.load.saturating_sub(unused), ..line };
        self.book.note(now, router, stamp, line);
        let whole = name.as_deref().is_some_and(|name| self.knows_all(now, name));
        Reply {
            number: stamp.number,
            incarnation: self.stamp.incarnation,
            target: line.target,
            verdict,
            load: half(load),
            failed: byte(count.failed),
            ended: byte(count.ended),
            whole,
            leaving: self.leaving,
            others: self.others(now, name.as_deref()),
        }
    }

    /// What this router knows of a target that it counts for itself.
    pub(super) fn count(&mut self, now: Instant, name: &str, limit: u32) -> Option<Told> {
        let own = self.own_address();
        let record = self.records.get(name)?;
        let (short, cold) = (record.short, self.is_cold(record, now));
        let believed = record.others.load();
        let Sum { mut load, count } = self.book.others(now, short, own);
        let whole = self.knows_all(now, name);
        if let Some(record) = self.records.get_mut(name) {
            record.health.told(now, count);
            if whole {
                record.others.take(now, load);
            } else {
                load = load.max(believed);
            }
        }
        let load = load + self.loads.of(name, now);
        let verdict = self.verdict(now, Some(name), load, limit, cold);
        Some(Told { verdict, load })
    }

    fn own_address(&self) -> SocketAddr {
        self.peers.own().unwrap_or(UNKNOWN)
    }

    /// Whether one more request may go to a target with a load.
    fn verdict(
        &mut self,
        now: Instant,
        name: Option<&str>,
        load: u32,
        limit: u32,
        cold: bool,
    ) -> Verdict {
        let known = name.and_then(|name| self.records.get(name));
        let cold = cold || known.is_some_and(|record| self.is_cold(record, now));
        match (load >= limit, cold) {
            (true, false) => Verdict::Full,
            (false, false) => Verdict::Granted,
            // A full one may get the request where all are full, which a cold one would not bear.
            (true, true) => Verdict::Cold,
            (false, true) if name.is_some_and(|name| self.admit_for_all(name, now)) => {
                Verdict::Granted
            }
            (false, true) => Verdict::Cold,
        }
    }

    /// Work at a target of this router and all others but one.
    fn counted(&self, now: Instant, target: u32, router: SocketAddr) -> Sum {
        let others = self.book.others(now, target, router);
        let Some(name) = self.names.get(&target) else { return others };
        let Some(record) = self.records.get(name) else { return others };
        let line = self.line(now, name, record);
        let count = Count { failed: u32::from(line.failed), ended: u32::from(line.ended) };
        Sum { load: others.load + u32::from(line.load), count: others.count.plus(count) }
    }

    /// Takes what another router tells of its work.
    pub fn noted(&mut self, now: Instant, router: SocketAddr, note: &Note) {
        for line in &note.lines {
            self.book.note(now, router, note.stamp, *line);
        }
    }

    /// What those who count for a target are told when this router's work there has changed.
    pub fn note(&mut self, now: Instant, target: &str) -> Vec<(SocketAddr, Note)> {
        let Some(record) = self.records.get(target) else { return Vec::new() };
        let line = self.line(now, target, record);
        let told: Vec<SocketAddr> = self.told_of(now, record).collect();
        let stamp = self.stamp();
        told.into_iter().map(|address| (address, Note { stamp, lines: vec![line] })).collect()
    }

    /// The other routers that count for a target: its accountant, and the one that was asked last if
    /// that is another.
    fn told_of(&self, now: Instant, record: &Record) -> impl Iterator<Item = SocketAddr> + use<> {
        let accountant = match self.accountant(now, record) {
            Accountant::Own => None,
            Accountant::Other(address) => Some(address),
        };
        let other = record.others.accountant.filter(|other| accountant != Some(*other));
        accountant.into_iter().chain(other)
    }

    /// This router's answer to a probe.
    #[must_use]
    pub fn presence(&self, now: Instant) -> Presence {
        let services = self.owned.targets.keys();
        let tallies = services.flat_map(|service| self.tallies(now, service).take(TALLY_LIMIT));
        let mut silent = self.accountants.silent(now);
        silent.truncate(SILENT_LIMIT);
        let (incarnation, leaving) = (self.stamp.incarnation, self.leaving);
        Presence { incarnation, leaving, tallies: tallies.collect(), silent }
    }

    /// Another router has answered a probe; returns whether it was passed over until now.
    pub fn present(&mut self, now: Instant, router: SocketAddr, presence: &Presence) -> bool {
        self.tallied(now, &presence.tallies);
        for other in &presence.silent {
            self.accountants.hinted(now, *other);
        }
        self.accountants.answered(now, router, presence.incarnation, presence.leaving)
    }

    /// Messages that are due: work that is told once more, probes of silent routers, and of some others
    /// for the mean loads.
    pub fn letters(&mut self, now: Instant) -> Vec<Letter> {
        let paused = self.looked.is_some_and(|at| now.saturating_duration_since(at) > PAUSE);
        if paused {
            // The others went on meanwhile, perhaps with another accountant.
            self.owned = Owned::default();
        }
        self.looked = Some(now);
        self.own_targets(now);
        let mut lines: BTreeMap<SocketAddr, Vec<Line>> = BTreeMap::new();
        let due = self.refreshed.is_none_or(|at| now.saturating_duration_since(at) >= REFRESH);
        if due {
            self.refreshed = Some(now);
            self.book.expire(now);
            for (name, record) in &self.records {
                let line = self.line(now, name, record);
                if line.load == 0 && line.failed == 0 {
                    continue;
                }
                for address in self.told_of(now, record) {
                    lines.entry(address).or_default().push(line);
                }
            }
        }
        let stamp = self.stamp();
        let notes = lines
            .into_iter()
            .map(|(address, lines)| (address, Message::Note(Note { stamp, lines })));
        let probes = self.accountants.probes(now, PROBED).into_iter();
        notes.chain(probes.map(|address| (address, Message::Probe))).collect()
    }

    /// Brings the targets that this router counts for up to date.
    fn own_targets(&mut self, now: Instant) {
        let basis = Some((self.accountants.changed(), self.generation));
        if self.owned.basis == basis {
            return;
        }
        let mut targets: BTreeMap<String, BTreeMap<String, Instant>> = BTreeMap::new();
        for (name, record) in &self.records {
            if self.accountant(now, record) == Accountant::Own {
                let since = self.owned_since(&record.row.service, name).unwrap_or(now);
                targets.entry(record.row.service.clone()).or_default().insert(name.clone(), since);
            }
        }
        self.owned = Owned { targets, basis };
    }

    fn owned_since(&self, service: &str, name: &str) -> Option<Instant> {
        self.owned.targets.get(service)?.get(name).copied()
    }

    /// Whether this router has counted for a target for long enough to know all work there.
    fn knows_all(&self, now: Instant, name: &str) -> bool {
        let record = self.records.get(name);
        let since = record.and_then(|record| self.owned_since(&record.row.service, name));
        since.is_some_and(|since| now.saturating_duration_since(since) >= LEARN)
    }

    /// Loads of the targets of a service that this router counts for, and knows all work there.
    pub(super) fn tallies(&self, now: Instant, service: &str) -> impl Iterator<Item = Tally> {
        let own = self.own_address();
        let names = self.owned.targets.get(service).into_iter().flatten();
        let known = names.filter(move |(_, since)| now.saturating_duration_since(**since) >= LEARN);
        known.filter_map(move |(name, _)| {
            let record = self.records.get(name).filter(|record| record.missing.is_none())?;
            let load = self.book.others(now, record.short, own).load + self.loads.of(name, now);
            Some(Tally { target: record.short, load: half(load) })
        })
    }

    /// Loads of the other targets of a target's service that this router counts for.
    fn others(&self, now: Instant, name: Option<&str>) -> Vec<Tally> {
        let record = name.and_then(|name| self.records.get(name));
        let Some(record) = record else { return Vec::new() };
        let tallies = self.tallies(now, &record.row.service);
        tallies.filter(|tally| tally.target != record.short).take(TALLY_LIMIT).collect()
    }

    /// This router is about to stop, and counts for no target any more.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }
}
