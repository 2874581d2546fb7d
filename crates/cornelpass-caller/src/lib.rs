//! HTTP interfaces for callers: chat requests with streamed responses in the format that chat
//! clients expect, calls of plain services with an idempotency key, and requests that the gateway
//! forwards to targets. Errors are sent as problem reports.
//!
//! [`server::Server`] accepts connections, enforces limits and passes each request to a
//! [`responder::Responder`]. The chat interface parses a request and runs it through a
//! [`handler::Handler`]; [`gateway::Gateway`] forwards a request through a [`gateway::Relay`].
//!
//! ```
//! use cornelpass_caller::problem::Problem;
//! use cornelpass_core::refusal::{Execution, Reason};
//!
//! let problem = Problem::new(Reason::OverBound, Execution::NotRun);
//! assert_eq!(problem.status().as_u16(), 503);
//! ```

pub mod body;
pub mod budget;
mod connection_state;
pub mod connections;
mod dispatch;
pub mod event;
mod flush;
pub mod gateway;
pub mod handler;
mod head_scanner;
mod headers;
pub mod limit;
pub mod problem;
pub mod request;
mod request_scanner;
pub mod responder;
pub mod response;
pub mod server;
mod timeout_stream;
pub mod tracked_body;
