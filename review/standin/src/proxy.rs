//! TCP proxy whose open connections can go silent: nothing more passes on them, in either
//! direction, and neither side is told. New connections work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// The proxy; clones share its connections.
#[derive(Clone)]
pub struct Proxy {
    address: SocketAddr,
    open: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
}

impl Proxy {
    /// Starts a proxy in front of an address, on a free port.
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Self { address: listener.local_addr()?, open: Arc::default() };
        let shared = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let silent = Arc::new(AtomicBool::new(false));
                if let Ok(mut open) = shared.open.lock() {
                    open.retain(|connection| Arc::strong_count(connection) > 1);
                    open.push(Arc::clone(&silent));
                }
                let Ok(server) = TcpStream::connect(target) else { continue };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(client_half), Ok(server_half)) = (client.try_clone(), server.try_clone())
                else {
                    continue;
                };
                let other = Arc::clone(&silent);
                thread::spawn(move || forward(client_half, server, &other));
                thread::spawn(move || forward(server_half, client, &silent));
            }
        });
        Ok(proxy)
    }

    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Silences the connections that are open now, for good; returns their number.
    pub fn silence_open(&self) -> usize {
        let Ok(open) = self.open.lock() else { return 0 };
        let live = open.iter().filter(|connection| Arc::strong_count(connection) > 1);
        live.map(|connection| connection.store(true, Ordering::SeqCst)).count()
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let length = from.read(&mut buffer).unwrap_or(0);
        if silent.load(Ordering::SeqCst) {
            // The other side learns of nothing, not even of the end of the connection. The sockets
            // stay open until the case ends.
            if length == 0 {
                std::mem::forget((from, to));
                return;
            }
            continue;
        }
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
