//! Stand-ins for the outside systems, for demonstrations and tests. No release contains this
//! package.
//!
//! The stand-ins of the platform, the engines and the services speak the published protocols of
//! those systems and keep all state in memory. `POST /faults` sets the faults of a stand-in while
//! it runs. The package also starts the programs under test and has clients and a TCP proxy for
//! tests.

pub mod engine;
pub mod fleet;
pub mod http;
pub mod launcher;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod service;
pub mod sse;
