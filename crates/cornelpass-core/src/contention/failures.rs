//! Requests that fail at every target.
//!
//! A request that has failed with an error response of two different targets will probably fail at
//! any other target as well: its content is at fault. Such a request is recognised by the digest of
//! its content for [`RETENTION`]. It still gets a first attempt, so that a success is noticed, but
//! no further target is spent on it.
//!
//! An error counts only if its target is otherwise sound ([`Witness`]). Otherwise two broken targets
//! would keep the most frequent requests from the targets that still work.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time after the last error for which the errors of a content are remembered.
///
/// It covers the repetition of a request by its caller, and is short because the cause of the
/// errors may be removed at any time.
pub const RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of contents that are remembered; they take less than 200 KB.
pub const MAX_CONTENTS: usize = 1_024;

/// Number of targets whose errors show that a content fails everywhere.
const TARGETS: usize = 2;

/// Target that returned an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Witness {
    /// Short hash of the target's name.
    pub target: u32,
    /// Whether the target answers most of its other requests.
    pub is_sound: bool,
}

/// What the errors of a content show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// Another target may answer the request.
    Unknown,
    /// The request fails everywhere, as is known from now on.
    NewlyKnown,
    /// The request fails everywhere.
    Known,
}

impl Verdict {
    /// Whether the request fails everywhere.
    #[must_use]
    pub const fn fails_everywhere(self) -> bool {
        !matches!(self, Self::Unknown)
    }
}

/// Errors of one content.
#[derive(Clone, Debug)]
struct Errors {
    targets: BTreeSet<u32>,
    last: Instant,
}

impl Errors {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) < RETENTION
    }
}

/// Contents that failed recently, by their digests.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    contents: BTreeMap<u64, Errors>,
}

impl Failures {
    /// Records an error response to a request with this content.
    pub fn record_error(&mut self, now: Instant, digest: u64, witness: Witness) -> Verdict {
        let known = self.contents.get(&digest).filter(|errors| errors.is_recent(now));
        let was_known = known.is_some_and(|errors| errors.targets.len() >= TARGETS);
        if !witness.is_sound {
            return if was_known { Verdict::Known } else { Verdict::Unknown };
        }
        if known.is_none() {
            self.contents.remove(&digest);
            self.make_room(now);
        }
        let errors = self
            .contents
            .entry(digest)
            .or_insert_with(|| Errors { targets: BTreeSet::new(), last: now });
        errors.last = now;
        if errors.targets.len() < TARGETS {
            errors.targets.insert(witness.target);
        }
        match errors.targets.len() >= TARGETS {
            true if was_known => Verdict::Known,
            true => Verdict::NewlyKnown,
            false => Verdict::Unknown,
        }
    }

    /// Records that a request with this content was answered without an error.
    pub fn record_answer(&mut self, digest: u64) {
        self.contents.remove(&digest);
    }

    /// Number of contents that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.contents.len()
    }

    /// Whether no content is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Removes old contents, and the oldest one if there is no room for another.
    fn make_room(&mut self, now: Instant) {
        if self.contents.len() < MAX_CONTENTS {
            return;
        }
        self.contents.retain(|_, errors| errors.is_recent(now));
        if self.contents.len() >= MAX_CONTENTS {
            let oldest = self.contents.iter().min_by_key(|(_, errors)| errors.last);
            if let Some(digest) = oldest.map(|(digest, _)| *digest) {
                self.contents.remove(&digest);
            }
        }
    }
}
