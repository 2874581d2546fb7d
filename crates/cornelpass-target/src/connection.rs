//! One HTTP/1.1 exchange on a connection of its own.
//!
//! A connection is opened, used for one request and closed. Nothing is sent again: the connection
//! takes its request by value, and a failure after that is [`Error::Lost`] whatever the cause.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::error::Error;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Buffer for what a target sends, in bytes; events are short, and there are many connections.
const READ_BUFFER: usize = 2048;

/// An open connection on which no request is in progress.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Task that does the connection's work.
    task: AbortHandle,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`].
    pub async fn open(address: SocketAddr) -> Result<Self, Error> {
        Self::open_within(address, CONNECT_TIMEOUT).await
    }

    /// Opens a connection within a time.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`].
    pub async fn open_within(address: SocketAddr, patience: Duration) -> Result<Self, Error> {
        Self::open_buffered(address, patience, READ_BUFFER).await
    }

    /// Opens a connection with a buffer of a size in bytes for what arrives.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`].
    pub async fn open_buffered(
        address: SocketAddr,
        patience: Duration,
        buffer: usize,
    ) -> Result<Self, Error> {
        let unsent = |detail: String| Error::Unsent { detail };
        let stream = timeout(patience, TcpStream::connect(address))
            .await
            .map_err(|_| unsent("connect: timed out".to_owned()))?
            .map_err(|error| unsent(format!("connect: {error}")))?;
        stream.set_nodelay(true).map_err(|error| unsent(error.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .read_buf_exact_size(Some(buffer))
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unsent(format!("handshake: {error}")))?;
        let task = tokio::spawn(connection).abort_handle();
        Ok(Self { sender, task })
    }

    /// Whether the connection stands, as far as this end has noticed.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.sender.is_ready()
    }

    /// Closes the connection at once, also in the middle of an answer.
    pub fn close(&self) {
        self.task.abort();
    }

    /// Sends a request and returns the head of the answer; dropping the future closes nothing.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] if nothing of it was written, and [`Error::Lost`] if the connection broke.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        self.sender.try_send_request(request).await.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            let detail = error.into_error().to_string();
            if unsent { Error::Unsent { detail } } else { Error::Lost { detail } }
        })
    }

    /// Sends the connection's only request and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] if the connection broke or the head did not arrive within `patience`.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        patience: Duration,
    ) -> Result<Response<Incoming>, Error> {
        let lost = |detail: String| Error::Lost { detail };
        timeout(patience, self.sender.send_request(request))
            .await
            .map_err(|_| lost("no answer in time".to_owned()))?
            .map_err(|error| lost(error.to_string()))
    }
}

/// Opens a connection, sends a request and returns the head of the answer.
///
/// # Errors
///
/// [`Error::Unsent`] if no connection could be opened, [`Error::Lost`] if it broke or the head
/// did not arrive within `patience`.
pub async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    patience: Duration,
) -> Result<Response<Incoming>, Error> {
    Connection::open(address).await?.send(request, patience).await
}

/// Address as the `Host` header has it.
#[must_use]
pub fn host(address: SocketAddr) -> String {
    address.to_string()
}
