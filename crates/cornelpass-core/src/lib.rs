//! The decisions of cornelpass, free of I/O.
//!
//! Every module here holds one concept and is driven by its caller: time comes in through
//! [`clock::Clock`], messages come in as values, and what to do next comes out as an enum. The
//! packages for each peer do the I/O around it.
//!
//! ```
//! use cornelpass_core::placement::{Bounded, Candidate, Placement};
//!
//! let candidates = [Candidate::new("engine-1", 1), Candidate::new("engine-2", 1)];
//! let ranked = Bounded.rank(42, &candidates);
//! assert_eq!(ranked.len(), 2);
//! ```

pub mod account;
pub mod admission;
pub mod attempt;
pub mod budget;
pub mod chat;
pub mod check;
pub mod claim;
pub mod clock;
pub mod config;
pub mod course;
pub mod datagram;
pub mod digest;
pub mod events;
pub mod fleet;
pub mod membership;
pub mod peers;
pub mod placement;
pub mod plan;
pub mod refusal;
pub mod report;
pub mod request;
pub mod retry;
pub mod route;
pub mod stream;
pub mod table;
pub mod turn;
