//! Reads request bodies within limits on size, time and total memory.
//!
//! Each body reserves its declared length, or the size limit if it declares none, in a shared
//! budget before it is read. A body that does not fit is refused at once, so that slow uploads
//! cannot exhaust the memory of the process.

use std::time::Duration;

use bytes::Bytes;
use cornelpass_core::refusal::Reason;
use http_body_util::{BodyExt, Limited};
use hyper::body::Body as _;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::problem::Problem;
use crate::request::OVERLOAD_RETRY_DELAY;
use crate::tracked_body::RequestBody;

/// Size of one permit of the budget, in bytes.
const PERMIT_BYTES: usize = 1024;

/// Memory budget for request bodies that are being received.
pub struct Budget {
    /// Free memory, in permits of [`PERMIT_BYTES`].
    free: Semaphore,
}

impl Budget {
    /// Creates a budget of a number of bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self { free: Semaphore::new(bytes / PERMIT_BYTES) }
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
    ) -> Result<Bytes, Problem> {
        let too_large = || {
            Problem::refused(Reason::TooLarge).with_detail(format!("body: at most {limit} bytes"))
        };
        let length = body.size_hint().upper().map_or(limit, |upper| upper as usize);
        if length > limit {
            return Err(too_large());
        }
        let permits = u32::try_from(length.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX);
        let Ok(_reserved) = self.free.try_acquire_many(permits) else {
            let problem = Problem::refused(Reason::Overloaded).with_detail("no room for the body");
            return Err(problem.with_retry_after(Some(OVERLOAD_RETRY_DELAY)));
        };
        match timeout(time_limit, Limited::new(body, limit).collect()).await {
            Err(_) => {
                Err(Problem::refused(Reason::TooSlow).with_detail("body: not received in time"))
            }
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
            Ok(Err(error)) => {
                Err(Problem::refused(Reason::BadRequest).with_detail(format!("body: {error}")))
            }
        }
    }
}
