//! Targets: model engines that stream answers, and plain services that are called.
//!
//! Each request has a connection of its own, on `hyper`'s client without a pool, so that nothing
//! below this package sends a request twice. Errors tell a request that was surely not sent from
//! one that may have run.
//!
//! ```
//! use cornelpass_target::error::Error;
//! use cornelpass_core::refusal::Run;
//!
//! assert_eq!(Error::Unsent { detail: String::new() }.run(), Run::NotRun);
//! ```

pub mod connection;
pub mod dialect;
pub mod engine;
pub mod error;
pub mod pool;
pub mod service;
pub mod whole;
