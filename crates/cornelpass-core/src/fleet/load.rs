//! Work of this router in progress, by target.

use std::collections::BTreeMap;

use crate::report;

/// Requests of this router in progress, by target.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    own: BTreeMap<String, u32>,
    /// Contents in progress, by target.
    contents: BTreeMap<String, Vec<u64>>,
}

impl Loads {
    /// Counts a request that was sent to a target, with the digest of its content.
    pub fn sent(&mut self, target: &str, content: u64) {
        *self.own.entry(target.to_owned()).or_default() += 1;
        self.contents.entry(target.to_owned()).or_default().push(content);
    }

    /// Counts a request that has ended there.
    pub fn ended(&mut self, target: &str, content: u64) {
        if let Some(load) = self.own.get_mut(target) {
            *load = load.saturating_sub(1);
            if *load == 0 {
                self.own.remove(target);
            }
        }
        if let Some(contents) = self.contents.get_mut(target) {
            if let Some(at) = contents.iter().position(|other| *other == content) {
                contents.swap_remove(at);
            }
            if contents.is_empty() {
                self.contents.remove(target);
            }
        }
    }

    /// Contents in progress at a target.
    #[must_use]
    pub fn contents(&self, target: &str) -> Vec<u64> {
        self.contents.get(target).cloned().unwrap_or_default()
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
