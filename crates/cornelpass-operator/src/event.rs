//! Numbered log events, and the setup of logging.
//!
//! `docs/EVENTS.md` is the catalogue of the events. Operators search logs by the names and numbers
//! of the events, so the variants of [`Code`] and their numbers must not change.

use std::sync::OnceLock;

use snafu::{ResultExt, Whatever};
use strum::{EnumIter, IntoStaticStr};
use tracing::Level;
use tracing_subscriber::EnvFilter;

use crate::writer::Queue;

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::EnumString, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// Plain text, for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Event of the catalogue, with its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[repr(u16)]
pub enum Code {
    /// The process has started to serve.
    Started = 100,
    /// A planned stop has started.
    Stopping = 101,
    /// The process has stopped.
    Stopped = 102,
    /// A listener could not be opened.
    ListenFailed = 103,
    /// The platform's list of instances started or stopped showing the process as leaving.
    Listed = 104,
    /// The process received SIGHUP: its settings have changed.
    Reloaded = 105,
    /// A background task of the process has panicked and is started again.
    TaskRestarted = 106,
    /// A configuration has become active.
    ConfigApplied = 200,
    /// The operators' rows do not pass the checks, the platform names a lower version than the
    /// active one, or a row of the operators or of a router cannot be decoded.
    ConfigRejected = 201,
    /// The platform does not respond.
    PlatformUnreachable = 202,
    /// The platform responds again.
    PlatformReachable = 203,
    /// A newer configuration was received from a peer.
    ConfigFromPeer = 204,
    /// The record of which targets have cached parts of prompts was read from the platform.
    HomesRecalled = 205,
    /// A note of the routers on the platform cannot be decoded.
    NoteUnreadable = 206,
    /// The set of data centres out of service has changed.
    DataCentresOut = 207,
    /// The platform was restored from an older copy.
    PlatformRestored = 208,
    /// A call to the platform that relied on the announcements of other routers was repeated,
    /// because no router announces changes any more.
    PlatformCallRenewed = 209,
    /// A connection to the sidecar of a target was opened.
    LinkOpened = 300,
    /// A connection to the sidecar of a target was lost, or no data arrives on it.
    LinkLost = 301,
    /// The first report of another router arrived, or the first one after its restart.
    PeerJoined = 302,
    /// Reports of a lost router arrive again.
    PeerReturned = 303,
    /// No reports of another router arrive any more.
    PeerLost = 304,
    /// A message to or from another router cannot be encoded, received or decoded.
    PeerUnreadable = 305,
    /// Another router did not respond to a request for its state.
    PeerUnanswered = 306,
    /// Another router does not respond to questions about loads and is excluded as an accountant.
    /// The accountant of a target is the router that counts the requests of all routers there.
    AccountantSilent = 307,
    /// An excluded router responds again and is no longer excluded as an accountant.
    AccountantReturned = 308,
    /// A request was refused.
    Refused = 400,
    /// A request is retried.
    Retried = 401,
    /// A response ended before it was complete.
    AnswerCut = 402,
    /// A request was sent to a target.
    Routed = 403,
    /// The caller of a request has the complete response.
    Answered = 404,
    /// A caller disconnected before its response was complete.
    CallerGone = 405,
    /// An attempt failed: the target returned an error response, or no complete response.
    AttemptFailed = 406,
    /// An error response of a target was forwarded to the caller.
    FailurePassed = 407,
    /// Targets of a service that this router counts are short of room: the limits of classes and
    /// organisations are in force there.
    ContentionStarted = 410,
    /// These targets have room again, and the limits are no longer in force.
    ContentionEnded = 411,
    /// As accountant, this router withheld the room of busy targets from requests.
    RoomWithheld = 412,
    /// This router refused requests from which the room of all targets was withheld.
    ContentionRefused = 413,
    /// The requests of a service differ in priority in the configuration that has become active.
    ClassesApplied = 414,
    /// A running attempt without a response was abandoned for a place at another target.
    AttemptAbandoned = 415,
    /// All targets of a plain service are full, and requests to it are refused.
    ServiceFull = 416,
    /// No request to a plain service has been refused for some time.
    ServiceEased = 417,
    /// Requests with a certain content get an error response from every target.
    FailsEverywhere = 418,
    /// A target closed a new connection before a response: it is near its limit on connections.
    TargetNearCap = 419,
    /// Requests were refused, because all targets of their service name rate limits or are cold.
    RateLimitRefused = 420,
    /// The target has restarted: its load report has a new boot number.
    TargetRestarted = 500,
    /// The target does not respond.
    TargetLost = 501,
    /// A target crashed while it ran a request.
    Suspected = 502,
    /// The standing of a target's health has changed, as this router sees it.
    TargetStanding = 503,
    /// A target with requests in progress does not respond and has not closed its connections, or
    /// has restarted.
    TargetSilent = 504,
    /// A target is about to stop: it announced this in a response, or another router reported the
    /// announcement.
    TargetLeaves = 505,
    /// A target rejected a request, and stated a pause in which it accepts no requests.
    TargetRests = 506,
    /// The platform's row of a target was added, changed or removed, as the platform or another
    /// router reported.
    TargetListed = 507,
    /// Requests with certain features are refused from now on, because they crash targets.
    Quarantined = 508,
    /// Requests with certain features are served again.
    Released = 509,
    /// A row in the platform's table of the targets cannot be decoded and names no target.
    TargetRowMalformed = 510,
    /// As its accountant, this router limits the load of a fresh target, or has ended that.
    SlowStart = 511,
    /// A target has reported for some time that work takes longer than usual, or no longer does.
    TargetPace = 512,
    /// A target does not accept connections of this router.
    TargetContactLost = 513,
    /// A target counts as cold from now on.
    TargetCold = 514,
    /// A target names a rate limit, another one than before, or none any more.
    RateLimit = 515,
    /// A response names a rate limit that is no rate; it has no effect.
    RateLimitMalformed = 516,
    /// The outcome of a call could not be recorded yet.
    ClaimPending = 600,
    /// The outcome of a call is unknown.
    OutcomeUnknown = 601,
    /// The operators ordered to move a service to another version.
    RolloutOrdered = 700,
    /// The order for a service was removed.
    RolloutRemoved = 701,
    /// The new version of a service gets nothing more until the verdict is written.
    RolloutStopped = 702,
    /// All requests of a service go to its new version.
    RolloutSucceeded = 703,
    /// The new version of a service was rejected.
    RolloutRolledBack = 704,
    /// An order to move a service cannot be decoded and has no effect.
    RolloutRejected = 705,
    /// The deciding router has decided on the new version of a service.
    RolloutDecided = 706,
    /// The state of a rollout could not be read from or written to the platform.
    RolloutUnwritten = 707,
    /// Another router has written the state of a rollout first.
    RolloutConflict = 708,
    /// This process did not run for a time during a rollout.
    RolloutSuspended = 709,
    /// Connections were refused, because there were too many.
    ConnectionsRefused = 800,
    /// Connections that were not needed were closed for new ones.
    ConnectionsReplaced = 801,
    /// Connections, requests or bodies of clients were refused, because their memory is used up.
    ClientMemoryFull = 802,
    /// Connections were closed, because the head of a request did not arrive in time.
    HeadsTooSlow = 803,
    /// Requests were refused, because their bodies did not arrive in time.
    BodiesTooSlow = 804,
    /// Connections were closed, because their clients did not read the responses.
    ResponsesUnread = 805,
}

