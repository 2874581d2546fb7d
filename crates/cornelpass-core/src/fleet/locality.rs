//! Targets that have the shared parts of a prompt in their KV cache, or probably do.
//!
//! The shared parts are those that other prompts may have as well ([`Prompt::shared_parts`]).
//! The holders come from the index of cached prefixes ([`super::prefix_cache`]). If the index has
//! no holder, the likely holder follows from the prompt's hash order: the rendezvous hashing that
//! places prompts sent the prompt to the first target of that order before the set of targets
//! changed.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::health::Standing;
use super::{Fleet, Record, prefix_cache};
use crate::placement::{Candidate, Placement, Rendezvous};
use crate::request::Prompt;

/// Fetch of cached prefixes of a prompt from another target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Name of the other target.
    pub target: String,
    /// Whether the holder was inferred from the hash order rather than recorded in the index.
    pub inferred: bool,
    /// Address of the other target.
    pub address: SocketAddr,
    /// Prompt tokens that the fetch saves from being processed again.
    pub tokens: u32,
}

/// Targets that have cached all shared parts of a prompt.
pub(super) struct Holders<'a> {
    /// Short hashes of the targets.
    pub(super) targets: BTreeSet<u32>,
    /// Data centres of the healthy ones.
    data_centres: BTreeSet<&'a str>,
}

/// Hash order of a prompt over the targets of a service, the preferred target first.
pub(super) struct Preference<'a> {
    order: Vec<&'a str>,
}

impl Preference<'_> {
    /// Position of a target, from 0; 0 also for a target that is not in the order.
    pub(super) fn position(&self, target: &str) -> usize {
        self.order.iter().position(|name| *name == target).unwrap_or_default()
    }
}

/// Proximity of a target to a cached copy of the shared parts of a prompt, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Proximity {
    /// The target holds a copy.
    Holder,
    /// Another healthy target in the same data centre holds a copy.
    SameDataCentre,
    /// No healthy target in the same data centre is known to hold a copy.
    Remote,
}

impl Holders<'_> {
    pub(super) fn proximity(&self, record: &Record) -> Proximity {
        if self.targets.contains(&record.short_hash) {
            return Proximity::Holder;
        }
        let near = self.data_centres.contains(record.row.data_centre.as_str());
        if near { Proximity::SameDataCentre } else { Proximity::Remote }
    }
}

/// Time since a target became known to this router, after which it counts as a likely holder: most
/// prompts recur within this time, so the target has received the prompts that prefer it.
const MIN_HOLDER_AGE: Duration = Duration::from_secs(10);

impl Fleet {
    /// Fetch of prefixes of a prompt for a target, from a holder in the index.
    pub(super) fn recorded_fetch(
        &self,
        now: Instant,
        target: &str,
        prompt: &Prompt,
    ) -> Option<Fetch> {
        // A target that fails a part of its requests can still transfer its cache.
        let is_usable = |other: u32| {
            self.record_by_hash(other).is_some_and(|record| {
                record.missing_since.is_none()
                    && record.health.standing(now) != Standing::Unresponsive
            })
        };
        let data_centre = &self.records.get(target)?.row.data_centre;
        let is_near = |other: u32| {
            self.record_by_hash(other).is_some_and(|record| record.row.data_centre == *data_centre)
        };
        let source = self.cache_index.source(target, prompt, is_usable, is_near)?;
        let name = self.names_by_hash.get(&source.target)?;
        let address = self.address(name)?;
        Some(Fetch { target: name.clone(), inferred: false, address, tokens: source.tokens })
    }

    /// Hash order of a prompt over the reachable listed targets of a service.
    ///
    /// The order includes leaving targets, since they still have their caches.
    pub(super) fn preference(
        &self,
        now: Instant,
        prompt: &Prompt,
        service: &str,
    ) -> Preference<'_> {
        let listed = self.targets_of(service).filter(|(_, record)| {
            record.missing_since.is_none()
                && record.health.standing(now) != Standing::Unresponsive
                && !self.is_off_rollout(record)
        });
        let listed: Vec<&str> = listed.map(|(name, _)| name).collect();
        let candidates: Vec<Candidate<'_>> =
            listed.iter().map(|name| Candidate::new(name, 1)).collect();
        let order = Rendezvous.rank(prompt.placement_key(), &candidates);
        Preference { order: order.into_iter().map(|index| listed[index]).collect() }
    }

    /// Fetch of the shared parts of a prompt for a target, from the likely holder if the index has
    /// none.
    ///
    /// The likely holder is the first target of the hash order that was not added recently. None if
    /// that is this target.
    pub(super) fn inferred_fetch(
        &self,
        now: Instant,
        target: &str,
        prompt: &Prompt,
        preference: &Preference<'_>,
    ) -> Option<Fetch> {
        if self.cache_index.has_holder(prompt)
            || prompt.shared_tokens() < prefix_cache::MIN_FETCH_TOKENS
        {
            return None;
        }
        let is_settled = |name: &str| {
            let since = self.records.get(name).map(|record| record.known_since);
            since.is_some_and(|since| now.saturating_duration_since(since) > MIN_HOLDER_AGE)
        };
        let first = preference.order.iter().find(|name| is_settled(name) || **name == target)?;
        let other = match *first == target && is_settled(target) {
            true => return None,
            false if *first == target => {
                preference.order.iter().find(|name| is_settled(name) && **name != target)?
            }
            false => first,
        };
        let (address, tokens) = (self.address(other)?, prompt.shared_tokens());
        Some(Fetch { target: (*other).to_owned(), inferred: true, address, tokens })
    }

    /// Known holders of the shared parts of a prompt.
    pub(super) fn holders(&self, now: Instant, prompt: &Prompt) -> Holders<'_> {
        let targets: BTreeSet<u32> = self.cache_index.holders(prompt).collect();
        let records = targets.iter().filter_map(|target| self.record_by_hash(*target));
        let records = records.filter(|record| record.is_healthy(now));
        let data_centres = records.map(|record| record.row.data_centre.as_str()).collect();
        Holders { targets, data_centres }
    }

    fn record_by_hash(&self, target: u32) -> Option<&Record> {
        self.records.get(self.names_by_hash.get(&target)?)
    }
}
