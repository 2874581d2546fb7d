//! Pool of idle connections to targets.
//!
//! A connection serves one request at a time. It returns to the pool only after a complete
//! response. The pool never resends a request: one that was written to a connection is never
//! written to another connection by this package.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::connection::{Connection, Unopened};
use crate::error::Error;

/// Maximum number of idle connections to an address without a limit on its open connections.
const DEFAULT_IDLE_LIMIT: usize = 2;

/// Maximum number of idle connections to any address; each uses some kilobytes.
const MAX_IDLE: usize = 16;

/// Upper limit on the idle time-out that a target announces, and the idle time-out of a target that
/// announces none.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Fraction of the idle time-out after which a connection is not reused, so that no request is sent
/// while the target closes the connection.
const REUSE_FRACTION: f64 = 0.6;

/// Idle connection.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    counted: Arc<()>,
    expires: Instant,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        now < self.expires && self.connection.is_open()
    }
}

/// Connection taken from the pool for one request; dropping the value closes the connection.
#[derive(Debug)]
pub struct PooledConnection {
    address: SocketAddr,
    connection: Option<Connection>,
    /// Counts the connection as open.
    counted: Arc<()>,
    /// Whether the connection has served an earlier request.
    pub reused: bool,
}

impl PooledConnection {
    /// Sends a request and returns the head of the response.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] if no byte of the request was written, [`Error::Lost`] if the connection
    /// failed later.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let unsent =
            || Error::Unsent { detail: "the connection is already back in the pool".to_owned() };
        self.connection.as_mut().ok_or_else(unsent)?.send(request).await
    }

    /// Whether the connection is open, as far as the local end has detected.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.connection.as_ref().is_some_and(Connection::is_open)
    }

    /// Prevents the current request from being sent if no byte of it was written yet.
    ///
    /// Returns whether the request is certainly not sent. The connection is then unusable.
    #[must_use]
    pub fn seal_unsent(&self) -> bool {
        self.connection.as_ref().is_none_or(Connection::seal_unsent)
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        // Close immediately, so that the target detects that the response is no longer needed.
        if let Some(connection) = &self.connection {
            connection.close();
        }
    }
}

/// Connections to one address.
#[derive(Debug, Default)]
struct Site {
    idle: Vec<Idle>,
    /// Shared with each open connection, so that its references count them.
    counted: Arc<()>,
    /// Maximum number of open connections for which an idle one is kept.
    limit: Option<usize>,
}

impl Site {
    fn open_count(&self) -> usize {
        Arc::strong_count(&self.counted) - 1
    }

    /// Whether a connection that is not needed at present is kept.
    fn may_keep(&self) -> bool {
        match self.limit {
            None => self.idle.len() < DEFAULT_IDLE_LIMIT,
            Some(limit) => self.idle.len() < MAX_IDLE && self.open_count() <= limit,
        }
    }

    /// Closes the idle connections that can not be used, and those over the limit, oldest first.
    fn trim(&mut self, now: Instant) {
        self.idle.retain(|idle| idle.is_usable(now));
        let limit = self.limit.unwrap_or(usize::MAX);
        let surplus = self.open_count().saturating_sub(limit).min(self.idle.len());
        self.idle.drain(..surplus);
    }
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    sites: Mutex<BTreeMap<SocketAddr, Site>>,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an idle connection to an address, if there is one that is still open.
    pub fn take_idle(&self, now: Instant, address: SocketAddr) -> Option<PooledConnection> {
        let mut sites = self.lock();
        let site = sites.get_mut(&address)?;
        site.trim(now);
        let Idle { connection, counted, .. } = site.idle.pop()?;
        Some(PooledConnection { address, connection: Some(connection), counted, reused: true })
    }

    /// Opens a new connection, which can be returned to the pool.
    ///
    /// # Errors
    ///
    /// [`Unopened`] if the connection could not be opened in time.
    pub async fn open(
        &self,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<PooledConnection, Unopened> {
        let counted = Arc::clone(&self.lock().entry(address).or_default().counted);
        let connection = Connection::try_open(address, connect_timeout).await?;
        Ok(PooledConnection { address, connection: Some(connection), counted, reused: false })
    }

    /// Returns a connection to the pool after a complete response.
    ///
    /// `idle_timeout` is the time after which the target closes the idle connection, if announced.
    /// A connection over the limit of the address is closed.
    pub fn release(
        &self,
        now: Instant,
        mut pooled: PooledConnection,
        idle_timeout: Option<Duration>,
    ) {
        let reuse_time =
            idle_timeout.unwrap_or(MAX_IDLE_TIMEOUT).min(MAX_IDLE_TIMEOUT).mul_f64(REUSE_FRACTION);
        let mut sites = self.lock();
        let site = sites.entry(pooled.address).or_default();
        site.trim(now);
        if !reuse_time.is_zero()
            && site.may_keep()
            && let Some(connection) = pooled.connection.take()
        {
            let counted = Arc::clone(&pooled.counted);
            site.idle.push(Idle { connection, counted, expires: now + reuse_time });
        }
    }

    /// Sets the limits on open connections by address, and closes the idle connections beyond them.
    ///
    /// An address that is not listed has no limit.
    pub fn set_limits(&self, now: Instant, limits: &BTreeMap<SocketAddr, usize>) {
        let mut sites = self.lock();
        for (address, limit) in limits {
            sites.entry(*address).or_default().limit = Some(*limit);
        }
        for (address, site) in sites.iter_mut() {
            site.limit = limits.get(address).copied();
            site.trim(now);
        }
    }

    /// Closes the idle connections that have expired, and drops those that are closed.
    pub fn remove_expired(&self, now: Instant) {
        self.lock().retain(|_, site| {
            site.trim(now);
            site.open_count() > 0 || site.limit.is_some()
        });
    }

    /// Closes the idle connections to an address.
    pub fn remove(&self, address: SocketAddr) {
        if let Some(site) = self.lock().get_mut(&address) {
            site.idle.clear();
        }
    }

    /// Number of open connections, idle ones included.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.lock().values().map(Site::open_count).sum()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Site>> {
        self.sites.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
