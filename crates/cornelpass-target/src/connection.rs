//! HTTP/1.1 connection to a target.
//!
//! [`Connection::send_once`] and [`exchange`] use a connection for one request and close it;
//! [`Connection::send`] leaves it open for a pool. No request is sent twice: a connection takes its
//! request by value, and every failure after the request may have been written is [`Error::Lost`].
//!
//! The socket is behind a gate (`gate`), which shows whether any byte of the current request was
//! written. A request that fails, or is abandoned, before its first byte is certainly not sent. The
//! gate also limits the heads of a response.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::error::Error;
use crate::gate::{Gate, GatedStream};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Read buffer of a connection. It is small because events are short and there are many
/// connections.
const READ_BUFFER_BYTES: usize = 2048;

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// The address refuses connections: no process listens there.
    Refused,
    /// There was no reaction in time.
    TimedOut,
    /// Any other failure, which shows nothing about the target.
    Other,
}

/// Failure to open a connection.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{detail}"))]
pub struct Unopened {
    /// Why the connection could not be opened.
    pub obstacle: Obstacle,
    /// Cause.
    pub detail: String,
}

impl From<Unopened> for Error {
    fn from(Unopened { detail, .. }: Unopened) -> Self {
        Self::Unsent { detail }
    }
}

/// HTTP/1.1 connection to a target, for one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Shows whether any byte of the current request was written.
    gate: Gate,
    /// Task that reads from and writes to the socket.
    task: AbortHandle,
}

impl Connection {
    /// Opens a connection with the default time-out of one second.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] if the connection could not be opened in time.
    pub async fn open(address: SocketAddr) -> Result<Self, Error> {
        Self::open_with_timeout(address, CONNECT_TIMEOUT).await
    }

    /// Opens a connection with a time-out.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] if the connection could not be opened in time.
    pub async fn open_with_timeout(
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Self, Error> {
        Ok(Self::connect(address, connect_timeout, READ_BUFFER_BYTES).await?)
    }

    /// Opens a connection with a time-out, and tells why it could not be opened.
    ///
    /// # Errors
    ///
    /// [`Unopened`] if the connection could not be opened in time.
    pub async fn try_open(
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Self, Unopened> {
        Self::connect(address, connect_timeout, READ_BUFFER_BYTES).await
    }

    /// Opens a connection with a time-out and a read buffer of a size in bytes.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] if the connection could not be opened in time.
    pub async fn open_with_buffer(
        address: SocketAddr,
        connect_timeout: Duration,
        buffer_bytes: usize,
    ) -> Result<Self, Error> {
        Ok(Self::connect(address, connect_timeout, buffer_bytes).await?)
    }

    async fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
        buffer_bytes: usize,
    ) -> Result<Self, Unopened> {
        let unopened = |obstacle: Obstacle, detail: String| Unopened { obstacle, detail };
        let stream = timeout(connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| {
                let detail = format!("connect to {address} timed out after {connect_timeout:?}");
                unopened(Obstacle::TimedOut, detail)
            })?
            .map_err(|error| {
                let obstacle = match error.kind() {
                    ErrorKind::ConnectionRefused => Obstacle::Refused,
                    ErrorKind::TimedOut => Obstacle::TimedOut,
                    _ => Obstacle::Other,
                };
                unopened(obstacle, format!("connect to {address}: {error}"))
            })?;
        let other = |detail: String| unopened(Obstacle::Other, detail);
        stream
            .set_nodelay(true)
            .map_err(|error| other(format!("set TCP_NODELAY on {address}: {error}")))?;
        let gate = Gate::default();
        let (sender, connection) = http1::Builder::new()
            .read_buf_exact_size(Some(buffer_bytes))
            .handshake(TokioIo::new(GatedStream::new(stream, gate.clone())))
            .await
            .map_err(|error| other(format!("HTTP handshake with {address}: {error}")))?;
        let task = tokio::spawn(connection).abort_handle();
        Ok(Self { sender, gate, task })
    }

    /// Whether the connection is open, as far as the local end has detected.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.sender.is_ready()
    }

    /// Closes the connection immediately, even during a response.
    pub fn close(&self) {
        self.task.abort();
    }

    /// Sends a request and returns the head of the response.
    ///
    /// Dropping the future does not close the connection.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] if no byte of the request was written, [`Error::Lost`] if the connection
    /// failed later.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        self.gate.start_request();
        let result = self.sender.try_send_request(request).await;
        self.gate.end_heads();
        result.map_err(|mut error| {
            let unsent = error.take_message().is_some() || self.gate.seal();
            let detail = error.into_error().to_string();
            if unsent { Error::Unsent { detail } } else { Error::Lost { detail } }
        })
    }

    /// Prevents the current request from being sent if no byte of it was written yet.
    ///
    /// Returns whether the request is certainly not sent. The connection is then unusable.
    #[must_use]
    pub fn seal_unsent(&self) -> bool {
        self.gate.seal()
    }

    /// Sends the only request of the connection and returns the head of the response.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] if the connection failed or the head did not arrive within `head_timeout`.
    pub async fn send_once(
        mut self,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Result<Response<Incoming>, Error> {
        let lost = |detail: String| Error::Lost { detail };
        let response = timeout(head_timeout, self.sender.send_request(request))
            .await
            .map_err(|_| lost(format!("no response head within {head_timeout:?}")))?
            .map_err(|error| lost(error.to_string()))?;
        self.gate.end_heads();
        Ok(response)
    }
}

/// Opens a connection, sends a request and returns the head of the response.
///
/// # Errors
///
/// [`Error::Unsent`] if no connection could be opened, [`Error::Lost`] if the connection failed or
/// the head did not arrive within `head_timeout`.
pub async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    head_timeout: Duration,
) -> Result<Response<Incoming>, Error> {
    Connection::open(address).await?.send_once(request, head_timeout).await
}

/// Value of the `Host` header for an address.
#[must_use]
pub fn host_header(address: SocketAddr) -> String {
    address.to_string()
}
