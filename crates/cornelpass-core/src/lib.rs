//! Decision logic of cornelpass, without I/O.
//!
//! Each module implements one concept. The caller passes in the time, as an `Instant` read from a
//! [`clock::Clock`], and the received messages, as values; the module returns an enum that states
//! what to do next. The other packages do the I/O: each handles one kind of peer, such as the
//! callers, the platform or the targets.
//!
//! ```
//! use cornelpass_core::placement::{Bounded, Candidate, Placement};
//!
//! let candidates = [Candidate::new("engine-1", 1), Candidate::new("engine-2", 1)];
//! let ranked = Bounded.rank(42, &candidates);
//! assert_eq!(ranked.len(), 2);
//! ```

pub mod accounting;
pub mod admission;
pub mod attempt;
pub mod budget;
pub mod chat;
pub mod check;
pub mod claim;
pub mod clock;
pub mod config;
pub mod datagram;
pub mod digest;
pub mod events;
pub mod fleet;
pub mod gateway_config;
pub mod history;
pub mod lease;
pub mod peers;
pub mod placement;
pub mod refusal;
pub mod report;
pub mod request;
pub mod retry;
pub mod route;
pub mod stream;
pub mod table;
pub mod target_report;
