//! Source of time as a trait, so that tests can set the time.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// Longest time that [`after`] adds: a year.
///
/// Durations come from rows and messages of others, and a sum over the range of [`Instant`] panics.
pub const MAX_TIMER: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// Time `duration` after `now`; a duration over [`MAX_TIMER`] counts as that.
#[must_use]
pub fn after(now: Instant, duration: Duration) -> Instant {
    now + duration.min(MAX_TIMER)
}

/// Source of time.
pub trait Clock: Send + Sync {
    /// Monotonic time.
    fn now(&self) -> Instant;
    /// Wall-clock time, for logs and stored records only, as it may jump.
    fn wall(&self) -> SystemTime;
}

/// Clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Clock for tests that advances only by [`Manual::advance`].
#[derive(Debug)]
pub struct Manual {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl Manual {
    /// Creates a clock at an arbitrary monotonic time, and at the Unix epoch as wall-clock time.
    #[must_use]
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed: Mutex::new(Duration::ZERO) }
    }

    /// Advances the monotonic and the wall-clock time by the same duration.
    pub fn advance(&self, by: Duration) {
        let mut elapsed = self.elapsed.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        *elapsed += by;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Default for Manual {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
