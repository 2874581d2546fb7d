//! Data centres out of service, by the platform's list and over a restore of the platform.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Data centres out of service.
#[derive(Debug, Default)]
pub struct ClosedDataCentres {
    sets: Mutex<Sets>,
}

#[derive(Debug, Default)]
struct Sets {
    /// Data centres that the platform lists.
    listed: BTreeSet<String>,
    /// Data centres that were out of service before a restore, during the grace after it.
    kept: BTreeSet<String>,
}

impl Sets {
    fn all(&self) -> BTreeSet<String> {
        self.listed.union(&self.kept).cloned().collect()
    }
}

impl ClosedDataCentres {
    fn lock(&self) -> MutexGuard<'_, Sets> {
        self.sets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the listed data centres; returns all that are out of service.
    pub fn set_listed(&self, listed: BTreeSet<String>) -> BTreeSet<String> {
        let mut sets = self.lock();
        sets.listed = listed;
        sets.all()
    }

    /// Keeps data centres out of service until [`Self::end_grace`].
    pub fn keep(&self, data_centres: BTreeSet<String>) {
        self.lock().kept.extend(data_centres);
    }

    /// Ends the grace for a data centre that the operators have brought back into service.
    pub fn remove_kept(&self, data_centre: &str) {
        self.lock().kept.remove(data_centre);
    }

    /// Ends the grace; returns all data centres that are still out of service.
    pub fn end_grace(&self) -> BTreeSet<String> {
        let mut sets = self.lock();
        sets.kept.clear();
        sets.all()
    }
}
