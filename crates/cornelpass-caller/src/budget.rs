//! Memory budget for what a process holds for its callers.
//!
//! Each part has an [`Owner`] and is charged at its cost: the capacity of a buffer and the entries
//! of a map, not the length of what they contain. A [`Charge`] counts until it is dropped. A charge
//! over the budget is refused. Bodies of requests and responses over [`SMALL_BODY_BYTES`] leave a
//! part of the budget for everything else, so that requests with small bodies are served while large
//! ones are refused.
//!
//! If a body finds no room, the slowest body that is still arriving is stopped for it, if there is
//! one that has stalled or is slower than the bodies of callers.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::HeaderMap;
use strum::{EnumIter, IntoStaticStr};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Maximum capacity of a body that may use the whole budget, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Part of the budget that larger bodies leave free, as a divisor of the budget.
const SMALL_SHARE_DIVISOR: usize = 8;

/// Time without a byte of a body after which it counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Rate below which a body that still arrives may be stopped, in bytes per second.
///
/// A caller with a link of half a megabit per second is faster.
pub(crate) const MIN_BODY_RATE: u64 = 64 * 1024;

/// Time for a stopped body to free its memory.
const STOP_TIMEOUT: Duration = Duration::from_millis(200);

/// Cost of an entry of a header map: its name, its value, its hash and its links.
const HEADER_BYTES: usize = 112;

/// Copies of the headers of a request: those to forward, and those of the running attempt.
const HEADER_COPIES: usize = 2;

/// Cost of a request apart from its headers and its body: the read buffer of the connection that its
/// headers keep, the state of the request, and the frames and buffers of its response.
const REQUEST_BYTES: usize = 48 * 1024;

/// Part of [`REQUEST_BYTES`] for the data of a response.
const RESPONSE_BYTES: usize = 16 * 1024;

/// Owner of a part of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Owner {
    /// Open connections, with their read buffers.
    Connections,
    /// Requests in progress: their heads, and the buffers of their responses.
    Requests,
    /// Bodies of requests.
    Bodies,
    /// Responses that are buffered until they, or their next event, are complete, and those that
    /// wait for their callers.
    Responses,
}

/// A body that is arriving.
#[derive(Debug)]
struct Arrival {
    started_at: Instant,
    bytes: AtomicUsize,
    /// Time of the last byte, in milliseconds after the start.
    progress_ms: AtomicU64,
    stop: Notify,
}

/// Order in which arriving bodies are stopped: stalled ones first, then the slowest ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_moving: bool,
    rate: u64,
}

impl Arrival {
    /// Rank among the bodies to stop; `None` if the body arrives as fast as those of callers.
    fn rank(&self) -> Option<Rank> {
        let age = self.started_at.elapsed();
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let quiet_ms = age_ms.saturating_sub(self.progress_ms.load(Ordering::Relaxed));
        let is_moving = Duration::from_millis(quiet_ms) < STALL_TIME;
        let bytes = self.bytes.load(Ordering::Relaxed) as u64;
        let rate = bytes.saturating_mul(1_000) / age_ms.max(1);
        (!is_moving || (age >= STALL_TIME && rate < MIN_BODY_RATE))
            .then_some(Rank { is_moving, rate })
    }
}

#[derive(Debug, Default)]
struct Used {
    total: usize,
    by_owner: BTreeMap<Owner, usize>,
    arrivals: BTreeMap<u64, Arc<Arrival>>,
    arrival_count: u64,
}

#[derive(Debug)]
struct Shared {
    limit: usize,
    used: Mutex<Used>,
    freed: Notify,
}

/// Memory budget; its clones share the memory.
#[derive(Clone, Debug)]
pub struct Budget {
    shared: Arc<Shared>,
}

