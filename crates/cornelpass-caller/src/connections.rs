//! Open connections of a listener, within limits in total and for each client address.
//!
//! When a limit is reached, a connection that holds its place without need is closed for the new one:
//! one without a request, the oldest first, then one whose body arrives very slowly or whose response
//! is not read. If there is none, the new connection is refused. Other connections with a request in
//! progress are never closed, and idle ones that have served a request only at listeners that
//! announce no idle time ([`Eviction::Idle`]).

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::connection_state::{ConnectionState, Need};
use crate::limit::Limit;
use crate::server::Limits;

/// Which connections are closed when there is no place for a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Eviction {
    /// None: the new connection is refused.
    #[default]
    Never,
    /// The oldest connection on which no request has started, then one whose caller sends or reads
    /// almost nothing.
    Unneeded,
    /// As [`Eviction::Unneeded`], and then the connection that has been idle for longest.
    Idle,
}

#[derive(Debug)]
struct Entry {
    address: IpAddr,
    state: Arc<ConnectionState>,
    close: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Open {
    /// Connections by their number, which rises.
    entries: BTreeMap<u64, Entry>,
    by_address: BTreeMap<IpAddr, usize>,
    last_number: u64,
}

/// Open connections of a listener.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    open: Mutex<Open>,
}

/// Place of an open connection, free again when this value is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    connections: Arc<Connections>,
    number: u64,
    pub(crate) state: Arc<ConnectionState>,
    /// Notified when the connection is to be closed for a new one.
    pub(crate) close: Arc<Notify>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.connections.lock().remove(self.number);
    }
}

/// Whether a new connection has a place.
#[derive(Debug)]
pub(crate) enum Admission {
    /// The connection has a place.
    Admitted(Place),
    /// The connection has the place of another one, which is being closed.
    Replaced(Place),
    /// The connection is over a limit.
    Refused(Limit),
}

impl Connections {
    /// Finds a place for a new connection from an address.
    pub(crate) fn admit(connections: &Arc<Self>, address: IpAddr, limits: &Limits) -> Admission {
        let mut open = connections.lock();
        let of_address = open.by_address.get(&address).copied().unwrap_or_default();
        let (limit, same_address) = if of_address >= limits.connections_per_address {
            (Some(Limit::AddressConnections), Some(address))
        } else {
            let is_full = open.entries.len() >= limits.connections;
            (is_full.then_some(Limit::Connections), None)
        };
        let mut replaced = false;
        if let Some(limit) = limit {
            let Some(number) = open.unneeded(limits.eviction, same_address) else {
                return Admission::Refused(limit);
            };
            if let Some(entry) = open.remove(number) {
                entry.close.notify_one();
            }
            replaced = true;
        }
        let (state, close) = (Arc::<ConnectionState>::default(), Arc::<Notify>::default());
        open.last_number += 1;
        let number = open.last_number;
        let entry = Entry { address, state: Arc::clone(&state), close: Arc::clone(&close) };
        open.entries.insert(number, entry);
        *open.by_address.entry(address).or_default() += 1;
        let place = Place { connections: Arc::clone(connections), number, state, close };
        if replaced { Admission::Replaced(place) } else { Admission::Admitted(place) }
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Open {
    /// Connection to close for a new one, of one address or of all.
    fn unneeded(&self, eviction: Eviction, address: Option<IpAddr>) -> Option<u64> {
        let most = match eviction {
            Eviction::Never => return None,
            Eviction::Unneeded => Need::Unread,
            Eviction::Idle => Need::Idle,
        };
        let candidates = self.entries.iter().filter_map(|(number, entry)| {
            let need = entry.state.need();
            let may_close = need <= most && address.is_none_or(|address| address == entry.address);
            may_close.then_some((need, entry.state.last_end(), *number))
        });
        candidates.min().map(|(_, _, number)| number)
    }

    fn remove(&mut self, number: u64) -> Option<Entry> {
        let entry = self.entries.remove(&number)?;
        if let Some(count) = self.by_address.get_mut(&entry.address) {
            *count -= 1;
            if *count == 0 {
                self.by_address.remove(&entry.address);
            }
        }
        Some(entry)
    }
}
