//! Reads request bodies within limits on size, time and memory.
//!
//! A body is copied into one buffer, which grows as the body arrives and is charged to a [`Budget`]
//! at its capacity until the request has ended. The pieces in which the body arrives are not kept:
//! each of them may be a byte that keeps a whole read buffer. A body that finds no room is refused
//! at once, so that neither slow uploads nor many requests in progress can exhaust the memory of the
//! process.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelpass_core::refusal::Reason;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use tokio::time::timeout;

use crate::budget::{ArrivingBody, Budget, Charge, SMALL_BODY_BYTES};
use crate::limit::{Counts, Limit};
use crate::problem::Problem;
use crate::request::OVERLOAD_RETRY_DELAY;
use crate::tracked_body::RequestBody;

/// First capacity of a body without a declared length, in bytes.
const FIRST_CAPACITY: usize = 8 * 1024;

/// Reader of request bodies.
pub struct Reader {
    budget: Budget,
    counts: Arc<Counts>,
}

/// Body in memory; counts against its budget until it is dropped.
#[derive(Debug)]
pub struct Buffered {
    bytes: Bytes,
    _charge: Charge,
}

impl Buffered {
    /// Whole body.
    #[must_use]
    pub const fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

/// Limits on one body.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size, in bytes.
    pub bytes: usize,
    /// Time limit for the whole body to arrive.
    pub time: Duration,
}

/// Problem report of a request whose memory does not fit into the budget.
pub(crate) fn no_room(detail: &str) -> Problem {
    let problem = Problem::refused(Reason::Overloaded).with_detail(detail);
    problem.with_retry_after(Some(OVERLOAD_RETRY_DELAY))
}

fn too_large(limit: usize) -> Problem {
    Problem::refused(Reason::TooLarge).with_detail(format!("body: at most {limit} bytes"))
}

impl Reader {
    /// Creates a reader that charges bodies to a budget.
    #[must_use]
    pub const fn new(budget: Budget, counts: Arc<Counts>) -> Self {
        Self { budget, counts }
    }

    /// Reads a body.
    ///
    /// # Errors
    ///
    /// If the body is too large, does not arrive in time or is incomplete, or if the budget has no
    /// room.
    pub async fn read(&self, body: RequestBody, limits: Limits) -> Result<Buffered, Problem> {
        let declared = body.size_hint().upper().map(usize::try_from);
        let declared = declared.map(|upper| upper.unwrap_or(usize::MAX));
        if declared.is_some_and(|declared| declared > limits.bytes) {
            return Err(too_large(limits.bytes));
        }
        let arriving = self.budget.start_body();
        let stopped = arriving.stopped();
        let collected = collect(body, arriving, declared, limits.bytes);
        let collected = tokio::select! {
            biased;
            () = stopped => Err(no_room("no room for the body")),
            collected = timeout(limits.time, collected) => collected.unwrap_or_else(|_| {
                self.counts.add(Limit::BodyTime);
                Err(Problem::refused(Reason::TooSlow).with_detail("body: not received in time"))
            }),
        };
        if let Err(problem) = &collected
            && problem.reason == Reason::Overloaded
        {
            self.counts.add(Limit::Memory);
        }
        collected
    }
}

/// Copies a body into one buffer, which is charged at its capacity.
///
/// The buffer starts at a declared length up to [`SMALL_BODY_BYTES`], or at [`FIRST_CAPACITY`], and
/// doubles up to the declared length or the limit.
async fn collect(
    body: RequestBody,
    mut arriving: ArrivingBody,
    declared: Option<usize>,
    limit: usize,
) -> Result<Buffered, Problem> {
    let largest = declared.unwrap_or(limit);
    let mut bytes = Vec::new();
    let mut body = pin!(body);
    // Before the caller is asked to continue, if it waits for that.
    reserve(&mut bytes, &mut arriving, declared.unwrap_or_default().min(SMALL_BODY_BYTES), largest)
        .await?;
    loop {
        let data = match body.frame().await {
            None => break,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(error)) => {
                let detail = format!("body: {error}");
                return Err(Problem::refused(Reason::BadRequest).with_detail(detail));
            }
        };
        let needed = bytes.len() + data.len();
        if needed > limit {
            return Err(too_large(limit));
        }
        reserve(&mut bytes, &mut arriving, needed, largest).await?;
        bytes.extend_from_slice(&data);
        arriving.record(data.len());
    }
    Ok(Buffered { bytes: bytes.into(), _charge: arriving.complete() })
}

/// Grows a buffer to the capacity that is needed, or to twice its capacity up to `largest`.
async fn reserve(
    bytes: &mut Vec<u8>,
    arriving: &mut ArrivingBody,
    needed: usize,
    largest: usize,
) -> Result<(), Problem> {
    if needed <= bytes.capacity() {
        return Ok(());
    }
    let doubled = bytes.capacity().saturating_mul(2).max(FIRST_CAPACITY).min(largest);
    let capacity = needed.max(doubled);
    if !arriving.grow(capacity).await {
        return Err(no_room("no room for the body"));
    }
    bytes.reserve_exact(capacity - bytes.len());
    Ok(())
}
