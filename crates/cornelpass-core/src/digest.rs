//! Hashes that are the same in every process and release.
//!
//! All are XXH3-64. Different seeds keep the hashes of keys and of contents apart.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of a text that identifies something, such as a chat, a target or a router.
///
/// The hash of a chat's key decides its placement.
#[must_use]
pub fn key(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 1)
}

/// Hash of a request's content, which must not include the identifiers of the request.
#[must_use]
pub fn content(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 2)
}

/// Hash of a key together with a text, usually the name of a target.
#[must_use]
pub fn pair(key: u64, target: &str) -> u64 {
    xxh3_64_with_seed(target.as_bytes(), key)
}
