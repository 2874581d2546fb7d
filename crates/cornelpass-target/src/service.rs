//! Clients of plain services.
//!
//! Some calls must not be repeated. A connection therefore takes exactly one call, which it sends
//! once.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cornelpass_core::claim::Answer;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::header::HeaderValue;
use tokio::time::timeout;

use crate::connection;
use crate::error::Error;

/// Maximum size of a response body, in bytes.
const RESPONSE_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Call of a plain service.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query at the service.
    pub path: &'a str,
    /// Organisation of the caller.
    pub organisation: &'a str,
    /// Content type of the body.
    pub content_type: &'a str,
    /// Body.
    pub body: &'a str,
    /// Idempotency key, forwarded to the service.
    pub key: Option<&'a str>,
}

/// Plain service.
#[async_trait]
pub trait Service: Send + Sync {
    /// Opens a connection for one call.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] if the connection could not be opened.
    async fn open(&self) -> Result<Box<dyn Connection>, Error>;
}

/// Open connection to a service, for one call.
#[async_trait]
pub trait Connection: Send {
    /// Sends the call once and reads the complete response, which may have any status.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] if the complete response did not arrive within `time_limit`,
    /// [`Error::Unsent`] if the call cannot be encoded as an HTTP request.
    async fn call(self: Box<Self>, call: &Call<'_>, time_limit: Duration) -> Result<Answer, Error>;
}

/// Service that is called over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct Http {
    address: SocketAddr,
}

impl Http {
    /// Creates a client of the service at an address.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

/// Connection of [`Http`].
struct HttpConnection {
    address: SocketAddr,
    connection: connection::Connection,
}

impl HttpConnection {
    fn request(&self, call: &Call<'_>) -> Result<Request<Full<Bytes>>, Error> {
        let mut builder = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header("host", connection::host_header(self.address))
            .header("content-type", call.content_type)
            .header("x-organisation", call.organisation);
        if let Some(key) = call.key {
            builder = builder.header("idempotency-key", key);
        }
        builder
            .body(Full::new(Bytes::from(call.body.to_owned())))
            .map_err(|error| Error::Unsent { detail: error.to_string() })
    }
}

#[async_trait]
impl Service for Http {
    async fn open(&self) -> Result<Box<dyn Connection>, Error> {
        let connection = connection::Connection::open(self.address).await?;
        Ok(Box::new(HttpConnection { address: self.address, connection }))
    }
}

#[async_trait]
impl Connection for HttpConnection {
    async fn call(self: Box<Self>, call: &Call<'_>, time_limit: Duration) -> Result<Answer, Error> {
        let request = self.request(call)?;
        let response = exchange(self.connection, request, time_limit);
        let late = |_| Error::Lost { detail: format!("response incomplete after {time_limit:?}") };
        timeout(time_limit, response).await.map_err(late)?
    }
}

/// Sends a request and reads the complete response.
async fn exchange(
    connection: connection::Connection,
    request: Request<Full<Bytes>>,
    time_limit: Duration,
) -> Result<Answer, Error> {
    let response = connection.send_once(request, time_limit).await?;
    let status = response.status().as_u16();
    let header = response.headers().get("content-type").map(HeaderValue::to_str);
    let content_type = header.and_then(Result::ok).unwrap_or("text/plain").to_owned();
    let body = Limited::new(response.into_body(), RESPONSE_LIMIT_BYTES).collect().await;
    let body = body.map_err(|error| Error::Lost { detail: error.to_string() })?.to_bytes();
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Answer { status, content_type, body })
}