impl Budget {
    /// Creates a budget of a number of bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        let shared = Shared { limit: bytes, used: Mutex::default(), freed: Notify::new() };
        Self { shared: Arc::new(shared) }
    }

    /// Size of the budget, in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.shared.limit
    }

    /// Bytes that are charged to an owner now.
    #[must_use]
    pub fn used(&self, owner: Owner) -> usize {
        self.lock().by_owner.get(&owner).copied().unwrap_or_default()
    }

    /// Charges bytes to an owner, if there is room.
    #[must_use]
    pub fn try_charge(&self, owner: Owner, bytes: usize) -> Option<Charge> {
        let mut charge = Charge { budget: self.clone(), owner, bytes: 0 };
        charge.try_grow(bytes).then_some(charge)
    }

    /// Charges the cost of a request with these headers, if there is room.
    #[must_use]
    pub fn try_charge_request(&self, headers: &HeaderMap) -> Option<Charge> {
        self.try_charge(Owner::Requests, REQUEST_BYTES + headers_cost(headers))
    }

    /// Data of a response, charged until it is dropped; `None` if there is no room.
    ///
    /// A response that is no larger than what a request is charged for it needs no room. The first
    /// response always has room, so that one that is larger than the budget can be sent.
    #[must_use]
    pub fn try_charge_response(&self, data: Bytes) -> Option<Bytes> {
        if data.len() <= RESPONSE_BYTES {
            return Some(data);
        }
        match self.try_charge(Owner::Responses, data.len()) {
            Some(charge) => Some(Bytes::from_owner(Charged { data, _charge: charge })),
            None if self.used(Owner::Responses) == 0 => Some(self.charge_response(data)),
            None => None,
        }
    }

    /// Data of a response, charged until it is dropped, also if there is no room for it.
    #[must_use]
    pub fn charge_response(&self, data: Bytes) -> Bytes {
        if data.len() <= RESPONSE_BYTES {
            return data;
        }
        let mut charge = Charge { budget: self.clone(), owner: Owner::Responses, bytes: 0 };
        charge.add(data.len());
        Bytes::from_owner(Charged { data, _charge: charge })
    }

    /// Registers a response that starts to arrive and is buffered.
    #[must_use]
    pub fn start_response(&self) -> ArrivingResponse {
        ArrivingResponse {
            charge: Charge { budget: self.clone(), owner: Owner::Responses, bytes: 0 },
        }
    }

    /// Registers a body that starts to arrive.
    pub(crate) fn start_body(&self) -> ArrivingBody {
        let arrival = Arc::new(Arrival {
            started_at: Instant::now(),
            bytes: AtomicUsize::new(0),
            progress_ms: AtomicU64::new(0),
            stop: Notify::new(),
        });
        let mut used = self.lock();
        used.arrival_count += 1;
        let number = used.arrival_count;
        used.arrivals.insert(number, Arc::clone(&arrival));
        let charge = Charge { budget: self.clone(), owner: Owner::Bodies, bytes: 0 };
        ArrivingBody { number, arrival, charge }
    }

    /// Stops the slowest body that is arriving; returns false if all arrive as fast as those of
    /// callers.
    fn stop_slowest_body(&self) -> bool {
        let mut used = self.lock();
        let ranked = used.arrivals.iter().filter_map(|(number, arrival)| {
            // A body without memory makes no room.
            (arrival.bytes.load(Ordering::Relaxed) > 0).then_some((arrival.rank()?, *number))
        });
        let Some((_, number)) = ranked.min() else { return false };
        if let Some(arrival) = used.arrivals.remove(&number) {
            arrival.stop.notify_one();
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, Used> {
        self.shared.used.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Cost of the headers of a request, with their copies.
fn headers_cost(headers: &HeaderMap) -> usize {
    let text: usize =
        headers.iter().map(|(name, value)| name.as_str().len() + value.as_bytes().len()).sum();
    HEADER_COPIES * (text + headers.len() * HEADER_BYTES)
}

/// Part of a budget that is in use until this value is dropped.
#[derive(Debug)]
pub struct Charge {
    budget: Budget,
    owner: Owner,
    bytes: usize,
}

impl Charge {
    /// Charged bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Raises the charge to a number of bytes; returns false and leaves it if there is no room.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let Some(added) = bytes.checked_sub(self.bytes) else { return true };
        let limit = self.budget.limit();
        let is_body = matches!(self.owner, Owner::Bodies | Owner::Responses);
        let is_large = is_body && bytes > SMALL_BODY_BYTES;
        let ceiling = if is_large { limit - limit / SMALL_SHARE_DIVISOR } else { limit };
        if self.budget.lock().total.saturating_add(added) > ceiling {
            return false;
        }
        self.add(added);
        true
    }

    fn add(&mut self, bytes: usize) {
        let mut used = self.budget.lock();
        used.total += bytes;
        *used.by_owner.entry(self.owner).or_default() += bytes;
        self.bytes += bytes;
    }

    fn release(&mut self, bytes: usize) {
        let mut used = self.budget.lock();
        used.total -= bytes;
        if let Some(owned) = used.by_owner.get_mut(&self.owner) {
            *owned -= bytes;
        }
        drop(used);
        self.bytes -= bytes;
        self.budget.shared.freed.notify_waiters();
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}

/// Data with its charge.
struct Charged {
    data: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for Charged {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Charge of the buffer of a response that is arriving.
#[derive(Debug)]
pub struct ArrivingResponse {
    charge: Charge,
}

impl ArrivingResponse {
    /// Changes the charge to a capacity; returns false and leaves it if there is no room.
    ///
    /// As in [`Budget::try_charge_response`], a small buffer needs no room, and the only response
    /// always has room.
    #[must_use]
    pub fn resize(&mut self, capacity: usize) -> bool {
        let bytes = if capacity <= RESPONSE_BYTES { 0 } else { capacity };
        let Some(added) = bytes.checked_sub(self.charge.bytes) else {
            self.charge.release(self.charge.bytes - bytes);
            return true;
        };
        let is_only = self.charge.budget.used(Owner::Responses) == self.charge.bytes;
        if !self.charge.try_grow(bytes) {
            if !is_only {
                return false;
            }
            self.charge.add(added);
        }
        true
    }
}

/// Charge of a body that is arriving; other bodies may stop it.
#[derive(Debug)]
pub(crate) struct ArrivingBody {
    number: u64,
    arrival: Arc<Arrival>,
    charge: Charge,
}

impl ArrivingBody {
    /// Raises the charge to a capacity, and stops slower bodies if there is no room; returns false
    /// if there is none.
    pub(crate) async fn grow(&mut self, capacity: usize) -> bool {
        loop {
            let budget = self.charge.budget.clone();
            let freed = budget.shared.freed.notified();
            if self.charge.try_grow(capacity) {
                return true;
            }
            if !budget.stop_slowest_body() || timeout(STOP_TIMEOUT, freed).await.is_err() {
                return self.charge.try_grow(capacity);
            }
        }
    }

    /// Records bytes that have arrived.
    pub(crate) fn record(&self, bytes: usize) {
        self.arrival.bytes.fetch_add(bytes, Ordering::Relaxed);
        let age_ms = self.arrival.started_at.elapsed().as_millis();
        let age_ms = u64::try_from(age_ms).unwrap_or(u64::MAX);
        self.arrival.progress_ms.store(age_ms, Ordering::Relaxed);
    }

    /// Future that ends when the body has to make room for another one.
    pub(crate) fn stopped(&self) -> impl Future<Output = ()> + use<> {
        let arrival = Arc::clone(&self.arrival);
        async move { arrival.stop.notified().await }
    }

    /// Charge of the complete body, which is no longer stopped.
    pub(crate) fn complete(mut self) -> Charge {
        let empty = Charge { budget: self.charge.budget.clone(), owner: Owner::Bodies, bytes: 0 };
        std::mem::replace(&mut self.charge, empty)
    }
}

impl Drop for ArrivingBody {
    fn drop(&mut self) {
        self.charge.budget.lock().arrivals.remove(&self.number);
    }
}
