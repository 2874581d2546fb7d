//! Selects the accountant of a target, as seen by one router.
//!
//! All routers rank the same list of routers by rendezvous hashing (Thaler and Ravishankar, "Using
//! Name-Based Mappings to Increase Hit Rates", 1998). Routers that know the same list therefore
//! select the same accountant without a message. A router that does not reply is excluded until it
//! replies to a probe, or its next process sends any message. A router that was just added becomes
//! eligible only after the other routers know it too. While the lists of two routers differ, a
//! target has two accountants for some seconds, and each may count only a part of the load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::digest;

/// Interval at which a router reports its usage of all targets to their accountants again.
pub const USAGE_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a router collects the usage reports and probes that are due.
pub const COLLECTION_INTERVAL: Duration = Duration::from_millis(500);

/// Responsive routers that are probed in each [`COLLECTION_INTERVAL`].
pub const PROBES_PER_COLLECTION: usize = 3;

/// Time after which a new accountant has received the usage of all routers.
///
/// Until then its count may be incomplete.
pub const FULL_COUNT_DELAY: Duration = Duration::from_millis(1_500);

/// Time after which an added router becomes eligible as accountant.
///
/// It covers the time until all other routers know the added router.
pub const JOIN_DELAY: Duration = Duration::from_secs(3);

/// Consecutive misses after which a router is excluded.
///
/// A miss is an unanswered question, an unanswered probe, or an outage that another router reports.
pub const MAX_MISSES: u32 = 2;

/// Delay before the first probe of an excluded router.
pub const FIRST_PROBE_DELAY: Duration = Duration::from_millis(500);

/// Longest interval between two probes of an excluded router.
pub const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(8);

/// Time after the start of an outage during which this router reports the outage to other routers.
///
/// An older outage may be over.
pub const OUTAGE_REPORT_TIME: Duration = Duration::from_millis(1_500);

/// Period in which a router does not reply.
#[derive(Clone, Copy, Debug)]
struct Outage {
    since: Instant,
    /// Whether this router itself got no reply. Otherwise another router reported the outage.
    observed: bool,
    /// Probes sent during the outage.
    probes: u32,
    next_probe: Instant,
}

/// State of another router as a possible accountant.
#[derive(Clone, Copy, Debug)]
struct Router {
    hash: u64,
    added: Instant,
    /// Random number of the process that sent the last message; none before the first message.
    incarnation: Option<u32>,
    /// Consecutive misses, see [`MAX_MISSES`].
    misses: u32,
    outage: Option<Outage>,
    /// Incarnation of the process that is about to stop, if it is.
    leaving: Option<u32>,
    /// Whether a probe is still unanswered.
    probe_pending: bool,
}

/// Router that counts the load of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accountant {
    /// This router.
    Own,
    /// Another router, by its address for datagrams.
    Other(SocketAddr),
}

/// Routers that are possible accountants, and their responsiveness.
#[derive(Clone, Debug, Default)]
pub struct Accountants {
    /// Address of this router, and its hash.
    own: Option<(SocketAddr, u64)>,
    /// Whether this router is about to stop.
    leaving: bool,
    routers: BTreeMap<SocketAddr, Router>,
    /// When a router was last added, removed, excluded, restored or marked as leaving.
    last_change: Option<Instant>,
    /// When [`Self::add`] was first called, which is the start of this router.
    started: Option<Instant>,
    /// Number of probes of responsive routers so far, which selects the routers to probe next.
    probe_offset: usize,
}

fn hash(address: SocketAddr) -> u64 {
    digest::key(&address.to_string())
}

fn score(router: u64, target: u32) -> u64 {
    xxh3_64_with_seed(&target.to_le_bytes(), router)
}

impl Accountants {
    /// Accountants as seen by the router at an address.
    #[must_use]
    pub fn new(own: SocketAddr) -> Self {
        Self { own: Some((own, hash(own))), ..Self::default() }
    }

    /// Records that this router is about to stop; it then is an accountant only if no other router can
    /// be one.
    pub const fn announce_stop(&mut self) {
        self.leaving = true;
    }

    /// Adds a router that the platform, the settings or another router has listed.
    ///
    /// Ignores this router's own address and routers that are known already.
    pub fn add(&mut self, now: Instant, address: SocketAddr) {
        self.started.get_or_insert(now);
        let own = self.own.is_some_and(|(own, _)| own == address);
        if own || self.routers.contains_key(&address) {
            return;
        }
        let router = Router {
            hash: hash(address),
            added: now,
            incarnation: None,
            misses: 0,
            outage: None,
            leaving: None,
            probe_pending: false,
        };
        self.routers.insert(address, router);
        self.last_change = Some(now);
    }

