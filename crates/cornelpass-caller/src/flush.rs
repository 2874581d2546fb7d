//! Response body that reports an error only after the preceding data was flushed.
//!
//! When a body fails, the HTTP library discards the data that the connection has buffered. A
//! response that is aborted directly after a frame of data would lose that data, or even its head.
//! The HTTP library flushes its buffer when a body is pending, so the error is delayed by one
//! pending poll.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};

/// Body that delays an error until the connection has had a chance to flush.
pub(crate) struct FlushBeforeError<B> {
    inner: B,
    /// Error to return from the next poll.
    error: Option<io::Error>,
}

impl<B> FlushBeforeError<B> {
    /// Wraps a body.
    pub(crate) const fn new(inner: B) -> Self {
        Self { inner, error: None }
    }
}

impl<B: Body<Data = Bytes, Error = io::Error> + Unpin> Body for FlushBeforeError<B> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Ready(Some(Err(error))) => {
                self.error = Some(error);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            other => other,
        }
    }
}
