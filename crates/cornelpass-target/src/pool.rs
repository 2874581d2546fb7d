//! Connections to targets that are kept between requests.
//!
//! A connection serves one request at a time. It is kept only after a whole answer, and a request
//! that was written to a connection is never written to another one by this package.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::connection::Connection;
use crate::error::Error;

/// Most idle connections to one target.
const IDLE_LIMIT: usize = 2;

/// Time for which an idle connection is kept, where the target gives none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Part of a target's own idle time after which its connections are not used any more, so that
/// a request does not meet the target's close.
const IDLE_PART: f64 = 0.6;

/// An idle connection.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        now < self.until && self.connection.is_open()
    }
}

/// A connection for one request, closed when it is dropped.
#[derive(Debug)]
pub struct Lease {
    address: SocketAddr,
    connection: Option<Connection>,
    /// Whether it has served another request before.
    pub reused: bool,
}

impl Lease {
    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] if nothing of it was written, and [`Error::Lost`] if the connection broke.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let unsent = || Error::Unsent { detail: "connection was given back".to_owned() };
        self.connection.as_mut().ok_or_else(unsent)?.exchange(request).await
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        // The target must see at once that nobody awaits an answer any more.
        if let Some(connection) = &self.connection {
            connection.close();
        }
    }
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// A pool without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A kept connection, if there is one that still stands.
    pub fn take(&self, now: Instant, address: SocketAddr) -> Option<Lease> {
        let mut idle = self.lock();
        let kept = idle.get_mut(&address)?;
        kept.retain(|kept| kept.is_usable(now));
        let connection = Some(kept.pop()?.connection);
        Some(Lease { address, connection, reused: true })
    }

    /// A new connection.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`].
    pub async fn open(&self, address: SocketAddr, patience: Duration) -> Result<Lease, Error> {
        let connection = Connection::open_within(address, patience).await?;
        Ok(Lease { address, connection: Some(connection), reused: false })
    }

    /// Keeps a connection after a whole answer, for as long as the target says it does.
    pub fn keep(&self, now: Instant, mut lease: Lease, timeout: Option<Duration>) {
        let time = timeout.unwrap_or(IDLE_TIMEOUT).min(IDLE_TIMEOUT).mul_f64(IDLE_PART);
        let mut idle = self.lock();
        let kept = idle.entry(lease.address).or_default();
        kept.retain(|kept| kept.is_usable(now));
        if !time.is_zero()
            && kept.len() < IDLE_LIMIT
            && let Some(connection) = lease.connection.take()
        {
            kept.push(Idle { connection, until: now + time });
        }
    }

    /// Drops the connections that are closed or have been idle for too long.
    pub fn sweep(&self, now: Instant) {
        self.lock().retain(|_, kept| {
            kept.retain(|kept| kept.is_usable(now));
            !kept.is_empty()
        });
    }

    /// Drops the connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