    /// Removes the routers that are no longer known.
    pub fn retain(&mut self, now: Instant, known: impl Fn(SocketAddr) -> bool) {
        let before = self.routers.len();
        self.routers.retain(|address, _| known(*address));
        if self.routers.len() != before {
            self.last_change = Some(now);
        }
    }

    /// Accountant of a target, by the target's short hash.
    #[must_use]
    pub fn accountant_of(&self, now: Instant, target: u32) -> Accountant {
        self.accountant_excluding(now, target, &[])
    }

    /// Accountant of a target when some routers are excluded.
    #[must_use]
    pub fn accountant_excluding(
        &self,
        now: Instant,
        target: u32,
        excluded: &[SocketAddr],
    ) -> Accountant {
        let others = self.routers.iter().filter(|(_, router)| self.is_eligible(now, router));
        let others = others.filter(|(address, _)| !excluded.contains(address));
        let others = others
            .map(|(address, router)| (score(router.hash, target), Accountant::Other(*address)));
        let own = self.own.filter(|_| !self.leaving);
        let own = own.map(|(_, hash)| (score(hash, target), Accountant::Own));
        let best = others.chain(own).max_by_key(|(score, _)| *score);
        best.map_or(Accountant::Own, |(_, accountant)| accountant)
    }

    /// Accountant of a target, and the routers that rank after it, up to `count` in total.
    #[must_use]
    pub fn successors(&self, now: Instant, target: u32, count: usize) -> Vec<Accountant> {
        let others = self.routers.iter().filter(|(_, router)| self.is_eligible(now, router));
        let others = others
            .map(|(address, router)| (score(router.hash, target), Accountant::Other(*address)));
        let own = self.own.filter(|_| !self.leaving);
        let own = own.map(|(_, hash)| (score(hash, target), Accountant::Own));
        let mut ranked: Vec<(u64, Accountant)> = others.chain(own).collect();
        ranked.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
        ranked.into_iter().map(|(_, accountant)| accountant).take(count).collect()
    }

    /// Whether this router is the accountant of a target only because a router that ranks before it
    /// does not reply, and may go on counting for others.
    #[must_use]
    pub fn is_substitute(&self, now: Instant, target: u32) -> bool {
        let Some((_, own)) = self.own else { return false };
        let own = score(own, target);
        self.routers.values().any(|router| {
            router.outage.is_some()
                && self.has_joined(now, router)
                && router.leaving.is_none()
                && score(router.hash, target) > own
        })
    }

    /// Random number of the process that sent the last message of a router, if there was one.
    #[must_use]
    pub fn incarnation(&self, address: SocketAddr) -> Option<u32> {
        self.routers.get(&address)?.incarnation
    }

