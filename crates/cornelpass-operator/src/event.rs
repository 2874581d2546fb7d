//! Numbered log events; `docs/EVENTS.md` is their catalogue.

use std::sync::OnceLock;

use snafu::{ResultExt, Whatever};
use strum::{EnumIter, IntoStaticStr};
use tracing::Level;
use tracing_subscriber::EnvFilter;

use crate::writer::Queue;

/// Form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::EnumString, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Event of the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[repr(u16)]
pub enum Code {
    /// The process serves.
    Started = 100,
    /// A planned stop has begun.
    Stopping = 101,
    /// The process has stopped.
    Stopped = 102,
    /// A listener could not be opened.
    ListenFailed = 103,
    /// The platform's instance list shows the process as leaving, or no longer so.
    Listed = 104,
    /// The process was told that its settings have changed.
    Reloaded = 105,
    /// A configuration is in force.
    ConfigApplied = 200,
    /// The operators' rows do not pass the checks.
    ConfigRejected = 201,
    /// The platform does not answer.
    PlatformUnreachable = 202,
    /// The platform answers again.
    PlatformReachable = 203,
    /// A configuration was taken from a peer.
    ConfigFromPeer = 204,
    /// The targets that hold parts of prompts were read from the platform.
    HomesRecalled = 205,
    /// A note on the platform can not be read.
    NoteUnreadable = 206,
    /// The operators take other data centres out of service than before.
    DataCentresOut = 207,
    /// A connection to a target's process is open.
    LinkOpened = 300,
    /// A connection to a target's process was lost or is silent.
    LinkLost = 301,
    /// Another router was heard for the first time, or has started again.
    PeerJoined = 302,
    /// Another router is heard again.
    PeerReturned = 303,
    /// Another router has fallen silent.
    PeerLost = 304,
    /// Something other than a report came from another router.
    PeerUnreadable = 305,
    /// Another router was asked what it knows, and did not answer.
    PeerUnanswered = 306,
    /// Another router does not answer questions about loads, and is passed over.
    AccountantSilent = 307,
    /// It answers again.
    AccountantReturned = 308,
    /// A request was refused.
    Refused = 400,
    /// A request is tried again.
    Retried = 401,
    /// An answer was cut short.
    AnswerCut = 402,
    /// A request was sent to a target.
    Routed = 403,
    /// A request has its whole answer.
    Answered = 404,
    /// A caller left before its answer was whole.
    CallerGone = 405,
    /// An attempt gave no whole answer.
    AttemptFailed = 406,
    /// A target's own failure was passed on.
    FailurePassed = 407,
    /// The target has a new boot number.
    TargetRestarted = 500,
    /// The target does not answer.
    TargetLost = 501,
    /// A content is suspected of crashing targets.
    Suspected = 502,
    /// The router's belief in a target's health has changed.
    TargetStanding = 503,
    /// A target is gone without having closed its connections.
    TargetSilent = 504,
    /// A target has said in an answer that it is about to stop.
    TargetLeaves = 505,
    /// A target has turned a request away and named a time for which it wants nothing.
    TargetRests = 506,
    /// The list says something else of a target.
    TargetListed = 507,
    /// The outcome of a call could not be recorded yet.
    ClaimPending = 600,
    /// A call's outcome is unknown.
    OutcomeUnknown = 601,
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

    /// Level that it is logged at.
    #[must_use]
    pub const fn level(self) -> Level {
        match self {
            Self::ListenFailed | Self::ConfigRejected => Level::ERROR,
            Self::PlatformUnreachable
            | Self::LinkLost
            | Self::PeerLost
            | Self::AccountantSilent
            | Self::PeerUnreadable
            | Self::NoteUnreadable
            | Self::AnswerCut
            | Self::TargetRestarted
            | Self::TargetLost
            | Self::TargetSilent
            | Self::Suspected
            | Self::ClaimPending
            | Self::OutcomeUnknown => Level::WARN,
            _ => Level::INFO,
        }
    }
}

/// Logs an event of the catalogue with its fields, unless there are too many of them.
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
/// # Errors
///
/// If the thread that writes can not be started.
pub fn init(format: Format) -> Result<(), Whatever> {
    let filter =
        EnvFilter::try_from_env("CORNELPASS_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let queue = Queue::open(std::io::stdout()).whatever_context("log")?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_writer(QUEUE.get_or_init(|| queue).clone());
    // A process that logs already goes on as it began.
    let _ = match format {
        Format::Text => builder.with_ansi(false).try_init(),
        Format::Json => {
            let builder = builder.json().flatten_event(true);
            builder.with_current_span(false).with_span_list(false).try_init()
        }
    };
    Ok(())
}

/// Waits for the lines so far, for a short time at most.
pub fn flush() {
    if let Some(queue) = QUEUE.get() {
        queue.flush();
    }
}
