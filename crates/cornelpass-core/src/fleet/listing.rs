//! What a router tells operators and other modules about its targets: summaries, changes of listings
//! and silences.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::Fleet;
use super::health::Standing;
use super::row::{Row, State};

/// Summary of one target for operators.
#[derive(Clone, Debug)]
pub struct Summary<'a> {
    /// Name of the target.
    pub name: &'a str,
    /// Last known row.
    pub row: &'a Row,
    /// Whether the platform lists the target now.
    pub listed: bool,
    /// Health of the target as this router sees it.
    pub standing: Standing,
    /// Requests of all routers in progress there.
    pub load: u32,
}

/// Listing of a target on the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Listing {
    /// Listed, and accepts new requests.
    Ready,
    /// Listed, and about to stop.
    Leaving,
    /// Not listed.
    Missing,
}

/// Change of a target's listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListingChange {
    /// Name of the target.
    pub target: String,
    /// New listing.
    pub listing: Listing,
    /// Revision of the row.
    pub revision: u64,
    /// Router that reported the change; none if the platform did.
    pub reported_by: Option<SocketAddr>,
}

/// Requests of this router in progress at a target, and the time without a response.
///
/// Also used for a target that has restarted while requests were in progress there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Name of the target.
    pub target: String,
    /// Address of the target.
    pub address: SocketAddr,
    /// Requests of this router in progress.
    pub open_requests: u32,
    /// Time since the last response, or since requests have been in progress without interruption
    /// if that is shorter.
    pub duration: Duration,
}

impl Fleet {
    /// Takes the changes of listings since the last call.
    pub fn take_listing_changes(&mut self) -> Vec<ListingChange> {
        std::mem::take(&mut self.listing_changes)
    }

    /// Queues the current listing of a target for [`Self::take_listing_changes`].
    pub(super) fn queue_listing_change(&mut self, name: &str, reported_by: Option<SocketAddr>) {
        let Some(record) = self.records.get(name) else { return };
        let listing = match (record.missing_since, record.row.state) {
            (Some(_), _) => Listing::Missing,
            (None, State::Ready) => Listing::Ready,
            (None, State::Leaving) => Listing::Leaving,
        };
        let (target, revision) = (name.to_owned(), record.revision);
        self.listing_changes.push(ListingChange { target, listing, revision, reported_by });
    }

    /// Targets with requests in progress that have not responded for longer than `time`.
    #[must_use]
    pub fn silences(&self, now: Instant, time: Duration) -> Vec<Silence> {
        let silences = self.records.iter().filter_map(|(name, record)| record.silence(now, name));
        silences.filter(|silence| silence.duration > time).collect()
    }

    /// Takes the targets that restarted while requests were in progress there, since the last call.
    pub fn take_restarted(&mut self) -> Vec<Silence> {
        std::mem::take(&mut self.restarted)
    }

    /// Summaries of all known targets, listed or missing.
    pub fn summaries(&self, now: Instant) -> impl Iterator<Item = Summary<'_>> {
        self.records.iter().map(move |(name, record)| Summary {
            name,
            row: &record.row,
            listed: record.missing_since.is_none(),
            standing: record.health.standing(now),
            load: self.load(name, now),
        })
    }
}
