//! Object store of the platform: bytes under a key.

use crate::error::Error;

/// Interface of the object store.
pub trait Objects: Send + Sync {
    /// Reads an object; `None` if there is none under the key.
    ///
    /// # Errors
    ///
    /// If the platform gives no complete response, or rejects the request.
    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, Error>;

    /// Writes an object, or replaces it.
    ///
    /// # Errors
    ///
    /// If the platform gives no complete response, or rejects the request. After
    /// [`Error::Lost`] the object may have been written.
    fn put(&self, key: &str, bytes: &[u8]) -> Result<(), Error>;
}
