//! Reads request bodies within limits on size, time and total memory.
//!
//! Each body reserves its declared length, or the size limit if it declares none, in a shared
//! budget before it is read, and keeps what it uses until its request has ended. A body that does
//! not fit is refused at once, so that neither slow uploads nor many requests in progress can
//! exhaust the memory of the process.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelpass_core::refusal::Reason;
use http_body_util::{BodyExt, Limited};
use hyper::body::Body as _;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::problem::Problem;
use crate::request::OVERLOAD_RETRY_DELAY;
use crate::tracked_body::RequestBody;

/// Size of one permit of the budget, in bytes.
const PERMIT_BYTES: usize = 1024;

/// Memory budget for request bodies.
pub struct Budget {
    /// Free memory, in permits of [`PERMIT_BYTES`].
    free: Arc<Semaphore>,
}

/// Body in memory; counts against its budget until it is dropped.
#[derive(Debug)]
pub struct Buffered {
    bytes: Bytes,
    _reserved: OwnedSemaphorePermit,
}

impl Buffered {
    /// Whole body.
    #[must_use]
    pub const fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

/// Permits for a number of bytes.
fn permits(bytes: usize) -> usize {
    bytes.div_ceil(PERMIT_BYTES)
}

impl Budget {
    /// Creates a budget of a number of bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self { free: Arc::new(Semaphore::new(bytes / PERMIT_BYTES)) }
    }

    /// Reads a body of at most `limit` bytes within a time-out.
    ///
    /// # Errors
    ///
    /// If the body is too large, does not arrive in time or is incomplete, or if the budget is
    /// exhausted.
    pub async fn read(
        &self,
        body: RequestBody,
        limit: usize,
        time_limit: Duration,
    ) -> Result<Buffered, Problem> {
        let too_large = || {
            Problem::refused(Reason::TooLarge).with_detail(format!("body: at most {limit} bytes"))
        };
        let length = body.size_hint().upper().map_or(limit, |upper| upper as usize);
        if length > limit {
            return Err(too_large());
        }
        let needed = u32::try_from(permits(length)).unwrap_or(u32::MAX);
        let Ok(mut reserved) = Arc::clone(&self.free).try_acquire_many_owned(needed) else {
            let problem = Problem::refused(Reason::Overloaded).with_detail("no room for the body");
            return Err(problem.with_retry_after(Some(OVERLOAD_RETRY_DELAY)));
        };
        match timeout(time_limit, Limited::new(body, limit).collect()).await {
            Err(_) => {
                Err(Problem::refused(Reason::TooSlow).with_detail("body: not received in time"))
            }
            Ok(Ok(collected)) => {
                let bytes = collected.to_bytes();
                let surplus = reserved.num_permits().saturating_sub(permits(bytes.len()));
                drop(reserved.split(surplus));
                Ok(Buffered { bytes, _reserved: reserved })
            }
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
            Ok(Err(error)) => {
                Err(Problem::refused(Reason::BadRequest).with_detail(format!("body: {error}")))
            }
        }
    }
}
