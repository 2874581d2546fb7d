//! Interface between the HTTP server and the code that handles its requests.

use async_trait::async_trait;
use hyper::{Request, Response};

use crate::response::Body;
use crate::tracked_body::RequestBody;

/// Handles the requests of a server.
#[async_trait]
pub trait Responder: Send + Sync + 'static {
    /// Returns the response to a request.
    ///
    /// The server drops the future when the caller disconnects before the response has started.
    async fn respond(&self, request: Request<RequestBody>) -> Response<Body>;
}
