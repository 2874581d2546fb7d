//! Limits on what the clients of each listener may use, and the log of those that were reached.
//!
//! Callers share the memory of the router with the bodies of their requests. The other listeners
//! have places and memory of their own, so that a crowd at one of them takes nothing from callers or
//! from the platform's readiness probes. Their clients send short requests, so that an idle
//! connection is closed for a new one.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cornelpass_caller::budget::Budget;
use cornelpass_caller::connections::Eviction;
use cornelpass_caller::limit::{Counts, Limit};
use cornelpass_caller::responder::Responder;
use cornelpass_caller::server::{self, Limits, Server, Stage};
use cornelpass_core::gateway_config;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_operator::metrics::gateway::Metrics;
use cornelpass_operator::settings::client_limits::{CONNECTION_BYTES, ClientLimits};
use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Maximum time for which a caller's connection may be idle.
///
/// Each connection uses some tens of kilobytes of memory, and a new one costs a caller only one
/// round trip.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// Idle time-out that is announced to callers, as a fraction of the actual idle time-out.
///
/// The announced time is shorter, so that no caller sends a request while its connection is being
/// closed.
const KEEP_ALIVE_FRACTION: f64 = 0.67;

/// Time limits of the listeners other than the one for callers, whose clients are the platform,
/// operators and other routers.
const LISTENER_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of a body that these listeners read and discard before they close a connection.
const LISTENER_BODY_BYTES: usize = 64 * 1024;

/// Bytes of a head at these listeners.
const LISTENER_HEAD_BYTES: usize = 8 * 1024;

/// Memory for pages that wait to be read at one of these listeners, as a divisor of the memory of
/// the process.
const PAGE_MEMORY_DIVISOR: usize = 32;

// The default number of connections is derived from what the server charges for each.
const _: () = assert!(CONNECTION_BYTES == server::CONNECTION_BYTES);

/// Listener of a router.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumIter, IntoStaticStr, strum::Display,
)]
#[strum(serialize_all = "snake_case")]
pub enum Listener {
    /// Address for callers.
    Callers,
    /// Address for the platform's readiness probes.
    Readiness,
    /// Address for operators.
    Operators,
    /// Address for other routers.
    Routers,
}

/// Limits that the clients of all listeners have reached.
#[derive(Debug)]
pub struct Clients {
    counts: BTreeMap<Listener, Arc<Counts>>,
    /// Counts that have been logged.
    logged: Mutex<BTreeMap<(Listener, Limit), u64>>,
}

impl Default for Clients {
    fn default() -> Self {
        let counts = Listener::iter().map(|listener| (listener, Arc::default())).collect();
        Self { counts, logged: Mutex::default() }
    }
}

impl Clients {
    /// Counts of a listener.
    #[must_use]
    pub fn counts(&self, listener: Listener) -> Arc<Counts> {
        self.counts.get(&listener).map(Arc::clone).unwrap_or_default()
    }

    /// Logs and counts the limits that were reached since the previous call, one line for each.
    pub fn log_reached(&self, metrics: &Metrics) {
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        for (listener, counts) in &self.counts {
            for limit in Limit::iter() {
                let total = counts.get(limit);
                let before = logged.insert((*listener, limit), total).unwrap_or_default();
                if total == before {
                    continue;
                }
                let (count, name): (u64, &str) = (total - before, limit.into());
                metrics.count_client_limits((*listener).into(), name, count);
                log!(code(limit), %listener, limit = name, count);
            }
        }
    }

    /// Serves the platform, operators or other routers until the process ends.
    pub fn spawn_server(
        &self,
        listener: Listener,
        limits: &ClientLimits,
        socket: TcpListener,
        responder: Arc<dyn Responder>,
    ) {
        let (limits_sender, limits) = watch::channel(others(limits));
        let (stage_sender, stages) = watch::channel(Stage::Serving);
        let server =
            Server::with_responder(responder, limits, stages).with_counts(self.counts(listener));
        tokio::spawn(async move {
            server.run(socket).await;
            // A server ends when the sender of its stage is dropped, so the senders are kept until
            // here.
            drop((limits_sender, stage_sender));
        });
    }
}

/// Event of a limit.
const fn code(limit: Limit) -> Code {
    match limit {
        Limit::Connections | Limit::AddressConnections => Code::ConnectionsRefused,
        Limit::UnneededConnection => Code::ConnectionsReplaced,
        Limit::Memory => Code::ClientMemoryFull,
        Limit::HeadTime => Code::HeadsTooSlow,
        Limit::BodyTime => Code::BodiesTooSlow,
        Limit::UnreadTime => Code::ResponsesUnread,
    }
}

/// Memory for pages that wait to be read at a listener other than the one for callers.
#[must_use]
pub fn page_memory(limits: &ClientLimits) -> Budget {
    Budget::new(limits.memory_bytes / PAGE_MEMORY_DIVISOR)
}

/// Limits on callers.
#[must_use]
pub fn callers(config: &gateway_config::Limits, limits: &ClientLimits) -> Limits {
    let idle_timeout = config.idle_timeout.min(MAX_IDLE_TIMEOUT);
    Limits {
        body_bytes: config.body_bytes,
        head_bytes: config.head_bytes,
        head_timeout: config.head_timeout,
        header_count: limits.headers,
        idle_timeout,
        keep_alive: Some(idle_timeout.mul_f64(KEEP_ALIVE_FRACTION)),
        write_timeout: limits.unread_timeout,
        connections: limits.connections,
        connections_per_address: limits.connections_per_address,
        eviction: Eviction::Unneeded,
        ..Limits::default()
    }
}

/// Limits on the platform, operators and other routers.
fn others(limits: &ClientLimits) -> Limits {
    Limits {
        body_bytes: LISTENER_BODY_BYTES,
        head_bytes: LISTENER_HEAD_BYTES,
        head_timeout: LISTENER_TIMEOUT,
        write_timeout: LISTENER_TIMEOUT,
        connections: limits.listener_connections,
        connections_per_address: limits.listener_connections,
        eviction: Eviction::Idle,
        ..Limits::default()
    }
}
