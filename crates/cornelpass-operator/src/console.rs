//! Read-only HTTP console of a process: health, readiness, metrics, status and placement decisions.
//!
//! The console is served with `tiny_http`, on an address that is for operators and collectors only.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use snafu::{ResultExt, Whatever};
use tiny_http::{Header, Response, Server};

/// Contents of the console's pages.
pub trait Pages: Send + Sync {
    /// Reason why the process is not ready; `None` if it is ready.
    fn unready_reason(&self) -> Option<String>;

    /// Active configuration and state of the process, as JSON.
    fn status(&self) -> String;

    /// Target that a chat would be sent to now, with the reasons, as JSON; `query` is the query of
    /// the URL and describes the chat.
    ///
    /// A sidecar, which places no chats, returns JSON with an error text instead.
    fn explain(&self, query: &str) -> String;

    /// Metrics, in the text format of Prometheus.
    fn metrics(&self) -> String;
}

/// A console that is served until it is dropped.
pub struct Console {
    server: Arc<Server>,
    address: SocketAddr,
}

impl Console {
    /// Serves the console on a listener, on a new thread.
    ///
    /// # Errors
    ///
    /// If the listener cannot be used.
    pub fn start(listener: TcpListener, pages: Arc<dyn Pages>) -> Result<Self, Whatever> {
        let address = listener.local_addr().whatever_context("console: no local address")?;
        let server = match Server::from_listener(listener, None) {
            Ok(server) => Arc::new(server),
            Err(error) => snafu::whatever!("console: {error}"),
        };
        let thread_server = Arc::clone(&server);
        thread::spawn(move || {
            for request in thread_server.incoming_requests() {
                let (status, content_type, body) = respond(request.url(), pages.as_ref());
                let response = Response::from_string(body).with_status_code(status);
                let response = match Header::from_bytes("Content-Type", content_type) {
                    Ok(header) => response.with_header(header),
                    Err(()) => response,
                };
                // Fails if the client has disconnected.
                let _ = request.respond(response);
            }
        });
        Ok(Self { server, address })
    }

    /// Address that the console is served on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Console {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

/// Returns the status code, the content type and the body of the response to a URL.
fn respond(url: &str, pages: &dyn Pages) -> (u16, &'static str, String) {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    match path {
        "/healthz" => (200, "text/plain", "ok\n".to_owned()),
        "/readyz" => match pages.unready_reason() {
            None => (200, "text/plain", "ready\n".to_owned()),
            Some(reason) => (503, "text/plain", format!("{reason}\n")),
        },
        "/metrics" => (200, "text/plain; version=0.0.4", pages.metrics()),
        "/status" => (200, "application/json", pages.status()),
        "/explain" => (200, "application/json", pages.explain(query)),
        _ => (404, "text/plain", "not found\n".to_owned()),
    }
}
