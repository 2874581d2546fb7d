//! Which targets hold the parts of a prompt, or probably do.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::health::Standing;
use super::{Fleet, Record, parts};
use crate::placement::{Candidate, Placement, Plain};
use crate::request::Prompt;

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

/// Targets that hold the shared parts of a prompt.
pub(super) struct Holding<'a> {
    pub(super) targets: BTreeSet<u32>,
    /// Data centres that they are in.
    data_centres: BTreeSet<&'a str>,
}

/// Targets in the order in which a prompt looks for its home.
pub(super) struct Home<'a> {
    order: Vec<&'a str>,
}

impl Home<'_> {
    /// Place of a target, from 0.
    pub(super) fn place(&self, target: &str) -> usize {
        self.order.iter().position(|name| *name == target).unwrap_or_default()
    }
}

/// How near a target is to the shared parts of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Nearness {
    /// It holds them.
    Holds,
    /// Another sound target in its data centre holds them.
    Near,
    /// They are farther away, or nowhere.
    Far,
}

impl Holding<'_> {
    pub(super) fn nearness(&self, record: &Record) -> Nearness {
        if self.targets.contains(&record.short) {
            return Nearness::Holds;
        }
        let near = self.data_centres.contains(record.row.data_centre.as_str());
        if near { Nearness::Near } else { Nearness::Far }
    }
}

/// Time after which a target counts as a home that prompts have had: most come again within it.
const SETTLE_TIME: Duration = Duration::from_secs(10);

impl Fleet {
    /// Where a target can fetch parts of a prompt from.
    pub(super) fn fetch(&self, now: Instant, target: &str, prompt: &Prompt) -> Option<Fetch> {
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
    pub(super) fn home(&self, now: Instant, prompt: &Prompt, service: &str) -> Home<'_> {
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
    pub(super) fn guess(
        &self,
        now: Instant,
        target: &str,
        prompt: &Prompt,
        home: &Home<'_>,
    ) -> Option<Fetch> {
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

    pub(super) fn holding(&self, now: Instant, prompt: &Prompt) -> Holding<'_> {
        let targets: BTreeSet<u32> = self.parts.holders(prompt).collect();
        let records = targets.iter().filter_map(|target| self.by_short(*target));
        let records = records.filter(|record| record.is_sound(now));
        let data_centres = records.map(|record| record.row.data_centre.as_str()).collect();
        Holding { targets, data_centres }
    }

    fn by_short(&self, target: u32) -> Option<&Record> {
        self.records.get(self.names.get(&target)?)
    }
}
