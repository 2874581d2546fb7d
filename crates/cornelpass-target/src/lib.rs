//! Clients of targets: model engines that stream responses, and plain services that are called.
//!
//! The clients use single connections of `hyper`, without the connection pool of its client, so
//! that no lower layer sends a request twice. [`engine`], [`service`] and [`buffered`] open one
//! connection for each request; [`pool`] keeps connections for later requests. [`connection`] is
//! the connection that all of them use, and [`protocol`] describes the headers between a router and
//! a target. [`error::Error`] separates requests that were certainly not sent from requests that
//! may have run.
//!
//! ```
//! use cornelpass_target::error::Error;
//! use cornelpass_core::refusal::Execution;
//!
//! assert_eq!(Error::Unsent { detail: String::new() }.execution(), Execution::NotRun);
//! ```

pub mod buffered;
pub mod connection;
pub mod engine;
pub mod error;
mod gate;
pub mod pool;
pub mod protocol;
pub mod service;
