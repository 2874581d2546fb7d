//! One exchange whose answer is taken as a whole.
//!
//! An answer may be large and the link slow, so that what is bounded is the time without any byte of
//! it; the time of all of it is bounded as well, so that a sender of single bytes holds nobody.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use tokio::time::timeout;

use crate::connection::Connection;
use crate::error::Error;

/// Longest time for a body that keeps coming: one of 4 MB takes 3.2 s on a link of 10 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(6);

/// Buffer for what arrives, in bytes.
const READ_BUFFER: usize = 32 * 1024;

/// Limits on an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Time for the head of the answer, the opening of the connection included.
    pub head: Duration,
    /// Time without any byte of the body.
    pub quiet: Duration,
    /// Largest body, in bytes.
    pub limit: usize,
}

/// Sends a request on a new connection, and takes the whole answer.
///
/// # Errors
///
/// [`Error::Unsent`] if no connection could be opened, [`Error::Lost`] if it broke, fell silent, or
/// the body is too large.
pub async fn ask(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    terms: Terms,
) -> Result<(StatusCode, Bytes), Error> {
    let lost = |detail: &str| Error::Lost { detail: detail.to_owned() };
    let exchange = async {
        let connection = Connection::open_buffered(address, terms.head, READ_BUFFER).await?;
        connection.send(request, terms.head).await
    };
    let response = timeout(terms.head, exchange).await.map_err(|_| lost("no answer in time"))??;
    let status = response.status();
    let body = timeout(BODY_TIMEOUT, collect(response.into_body(), terms));
    let body = body.await.map_err(|_| lost("the body did not end in time"))??;
    Ok((status, body))
}

async fn collect(mut body: Incoming, terms: Terms) -> Result<Bytes, Error> {
    let lost = |detail: String| Error::Lost { detail };
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(terms.quiet, body.frame());
        let frame = frame.await.map_err(|_| lost("the body fell silent".to_owned()))?;
        let Some(frame) = frame else { return Ok(bytes.freeze()) };
        let frame = frame.map_err(|error| lost(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > terms.limit {
            return Err(lost(format!("the body is larger than {} bytes", terms.limit)));
        }
        bytes.extend_from_slice(&data);
    }
}
