//! Which router counts the work at a target, as one router sees it.
//!
//! All routers rank the same list by the same hash, so that they agree without a message while they
//! know the same routers. One that does not answer is passed over until it answers a probe, and one
//! that was just added waits until the others know it too. While views differ, a target has two
//! accountants for some seconds, and each may count a part of the load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::digest;

/// Time after which a router tells the accountants again what it has in progress.
pub const REFRESH: Duration = Duration::from_secs(1);

/// Time between two looks at what is to be told and asked.
pub const LOOK: Duration = Duration::from_millis(500);

/// Routers that are probed each [`LOOK`].
pub const PROBED: usize = 3;

/// Time for which a router counts before it can know what all others have in progress.
pub const LEARN: Duration = Duration::from_millis(1_500);

/// Time after which a router that was added takes part: as long as it takes all others to know it.
pub const JOIN: Duration = Duration::from_secs(3);

/// Unanswered questions in a row after which a router is passed over.
pub const MISSES: u32 = 2;

/// Time after which a router that is passed over is probed first.
pub const FIRST_PROBE: Duration = Duration::from_millis(500);

/// Longest time between two probes.
pub const MAX_PROBE: Duration = Duration::from_secs(8);

/// Time for which a router tells the others of one that stopped answering: later, that may be over.
pub const HINT_AGE: Duration = Duration::from_millis(1_500);

/// Probes in a row that were not answered.
#[derive(Clone, Copy, Debug)]
struct Silence {
    since: Instant,
    /// Whether this router itself got no answer, rather than another one.
    own: bool,
    probes: u32,
    next: Instant,
}

/// What is known of another router as an accountant.
#[derive(Clone, Copy, Debug)]
struct Contact {
    hash: u64,
    since: Instant,
    misses: u32,
    silence: Option<Silence>,
    /// Process that is about to stop.
    leaving: Option<u32>,
    /// Whether a probe has not been answered yet.
    probed: bool,
}

/// Who counts for a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accountant {
    /// This router.
    Own,
    /// Another one, at an address for datagrams.
    Other(SocketAddr),
}

/// The routers that count.
#[derive(Clone, Debug, Default)]
pub struct Accountants {
    own: Option<(SocketAddr, u64)>,
    contacts: BTreeMap<SocketAddr, Contact>,
    /// When this router began, or its view of the others last changed.
    changed: Option<Instant>,
    begun: Option<Instant>,
    /// Routers that were asked in turn so far.
    turn: usize,
}

fn hash(address: SocketAddr) -> u64 {
    digest::key(&address.to_string())
}

fn score(router: u64, target: u32) -> u64 {
    xxh3_64_with_seed(&target.to_le_bytes(), router)
}

impl Accountants {
    /// The accountants as a router at an address sees them.
    #[must_use]
    pub fn of(own: SocketAddr) -> Self {
        Self { own: Some((own, hash(own))), ..Self::default() }
    }

    /// A router that the platform, the settings or another router name.
    pub fn name(&mut self, now: Instant, address: SocketAddr) {
        self.begun.get_or_insert(now);
        let own = self.own.is_some_and(|(own, _)| own == address);
        if own || self.contacts.contains_key(&address) {
            return;
        }
        let contact = Contact {
            hash: hash(address),
            since: now,
            misses: 0,
            silence: None,
            leaving: None,
            probed: false,
        };
        self.contacts.insert(address, contact);
        self.changed = Some(now);
    }

    /// Keeps only routers that are still known.
    pub fn retain(&mut self, now: Instant, known: impl Fn(SocketAddr) -> bool) {
        let before = self.contacts.len();
        self.contacts.retain(|address, _| known(*address));
        if self.contacts.len() != before {
            self.changed = Some(now);
        }
    }

    /// Who counts for a target.
    #[must_use]
    pub fn of_target(&self, now: Instant, target: u32) -> Accountant {
        self.of_target_but(now, target, &[])
    }

    /// Who counts for a target if some routers do not.
    #[must_use]
    pub fn of_target_but(&self, now: Instant, target: u32, but: &[SocketAddr]) -> Accountant {
        let others = self.contacts.iter().filter(|(_, contact)| self.takes_part(now, contact));
        let others = others.filter(|(address, _)| !but.contains(address));
        let others = others
            .map(|(address, contact)| (score(contact.hash, target), Accountant::Other(*address)));
        let own = self.own.map(|(_, hash)| (score(hash, target), Accountant::Own));
        let best = others.chain(own).max_by_key(|(score, _)| *score);
        best.map_or(Accountant::Own, |(_, accountant)| accountant)
    }

