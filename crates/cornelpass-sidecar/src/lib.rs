//! Sidecar: the process that runs next to one target and admits, runs and streams its requests.
//!
//! All requests to a target pass through its sidecar, which makes the final decision on each of
//! them. [`sidecar::Sidecar`] holds the state and admits requests; [`server`] serves the routers.
//! [`relay`] runs streamed requests, whose responses [`streams`] buffers. [`calls`] runs calls of
//! plain services; [`outcomes`] writes the outcomes of calls with a claim to the platform's table.
//! [`probe`] and [`liveness`] check the target, and [`untracked`] counts the requests that the
//! target was running before the sidecar started. [`config`] follows the configuration, and
//! [`instances`] the platform's list of instances.

pub mod calls;
pub mod config;
pub mod console;
pub mod instances;
pub mod liveness;
pub mod outcomes;
pub mod probe;
pub mod relay;
pub mod serve;
pub mod server;
pub mod sidecar;
pub mod streams;
pub mod untracked;