impl Code {
    /// Number in the catalogue.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Name in the catalogue.
    #[must_use]
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// Level at which the event is logged.
    #[must_use]
    pub const fn level(self) -> Level {
        match self {
            Self::ListenFailed
            | Self::ConfigRejected
            | Self::TaskRestarted
            | Self::RolloutRejected => Level::ERROR,
            Self::PlatformUnreachable
            | Self::LinkLost
            | Self::PeerLost
            | Self::AccountantSilent
            | Self::PeerUnreadable
            | Self::NoteUnreadable
            | Self::PlatformRestored
            | Self::AnswerCut
            | Self::TargetRestarted
            | Self::TargetRowMalformed
            | Self::RateLimitMalformed
            | Self::TargetLost
            | Self::TargetSilent
            | Self::TargetContactLost
            | Self::Suspected
            | Self::Quarantined
            | Self::ConnectionsRefused
            | Self::ClientMemoryFull
            | Self::ClaimPending
            | Self::OutcomeUnknown
            | Self::RolloutStopped
            | Self::RolloutRolledBack
            | Self::RolloutUnwritten
            | Self::RolloutSuspended => Level::WARN,
            _ => Level::INFO,
        }
    }
}

/// Logs an event of the catalogue with its fields, unless the event or the process is over its
/// limit of log lines.
///
/// The name of a variable that is passed as a field is the name of the field in the log.
#[macro_export]
macro_rules! log {
    ($code:expr $(, $($field:tt)+)?) => {{
        let code: $crate::event::Code = $code;
        let (number, name) = (code.number(), code.name());
        if let Some(left_out) = $crate::limit::admit(code) {
            match code.level() {
                $crate::event::tracing::Level::ERROR => {
                    $crate::event::tracing::error!(event = number, name, left_out $(, $($field)+)?)
                }
                $crate::event::tracing::Level::WARN => {
                    $crate::event::tracing::warn!(event = number, name, left_out $(, $($field)+)?)
                }
                $crate::event::tracing::Level::INFO => {
                    $crate::event::tracing::info!(event = number, name, left_out $(, $($field)+)?)
                }
                _ => {
                    $crate::event::tracing::debug!(event = number, name, left_out $(, $($field)+)?)
                }
            }
        }
    }};
}

#[doc(hidden)]
pub use tracing;

static QUEUE: OnceLock<Queue> = OnceLock::new();

/// Starts logging to the standard output.
///
/// Lines of level INFO and above are logged, unless the environment variable `CORNELPASS_LOG`
/// contains another valid filter.
///
/// # Errors
///
/// If the thread that writes the log cannot be started.
pub fn init(format: Format) -> Result<(), Whatever> {
    let filter =
        EnvFilter::try_from_env("CORNELPASS_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let queue = Queue::start(std::io::stdout()).whatever_context("cannot start the log thread")?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_writer(QUEUE.get_or_init(|| queue).clone());
    // Fails if the process already logs; the first log then stays in use.
    let _ = match format {
        Format::Text => builder.with_ansi(false).try_init(),
        Format::Json => {
            let builder = builder.json().flatten_event(true);
            builder.with_current_span(false).with_span_list(false).try_init()
        }
    };
    Ok(())
}

/// Waits until the lines logged so far have been written, for a short time at most.
pub fn flush() {
    if let Some(queue) = QUEUE.get() {
        queue.flush();
    }
}
