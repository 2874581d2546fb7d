//! Urgency class of a request among those of its service.
//!
//! The classes of a service are the distinct priorities that its requests can have in the active
//! configuration: those of its routes, for organisations without a priority and for anonymous
//! callers, and those of the organisations. Classes matter only where they differ. Messages and
//! headers carry an urgency instead of the priority: the classes of a service are spread over 0 to
//! [`MAX_URGENCY`], so that a service with two classes uses both ends whatever their priorities.

use std::collections::{BTreeMap, BTreeSet};

use crate::gateway_config::Config;

/// Least urgent urgency.
pub const MAX_URGENCY: u8 = 9;

/// Urgency of a request of which none is known.
pub const MIDDLE_URGENCY: u8 = 5;

/// Classes of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Service {
    /// Distinct priorities, the most urgent first.
    priorities: Vec<u8>,
    /// Whether the targets are engines.
    is_engine: bool,
}

/// Classes of all services of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Classes {
    /// Services whose classes differ.
    services: BTreeMap<String, Service>,
    has_several_organisations: bool,
}

impl Classes {
    /// Classes of a configuration.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let organisations = config.organisations.values();
        let overriding: BTreeSet<u8> = organisations.filter_map(|row| row.priority).collect();
        let some_inherit = config.organisations.values().any(|row| row.priority.is_none());
        let mut priorities: BTreeMap<&str, BTreeSet<u8>> = BTreeMap::new();
        for route in config.routes.iter() {
            let inherits =
                some_inherit || route.anonymous || !config.requires_key || overriding.is_empty();
            for share in route.shares.iter().filter(|share| share.weight > 0) {
                let priorities = priorities.entry(&share.service).or_default();
                priorities.extend(&overriding);
                priorities.extend(inherits.then_some(route.priority));
            }
        }
        let differing = priorities.into_iter().filter(|(_, priorities)| priorities.len() > 1);
        let services = differing.map(|(name, priorities)| {
            let is_engine = config.services.get(name).is_some_and(|row| row.engine.is_some());
            let priorities = priorities.into_iter().collect();
            (name.to_owned(), Service { priorities, is_engine })
        });
        Self {
            services: services.collect(),
            has_several_organisations: config.organisations.len() > 1,
        }
    }

    /// Whether the requests of a service differ in priority.
    #[must_use]
    pub fn differ(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Whether there are several organisations.
    #[must_use]
    pub const fn has_several_organisations(&self) -> bool {
        self.has_several_organisations
    }

    /// Urgency of a priority among those of a service, from 0 to [`MAX_URGENCY`]; none if the
    /// service's priorities do not differ.
    ///
    /// A priority that does not occur, which a request from before a change of the configuration
    /// can have, counts as the next less urgent one.
    #[must_use]
    pub fn urgency(&self, service: &str, priority: u8) -> Option<u8> {
        let priorities = &self.services.get(service)?.priorities;
        let last = priorities.len() - 1;
        let index = priorities.partition_point(|other| *other < priority).min(last);
        u8::try_from(index * usize::from(MAX_URGENCY) / last).ok()
    }

    /// Urgency that an engine is told, under the same terms; none if the targets of the service are
    /// no engines.
    #[must_use]
    pub fn engine_urgency(&self, service: &str, priority: u8) -> Option<u8> {
        let is_engine = self.services.get(service)?.is_engine;
        self.urgency(service, priority).filter(|_| is_engine)
    }

    /// Priorities of the services whose requests differ, the most urgent first.
    pub fn differing(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.services.iter().map(|(name, service)| (name.as_str(), service.priorities.as_slice()))
    }
}
