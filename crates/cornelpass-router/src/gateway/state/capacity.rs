//! Logs and counts what happens under contention for capacity.

use std::collections::BTreeMap;
use std::sync::MutexGuard;
use std::time::Instant;

use cornelpass_core::contention::capacity::{Change, Kind};
use cornelpass_core::contention::connections::{Resets, part};
use cornelpass_core::digest;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;

use super::{State, lock};

impl State {
    /// Targets that have reset new connections.
    pub fn resets(&self) -> MutexGuard<'_, Resets> {
        lock(&self.resets)
    }

    /// Records that a target reset a new connection before its response.
    pub fn record_reset(&self, target: &str) {
        self.metrics.capacity.count_reset();
        let newly_near = self.resets().record(self.clock.now(), target);
        if newly_near {
            log!(Code::TargetNearCap, target);
        }
    }

    /// Limits the open connections to targets of services that state how many a target accepts.
    pub fn update_connection_limits(&self, now: Instant) {
        let Some(config) = self.config() else { return };
        let mut limits = BTreeMap::new();
        {
            let mut fleet = self.fleet();
            let routers = fleet.peers().member_count(now);
            let resets = self.resets();
            for (name, row, _) in fleet.listed_targets() {
                let service = config.services.get(&row.service);
                let cap = service.map_or(0, |service| service.max_connections);
                if cap > 0 {
                    let key = digest::key(&self.address.to_string());
                    let draw = (digest::pair(key, name) >> 32) as f64 / f64::from(u32::MAX);
                    let near_cap = resets.is_near_cap(now, name);
                    limits.insert(row.address, part(cap, routers, near_cap, draw));
                }
            }
        }
        self.pool.set_limits(now, &limits);
        self.metrics.capacity.set_connections(self.pool.open_count() as u64);
    }

    /// Logs the changes of the plain services, and updates their metrics.
    pub fn process_capacity_changes(&self, now: Instant) {
        let (changes, summaries) = {
            let mut fleet = self.fleet();
            (fleet.capacities().take_changes(now), fleet.capacities().take_summaries())
        };
        for Change { service, kind } in changes {
            match kind {
                Kind::Full => log!(Code::ServiceFull, service),
                Kind::Eased { duration, refused } => {
                    let ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
                    log!(Code::ServiceEased, service, ms, refused);
                }
            }
        }
        for summary in &summaries {
            self.metrics.capacity.record_service(summary);
        }
    }
}
