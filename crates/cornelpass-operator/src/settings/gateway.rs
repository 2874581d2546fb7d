//! Settings of a router that serves the gateway interface.
//!
//! The figures of a deployment stand under `[bounds]`. Each may be left out, since a deployment may
//! not know it; the default is then taken.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::finding::Findings;
use super::reader::{Document, Section};
use super::{ADDRESS, Instance, NAME, TIME, name, time};
use crate::event::Format;

/// Addresses that a router listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the platform's question whether the router is ready.
    pub readiness: SocketAddr,
    /// For other routers that ask for what this one knows (TCP).
    pub routers: SocketAddr,
    /// For what other routers tell (UDP).
    pub reports: SocketAddr,
    /// For operators and collectors.
    pub operators: SocketAddr,
}

/// Figures of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time after a disruption in which a process finds its way back.
    pub contact: Duration,
    /// Time in which a leaving target must see its last new request.
    pub drain: Duration,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
    /// Time in which a configuration is in force everywhere.
    pub config: Duration,
    /// Retries as a share of requests.
    pub retry_ratio: f64,
    /// Time over which that share is taken.
    pub retry_window: Duration,
    /// Retries on top of the share, of all routers together.
    pub retry_slack: u32,
    /// Multiple of its cold rate that a cold target bears in one second.
    pub cold_over: f64,
    /// Requests on top of that.
    pub cold_slack: u32,
    /// Most load of a target as a multiple of the mean.
    pub load_multiple: f64,
    /// Time after which an event that a target made counts as passed on late.
    pub pass: Duration,
    /// Time after its last use within which a part of a prompt is not to be read again.
    pub reuse: Duration,
}

impl Default for Bounds {
    /// The figures of a deployment that states none: the users' usual ones.
    fn default() -> Self {
        Self {
            contact: Duration::from_secs(3),
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(8),
            config: Duration::from_secs(2),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 50,
            cold_over: 1.5,
            cold_slack: 5,
            load_multiple: 2.0,
            pass: Duration::from_millis(120),
            reuse: Duration::from_secs(10),
        }
    }
}

/// Settings of a router that serves the gateway interface.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// Who and where it is.
    pub instance: Instance,
    /// Addresses that it listens on.
    pub listen: Listen,
    /// Routers to ask while the platform is away; some may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Most open files.
    pub files: usize,
    /// Form of the log.
    pub log: Format,
    /// Figures of the deployment.
    pub bounds: Bounds,
}

/// Fewest open files with which a router can serve.
const LEAST_FILES: f64 = 64.0;

/// Open files of a router whose settings do not say.
const USUAL_FILES: f64 = 1024.0;

/// Reads the settings of a router that serves the gateway interface; the path is for the report.
///
/// # Errors
///
/// Everything that is wrong.
pub fn read(path: &Path, text: &str) -> Result<Gateway, Findings> {
    let document = Document::parse(path, text)?;
    let mut root = document.root();
    let _ = root.required("interface", "\"gateway\"", |text| (text == "gateway").then_some(()));
    let seeds = root.list("seeds", ADDRESS, |text| text.parse().ok());
    let instance = instance(&mut root);
    let listen = listen(&mut root);
    let mut section = root.section("platform");
    let platform = section.required("address", ADDRESS, |text| text.parse().ok());
    section.finish();
    let mut section = root.optional_section("limits");
    let files = section.number("files", LEAST_FILES, 1e9).unwrap_or(USUAL_FILES);
    section.finish();
    let mut section = root.optional_section("log");
    let log = section.optional("format", "\"text\" or \"json\"", |text| text.parse().ok());
    section.finish();
    let bounds = bounds(&mut root);
    root.finish();
    document.report()?;
    let (Some(instance), Some(listen), Some(platform)) = (instance, listen, platform) else {
        return Err(document.incomplete());
    };
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked above")]
    let files = files as usize;
    let log = log.unwrap_or_default();
    Ok(Gateway { instance, listen, seeds, platform, files, log, bounds })
}

fn instance(root: &mut Section<'_>) -> Option<Instance> {
    let mut section = root.section("instance");
    let instance_name = section.required("name", NAME, name);
    let data_centre = section.required("data_centre", NAME, name);
    section.finish();
    Some(Instance { name: instance_name?, data_centre: data_centre? })
}

fn listen(root: &mut Section<'_>) -> Option<Listen> {
    let mut section = root.section("listen");
    let mut address = |key| section.required(key, ADDRESS, |text| text.parse().ok());
    let callers = address("callers");
    let readiness = address("readiness");
    let routers = address("routers");
    let reports = address("reports");
    let operators = address("operators");
    section.finish();
    Some(Listen {
        callers: callers?,
        readiness: readiness?,
        routers: routers?,
        reports: reports?,
        operators: operators?,
    })
}

fn bounds(root: &mut Section<'_>) -> Bounds {
    let usual = Bounds::default();
    let mut section = root.optional_section("bounds");
    let mut span = |key, usual| section.optional(key, TIME, time).unwrap_or(usual);
    let contact = span("contact", usual.contact);
    let drain = span("drain", usual.drain);
    let grace = span("grace", usual.grace);
    let config = span("config", usual.config);
    let retry_window = span("retry_window", usual.retry_window);
    let pass = span("pass", usual.pass);
    let reuse = span("reuse", usual.reuse);
    let mut number = |key, usual| section.number(key, 0.0, 1e6).unwrap_or(usual);
    let retry_ratio = number("retry_ratio", usual.retry_ratio);
    let retry_slack = number("retry_slack", f64::from(usual.retry_slack));
    let cold_over = number("cold_over", usual.cold_over);
    let cold_slack = number("cold_slack", f64::from(usual.cold_slack));
    let load_multiple = number("load_multiple", usual.load_multiple);
    section.finish();
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked above")]
    let whole = |number: f64| number as u32;
    Bounds {
        contact,
        drain,
        grace,
        config,
        retry_ratio,
        retry_window,
        retry_slack: whole(retry_slack),
        cold_over,
        cold_slack: whole(cold_slack),
        load_multiple,
        pass,
        reuse,
    }
}
