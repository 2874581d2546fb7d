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
use hyper::{Request, Response};
use tokio::time::timeout;

use crate::connection::Connection;
use crate::error::Error;

/// Time limit for a whole body. A body of 4 MB takes 3.2 s on a link of 10 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(6);

/// Read buffer of a connection.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Limits on an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time limit for opening the connection and receiving the head of the response.
    pub head_timeout: Duration,
    /// Longest time without any byte of the body.
    pub idle_timeout: Duration,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
}

/// Sends a request on a new connection and returns the response with its complete body.
///
/// # Errors
///
/// [`Error::Unsent`] if the opening of the connection failed, [`Error::Lost`] if the connection
/// failed later, a time limit was reached (also while the connection was being opened) or the body
/// is too large.
pub async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limits: Limits,
) -> Result<Response<Bytes>, Error> {
    let lost = |detail: &str| Error::Lost { detail: detail.to_owned() };
    let receive_head = async {
        let connection =
            Connection::open_with_buffer(address, limits.head_timeout, READ_BUFFER_BYTES).await?;
        connection.send_once(request, limits.head_timeout).await
    };
    let response = timeout(limits.head_timeout, receive_head)
        .await
        .map_err(|_| lost(&format!("no response head within {:?}", limits.head_timeout)))??;
    let (head, body) = response.into_parts();
    let body = timeout(BODY_TIMEOUT, collect(body, limits));
    let body = body
        .await
        .map_err(|_| lost(&format!("response body incomplete after {BODY_TIMEOUT:?}")))??;
    Ok(Response::from_parts(head, body))
}

async fn collect(mut body: Incoming, limits: Limits) -> Result<Bytes, Error> {
    let lost = |detail: String| Error::Lost { detail };
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(limits.idle_timeout, body.frame());
        let frame = frame.await.map_err(|_| {
            lost(format!("no byte of the response body for {:?}", limits.idle_timeout))
        })?;
        let Some(frame) = frame else { return Ok(bytes.freeze()) };
        let frame = frame.map_err(|error| lost(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > limits.body_bytes {
            return Err(lost(format!("response body larger than {} bytes", limits.body_bytes)));
        }
        bytes.extend_from_slice(&data);
    }
}
