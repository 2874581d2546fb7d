//! Accountants that do not reply to demands: routers of the previous release, while a release is
//! in progress.
//!
//! Such a router ignores a [`crate::accounting::message::Demand`], but replies to a
//! [`crate::accounting::message::Question`]. A process that has replied to a demand is always sent
//! demands, since single datagrams are lost now and then. One that has not is asked questions for
//! some time after each unanswered demand; the reply to one shows that it is running, so that it is
//! not excluded as an accountant.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after the first unanswered demand until the next one; it doubles with each.
///
/// A request waits for the time limit of a question each time.
pub const FIRST_RETRY: Duration = Duration::from_millis(500);

/// Longest time between two demands to a process that answers none.
pub const MAX_RETRY: Duration = Duration::from_secs(30);

/// Time after which the state of a router that is not asked any more is dropped.
const LIFETIME: Duration = Duration::from_secs(600);

/// Whether a router replies to demands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Support {
    /// The process with this incarnation has replied to one.
    Known(u32),
    /// This number of demands in a row were unanswered.
    Unknown(u32),
}

/// Routers that demands were sent to.
#[derive(Clone, Debug, Default)]
pub struct Compatibility {
    /// Support of each router, and when it was last seen or missed.
    routers: BTreeMap<SocketAddr, (Support, Instant)>,
}

impl Compatibility {
    /// Whether a demand may be sent to a router.
    #[must_use]
    pub fn accepts_demands(&self, now: Instant, router: SocketAddr) -> bool {
        match self.routers.get(&router) {
            None | Some((Support::Known(_), _)) => true,
            Some((Support::Unknown(misses), last)) => {
                let interval = FIRST_RETRY.saturating_mul(1 << misses.saturating_sub(1).min(8));
                now.saturating_duration_since(*last) >= interval.min(MAX_RETRY)
            }
        }
    }

    /// Records a message of a router's process, which may be a reply to a demand.
    pub fn record_message(
        &mut self,
        now: Instant,
        router: SocketAddr,
        incarnation: u32,
        replies_to_demand: bool,
    ) {
        let known = Support::Known(incarnation);
        match self.routers.get(&router) {
            _ if replies_to_demand => {
                self.routers.insert(router, (known, now));
            }
            // The router has restarted, perhaps with another release.
            Some((support @ Support::Known(_), _)) if *support != known => {
                self.routers.remove(&router);
            }
            _ => {}
        }
    }

    /// Records a demand without a reply.
    pub fn record_miss(&mut self, now: Instant, router: SocketAddr) {
        let support = match self.routers.get(&router) {
            Some((Support::Known(_), _)) => return,
            Some((Support::Unknown(misses), _)) => Support::Unknown(misses.saturating_add(1)),
            None => Support::Unknown(1),
        };
        self.routers.insert(router, (support, now));
    }

    /// Drops the routers that are not asked any more.
    pub fn expire(&mut self, now: Instant) {
        self.routers.retain(|_, (_, last)| now.saturating_duration_since(*last) < LIFETIME);
    }
}