    fn takes_part(&self, now: Instant, contact: &Contact) -> bool {
        // All are new when a fleet starts.
        let founder = self.begun.is_some_and(|begun| contact.since < begun + JOIN);
        let joined = founder || now.saturating_duration_since(contact.since) >= JOIN;
        joined && contact.silence.is_none() && contact.leaving.is_none()
    }

    /// When this router's view of the others last changed.
    #[must_use]
    pub const fn changed(&self) -> Option<Instant> {
        self.changed
    }

    /// A router has answered; returns whether it was passed over until now.
    pub fn answered(
        &mut self,
        now: Instant,
        address: SocketAddr,
        incarnation: u32,
        leaving: bool,
    ) -> bool {
        let Some(contact) = self.contacts.get_mut(&address) else { return false };
        (contact.misses, contact.probed) = (0, false);
        let returned = contact.silence.take().is_some();
        if returned {
            self.changed = Some(now);
        }
        self.heard(now, address, incarnation, leaving);
        returned
    }

    /// A router has told which process it runs, and whether that is about to stop.
    pub fn heard(&mut self, now: Instant, address: SocketAddr, incarnation: u32, leaving: bool) {
        let Some(contact) = self.contacts.get_mut(&address) else { return };
        let leaves = leaving.then_some(incarnation);
        if contact.leaving != leaves {
            contact.leaving = leaves;
            self.changed = Some(now);
        }
    }

    /// A router has not answered in time; returns whether it is passed over from now on.
    pub fn unanswered(&mut self, now: Instant, address: SocketAddr) -> bool {
        self.miss(now, address, true)
    }

    /// Another router says that one does not answer it, which counts like a question of this router's
    /// own.
    pub fn hinted(&mut self, now: Instant, address: SocketAddr) {
        self.miss(now, address, false);
    }

    fn miss(&mut self, now: Instant, address: SocketAddr, own: bool) -> bool {
        let Some(contact) = self.contacts.get_mut(&address) else { return false };
        contact.misses += 1;
        let silent = contact.misses >= MISSES && contact.silence.is_none();
        if silent {
            contact.silence = Some(Silence { since: now, own, probes: 0, next: now + FIRST_PROBE });
            self.changed = Some(now);
        }
        silent
    }

    /// Routers that are to be probed now: some of those that answer, others each time, and silent ones
    /// whose time has come.
    ///
    /// Probes of the last time that were not answered count as unanswered questions.
    pub fn probes(&mut self, now: Instant, count: usize) -> Vec<SocketAddr> {
        let unanswered: Vec<SocketAddr> = self
            .contacts
            .iter()
            .filter(|(_, contact)| contact.probed && contact.silence.is_none())
            .map(|(address, _)| *address)
            .collect();
        for address in unanswered {
            self.unanswered(now, address);
        }
        let mut probed = self.due(now);
        probed.extend(self.some(count));
        for address in &probed {
            if let Some(contact) = self.contacts.get_mut(address) {
                contact.probed = true;
            }
        }
        probed
    }

    /// Some routers that answer, others each time.
    fn some(&mut self, count: usize) -> Vec<SocketAddr> {
        let answering = self.contacts.iter().filter(|(_, contact)| contact.silence.is_none());
        let answering: Vec<SocketAddr> = answering.map(|(address, _)| *address).collect();
        let count = count.min(answering.len());
        // Each router begins at a place of its own.
        let first = self.own.map_or(0, |(_, hash)| hash as usize).wrapping_add(self.turn);
        self.turn = self.turn.wrapping_add(count);
        (0..count).map(|place| answering[first.wrapping_add(place) % answering.len()]).collect()
    }

    /// Silent routers whose time for a probe has come.
    fn due(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (address, contact) in &mut self.contacts {
            let Some(silence) = &mut contact.silence else { continue };
            if now >= silence.next {
                silence.probes += 1;
                let pause = FIRST_PROBE.saturating_mul(1 << silence.probes.min(8)).min(MAX_PROBE);
                silence.next = now + pause;
                due.push(*address);
            }
        }
        due
    }

    /// Routers that have lately stopped answering this one, the latest first.
    #[must_use]
    pub fn silent(&self, now: Instant) -> Vec<SocketAddr> {
        let lately = |silence: &Silence| {
            silence.own && now.saturating_duration_since(silence.since) < HINT_AGE
        };
        let since = |(address, contact): (&SocketAddr, &Contact)| {
            contact.silence.filter(lately).map(|silence| (silence.since, *address))
        };
        let mut silent: Vec<(Instant, SocketAddr)> =
            self.contacts.iter().filter_map(since).collect();
        silent.sort_by_key(|(since, _)| std::cmp::Reverse(*since));
        silent.into_iter().map(|(_, address)| address).collect()
    }
}
