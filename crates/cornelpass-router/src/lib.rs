//! Router: receives requests from callers and forwards each of them to a target.
//!
//! A router serves one of two interfaces, as its settings say. [`gateway`] holds the gateway
//! interface, which forwards HTTP requests to the targets directly. The other modules hold the chat
//! interface, which reaches each target through the sidecar of the target:
//!
//! - [`state::State`] holds the state of the router, and [`serve`] runs the router.
//! - [`handler`] receives the requests of callers; [`chats`] and [`calls`] run them, and
//!   [`failures`] decides what follows a failed attempt.
//! - [`sidecars`] keeps a [`link::Link`] to the sidecar of each target.
//! - [`config`] follows the configuration, and [`startup`] decides when the router may serve.
//! - [`console`] provides the console for operators.

pub mod calls;
pub mod chats;
pub mod config;
pub mod console;
pub mod failures;
pub mod gateway;
pub mod handler;
pub mod link;
pub mod serve;
pub mod sidecars;
pub mod startup;
pub mod state;
