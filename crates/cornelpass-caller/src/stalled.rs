//! A caller's connection, bounded in the time that it may take.
//!
//! A caller may be slow to read an answer, to send the head of a request, or may leave the
//! connection idle between two requests, each for a limited time only.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use crate::inspect::{Finding, Inspector};
use crate::phase::Phase;
use crate::server::Limits;

/// What is awaited from the caller.
#[derive(Debug)]
enum Awaited {
    /// Nothing: a request is in progress.
    Nothing,
    /// A request, on a connection that is idle.
    Request,
    /// The rest of a head.
    Head(Inspector),
    /// Its request, which the HTTP library has not handed over yet.
    Body,
}

/// A connection that fails when its caller takes too long.
pub(crate) struct Guarded {
    stream: TcpStream,
    limits: Limits,
    phase: Arc<Phase>,
    awaited: Awaited,
    /// Answers that had ended when the wait began.
    ended: Option<u32>,
    reading: Pin<Box<Sleep>>,
    writing: Pin<Box<Sleep>>,
    stalled: bool,
}

impl Guarded {
    /// Guards a connection.
    pub(crate) fn new(stream: TcpStream, limits: Limits, phase: Arc<Phase>) -> Self {
        Self {
            stream,
            limits,
            phase,
            awaited: Awaited::Nothing,
            ended: None,
            reading: Box::pin(sleep(limits.idle_timeout)),
            writing: Box::pin(sleep(limits.read_timeout)),
            stalled: false,
        }
    }

    /// Fails a write that has been pending for the limit.
    fn guard(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stalled = false;
            return written;
        }
        if !self.stalled {
            self.stalled = true;
            self.writing.as_mut().reset(Instant::now() + self.limits.read_timeout);
        }
        ready!(self.writing.as_mut().poll(context));
        Poll::Ready(Err(io::Error::from(io::ErrorKind::TimedOut)))
    }

    /// Notes whether a request is awaited, and since when.
    fn observe(&mut self) {
        let waiting = self.phase.waiting();
        if waiting.is_none() {
            self.awaited = Awaited::Nothing;
        } else if waiting != self.ended {
            self.await_for(Awaited::Request, self.limits.idle_timeout);
        }
        self.ended = waiting;
    }

    fn await_for(&mut self, awaited: Awaited, limit: Duration) {
        self.awaited = awaited;
        self.reading.as_mut().reset(Instant::now() + limit);
    }

    /// Looks at bytes that the caller has sent.
    fn inspect(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if matches!(self.awaited, Awaited::Request) {
            self.await_for(Awaited::Head(Inspector::default()), self.limits.header_timeout);
        }
        let Awaited::Head(inspector) = &mut self.awaited else { return };
        match inspector.take(bytes) {
            Finding::Open => {}
            Finding::Ended => self.awaited = Awaited::Body,
            Finding::Ambiguous => {
                self.phase.doubt();
                self.awaited = Awaited::Body;
            }
        }
    }
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.phase.wake_at_end(context.waker());
        self.observe();
        let before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(result) => {
                self.inspect(&buffer.filled()[before..]);
                Poll::Ready(result)
            }
            Poll::Pending if matches!(self.awaited, Awaited::Request | Awaited::Head(_)) => {
                ready!(self.reading.as_mut().poll(context));
                Poll::Ready(Err(io::Error::from(io::ErrorKind::TimedOut)))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.guard(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.guard(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
