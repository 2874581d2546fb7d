//! The other routers: who they are, and what each last told.
//!
//! A router is known from the platform's list, from the settings, or because it told something.
//! What it told counts for a few of its periods; its place in the division of budgets and cold rates
//! is kept for longer, since a router that can not be heard may still send requests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::report::{self, Report};

/// Time for which what a router told counts, in its periods.
const PERIODS: u32 = 4;

/// Shortest such time.
const LEAST_LIFETIME: Duration = Duration::from_millis(600);

/// Time after which a router that tells nothing does not count in divisions any more.
pub const MEMBER_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a router that tells nothing is still told, and may come back.
pub const FORGET_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest pause between two answers of the platform to others over which it counts as there.
const CONTACT_GAP: Duration = Duration::from_secs(3);

/// Time in which routers that the platform did not answer all hear it again: their longest pause between
/// two calls, and an answer.
const RETURN_SPREAD: Duration = Duration::from_millis(2_500);

/// What is known of another router.
#[derive(Clone, Debug)]
struct Peer {
    /// When it was last heard of, by a report or by the platform's list.
    known: Instant,
    heard: Option<Instant>,
    /// When it last told something, also if it is silent since.
    reported: Option<Instant>,
    period: Duration,
    report: Report,
    changes: Changes,
}

/// Which of another router's numbered changes have arrived.
#[derive(Clone, Debug, Default)]
struct Changes {
    /// All up to this number have arrived, or are known from the platform.
    whole: u32,
    /// Those after it that have arrived.
    beyond: BTreeSet<u32>,
    /// Since when some are missing.
    missing: Option<Instant>,
    /// Changes after this revision of the platform have arrived if all numbers have.
    from: u64,
}

impl Changes {
    /// Those of a router that is heard for the first time.
    fn first(report: &Report) -> Self {
        let all = u32::try_from(report.changes.len()) == Ok(report.changed);
        let to = report.span.map_or(0, |span| span.to);
        match all {
            true => Self::default(),
            // Earlier ones are not asked for by their numbers.
            false => Self { whole: report.changed, from: to, ..Self::default() },
        }
    }

    fn take(&mut self, now: Instant, report: &Report) {
        self.beyond.extend(report.changes.iter().map(|change| change.number));
        while self.beyond.remove(&(self.whole + 1)) {
            self.whole += 1;
        }
        self.beyond.retain(|number| *number > self.whole);
        if report.changed > self.whole {
            self.missing.get_or_insert(now);
        } else {
            self.missing = None;
        }
    }
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// The router was not known, or has started again.
    Joined,
    /// The router is back after it was silent.
    Returned,
    /// Nothing but the report itself.
    Usual,
    /// It is older than the last one.
    Stale,
}

/// The other routers.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// This router's own address, which others may tell.
    own: Option<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    /// All changes of targets up to this revision of the platform are known.
    covered: u64,
    /// When the platform told somebody of the last of them.
    covered_at: Option<Instant>,
    /// Between when the platform has told others without a long pause, as far as they said.
    contact: Option<(Instant, Instant)>,
}

impl Peers {
    /// No other routers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The other routers of one at an address.
    #[must_use]
    pub fn of(own: SocketAddr) -> Self {
        Self { own: Some(own), ..Self::default() }
    }

    /// This router's own address.
    #[must_use]
    pub const fn own(&self) -> Option<SocketAddr> {
        self.own
    }

    /// A router that the platform, the settings or another router name.
    pub fn name(&mut self, now: Instant, address: SocketAddr) {
        if self.own == Some(address) {
            return;
        }
        let (period, report) = (report::MIN_PERIOD, Report::default());
        let changes = Changes::default();
        let (heard, reported) = (None, None);
        let fresh = Peer { known: now, heard, reported, period, report, changes };
        self.peers.entry(address).or_insert(fresh).known = now;
    }

    /// Takes a report.
    pub fn take(&mut self, now: Instant, address: SocketAddr, report: Report) -> News {
        if self.own == Some(address) {
            return News::Stale;
        }
        let Some(peer) = self.peers.get_mut(&address) else {
            let period = report::MIN_PERIOD;
            let mut changes = Changes::first(&report);
            changes.take(now, &report);
            let (heard, reported) = (Some(now), Some(now));
            let peer = Peer { known: now, heard, reported, period, report, changes };
            self.peers.insert(address, peer);
            self.contact(now, address);
            self.cover(now, address);
            return News::Joined;
        };
        let restarted = peer.report.incarnation != report.incarnation;
        if !restarted && report.sequence <= peer.report.sequence {
            return News::Stale;
        }
        let news = match peer.heard {
            _ if restarted => News::Joined,
            Some(heard) if now.saturating_duration_since(heard) <= peer.lifetime() => News::Usual,
            _ => News::Returned,
        };
        // Also after a silence that was taken for a loss: a router of a large fleet tells seldom.
        if let Some(reported) = peer.reported.filter(|_| !restarted) {
            let gap = now.saturating_duration_since(reported).min(report::MAX_PERIOD);
            peer.period = (peer.period * 3 + gap) / 4;
        }
        if restarted {
            peer.changes = Changes::first(&report);
        }
        peer.changes.take(now, &report);
        (peer.known, peer.heard, peer.reported) = (now, Some(now), Some(now));
        peer.report = report;
        self.contact(now, address);
        self.cover(now, address);
        news
    }

