//! Settings of a router that serves the gateway interface.
//!
//! The section `[bounds]` contains the requirements of a deployment. Each of its keys is optional,
//! because a deployment may not know the value; the default applies then.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::client_limits::{self, ClientLimits};
use super::finding::Findings;
use super::reader::{Document, Section};
use super::{EXPECTED_ADDRESS, EXPECTED_NAME, EXPECTED_TIME, Instance, parse_duration, parse_name};
use crate::event::Format;

/// Addresses that a router listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the platform's readiness probes.
    pub readiness: SocketAddr,
    /// Address at which other routers request the state of this router (TCP).
    pub routers: SocketAddr,
    /// Address for reports and other datagrams of other routers (UDP).
    pub reports: SocketAddr,
    /// Address of the console for operators and metric collectors.
    pub operators: SocketAddr,
}

/// Requirements of the deployment, as in the section `[bounds]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Requirements {
    /// Time after a disruption within which a router must be in contact with the platform and the
    /// other routers again. Accepted in settings files; the router does not use it.
    pub contact: Duration,
    /// Time from the announcement that a target is leaving, within which the target must receive
    /// its last new request.
    pub drain: Duration,
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
    /// Time within which a new configuration must be active in all routers.
    pub config: Duration,
    /// Time after a restore of the platform from an older copy within which the operators have
    /// written their orders again.
    pub catch_up: Duration,
    /// Maximum number of retries, as a share of the requests.
    pub retry_ratio: f64,
    /// Period over which the share of retries is measured.
    pub retry_window: Duration,
    /// Number of retries that are allowed on top of the share, of all routers together.
    pub retry_slack: u32,
    /// Maximum number of requests to a cold target in one second, as a multiple of its cold rate.
    pub cold_over: f64,
    /// Number of requests to a cold target that are allowed on top of this multiple.
    pub cold_slack: u32,
    /// Maximum load of a target, as a multiple of the mean load.
    pub load_multiple: f64,
    /// Time from the creation of an event by a target, after which the event counts as forwarded
    /// late. Accepted in settings files; the router does not use it.
    pub pass: Duration,
    /// Time after its last use within which a part of a prompt must not be processed by a second
    /// target. The router remembers for this time which target has the part in its cache.
    pub reuse: Duration,
    /// Maximum number of requests to a version on trial, as a share of the requests of its service.
    pub expose_share: f64,
    /// Number of requests to a version on trial that are allowed on top of the share.
    pub expose_slack: u32,
    /// Time after the 50th bad response of a version on trial within which it must receive its
    /// last request.
    pub rollback: Duration,
}

impl Default for Requirements {
    /// Requirements of a deployment whose settings state none: the users' usual values.
    fn default() -> Self {
        Self {
            contact: Duration::from_secs(3),
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(8),
            config: Duration::from_secs(2),
            catch_up: Duration::from_secs(4),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 50,
            cold_over: 1.5,
            cold_slack: 5,
            load_multiple: 2.0,
            pass: Duration::from_millis(120),
            reuse: Duration::from_secs(10),
            expose_share: 0.1,
            expose_slack: 50,
            rollback: Duration::from_secs(5),
        }
    }
}

/// Settings of a router that serves the gateway interface.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// Name and data centre of the instance that the process is.
    pub instance: Instance,
    /// Addresses that the router listens on.
    pub listen: Listen,
    /// Addresses of routers to contact while the platform does not respond; some may be out of
    /// date.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Limits on what clients may use.
    pub limits: ClientLimits,
    /// Format of the log.
    pub log: Format,
    /// Requirements of the deployment.
    pub requirements: Requirements,
}

/// Parses the settings of a router that serves the gateway interface; `path` is only used in the
/// findings.
///
/// # Errors
///
/// All findings, if there are any.
pub fn parse(path: &Path, text: &str) -> Result<Gateway, Findings> {
    let document = Document::parse(path, text)?;
    let mut root = document.root();
    let _ = root.required("interface", "\"gateway\"", |text| (text == "gateway").then_some(()));
    let seeds = root.list("seeds", EXPECTED_ADDRESS, |text| text.parse().ok());
    let instance = read_instance(&mut root);
    let listen = read_listen(&mut root);
    let mut section = root.required_section("platform");
    let platform = section.required("address", EXPECTED_ADDRESS, |text| text.parse().ok());
    section.report_unknown_keys();
    let limits = client_limits::read(&mut root);
    let mut section = root.optional_section("log");
    let log = section.optional("format", "\"text\" or \"json\"", |text| text.parse().ok());
    section.report_unknown_keys();
    let requirements = read_requirements(&mut root);
    root.report_unknown_keys();
    document.result()?;
    let (Some(instance), Some(listen), Some(platform)) = (instance, listen, platform) else {
        return Err(document.incomplete_error());
    };
    let log = log.unwrap_or_default();
    Ok(Gateway { instance, listen, seeds, platform, limits, log, requirements })
}

fn read_instance(root: &mut Section<'_>) -> Option<Instance> {
    let mut section = root.required_section("instance");
    let instance_name = section.required("name", EXPECTED_NAME, parse_name);
    let data_centre = section.required("data_centre", EXPECTED_NAME, parse_name);
    section.report_unknown_keys();
    Some(Instance { name: instance_name?, data_centre: data_centre? })
}

fn read_listen(root: &mut Section<'_>) -> Option<Listen> {
    let mut section = root.required_section("listen");
    let mut address = |key| section.required(key, EXPECTED_ADDRESS, |text| text.parse().ok());
    let callers = address("callers");
    let readiness = address("readiness");
    let routers = address("routers");
    let reports = address("reports");
    let operators = address("operators");
    section.report_unknown_keys();
    Some(Listen {
        callers: callers?,
        readiness: readiness?,
        routers: routers?,
        reports: reports?,
        operators: operators?,
    })
}

fn read_requirements(root: &mut Section<'_>) -> Requirements {
    let defaults = Requirements::default();
    let mut section = root.optional_section("bounds");
    let mut duration =
        |key, default| section.optional(key, EXPECTED_TIME, parse_duration).unwrap_or(default);
    let contact = duration("contact", defaults.contact);
    let drain = duration("drain", defaults.drain);
    let grace = duration("grace", defaults.grace);
    let config = duration("config", defaults.config);
    let catch_up = duration("catch_up", defaults.catch_up);
    let retry_window = duration("retry_window", defaults.retry_window);
    let pass = duration("pass", defaults.pass);
    let reuse = duration("reuse", defaults.reuse);
    let rollback = duration("rollback", defaults.rollback);
    let mut number = |key, default| section.number(key, 0.0, 1e6).unwrap_or(default);
    let retry_ratio = number("retry_ratio", defaults.retry_ratio);
    let retry_slack = number("retry_slack", f64::from(defaults.retry_slack));
    let cold_over = number("cold_over", defaults.cold_over);
    let cold_slack = number("cold_slack", f64::from(defaults.cold_slack));
    let load_multiple = number("load_multiple", defaults.load_multiple);
    let expose_slack = number("expose_slack", f64::from(defaults.expose_slack));
    let expose_share = section.number("expose_share", 0.0, 1.0).unwrap_or(defaults.expose_share);
    section.report_unknown_keys();
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked above")]
    let to_u32 = |number: f64| number as u32;
    Requirements {
        contact,
        drain,
        grace,
        config,
        catch_up,
        retry_ratio,
        retry_window,
        retry_slack: to_u32(retry_slack),
        cold_over,
        cold_slack: to_u32(cold_slack),
        load_multiple,
        pass,
        reuse,
        expose_share,
        expose_slack: to_u32(expose_slack),
        rollback,
    }
}
