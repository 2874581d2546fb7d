//! HTTP server of the stand-ins, and a client for single requests.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

/// Body of a response.
pub type Body = BoxBody<Bytes, io::Error>;

/// HTTP/1.1 server that runs until it is dropped.
pub struct Server {
    address: SocketAddr,
    runtime: Option<Runtime>,
    /// Task that accepts connections.
    accepting: JoinHandle<()>,
}

impl Server {
    /// Starts a server on a listener. The handler returns the response to a request, or none to
    /// close the connection without a response.
    ///
    /// # Errors
    ///
    /// If the listener or the runtime can not be used.
    pub fn start<F, R>(listener: TcpListener, handler: F) -> io::Result<Self>
    where
        F: Fn(Request<Bytes>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Option<Response<Body>>> + Send + 'static,
    {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(2).enable_all().build()?;
        let accepting = runtime.spawn(async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let handler = handler.clone();
                tokio::spawn(async move {
                    let _ = stream.set_nodelay(true);
                    let service = service_fn(move |request| serve(request, handler.clone()));
                    let connection = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service);
                    let _ = connection.await;
                });
            }
        });
        Ok(Self { address, runtime: Some(runtime), accepting })
    }

    /// Closes the listener and then all connections, as the end of a process does.
    ///
    /// Must not be called from a task of an asynchronous runtime.
    pub fn kill(mut self) {
        self.accepting.abort();
        if let Some(runtime) = self.runtime.take() {
            // The listener is closed when the aborted task has ended.
            let _ = runtime.block_on(&mut self.accepting);
            runtime.shutdown_background();
        }
    }

    /// Address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn serve<F, R>(request: Request<Incoming>, handler: F) -> io::Result<Response<Body>>
where
    F: Fn(Request<Bytes>) -> R,
    R: Future<Output = Option<Response<Body>>>,
{
    let (parts, body) = request.into_parts();
    let bytes = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let response = handler(Request::from_parts(parts, bytes)).await;
    response.ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionAborted))
}

/// Body that consists of a complete text.
#[must_use]
pub fn full_body(text: impl Into<Bytes>) -> Body {
    Full::new(text.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// Response with a status and a JSON body.
#[must_use]
pub fn json_response(status: u16, body: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(full_body(body.to_string()));
    if let Ok(status) = status.try_into() {
        *response.status_mut() = status;
    }
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}

/// Value of a parameter in a query, still percent-encoded; none if the query lacks the parameter.
#[must_use]
pub fn query_parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Sends one request and returns the status and the body of the response.
///
/// # Errors
///
/// If no complete response in UTF-8 arrives within 60 seconds.
pub fn fetch(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<(u16, String)> {
    let method = minreq::Method::Custom(method.to_owned());
    let mut request = minreq::Request::new(method, format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.with_header(*name, *value);
    }
    let response = request.with_body(body).with_timeout(60).send().map_err(io::Error::other)?;
    let text = response.as_str().map_err(io::Error::other)?;
    Ok((response.status_code, text.to_owned()))
}
