//! Messages about a rollout to other routers, and when they are sent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::evidence::Evidence;
use super::trial::Trial;
use super::verdict::Verdict;
use super::{Message, Routers, Step};
use crate::accounting::message::Stamp;

/// Interval of the heartbeats of the deciding router to the other counting routers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two messages with changed counts of the new version.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two messages with changed counts of the old version only, for each
/// [`ROUTERS_PER_INTERVAL`] routers.
const OLD_EVIDENCE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of routers whose messages a counting router receives in [`OLD_EVIDENCE_INTERVAL`].
const ROUTERS_PER_INTERVAL: usize = 40;

/// Longest time between two messages: the reply to one tells a router that missed the verdict.
const MAX_EVIDENCE_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two requests for the state.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// Times after a change of the state at which all routers are told, since datagrams may be lost.
const ANNOUNCEMENTS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(1_000),
];

impl Trial {
    /// Adds the messages that are due.
    pub(super) fn add_messages(
        &mut self,
        now: Instant,
        acts: bool,
        routers: &Routers<'_>,
        counting: &[SocketAddr],
        steps: &mut Vec<Step>,
    ) {
        let mut send = |to: Vec<SocketAddr>, message| {
            if !to.is_empty() {
                steps.push(Step::Send { to, message });
            }
        };
        if let Some((at, count)) = self.announced
            && ANNOUNCEMENTS
                .get(count)
                .is_some_and(|delay| now.saturating_duration_since(at) >= *delay)
        {
            self.announced = Some((at, count + 1));
            send(routers.all.to_vec(), Message::Verdict(self.verdict(now)));
        }
        let others: Vec<SocketAddr> =
            counting.iter().copied().filter(|address| *address != routers.own).collect();
        if self.state.is_final() {
            return;
        }
        let elapsed =
            |at: Option<Instant>| at.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        if acts && self.confirmed && elapsed(self.heartbeat_at) >= HEARTBEAT_INTERVAL {
            self.heartbeat_at = Some(now);
            send(others.clone(), Message::Verdict(self.verdict(now)));
        }
        if self.is_evidence_due(elapsed(self.sent_at), routers.members) {
            self.sent_at = Some(now);
            send(others, Message::Evidence(self.build_evidence(now, routers.incarnation)));
        }
    }

    fn is_evidence_due(&self, elapsed: Duration, members: usize) -> bool {
        let periods = u32::try_from(members / ROUTERS_PER_INTERVAL).unwrap_or(u32::MAX).max(1);
        let old_interval = OLD_EVIDENCE_INTERVAL.saturating_mul(periods);
        let keep_alive = MAX_EVIDENCE_INTERVAL.max(old_interval);
        let interval = if !self.confirmed {
            ASK_INTERVAL
        } else if self.counter.has_changed(true) {
            EVIDENCE_INTERVAL
        } else if self.counter.has_changed(false) {
            old_interval
        } else {
            keep_alive
        };
        elapsed >= interval
    }

    fn build_evidence(&mut self, now: Instant, incarnation: u32) -> Evidence {
        self.number += 1;
        let Verdict { service, order, content, age_ms, state } = self.verdict(now);
        let stamp = Stamp { incarnation, number: self.number };
        let (asks, lines) = (!self.confirmed, self.counter.take_lines(self.number));
        Evidence { service, order, content, age_ms, state, asks, stamp, lines }
    }
}
