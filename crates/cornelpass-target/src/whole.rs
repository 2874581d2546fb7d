//! HTTP exchange whose response is buffered in full.
//!
//! A response may be large and the link slow, so the main limit is the time without any byte of the
//! body. The total time of the body is limited as well, so that a peer that sends single bytes
//! cannot block the exchange.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use tokio::time::timeout;

use crate::connection::Connection;
use crate::error::Error;

/// Limits the total time of a body. A body of 4 MB takes 3.2 s on a link of 10 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(6);

/// Read buffer of a connection.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Limits on an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Time to open the connection and receive the head of the response.
    pub head: Duration,
    /// Longest time without any byte of the body.
    pub quiet: Duration,
    /// Largest body, in bytes.
    pub limit: usize,
}

/// Sends a request on a new connection and returns the status and the complete body.
///
/// # Errors
///
/// [`Error::Unsent`] if no connection could be opened, [`Error::Lost`] if the connection failed, a
/// time limit was reached or the body is too large.
pub async fn ask(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limits: Terms,
) -> Result<(StatusCode, Bytes), Error> {
    let lost = |detail: &str| Error::Lost { detail: detail.to_owned() };
    let exchange = async {
        let connection =
            Connection::open_with_buffer(address, limits.head, READ_BUFFER_BYTES).await?;
        connection.send(request, limits.head).await
    };
    let response = timeout(limits.head, exchange)
        .await
        .map_err(|_| lost(&format!("no response head within {:?}", limits.head)))??;
    let status = response.status();
    let body = timeout(BODY_TIMEOUT, collect(response.into_body(), limits));
    let body = body
        .await
        .map_err(|_| lost(&format!("response body incomplete after {BODY_TIMEOUT:?}")))??;
    Ok((status, body))
}

async fn collect(mut body: Incoming, limits: Terms) -> Result<Bytes, Error> {
    let lost = |detail: String| Error::Lost { detail };
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(limits.quiet, body.frame());
        let frame = frame
            .await
            .map_err(|_| lost(format!("no byte of the response body for {:?}", limits.quiet)))?;
        let Some(frame) = frame else { return Ok(bytes.freeze()) };
        let frame = frame.map_err(|error| lost(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > limits.limit {
            return Err(lost(format!("response body larger than {} bytes", limits.limit)));
        }
        bytes.extend_from_slice(&data);
    }
}
