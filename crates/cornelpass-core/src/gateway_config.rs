//! Configuration of the gateway interface: routes, services, organisations, keys and limits.
//!
//! The operators publish the configuration as one row of the platform's store, with a version
//! number; the platform's client decodes the row into a [`Config`].

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::route::Routes;

/// Settings of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Maximum total number of connections that one target of the service accepts; 0 if unknown.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// Time after a start for which a target is cold.
    pub cold_time: Duration,
    /// Request rate that a cold target can serve, in requests per second; 0 if the targets of the
    /// service are never cold.
    pub cold_rate: f64,
    /// Capabilities of the engines of the service, if it serves models.
    pub engine: Option<Engine>,
}

/// Capabilities of the engines of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Maximum number of requests in one batch.
    #[serde(rename = "slots")]
    pub batch_slots: u32,
    /// Capacity of the KV cache, which holds running requests and cached prompt parts, in tokens.
    #[serde(rename = "memory_tokens")]
    pub cache_tokens: u64,
    /// KV cache memory of one token, in bytes.
    pub token_bytes: u64,
    /// Bandwidth between two engines, in megabits per second.
    pub link_mbps: f64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// Whether a running request can be migrated to another engine.
    #[serde(rename = "moves")]
    pub can_migrate: bool,
    /// Whether a running request can be backed up on another engine.
    #[serde(rename = "backups")]
    pub can_back_up: bool,
    /// Time for which an engine keeps a migrated or backed-up request.
    pub handle_lifetime: Duration,
}

/// Settings of an organisation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Priority of the organisation's requests, which overrides the priority of the route.
    #[serde(rename = "rank")]
    pub priority: Option<u8>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub head_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the gateway configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version number that the operators assigned.
    pub version: u64,
    /// Routes by host and path prefix.
    pub routes: Routes,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Organisations by name.
    pub organisations: BTreeMap<String, Organisation>,
    /// Names of organisations by API key.
    pub keys: BTreeMap<String, String>,
    /// Whether callers must present an API key, except on routes that allow anonymous callers.
    #[serde(rename = "keyed")]
    pub requires_key: bool,
    /// Limits on the requests and connections of callers.
    pub limits: Limits,
}
