//! Stand-in for a model engine.
//!
//! The engine has a continuous batch with priorities, a prefix cache of limited capacity, a cold
//! start in which overload restarts the engine, and a load report that lags behind the load.
//! Callers can resume and cancel streams.
//!
//! The generated text depends on the messages alone, so that a test can distinguish a complete
//! response from a wrong one. [`piece`] gives one piece of the text and [`expected_text`] the
//! complete text.

mod batch;
mod cache;
mod serve;

pub use batch::{Counts, Faults, Options};
pub use serve::Engine;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Piece of the text generated for some messages, by its offset in tokens.
#[must_use]
pub fn piece(messages: &str, offset: u32) -> String {
    format!("{:08x} ", xxh3_64_with_seed(messages.as_bytes(), u64::from(offset)) >> 32)
}

/// Complete text generated for some messages, with a length in tokens.
#[must_use]
pub fn expected_text(messages: &str, tokens: u32) -> String {
    (0..tokens).map(|offset| piece(messages, offset)).collect()
}
