//! What a target asks of this router in its own answers.
//!
//! A target that is about to stop says so in every answer, often before the platform's list does, and
//! a busy one may name a time for which it wants nothing. Both concern the router that got the answer
//! and hold whatever the list says: only a new start of the target takes them back.

use std::time::{Duration, Instant};

/// Longest time for which a target's wish is heeded.
///
/// Longer ones are taken for a mistake: a target that wants nothing for so long leaves the list.
pub const MAX_REST: Duration = Duration::from_secs(600);

/// What the head of an answer asks of the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// The target is about to stop.
    pub leaving: bool,
    /// Time for which it wants nothing from this router.
    pub rest: Option<Duration>,
}

/// What changes by a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// Nothing.
    Known,
    /// The target leaves.
    Leaves,
    /// The target wants nothing for a time.
    Rests,
}

/// What a target has asked for so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Wish {
    leaving: bool,
    rest: Option<Instant>,
}

impl Wish {
    /// Takes what an answer asks for.
    pub(super) fn take(&mut self, now: Instant, notice: Notice) -> Change {
        if let Some(rest) = notice.rest {
            let until = now + rest.min(MAX_REST);
            self.rest = self.rest.max(Some(until));
        }
        match notice {
            Notice { leaving: true, .. } if !self.leaving => {
                self.leaving = true;
                Change::Leaves
            }
            Notice { rest: Some(_), .. } => Change::Rests,
            _ => Change::Known,
        }
    }

    /// Whether the target is about to stop.
    pub(super) const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Time for which it still wants nothing.
    pub(super) fn rest(&self, now: Instant) -> Option<Duration> {
        let left = self.rest?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }
}
