//! Counts that decay exponentially.

use std::time::{Duration, Instant};

/// Count whose events lose weight with their age.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    value: f64,
    updated_at: Option<Instant>,
}

impl Count {
    /// Value now, if the weight of an event falls by a factor of *e* in `time_constant`.
    #[must_use]
    pub fn value(&self, now: Instant, time_constant: Duration) -> f64 {
        let Some(at) = self.updated_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64() / time_constant.as_secs_f64();
        self.value * (-age).exp()
    }

    /// Adds an event.
    pub fn add(&mut self, now: Instant, time_constant: Duration) {
        (self.value, self.updated_at) = (self.value(now, time_constant) + 1.0, Some(now));
    }
}
