//! Settings of a process, in TOML, which the process reads once at its start.
//!
//! All errors of a settings file are found before the process opens any socket, and are reported
//! together as [`Finding`]s with their lines. Most fields of the structs are named after the
//! settings keys.
//!
//! ```
//! use std::path::Path;
//! use cornelpass_operator::settings;
//!
//! let findings = settings::parse_router(Path::new("router.toml"), "placement = 7").unwrap_err();
//! assert!(findings.iter().any(|finding| finding.to_string().starts_with("router.toml:1: ")));
//! ```

pub mod client_limits;
mod finding;
pub mod gateway;
mod reader;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

pub use self::finding::{Finding, Findings};
use self::reader::{Document, Section};
use crate::event::Format;

/// Interface that a router serves to callers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Interface {
    /// Chats and calls in the format of this project, which the router sends to the sidecars of the
    /// targets.
    #[default]
    Chat,
    /// HTTP requests that the router forwards unchanged, directly to the targets.
    Gateway,
}

/// Reads which interface a settings file is for; `path` is only used in the findings.
///
/// # Errors
///
/// If the file cannot be parsed, or names an unknown interface.
pub fn parse_interface(path: &Path, text: &str) -> Result<Interface, Findings> {
    let document = Document::parse(path, text)?;
    let mut root = document.root();
    let interface = root.optional("interface", "\"chat\" or \"gateway\"", |text| text.parse().ok());
    document.result()?;
    Ok(interface.unwrap_or_default())
}

/// Maximum time between two reads of the accepted version.
///
/// With a longer time a process could apply a change later than 3 s after it.
pub const MAX_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Names of the placement policies for chats.
pub const PLACEMENTS: [&str; 4] = ["bounded", "random", "least-loaded", "hash"];

/// Name and data centre of a process, as an instance of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: String,
}

/// Access to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Address of the platform's services.
    pub address: SocketAddr,
    /// Time between two reads of the accepted version, at most [`MAX_POLL_INTERVAL`].
    pub poll: Duration,
}

/// Time limits of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Time after the stop signal in which the process still accepts new requests.
    pub notice: Duration,
    /// Maximum time after `notice` for the requests in progress to end.
    pub limit: Duration,
}

impl Default for Drain {
    /// The default limit is longer than the time-out of a chat or a call, 120 s.
    fn default() -> Self {
        Self { notice: Duration::from_secs(3), limit: Duration::from_secs(150) }
    }
}

/// Settings of a router that serves the chat interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Router {
    /// Name and data centre of the instance that the process is.
    pub instance: Instance,
    /// Address that the router serves callers on.
    pub callers: SocketAddr,
    /// Address of the console for operators and metric collectors.
    pub operators: SocketAddr,
    /// Access to the platform.
    pub platform: Platform,
    /// Format of the log.
    pub log: Format,
    /// Sidecars from which the router gets a configuration while the platform does not respond.
    pub peers: Vec<SocketAddr>,
    /// Placement policy for chats; one of [`PLACEMENTS`].
    pub placement: String,
    /// Time limits of a planned stop.
    pub drain: Drain,
}

/// Settings of a sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sidecar {
    /// Name and data centre of the instance that the process is.
    pub instance: Instance,
    /// Address that the sidecar serves routers on.
    pub routers: SocketAddr,
    /// Address of the console for operators and metric collectors.
    pub operators: SocketAddr,
    /// Name of the target in the configuration table.
    pub target: String,
    /// Address of the target.
    pub target_address: SocketAddr,
    /// Access to the platform.
    pub platform: Platform,
    /// Format of the log.
    pub log: Format,
    /// Time limits of a planned stop.
    pub drain: Drain,
}

/// Parses the settings of a router that serves the chat interface; `path` is only used in the
/// findings.
///
/// # Errors
///
/// All findings, if there are any.
pub fn parse_router(path: &Path, text: &str) -> Result<Router, Findings> {
    let document = Document::parse(path, text)?;
    let mut root = document.root();
    let _ = root.optional("interface", "\"chat\"", |text| (text == "chat").then_some(()));
    let placement = root.optional("placement", "bounded, random, least-loaded or hash", |text| {
        PLACEMENTS.contains(&text).then(|| text.to_owned())
    });
    let peers = root.list("peers", "addresses such as \"10.0.0.7:7400\"", |text| text.parse().ok());
    let common = read_common(&mut root);
    let mut listen = root.required_section("listen");
    let callers = listen.required("callers", EXPECTED_ADDRESS, |text| text.parse().ok());
    let operators = listen.required("operators", EXPECTED_ADDRESS, |text| text.parse().ok());
    check_distinct(&mut listen, callers, operators, "callers");
    listen.report_unknown_keys();
    root.report_unknown_keys();
    document.result()?;
    let (Some(common), Some(callers), Some(operators)) = (common, callers, operators) else {
        return Err(document.incomplete_error());
    };
    Ok(Router {
        instance: common.instance,
        callers,
        operators,
        platform: common.platform,
        log: common.log,
        peers,
        placement: placement.unwrap_or_else(|| PLACEMENTS[0].to_owned()),
        drain: common.drain,
    })
}

