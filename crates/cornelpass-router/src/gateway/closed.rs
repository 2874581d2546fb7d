//! Data centres out of service, by the platform's list and over a restore of the platform.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Data centres out of service.
#[derive(Debug, Default)]
pub struct ClosedDataCentres {
    sets: Mutex<Sets>,
}

#[derive(Debug, Default)]
struct Sets {
    /// Data centres that the platform lists.
    listed: BTreeSet<String>,
    /// Data centres that were out of service before a restore, each with the end of the grace after
    /// it.
    kept: BTreeMap<String, Instant>,
}

impl ClosedDataCentres {
    fn lock(&self) -> MutexGuard<'_, Sets> {
        self.sets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the listed data centres.
    pub fn set_listed(&self, listed: BTreeSet<String>) {
        self.lock().listed = listed;
    }

    /// Keeps a data centre out of service until a time, or until a later one if it is kept already.
    pub fn keep(&self, data_centre: &str, until: Instant) {
        let mut sets = self.lock();
        let kept_until = sets.kept.entry(data_centre.to_owned()).or_insert(until);
        *kept_until = until.max(*kept_until);
    }

    /// Ends the grace for a data centre that the operators have brought back into service.
    pub fn remove_kept(&self, data_centre: &str) {
        self.lock().kept.remove(data_centre);
    }

    /// Data centres that are kept out of service after a restore, each with the time that is left.
    pub fn kept(&self, now: Instant) -> BTreeMap<String, Duration> {
        let sets = self.lock();
        let left = sets.kept.iter().map(|(data_centre, until)| {
            (data_centre.clone(), until.saturating_duration_since(now))
        });
        left.filter(|(_, left)| !left.is_zero()).collect()
    }

    /// All data centres that are out of service.
    pub fn all(&self, now: Instant) -> BTreeSet<String> {
        let kept = self.kept(now);
        self.lock().listed.iter().chain(kept.keys()).cloned().collect()
    }
}
