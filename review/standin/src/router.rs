//! Router processes, started with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http::get;
use crate::wait_until;

/// Addresses and files of the routers of one case.
pub struct Fleet {
    /// First three bytes of the addresses; the last byte is the number of the router, from 1.
    prefix: [u8; 3],
    /// Ports for clients, readiness, other routers, reports and operators; the same on all machines.
    ports: [u16; 5],
    directory: PathBuf,
    program: String,
}

/// A router process; dropping it kills the process.
pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    child: Child,
}

impl Fleet {
    /// Finds free addresses and ports, and creates a temporary folder.
    pub fn new(routers: u8) -> std::io::Result<Self> {
        let id = std::process::id();
        let byte = |number: u32| u8::try_from(number % 200 + 20).unwrap_or(20);
        let prefix = [127, byte(id / 200), byte(id)];
        let base = (0..400_u16)
            .map(|step| 21_000 + step * 20)
            .find(|base| (1..=routers).all(|router| is_free(prefix, router, *base)))
            .ok_or_else(|| std::io::Error::other("no free ports"))?;
        let ports = [base, base + 1, base + 2, base + 3, base + 4];
        let directory = std::env::temp_dir().join(format!("cornelpass-review-{id}"));
        std::fs::create_dir_all(&directory)?;
        let program = std::env::var("ROUTER")
            .unwrap_or_else(|_| "target/release/cornelpass-router".to_owned());
        Ok(Self { prefix, ports, directory, program })
    }

    fn address(&self, router: u8, port: usize) -> SocketAddr {
        let [a, b, c] = self.prefix;
        SocketAddr::from(([a, b, c, router], self.ports[port]))
    }

    /// Starts a router with the settings of the template in the deploy folder, filled in with the
    /// figures of the site.
    pub fn start(&self, number: u8, zone: &str, store: SocketAddr) -> std::io::Result<Router> {
        let name = format!("front-{zone}-{number}");
        let [callers, readiness, routers, reports, operators] =
            [0, 1, 2, 3, 4].map(|port| self.address(number, port));
        let settings = format!(
            "interface = \"gateway\"\nseeds = [\"{seed}\"]\n\
             [instance]\nname = \"{name}\"\ndata_centre = \"{zone}\"\n\
             [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\n\
             routers = \"{routers}\"\nreports = \"{reports}\"\noperators = \"{operators}\"\n\
             [platform]\naddress = \"{store}\"\n[limits]\nfiles = 4100\n\
             [log]\nformat = \"json\"\n\
             [bounds]\ncontact = \"3000ms\"\ndrain = \"2000ms\"\ngrace = \"8s\"\n\
             config = \"2000ms\"\nretry_ratio = 0.2\nretry_window = \"10s\"\nretry_slack = 56\n\
             cold_over = 1.5\ncold_slack = 5\nload_multiple = 2\npass = \"120ms\"\nreuse = \"10s\"\n",
            seed = self.address(1, 2),
        );
        let path = self.directory.join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        let log = File::create(self.directory.join(format!("{name}.log")))?;
        let child = Command::new(&self.program)
            .args(["run", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        Ok(Router { name, callers, readiness, child })
    }

    /// Log of a router.
    #[must_use]
    pub fn log(&self, router: &Router) -> String {
        let path = self.directory.join(format!("{}.log", router.name));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

fn is_free([a, b, c]: [u8; 3], router: u8, base: u16) -> bool {
    (base..base + 5).all(|port| {
        let address = SocketAddr::from(([a, b, c, router], port));
        TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
    })
}

impl Router {
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the platform's readiness question is answered with 200.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        get(self.readiness, "/ready").is_ok_and(|response| response.status() == 200)
    }

    /// Waits until the router is ready.
    #[must_use]
    pub fn wait_until_ready(&self) -> bool {
        wait_until(Duration::from_secs(10), || self.is_ready())
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args(["-s", name, &id]).status();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Resident memory of the process in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next());
        kilobytes.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) * 1024
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}