    /// Number of known routers, and of those that reply, this router included in both.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let replying = self.routers.values().filter(|router| router.outage.is_none()).count();
        (1 + self.routers.len(), 1 + replying)
    }

    /// Number of known routers whose addresses sort before this router's.
    #[must_use]
    pub fn own_index(&self) -> usize {
        self.own.map_or(0, |(own, _)| self.routers.range(..own).count())
    }

    fn is_eligible(&self, now: Instant, router: &Router) -> bool {
        self.has_joined(now, router) && router.outage.is_none() && router.leaving.is_none()
    }

    fn has_joined(&self, now: Instant, router: &Router) -> bool {
        // When a whole fleet starts, every router is new: routers that are added shortly after the
        // start of this router need not wait.
        let initial = self.started.is_some_and(|started| router.added < started + JOIN_DELAY);
        initial || now.saturating_duration_since(router.added) >= JOIN_DELAY
    }

    /// When a router was last added, removed, excluded, restored or marked as leaving.
    #[must_use]
    pub const fn last_change(&self) -> Option<Instant> {
        self.last_change
    }

    /// Records a reply of a router; returns whether the router was excluded until now.
    pub fn record_reply(
        &mut self,
        now: Instant,
        address: SocketAddr,
        incarnation: u32,
        leaving: bool,
    ) -> bool {
        let Some(router) = self.routers.get_mut(&address) else { return false };
        (router.misses, router.probe_pending) = (0, false);
        let returned = router.outage.take().is_some();
        if returned {
            self.last_change = Some(now);
        }
        self.record_process(now, address, incarnation, leaving);
        returned
    }

    /// Records the process that sent a message of a router, and whether it is about to stop.
    ///
    /// The first message of a router's next process ends an outage and a stop, unless that process
    /// is about to stop as well. That process takes itself for an accountant from its start; if the
    /// others excluded it until their next probes, its targets would have two accountants.
    pub fn record_process(
        &mut self,
        now: Instant,
        address: SocketAddr,
        incarnation: u32,
        leaving: bool,
    ) {
        let Some(router) = self.routers.get_mut(&address) else { return };
        if router.incarnation.replace(incarnation) != Some(incarnation) {
            (router.misses, router.probe_pending) = (0, false);
            if router.outage.take().is_some() {
                self.last_change = Some(now);
            }
        }
        let stopping = leaving.then_some(incarnation);
        if router.leaving != stopping {
            router.leaving = stopping;
            self.last_change = Some(now);
        }
    }

    /// Records a question or probe that got no reply from a router in time; returns whether the
    /// router is excluded from now on.
    pub fn record_unanswered(&mut self, now: Instant, address: SocketAddr) -> bool {
        self.record_miss(now, address, true)
    }

    /// Records that a router does not reply to another router.
    ///
    /// Such a report counts like one unanswered question of this router.
    pub fn record_reported_miss(&mut self, now: Instant, address: SocketAddr) {
        self.record_miss(now, address, false);
    }

    fn record_miss(&mut self, now: Instant, address: SocketAddr, observed: bool) -> bool {
        let Some(router) = self.routers.get_mut(&address) else { return false };
        router.misses += 1;
        let failed = router.misses >= MAX_MISSES && router.outage.is_none();
        if failed {
            router.outage = Some(Outage {
                since: now,
                observed,
                probes: 0,
                next_probe: now + FIRST_PROBE_DELAY,
            });
            self.last_change = Some(now);
        }
        failed
    }

    /// Selects the routers to probe now: up to `count` responsive routers in round-robin order, and
    /// the excluded routers whose probe is due.
    ///
    /// Probes of the previous call that are still unanswered count as unanswered questions.
    pub fn select_probes(&mut self, now: Instant, count: usize) -> Vec<SocketAddr> {
        let unanswered: Vec<SocketAddr> = self
            .routers
            .iter()
            .filter(|(_, router)| router.probe_pending && router.outage.is_none())
            .map(|(address, _)| *address)
            .collect();
        for address in unanswered {
            self.record_unanswered(now, address);
        }
        let mut probed = self.due_probes(now);
        probed.extend(self.next_responsive(count));
        for address in &probed {
            if let Some(router) = self.routers.get_mut(address) {
                router.probe_pending = true;
            }
        }
        probed
    }

    /// Next responsive routers in round-robin order.
    fn next_responsive(&mut self, count: usize) -> Vec<SocketAddr> {
        let responsive = self.routers.iter().filter(|(_, router)| router.outage.is_none());
        let responsive: Vec<SocketAddr> = responsive.map(|(address, _)| *address).collect();
        let count = count.min(responsive.len());
        // Each router starts at another index, so that routers do not all probe the same one.
        let first = self.own.map_or(0, |(_, hash)| hash as usize).wrapping_add(self.probe_offset);
        self.probe_offset = self.probe_offset.wrapping_add(count);
        (0..count).map(|index| responsive[first.wrapping_add(index) % responsive.len()]).collect()
    }

    /// Excluded routers whose probe is due; schedules the next probe of each with exponential
    /// back-off.
    fn due_probes(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (address, router) in &mut self.routers {
            let Some(outage) = &mut router.outage else { continue };
            if now >= outage.next_probe {
                outage.probes += 1;
                let interval = FIRST_PROBE_DELAY
                    .saturating_mul(1 << outage.probes.min(8))
                    .min(MAX_PROBE_INTERVAL);
                outage.next_probe = now + interval;
                due.push(*address);
            }
        }
        due
    }

    /// Routers that recently stopped replying to this router, the latest first.
    ///
    /// Omits outages that are known only from other routers: these are not relayed.
    #[must_use]
    pub fn recent_outages(&self, now: Instant) -> Vec<SocketAddr> {
        let recent = |outage: &Outage| {
            outage.observed && now.saturating_duration_since(outage.since) < OUTAGE_REPORT_TIME
        };
        let since = |(address, router): (&SocketAddr, &Router)| {
            router.outage.filter(recent).map(|outage| (outage.since, *address))
        };
        let mut outages: Vec<(Instant, SocketAddr)> =
            self.routers.iter().filter_map(since).collect();
        outages.sort_by_key(|(since, _)| std::cmp::Reverse(*since));
        outages.into_iter().map(|(_, address)| address).collect()
    }
}
