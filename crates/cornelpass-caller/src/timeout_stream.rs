//! TCP stream of a caller, with limits on blocked writes, slow request heads and idle time.
//!
//! Three limits apply, each from [`Limits`]: the time for which a write may be blocked because the
//! caller does not read, the time in which the head of a request must arrive, and the time for
//! which the connection may be idle between two requests. The stream fails when a limit is reached.
//! The time for a request body is limited by [`crate::body`], so reads have no limit while a
//! request is in progress.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use crate::connection_state::ConnectionState;
use crate::limit::{Counts, Limit};
use crate::request_scanner::RequestScanner;
use crate::server::Limits;

/// Bytes that a caller must read of a blocked response within the write time-out.
const MIN_READ_BYTES: usize = 4096;

/// Time for which the rest of a refused body is read and discarded.
///
/// Closing a socket with unread bytes resets the connection, and the caller could lose the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of a refused body that are read at once.
const DISCARD_READ_BYTES: usize = 4096;

/// Progress of the close of a connection.
#[derive(Clone, Copy, Debug)]
enum Closing {
    /// The connection is open.
    Open,
    /// The response has been sent, and this number of bytes of the body has been discarded.
    Discarding { bytes: usize },
}

/// Progress of the caller towards its next request.
#[derive(Debug)]
enum ReadState {
    /// A request is in progress; reads have no limit.
    Busy,
    /// The connection is idle, and no byte of the next request has arrived.
    Idle,
    /// A part of the head has arrived.
    Head,
    /// The head is complete or ambiguous, and the HTTP library has not yet started the request.
    HeadComplete,
}

/// Stream that fails with [`io::ErrorKind::TimedOut`] when its caller is too slow.
pub(crate) struct TimeoutStream {
    stream: TcpStream,
    limits: Limits,
    state: Arc<ConnectionState>,
    read_state: ReadState,
    scanner: RequestScanner,
    /// Number of ended requests at the previous read; `None` before the first read, or if a request
    /// was in progress at that read.
    ended_count: Option<u32>,
    read_timer: Pin<Box<Sleep>>,
    write_timer: Pin<Box<Sleep>>,
    /// Whether a write is blocked; the write timer runs while it is.
    write_blocked: bool,
    /// Bytes written since the write timer was started.
    written_bytes: usize,
    /// Progress of the close, once the response has been sent.
    closing: Closing,
    counts: Arc<Counts>,
}

impl TimeoutStream {
    /// Applies limits to a connection.
    pub(crate) fn new(
        stream: TcpStream,
        limits: Limits,
        state: Arc<ConnectionState>,
        counts: Arc<Counts>,
    ) -> Self {
        Self {
            stream,
            limits,
            state,
            read_state: ReadState::Busy,
            scanner: RequestScanner::default(),
            ended_count: None,
            read_timer: Box::pin(sleep(limits.idle_timeout)),
            write_timer: Box::pin(sleep(limits.write_timeout)),
            write_blocked: false,
            written_bytes: 0,
            closing: Closing::Open,
            counts,
        }
    }

    fn set_write_blocked(&mut self, is_blocked: bool) {
        if self.write_blocked != is_blocked {
            self.write_blocked = is_blocked;
            self.state.set_write_blocked(is_blocked);
        }
    }

    /// Fails a write if the caller has read almost nothing for the write time-out.
    ///
    /// The time starts when a write is blocked, and again when [`MIN_READ_BYTES`] have been written
    /// since. A caller that reads single bytes therefore does not extend it.
    fn limit_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(result) = &written {
            self.written_bytes = self.written_bytes.saturating_add(*result.as_ref().unwrap_or(&0));
            if self.written_bytes >= MIN_READ_BYTES {
                self.set_write_blocked(false);
            }
            return written;
        }
        if !self.write_blocked {
            self.set_write_blocked(true);
            self.written_bytes = 0;
            self.write_timer.as_mut().reset(Instant::now() + self.limits.write_timeout);
        }
        ready!(self.write_timer.as_mut().poll(context));
        self.counts.add(Limit::UnreadTime);
        Poll::Ready(Err(io::Error::from(io::ErrorKind::TimedOut)))
    }

    /// Reads and discards the rest of a body, until the caller closes the connection or a limit is
    /// reached.
    fn discard(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut space = [0; DISCARD_READ_BYTES];
        while let Closing::Discarding { bytes } = self.closing {
            if bytes > self.limits.body_bytes || self.read_timer.as_mut().poll(context).is_ready() {
                break;
            }
            let mut buffer = ReadBuf::new(&mut space);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
            if buffer.filled().is_empty() {
                break;
            }
            self.closing = Closing::Discarding { bytes: bytes + buffer.filled().len() };
        }
        Poll::Ready(Ok(()))
    }

    /// Updates the read state: busy while a request is in progress.
    ///
    /// The idle time starts at the first read and after each request, unless a part of the next
    /// request has arrived meanwhile.
    fn update_read_state(&mut self) {
        let ended_count = self.state.ended_count_if_idle();
        match ended_count {
            None => self.read_state = ReadState::Busy,
            Some(_) if ended_count == self.ended_count => {}
            Some(ended_count) if self.has_head_after(ended_count) => {
                self.read_state = ReadState::HeadComplete;
            }
            Some(_) if self.scanner.is_within_head() => {
                self.start_read_timer(ReadState::Head, self.limits.head_timeout);
            }
            Some(_) => self.start_read_timer(ReadState::Idle, self.limits.idle_timeout),
        }
        self.ended_count = ended_count;
    }

    /// Whether the head after the first `count` ones is complete, or ambiguous.
    const fn has_head_after(&self, count: u32) -> bool {
        self.scanner.complete_heads() > count || self.scanner.is_stopped()
    }

    fn start_read_timer(&mut self, read_state: ReadState, limit: Duration) {
        self.read_state = read_state;
        self.read_timer.as_mut().reset(Instant::now() + limit);
    }

    /// Scans received bytes for the ends of heads and for ambiguities.
    fn scan(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.scanner.scan(bytes);
        if self.scanner.is_stopped() {
            self.state.set_ambiguous_after(self.scanner.complete_heads());
        }
        if matches!(self.read_state, ReadState::Idle) {
            self.start_read_timer(ReadState::Head, self.limits.head_timeout);
        }
        let count = self.ended_count.unwrap_or_default();
        if matches!(self.read_state, ReadState::Head) && self.has_head_after(count) {
            self.read_state = ReadState::HeadComplete;
        }
    }
}

impl AsyncRead for TimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.state.wake_at_end(context.waker());
        self.update_read_state();
        let before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(result) => {
                self.scan(&buffer.filled()[before..]);
                Poll::Ready(result)
            }
            Poll::Pending if matches!(self.read_state, ReadState::Idle | ReadState::Head) => {
                ready!(self.read_timer.as_mut().poll(context));
                if matches!(self.read_state, ReadState::Head) {
                    self.counts.add(Limit::HeadTime);
                }
                Poll::Ready(Err(io::Error::from(io::ErrorKind::TimedOut)))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for TimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.limit_write(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.limit_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes when all bytes have been written.
        self.set_write_blocked(false);
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Closing::Open = self.closing {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            if !self.state.is_unread() {
                return Poll::Ready(Ok(()));
            }
            self.closing = Closing::Discarding { bytes: 0 };
            self.read_timer.as_mut().reset(Instant::now() + DISCARD_TIMEOUT);
        }
        self.discard(context)
    }
}
