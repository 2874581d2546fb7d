//! Gate in front of a socket, which shows whether a request may have left the process.
//!
//! A request may run once its first byte is written, whatever happens afterwards. A router that
//! abandons a request earlier may report that it did not run, but only if the connection cannot
//! write the request later. So the decision is one atomic step: either the first byte passes the
//! gate, or the gate is sealed and no byte passes any more.
//!
//! The gate also limits the heads of a response: the HTTP library limits each of them, but reads any
//! number of informational ones.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// No byte of the current request was written.
const UNSENT: u8 = 0;

/// A byte of the current request may have been written.
const SENT: u8 = 1;

/// Nothing is written any more.
const SEALED: u8 = 2;

/// Maximum size of the heads of one response, informational ones included, in bytes.
///
/// The bytes that the HTTP library reads together with the last head count as well.
const HEADS_LIMIT_BYTES: usize = 128 * 1024;

/// Number of bytes while no head is expected; they are not limited.
const NO_HEAD: usize = usize::MAX;

#[derive(Debug, Default)]
struct Shared {
    state: AtomicU8,
    /// Bytes read since the start of the request, or [`NO_HEAD`] after the head of the response.
    head_bytes: AtomicUsize,
}

/// State of one connection; clones share the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gate {
    shared: Arc<Shared>,
}

impl Gate {
    /// Marks the start of a request, no byte of which was written yet.
    pub(crate) fn start_request(&self) {
        let state = &self.shared.state;
        let _ = state.compare_exchange(SENT, UNSENT, Ordering::SeqCst, Ordering::SeqCst);
        self.shared.head_bytes.store(0, Ordering::SeqCst);
    }

    /// Marks the end of the last head of a response.
    pub(crate) fn end_heads(&self) {
        self.shared.head_bytes.store(NO_HEAD, Ordering::SeqCst);
    }

    /// Counts bytes of a response; fails if its heads exceed the limit.
    fn count_read(&self, bytes: usize) -> io::Result<()> {
        let head_bytes = &self.shared.head_bytes;
        let add = |count: usize| (count != NO_HEAD).then(|| count.saturating_add(bytes));
        let before = head_bytes.fetch_update(Ordering::SeqCst, Ordering::SeqCst, add);
        match before {
            Ok(count) if count.saturating_add(bytes) > HEADS_LIMIT_BYTES => {
                Err(io::Error::new(io::ErrorKind::InvalidData, "heads of the response too large"))
            }
            Ok(_) | Err(_) => Ok(()),
        }
    }

    /// Prevents all further writes, unless a byte of the current request may have been written.
    ///
    /// Returns whether no byte was written.
    pub(crate) fn seal(&self) -> bool {
        let sealed =
            self.shared.state.compare_exchange(UNSENT, SEALED, Ordering::SeqCst, Ordering::SeqCst);
        sealed.is_ok() || sealed == Err(SEALED)
    }

    /// Records that bytes are about to be written; fails if the gate is sealed.
    fn pass(&self) -> io::Result<()> {
        let passed =
            self.shared.state.compare_exchange(UNSENT, SENT, Ordering::SeqCst, Ordering::SeqCst);
        match passed {
            Err(SEALED) => Err(io::Error::from(io::ErrorKind::BrokenPipe)),
            Ok(_) | Err(_) => Ok(()),
        }
    }
}

/// Socket behind a gate.
#[derive(Debug)]
pub(crate) struct GatedStream<S> {
    stream: S,
    gate: Gate,
}

impl<S> GatedStream<S> {
    pub(crate) const fn new(stream: S, gate: Gate) -> Self {
        Self { stream, gate }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GatedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.gate.count_read(buffer.filled().len() - before))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GatedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.pass()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.gate.pass()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
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
