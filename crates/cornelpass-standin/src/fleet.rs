//! A small fleet on loopback: the stand-ins in this process, and the routers and sidecars as child
//! processes.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::engine::Engine;
use crate::http::fetch;
use crate::launcher::{Launcher, has_started};
pub use crate::launcher::{Layout, MODEL, SERVICE};
use crate::platform::{self, Platform};
use crate::process::{Process, WAIT_TIMEOUT};
use crate::service::Service;

/// A running fleet. Dropping it stops everything.
pub struct Fleet {
    /// Routers.
    pub routers: Vec<Process>,
    /// Sidecars of the engines, followed by those of the services.
    pub sidecars: Vec<Process>,
    /// Stand-ins of the engines.
    pub engines: Vec<Engine>,
    /// Stand-ins of the plain services.
    pub services: Vec<Service>,
    /// Stand-in of the platform.
    pub platform: Platform,
    launcher: Launcher,
}

fn listen_on_loopback() -> io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0")
}

impl Fleet {
    /// Starts a fleet and waits until every router is ready.
    ///
    /// # Errors
    ///
    /// If a stand-in or a program does not start.
    pub fn start(layout: Layout) -> io::Result<Self> {
        let platform = platform::serve(listen_on_loopback()?);
        let engines =
            (0..layout.engines).map(|_| Engine::start(listen_on_loopback()?, layout.engine));
        let engines = engines.collect::<io::Result<Vec<_>>>()?;
        let services = (0..layout.services).map(|_| Service::start(listen_on_loopback()?));
        let services = services.collect::<io::Result<Vec<_>>>()?;
        let mut launcher = Launcher::new(layout, platform.address())?;
        launcher.engines = engines.iter().map(Engine::address).collect();
        launcher.services = services.iter().map(Service::address).collect();
        let (sidecars, routers) = launcher.launch()?;
        Ok(Self { routers, sidecars, engines, services, platform, launcher })
    }

    /// Name of a target, by the index of its sidecar.
    #[must_use]
    pub fn target_name(&self, index: usize) -> String {
        self.launcher.target_name(index)
    }

    /// Starts the sidecar of a target, which listens for routers on an address.
    ///
    /// # Errors
    ///
    /// If the sidecar can not be started.
    pub fn start_sidecar(&self, index: usize, listen: &str) -> io::Result<Process> {
        self.start_sidecar_with(index, listen, self.platform.address())
    }

    /// Starts the sidecar of a target, which reaches the platform at the given address.
    ///
    /// # Errors
    ///
    /// If the sidecar can not be started.
    pub fn start_sidecar_with(
        &self,
        index: usize,
        listen: &str,
        platform: SocketAddr,
    ) -> io::Result<Process> {
        self.launcher.start_sidecar_with(index, listen, platform)
    }

    /// Starts a router, which listens for callers on an address.
    ///
    /// # Errors
    ///
    /// If the router can not be started.
    pub fn start_router(&self, index: usize, listen: &str) -> io::Result<Process> {
        self.start_router_with(index, listen, self.platform.address(), "")
    }

    /// Starts a router, which reaches the platform at the given address and has additional lines of
    /// settings.
    ///
    /// # Errors
    ///
    /// If the router can not be started.
    pub fn start_router_with(
        &self,
        index: usize,
        listen: &str,
        platform: SocketAddr,
        extra_settings: &str,
    ) -> io::Result<Process> {
        self.launcher.start_router_with(index, listen, platform, extra_settings)
    }

    /// Rows of the complete declared table, with their keys.
    ///
    /// # Errors
    ///
    /// If a sidecar has not started.
    pub fn config_rows(&self) -> io::Result<Vec<(String, Value)>> {
        self.launcher.config_rows(&self.sidecars)
    }

    /// Writes all rows of the declared table.
    ///
    /// # Errors
    ///
    /// If the platform rejects the commit.
    pub fn write_config(&self) -> io::Result<()> {
        self.write_rows(&self.config_rows()?)
    }

    /// Writes rows of the declared table in one commit, as an operator's editor does.
    ///
    /// # Errors
    ///
    /// If the platform rejects the commit.
    pub fn write_rows(&self, rows: &[(String, Value)]) -> io::Result<()> {
        self.launcher.write_rows(rows)
    }

    /// Address that a router listens on for callers.
    ///
    /// # Errors
    ///
    /// If the router has not started.
    pub fn router_address(&self, index: usize) -> io::Result<SocketAddr> {
        self.routers[index].address("callers")
    }

    /// Waits until each sidecar has started, and each router has its report.
    ///
    /// This also asks the sidecars themselves, since a router may still have the report of the
    /// previous sidecar of a target. Sidecars that do not respond are not waited for.
    ///
    /// # Errors
    ///
    /// If that takes longer than [`WAIT_TIMEOUT`] for one program.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        for sidecar in &self.sidecars {
            let operators = sidecar.address("operators")?;
            wait_until(|| {
                fetch(operators, "GET", "/status", &[], "").map_or(true, |(_, body)| {
                    let status: Value = serde_json::from_str(&body).unwrap_or_default();
                    has_started(&status["report"])
                })
            })?;
        }
        self.launcher.wait_until_ready(&self.routers)
    }

    /// Waits until each router has a report that a target accepts new requests.
    ///
    /// # Errors
    ///
    /// If that takes longer than [`WAIT_TIMEOUT`] for one program.
    pub fn wait_until_serving(&self, index: usize) -> io::Result<()> {
        self.launcher.wait_until_serving(&self.routers, index)
    }
}

/// Polls a condition every 10 ms until it holds.
///
/// # Errors
///
/// If the condition does not hold within [`WAIT_TIMEOUT`].
pub fn wait_until(condition: impl Fn() -> bool) -> io::Result<()> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        if Instant::now() >= deadline {
            return Err(io::Error::from(io::ErrorKind::TimedOut));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}
