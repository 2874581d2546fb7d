//! Settings that limit what clients may use: the section `[limits]`.
//!
//! Only `files` and `memory_mb` describe the instance; the defaults of the other keys are derived
//! from them, so that no client within the limits of the configuration reaches them in calm.

use std::time::Duration;

use super::reader::Section;
use super::{EXPECTED_TIME, parse_duration};

/// Bytes of a megabyte, as in `memory_mb`.
const MEGABYTE: usize = 1024 * 1024;

/// Memory of the program, the configuration, and the state of targets and routers, in bytes.
const PROCESS_BYTES: usize = 16 * MEGABYTE;

/// Memory that the process uses for each charged byte, in tenths.
///
/// The allocator keeps freed blocks: after bursts of large bodies a process held up to 2.6 times
/// what was charged. Divided by 2.2, one crowd exceeded the memory of its
/// instance by 2%.
const ALLOCATED_TENTHS: usize = 30;

/// Part of the memory for clients that connections may use by default, as a divisor.
const CONNECTION_SHARE_DIVISOR: usize = 2;

/// Memory that a connection is charged, in bytes.
pub const CONNECTION_BYTES: usize = 24 * 1024;

/// Files that are kept for the store, the log and the process, at most; an eighth of all files if
/// that is less.
const MAX_KEPT_FILES: usize = 200;

/// Minimum and maximum default of `listener_connections`.
const LISTENER_CONNECTIONS: (usize, usize) = (4, 64);

/// Number of listeners other than the one for callers.
const OTHER_LISTENERS: usize = 3;

/// Minimum number of open files with which a router can serve; `f64`, as `Section::number` reads
/// it.
const MIN_FILES: f64 = 64.0;

/// Maximum number of open files if the settings do not state it.
const DEFAULT_FILES: usize = 1024;

/// Minimum memory with which a router can serve, in megabytes; `f64`, as `Section::number` reads
/// it.
const MIN_MEMORY_MB: f64 = 64.0;

/// Maximum memory if the settings do not state it, in megabytes.
const DEFAULT_MEMORY_MB: usize = 256;

/// Maximum number of headers of a request if the settings do not state it.
///
/// Many HTTP servers, targets among them, refuse more than 100.
const DEFAULT_HEADERS: usize = 64;

/// Limits on what clients may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum number of open files and connections.
    pub files: usize,
    /// Maximum memory of the process, in bytes.
    pub memory_bytes: usize,
    /// Maximum memory that is held for clients, in bytes.
    pub client_memory_bytes: usize,
    /// Maximum number of open connections at the address for callers.
    pub connections: usize,
    /// Maximum number of open connections there from one client address.
    pub connections_per_address: usize,
    /// Maximum number of open connections at each of the addresses for readiness, operators and
    /// other routers.
    pub listener_connections: usize,
    /// Maximum number of headers of a request.
    pub headers: usize,
    /// Time limit for a body to arrive.
    pub body_timeout: Duration,
    /// Time after which a connection is closed whose client reads nothing of a response.
    pub unread_timeout: Duration,
}

impl ClientLimits {
    /// Limits of an instance with a number of files and an amount of memory.
    #[must_use]
    pub fn new(files: usize, memory_bytes: usize) -> Self {
        let client_memory_mb = memory_bytes.saturating_sub(PROCESS_BYTES) / MEGABYTE * 10;
        let client_memory_bytes = client_memory_mb / ALLOCATED_TENTHS * MEGABYTE;
        let (least, most) = LISTENER_CONNECTIONS;
        let listener_connections = (files / 16).clamp(least, most);
        let kept =
            MAX_KEPT_FILES.min(files / 8) + OTHER_LISTENERS * with_refusals(listener_connections);
        // A caller's connection needs one to a target, and an eighth more receive a refusal.
        let by_files = (files - kept) * 8 / 17;
        let by_memory = client_memory_bytes / CONNECTION_SHARE_DIVISOR / CONNECTION_BYTES;
        let connections = by_files.min(by_memory);
        Self {
            files,
            memory_bytes,
            client_memory_bytes,
            connections,
            connections_per_address: connections,
            listener_connections,
            headers: DEFAULT_HEADERS,
            body_timeout: Duration::from_secs(10),
            unread_timeout: Duration::from_secs(30),
        }
    }
}

/// Files of a number of connections and of those that receive a refusal at the same time.
const fn with_refusals(connections: usize) -> usize {
    connections + connections.div_ceil(8)
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self::new(DEFAULT_FILES, DEFAULT_MEMORY_MB * MEGABYTE)
    }
}

/// Reads the section `[limits]`.
pub(super) fn read(root: &mut Section<'_>) -> ClientLimits {
    let mut section = root.optional_section("limits");
    let mut number = |key, least, most| {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked")]
        section.number(key, least, most).map(|number| number as usize)
    };
    let files = number("files", MIN_FILES, 1e9).unwrap_or(DEFAULT_FILES);
    let memory_mb = number("memory_mb", MIN_MEMORY_MB, 1e6).unwrap_or(DEFAULT_MEMORY_MB);
    let defaults = ClientLimits::new(files, memory_mb.saturating_mul(MEGABYTE));
    let client_memory_bytes = number("client_memory_mb", 1.0, 1e6)
        .map_or(defaults.client_memory_bytes, |megabytes| megabytes.saturating_mul(MEGABYTE));
    let connections = number("connections", 1.0, 1e9).unwrap_or(defaults.connections);
    let connections_per_address =
        number("connections_per_address", 1.0, 1e9).unwrap_or(connections);
    let listener_connections =
        number("listener_connections", 1.0, 1e9).unwrap_or(defaults.listener_connections);
    let headers = number("headers", 1.0, 1e4).unwrap_or(defaults.headers);
    let mut time =
        |key, default| section.optional(key, EXPECTED_TIME, parse_duration).unwrap_or(default);
    let body_timeout = time("body_timeout", defaults.body_timeout);
    let unread_timeout = time("unread_timeout", defaults.unread_timeout);
    section.report_unknown_keys();
    ClientLimits {
        client_memory_bytes,
        connections,
        connections_per_address,
        listener_connections,
        headers,
        body_timeout,
        unread_timeout,
        ..defaults
    }
}
