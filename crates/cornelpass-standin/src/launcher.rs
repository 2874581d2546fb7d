//! Starts the routers and sidecars of a fleet for stand-ins that already run, in this process or in
//! others.
//!
//! The settings files of the programs are in a temporary folder.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::{Map, Value, json};
use uuid::Uuid;

use crate::engine;
use crate::fleet::wait_until;
use crate::http::fetch;
use crate::process::{Process, program_path};

/// Model that the engines serve.
pub const MODEL: &str = "luthier-8b";

/// Name of the plain service.
pub const SERVICE: &str = "orders";

/// Size of a fleet and settings of its parts.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of engines, each with a sidecar.
    pub engines: usize,
    /// Number of targets that run the plain service, each with a sidecar.
    pub services: usize,
    /// Number of routers.
    pub routers: usize,
    /// Number of data centres. Routers and targets are assigned to them in turn.
    pub data_centres: usize,
    /// Number of organisations.
    pub organisations: usize,
    /// Size and speed of the engines.
    pub engine: engine::Options,
    /// Limit of each target and organisation, in units of load.
    pub limit: u32,
    /// Highest number of concurrent requests at a cold engine.
    pub cold_limit: u32,
    /// Shortest duration of an engine's cold start, in seconds.
    pub cold_seconds: u32,
    /// Additional lines for the settings of all routers.
    pub router_settings: String,
    /// Policy row of the declared table.
    pub policy: Value,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            engines: 3,
            services: 1,
            routers: 2,
            data_centres: 3,
            organisations: 3,
            engine: engine::Options::default(),
            limit: 64,
            cold_limit: 4,
            cold_seconds: 0,
            router_settings: String::new(),
            policy: json!({
                "load_multiple_percent": 150, "load_floor": 8, "retry_percent": 20,
            }),
        }
    }
}

/// Addresses of the stand-ins and the folder for settings. Dropping a launcher deletes the folder.
pub struct Launcher {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of the engines.
    pub engines: Vec<SocketAddr>,
    /// Addresses of the plain services.
    pub services: Vec<SocketAddr>,
    layout: Layout,
    folder: PathBuf,
}

