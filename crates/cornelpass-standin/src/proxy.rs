//! TCP proxy that breaks connections between two processes while both processes work properly.
//!
//! The proxy can silence open connections: it then forwards nothing and closes nothing, while new
//! connections work. It can partition the upstream address, so that no connection works, drop all
//! bytes in one direction, delay bytes, or reset connections. It can also become unreachable like a
//! host without power, which neither closes nor accepts connections.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

/// Size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Fault that applies to all bytes that pass through the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Forwards bytes immediately.
    #[default]
    None,
    /// Forwards bytes after a delay.
    Delay(Duration),
    /// Drops the bytes sent to the upstream address.
    DropToUpstream,
    /// Drops the bytes received from the upstream address.
    DropFromUpstream,
}

/// Faults of one open connection.
#[derive(Debug, Default)]
struct Flags {
    /// The proxy forwards nothing and does not close the connection.
    silent: AtomicBool,
    /// The connection ends with a TCP reset.
    reset: AtomicBool,
}

/// An open connection through the proxy.
struct Connection {
    client: TcpStream,
    upstream: TcpStream,
    flags: Arc<Flags>,
}

#[derive(Default)]
struct State {
    opened: AtomicUsize,
    partitioned: AtomicBool,
    unreachable: AtomicBool,
    fault: Mutex<Fault>,
    connections: Mutex<Vec<Connection>>,
}

impl State {
    fn connections(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fault(&self) -> MutexGuard<'_, Fault> {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Connections that fill the queue of a listener that no longer accepts connections.
const QUEUE_FILLERS: usize = 4;

/// Time limit for opening each connection that fills the queue.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);

/// A proxy for one upstream address. It runs until the process ends.
pub struct Proxy {
    address: SocketAddr,
    listener: Arc<TcpListener>,
    state: Arc<State>,
}

impl Proxy {
    /// Starts a proxy on a free loopback port.
    ///
    /// # Errors
    ///
    /// If the proxy can not listen on a loopback port.
    pub fn start(upstream_address: SocketAddr) -> io::Result<Self> {
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0")?);
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let (shared, accepting) = (Arc::clone(&state), Arc::clone(&listener));
        thread::spawn(move || {
            for stream in accepting.incoming().map_while(Result::ok) {
                if shared.unreachable.load(Ordering::SeqCst) {
                    // The proxy keeps this connection open and stops accepting, so that the queue
                    // fills.
                    std::mem::forget(stream);
                    return;
                }
                if !shared.partitioned.load(Ordering::SeqCst) {
                    let _ = forward(stream, upstream_address, &shared);
                }
            }
        });
        Ok(Self { address, listener, state })
    }

    /// Address that the proxy listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections opened so far.
    #[must_use]
    pub fn connections_opened(&self) -> usize {
        self.state.opened.load(Ordering::SeqCst)
    }

    /// Starts or ends a partition from the upstream address. Open connections become silent for
    /// good, in both cases. During a partition the proxy closes new connections immediately.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.state.partitioned.store(partitioned, Ordering::SeqCst);
        self.silence_connections();
    }

    /// Silences the connections that are open now, for good.
    pub fn silence_connections(&self) {
        for connection in self.state.connections().drain(..) {
            connection.flags.silent.store(true, Ordering::SeqCst);
        }
    }

    /// Makes the address unreachable for good: open connections become silent, and new connections
    /// do not open.
    ///
    /// # Errors
    ///
    /// If the operating system can not shorten the queue of the listener.
    pub fn make_unreachable(&self) -> io::Result<()> {
        self.state.unreachable.store(true, Ordering::SeqCst);
        self.silence_connections();
        rustix::net::listen(&self.listener, 0)?;
        for _ in 0..QUEUE_FILLERS {
            // A connection that does not open shows that the queue is full.
            if let Ok(filler) = TcpStream::connect_timeout(&self.address, FILL_TIMEOUT) {
                std::mem::forget(filler);
            }
        }
        Ok(())
    }

    /// Resets the connections that are open now.
    pub fn reset_connections(&self) {
        for connection in self.state.connections().drain(..) {
            connection.flags.reset.store(true, Ordering::SeqCst);
            for stream in [&connection.client, &connection.upstream] {
                // With a linger time of zero, closing the socket sends a reset. Shutting down the
                // read side ends the copying threads, which hold the socket.
                let _ = set_socket_linger(stream, Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Read);
            }
        }
    }

    /// Replaces the fault that applies to all bytes from now on.
    pub fn set_fault(&self, fault: Fault) {
        *self.state.fault() = fault;
    }
}

fn forward(client: TcpStream, upstream_address: SocketAddr, state: &Arc<State>) -> io::Result<()> {
    let upstream = TcpStream::connect(upstream_address)?;
    client.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let flags = Arc::new(Flags::default());
    let (client_clone, upstream_clone) = (client.try_clone()?, upstream.try_clone()?);
    let connection =
        Connection { client: client_clone, upstream: upstream_clone, flags: Arc::clone(&flags) };
    {
        let mut connections = state.connections();
        // The two copying threads of a connection each hold a reference to its flags until they
        // end.
        connections.retain(|connection| Arc::strong_count(&connection.flags) > 1);
        connections.push(connection);
    }
    state.opened.fetch_add(1, Ordering::SeqCst);
    for (from, to, to_upstream) in [(&client, &upstream, true), (&upstream, &client, false)] {
        let (from, to) = (from.try_clone()?, to.try_clone()?);
        let (flags, state) = (Arc::clone(&flags), Arc::clone(state));
        thread::spawn(move || copy(from, to, &flags, &state, to_upstream));
    }
    Ok(())
}

/// Copies bytes in one direction until the connection ends.
///
/// For a silent connection all bytes are discarded, and so is the end of the connection.
fn copy(mut from: TcpStream, mut to: TcpStream, flags: &Flags, state: &State, to_upstream: bool) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        let fault = *state.fault();
        let dropped =
            fault == if to_upstream { Fault::DropToUpstream } else { Fault::DropFromUpstream };
        if let Fault::Delay(delay) = fault {
            thread::sleep(delay);
        }
        if dropped {
            // Bytes after a gap would corrupt the stream, so the connection stays silent.
            flags.silent.store(true, Ordering::SeqCst);
        }
        if !flags.silent.load(Ordering::SeqCst) && to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    if flags.reset.load(Ordering::SeqCst) {
        return;
    }
    if flags.silent.load(Ordering::SeqCst) {
        // The other side must not notice the end: its socket stays open until the process ends.
        std::mem::forget(to);
        return;
    }
    let _ = to.shutdown(Shutdown::Both);
}