/// Parses the settings of a sidecar; `path` is only used in the findings.
///
/// # Errors
///
/// All findings, if there are any.
pub fn parse_sidecar(path: &Path, text: &str) -> Result<Sidecar, Findings> {
    let document = Document::parse(path, text)?;
    let mut root = document.root();
    let common = read_common(&mut root);
    let mut listen = root.required_section("listen");
    let routers = listen.required("routers", EXPECTED_ADDRESS, |text| text.parse().ok());
    let operators = listen.required("operators", EXPECTED_ADDRESS, |text| text.parse().ok());
    check_distinct(&mut listen, routers, operators, "routers");
    listen.report_unknown_keys();
    let mut target = root.required_section("target");
    let name = target.required("name", EXPECTED_NAME, parse_name);
    let address = target.required("address", EXPECTED_ADDRESS, |text| text.parse().ok());
    target.report_unknown_keys();
    root.report_unknown_keys();
    document.result()?;
    match (common, routers, operators, name, address) {
        (Some(common), Some(routers), Some(operators), Some(target), Some(target_address)) => {
            Ok(Sidecar {
                instance: common.instance,
                routers,
                operators,
                target,
                target_address,
                platform: common.platform,
                log: common.log,
                drain: common.drain,
            })
        }
        _ => Err(document.incomplete_error()),
    }
}

/// Expected value of an address, for findings.
const EXPECTED_ADDRESS: &str = "an address such as \"10.0.0.7:7400\"";

/// Expected value of a name, for findings.
const EXPECTED_NAME: &str = "a name that is not empty";

/// Expected value of a time, for findings.
const EXPECTED_TIME: &str = "a time with its unit, such as \"500ms\" or \"3s\"";

/// Settings that routers and sidecars have in common.
struct Common {
    instance: Instance,
    platform: Platform,
    log: Format,
    drain: Drain,
}

fn parse_name(text: &str) -> Option<String> {
    (!text.trim().is_empty()).then(|| text.to_owned())
}

/// Parses a time with its unit; the number may have a fraction, as in `0.5s`.
fn parse_duration(text: &str) -> Option<Duration> {
    if let Ok(time) = humantime::parse_duration(text) {
        return Some(time);
    }
    let (number, scale) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    Duration::try_from_secs_f64(number.trim().parse::<f64>().ok()? * scale).ok()
}

/// Reads the settings that routers and sidecars have in common; `None` if a required value is
/// missing.
fn read_common(root: &mut Section<'_>) -> Option<Common> {
    let mut instance = root.required_section("instance");
    let instance_name = instance.required("name", EXPECTED_NAME, parse_name);
    let data_centre = instance.required("data_centre", EXPECTED_NAME, parse_name);
    instance.report_unknown_keys();

    let mut platform = root.required_section("platform");
    let address = platform.required("address", EXPECTED_ADDRESS, |text| text.parse().ok());
    let poll =
        platform.optional("poll", EXPECTED_TIME, parse_duration).unwrap_or(Duration::from_secs(1));
    if poll.is_zero() || poll > MAX_POLL_INTERVAL {
        platform.add_finding(
            "poll",
            "must be more than 0 s and at most 2 s: changes are due within 3 s",
        );
    }
    platform.report_unknown_keys();

    let mut log = root.optional_section("log");
    let format = log.optional("format", "\"text\" or \"json\"", |text| text.parse().ok());
    log.report_unknown_keys();

    let mut drain = root.optional_section("drain");
    let notice =
        drain.optional("notice", EXPECTED_TIME, parse_duration).unwrap_or(Drain::default().notice);
    let limit =
        drain.optional("limit", EXPECTED_TIME, parse_duration).unwrap_or(Drain::default().limit);
    // The limit starts when the notice ends, so a shorter limit would work. It is treated as a
    // mistake.
    if limit < notice {
        drain.add_finding("limit", "must not be shorter than drain.notice");
    }
    drain.report_unknown_keys();

    Some(Common {
        instance: Instance { name: instance_name?, data_centre: data_centre? },
        platform: Platform { address: address?, poll },
        log: format.unwrap_or_default(),
        drain: Drain { notice, limit },
    })
}

/// Adds a finding if two listeners have the same address and the same port.
///
/// Port 0 is allowed: the operating system then chooses different ports.
fn check_distinct(
    listen: &mut Section<'_>,
    address: Option<SocketAddr>,
    operators: Option<SocketAddr>,
    name: &str,
) {
    if address.is_some_and(|address| address.port() != 0) && address == operators {
        listen.add_finding("operators", &format!("must differ from listen.{name}"));
    }
}