impl Launcher {
    /// Launcher for a platform, without engines and services.
    ///
    /// # Errors
    ///
    /// If the temporary folder can not be created.
    pub fn new(layout: Layout, platform: SocketAddr) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("cornelpass-{}", Uuid::new_v4().simple()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self { platform, engines: Vec::new(), services: Vec::new(), layout, folder })
    }

    /// Starts the sidecars, writes the declared table, starts the routers and waits until these are
    /// ready.
    ///
    /// Returns the sidecars and the routers.
    ///
    /// # Errors
    ///
    /// If a program does not start, or the platform rejects the table.
    pub fn launch(&self) -> io::Result<(Vec<Process>, Vec<Process>)> {
        let listen = "127.0.0.1:0";
        let sidecars = (0..self.engines.len() + self.services.len())
            .map(|index| self.start_sidecar_with(index, listen, self.platform))
            .collect::<io::Result<Vec<_>>>()?;
        self.write_rows(&self.config_rows(&sidecars)?)?;
        let routers = (0..self.layout.routers)
            .map(|index| self.start_router_with(index, listen, self.platform, ""))
            .collect::<io::Result<Vec<_>>>()?;
        self.wait_until_ready(&routers)?;
        Ok((sidecars, routers))
    }

    /// Name of a target, by the index of its sidecar.
    #[must_use]
    pub fn target_name(&self, index: usize) -> String {
        let engines = self.layout.engines;
        if index < engines {
            format!("engine-{}", index + 1)
        } else {
            format!("service-{}", index - engines + 1)
        }
    }

    fn data_centre_name(&self, index: usize) -> String {
        format!("dc-{}", index % self.layout.data_centres.max(1) + 1)
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
        let target = self.target_name(index);
        let address = match self.engines.get(index) {
            Some(engine) => *engine,
            None => self.services[index - self.layout.engines],
        };
        let settings = format!(
            "[instance]\nname = \"beside-{target}\"\ndata_centre = \"{}\"\n\
             [listen]\nrouters = \"{listen}\"\noperators = \"127.0.0.1:0\"\n\
             [target]\nname = \"{target}\"\naddress = \"{address}\"\n\
             [platform]\naddress = \"{platform}\"\n[log]\nformat = \"json\"\n",
            self.data_centre_name(index),
        );
        let path = self.folder.join(format!("{target}.toml"));
        std::fs::write(&path, settings)?;
        Process::start(&program_path("cornelpass-sidecar")?, &path)
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
        let name = format!("router-{}", index + 1);
        let settings = format!(
            "{}\n{extra_settings}\n[instance]\nname = \"{name}\"\ndata_centre = \"{}\"\n\
             [listen]\ncallers = \"{listen}\"\noperators = \"127.0.0.1:0\"\n\
             [platform]\naddress = \"{platform}\"\n[log]\nformat = \"json\"\n",
            self.layout.router_settings,
            self.data_centre_name(index),
        );
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        Process::start(&program_path("cornelpass-router")?, &path)
    }

    /// Rows of the complete declared table, with their keys.
    ///
    /// # Errors
    ///
    /// If a sidecar has not started.
    pub fn config_rows(&self, sidecars: &[Process]) -> io::Result<Vec<(String, Value)>> {
        let mut rows = vec![("config/policy".to_owned(), self.layout.policy.clone())];
        for index in 0..self.layout.organisations {
            let row = json!({"weight": 1, "limit": self.layout.limit, "in_service": true});
            rows.push((format!("config/organisation/org-{}", index + 1), row));
        }
        for index in 0..self.layout.data_centres {
            let row = json!({"region": "norte", "in_service": true});
            rows.push((format!("config/data_centre/{}", self.data_centre_name(index)), row));
        }
        for (index, sidecar) in sidecars.iter().enumerate() {
            let is_engine = index < self.layout.engines;
            let row = json!({
                "data_centre": self.data_centre_name(index),
                "kind": if is_engine { "model" } else { "service" },
                "serves": if is_engine { MODEL } else { SERVICE },
                "address": sidecar.address("routers")?.to_string(),
                "weight": 1,
                "limit": self.layout.limit,
                "cold_limit": if is_engine { self.layout.cold_limit } else { self.layout.limit },
                "cold_seconds": if is_engine { self.layout.cold_seconds } else { 0 },
                "in_service": true,
            });
            rows.push((format!("config/target/{}", self.target_name(index)), row));
        }
        Ok(rows)
    }

    /// Writes rows of the declared table in one commit, as an operator's editor does.
    ///
    /// # Errors
    ///
    /// If the platform rejects the commit.
    pub fn write_rows(&self, rows: &[(String, Value)]) -> io::Result<()> {
        let put_json = |(key, value): &(String, Value)| json!({"key": key, "value": value});
        let puts: Vec<Value> = rows.iter().map(put_json).collect();
        let commit = json!({
            "conditions": [], "prefix_conditions": [], "puts": puts, "deletes": [],
        });
        let (status, body) =
            fetch(self.platform, "POST", "/v1/table/commit", &[], &commit.to_string())?;
        if status == 200 { Ok(()) } else { Err(io::Error::other(body)) }
    }

    /// Waits until each router has a report of each target, and each report shows a sidecar that
    /// has started.
    ///
    /// # Errors
    ///
    /// If that takes longer than [`crate::process::WAIT_TIMEOUT`] for one program.
    pub fn wait_until_ready(&self, routers: &[Process]) -> io::Result<()> {
        self.wait_for_reports(routers, |targets| {
            targets.len() == self.engines.len() + self.services.len()
                && targets.values().all(|target| has_started(&target["report"]))
        })
    }

    /// Waits until each router has a report that a target accepts new requests.
    ///
    /// # Errors
    ///
    /// If that takes longer than [`crate::process::WAIT_TIMEOUT`] for one program.
    pub fn wait_until_serving(&self, routers: &[Process], index: usize) -> io::Result<()> {
        let name = self.target_name(index);
        self.wait_for_reports(routers, |targets| {
            let state = targets.get(&name).map(|target| &target["report"]["state"]);
            state.is_some_and(|state| state == "warming" || state == "steady")
        })
    }

    /// Waits until a condition holds for the targets that each router shows on its status page.
    fn wait_for_reports(
        &self,
        routers: &[Process],
        condition: impl Fn(&Map<String, Value>) -> bool,
    ) -> io::Result<()> {
        for router in routers {
            let operators = router.address("operators")?;
            wait_until(|| {
                let Ok((_, body)) = fetch(operators, "GET", "/status", &[], "") else {
                    return false;
                };
                let status: Value = serde_json::from_str(&body).unwrap_or_default();
                status["targets"].as_object().is_some_and(&condition)
            })?;
        }
        Ok(())
    }
}

impl Drop for Launcher {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub(crate) fn has_started(report: &Value) -> bool {
    report["state"].as_str().is_some_and(|state| state != "starting")
}
