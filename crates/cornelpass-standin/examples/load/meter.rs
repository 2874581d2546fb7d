//! TCP relay that counts the bytes between the routers and one sidecar.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;

/// Size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 64 * 1024;

/// TCP payload bytes in each direction, over all connections of a relay.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    /// Bytes sent to the sidecar.
    pub(crate) sent: AtomicU64,
    /// Bytes received from the sidecar.
    pub(crate) received: AtomicU64,
}

impl Traffic {
    /// Bytes in both directions.
    pub(crate) fn total(&self) -> u64 {
        self.sent.load(Ordering::Relaxed) + self.received.load(Ordering::Relaxed)
    }
}

/// Relay for one address.
pub(crate) struct Meter {
    /// Address that the relay listens on.
    pub(crate) address: SocketAddr,
    /// Bytes relayed so far.
    pub(crate) traffic: Arc<Traffic>,
}

impl Meter {
    /// Starts a relay on a free loopback port.
    ///
    /// # Errors
    ///
    /// If the relay can not listen on a loopback port.
    pub(crate) fn start(runtime: &Runtime, upstream_address: SocketAddr) -> io::Result<Self> {
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let address = listener.local_addr()?;
        let traffic = Arc::new(Traffic::default());
        let counted = Arc::clone(&traffic);
        runtime.spawn(async move {
            while let Ok((downstream, _)) = listener.accept().await {
                let Ok(upstream) = TcpStream::connect(upstream_address).await else { continue };
                relay(downstream, upstream, &counted);
            }
        });
        Ok(Self { address, traffic })
    }
}

fn relay(downstream: TcpStream, upstream: TcpStream, traffic: &Arc<Traffic>) {
    let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let (sent, received) = (Arc::clone(traffic), Arc::clone(traffic));
    tokio::spawn(async move { copy(downstream_read, upstream_write, &sent.sent).await });
    tokio::spawn(async move { copy(upstream_read, downstream_write, &received.received).await });
}

async fn copy(mut reader: OwnedReadHalf, mut writer: OwnedWriteHalf, count: &AtomicU64) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = reader.read(&mut buffer).await {
        count.fetch_add(length as u64, Ordering::Relaxed);
        if writer.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