    /// Takes when the platform told a router.
    fn contact(&mut self, now: Instant, address: SocketAddr) {
        let Some(peer) = self.peers.get(&address) else { return };
        let listed_ms = peer.report.listed_ms;
        let age = Duration::from_millis(u64::from(listed_ms));
        let Some(at) = now.checked_sub(age).filter(|_| listed_ms < report::MAX_AGE_MS) else {
            return;
        };
        self.contact = match self.contact {
            Some((since, last)) if at.saturating_duration_since(last) <= CONTACT_GAP => {
                Some((since, last.max(at)))
            }
            _ => Some((at, at)),
        };
    }

    /// Whether the platform told others in a time up to now, other than at its end: where all hear it again
    /// at once, some do a moment before others.
    #[must_use]
    pub fn was_told(&self, now: Instant, time: Duration) -> bool {
        self.contact.is_some_and(|(since, last)| {
            let ago = |at: Instant| now.saturating_duration_since(at);
            ago(last) < time && ago(since) > RETURN_SPREAD
        })
    }

    /// Takes the revisions between which a router has numbered changes, if all of these have arrived.
    fn cover(&mut self, now: Instant, address: SocketAddr) {
        let Some(peer) = self.peers.get(&address) else { return };
        let Some(span) = peer.report.span else { return };
        let from = span.from.max(peer.changes.from);
        let whole = peer.changes.missing.is_none() && from <= self.covered;
        if whole && span.to >= self.covered {
            let age = Duration::from_millis(u64::from(peer.report.listed_ms));
            let at = now.checked_sub(age);
            self.covered = span.to;
            self.covered_at = self.covered_at.max(at);
        }
    }

    /// Whether nobody has told for a time all that the platform tells.
    ///
    /// So it is where the routers that asked often are all replaced at once, though their successors ask
    /// often as well: what changed before these began has no number.
    #[must_use]
    pub fn is_behind(&self, now: Instant, time: Duration) -> bool {
        self.covered_at.is_none_or(|at| now.saturating_duration_since(at) >= time)
    }

    /// Whether changes that others know have been missing for a time.
    #[must_use]
    pub fn miss_changes(&self, now: Instant, since: Duration) -> bool {
        self.peers.values().any(|peer| {
            peer.changes.missing.is_some_and(|at| now.saturating_duration_since(at) >= since)
        })
    }

    /// The platform has told this router all changes up to a revision, which the others told of so far.
    pub fn caught_up(&mut self, now: Instant, revision: u64) {
        self.covered = self.covered.max(revision);
        self.covered_at = Some(now);
        for peer in self.peers.values_mut() {
            let whole = peer.changes.whole.max(peer.report.changed);
            peer.changes = Changes { whole, from: peer.changes.from, ..Changes::default() };
        }
    }

    /// Routers that were heard and have fallen silent since the last call.
    pub fn lost(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut lost = Vec::new();
        for (address, peer) in &mut self.peers {
            let silent =
                peer.heard.is_some_and(|at| now.saturating_duration_since(at) > peer.lifetime());
            if silent {
                peer.heard = None;
                lost.push(*address);
            }
        }
        self.peers.retain(|_, peer| now.saturating_duration_since(peer.known) < FORGET_TIMEOUT);
        lost
    }

    /// Addresses of all routers that are to be told.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Routers that are heard and come before an address.
    #[must_use]
    pub fn rank(&self, now: Instant, own: SocketAddr) -> usize {
        self.peers.range(..own).filter(|(_, peer)| peer.is_live(now)).count()
    }

    /// Routers that share budgets and rates, this one included.
    #[must_use]
    pub fn members(&self, now: Instant) -> usize {
        let member = |peer: &&Peer| now.saturating_duration_since(peer.known) < MEMBER_TIMEOUT;
        1 + self.peers.values().filter(member).count()
    }

    /// What the others last told, as far as it counts.
    pub fn reports(&self, now: Instant) -> impl Iterator<Item = &Report> {
        self.peers.values().filter(move |peer| peer.is_live(now)).map(|peer| &peer.report)
    }

    /// What the others last told, with its age and its sender.
    pub fn told(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, Duration, &Report)> {
        self.peers.iter().filter(move |(_, peer)| peer.is_live(now)).map(move |(address, peer)| {
            let age = peer.heard.map(|at| now.saturating_duration_since(at)).unwrap_or_default();
            (*address, age, &peer.report)
        })
    }

    /// What the others last told, with its age and its sender, also of those that are silent since.
    pub fn last(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, Duration, &Report)> {
        self.peers.iter().filter_map(move |(address, peer)| {
            let age = now.saturating_duration_since(peer.reported?);
            Some((*address, age, &peer.report))
        })
    }

    /// Mean age of what the others last told.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        let (count, sum) = self
            .told(now)
            .fold((0_u32, Duration::ZERO), |(count, sum), told| (count + 1, sum + told.1));
        sum.checked_div(count).unwrap_or_default()
    }
}

impl Peer {
    fn lifetime(&self) -> Duration {
        (self.period * PERIODS).max(LEAST_LIFETIME)
    }

    fn is_live(&self, now: Instant) -> bool {
        self.heard.is_some_and(|at| now.saturating_duration_since(at) <= self.lifetime())
    }
}
