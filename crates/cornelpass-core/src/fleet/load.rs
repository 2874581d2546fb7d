//! Work of this router in progress, by target.

use std::collections::BTreeMap;

use crate::report;

/// Requests of this router in progress, by target.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    own: BTreeMap<String, u32>,
}

impl Loads {
    /// Counts a request that was sent to a target.
    pub fn sent(&mut self, target: &str) {
        *self.own.entry(target.to_owned()).or_default() += 1;
    }

    /// Counts a request that has ended there.
    pub fn ended(&mut self, target: &str) {
        if let Some(load) = self.own.get_mut(target) {
            *load = load.saturating_sub(1);
            if *load == 0 {
                self.own.remove(target);
            }
        }
    }

    /// Requests in progress at a target.
    #[must_use]
    pub fn of(&self, target: &str) -> u32 {
        self.own.get(target).copied().unwrap_or_default()
    }

    /// Requests in progress, as they are told.
    #[must_use]
    pub fn list(&self) -> Vec<(u32, u16)> {
        let item = |(name, load): (&String, &u32)| {
            (report::short(name), u16::try_from(*load).unwrap_or(u16::MAX))
        };
        self.own.iter().map(item).collect()
    }
}
