//! Errors as problem reports (`application/problem+json`, RFC 9457).

use std::time::Duration;

use cornelpass_core::refusal::{Execution, Reason};
use hyper::StatusCode;
use serde::Serialize;

/// Content type of a problem report.
pub const CONTENT_TYPE: &str = "application/problem+json";

/// Error that a caller receives in place of a response, or at the end of an incomplete stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Reason for the error; it determines the HTTP status.
    pub reason: Reason,
    /// Whether the request may have run.
    pub execution: Execution,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Explanation for a person.
    pub detail: String,
}

/// JSON object of a problem report; the field names are the JSON keys.
#[derive(Serialize)]
struct Report<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    reason: &'a str,
    run: Execution,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_seconds: Option<u64>,
}

impl Problem {
    /// Creates a problem without an explanation.
    #[must_use]
    pub const fn new(reason: Reason, execution: Execution) -> Self {
        Self { reason, execution, retry_after: None, detail: String::new() }
    }

    /// Creates a problem of a request that did not run.
    #[must_use]
    pub const fn refused(reason: Reason) -> Self {
        Self::new(reason, Execution::NotRun)
    }

    /// Sets the explanation.
    #[must_use]
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub const fn with_retry_after(mut self, delay: Option<Duration>) -> Self {
        self.retry_after = delay;
        self
    }

    /// HTTP status of the report.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self.reason {
            Reason::BadRequest | Reason::MissingKey => StatusCode::BAD_REQUEST,
            Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Reason::NotFound | Reason::UnknownModel => StatusCode::NOT_FOUND,
            Reason::UnknownOrganisation => StatusCode::FORBIDDEN,
            Reason::KeyReused | Reason::SuspectedCrash => StatusCode::UNPROCESSABLE_ENTITY,
            Reason::InProgress | Reason::OutcomeUnknown => StatusCode::CONFLICT,
            Reason::OverShare => StatusCode::TOO_MANY_REQUESTS,
            Reason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Reason::TargetLost | Reason::TargetSilent | Reason::LinkLost | Reason::TargetError => {
                StatusCode::BAD_GATEWAY
            }
            Reason::StreamGone => StatusCode::GONE,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Delay after which the caller may retry, rounded up to whole seconds, at least one.
    #[must_use]
    pub fn retry_after_seconds(&self) -> Option<u64> {
        let delay = self.retry_after?;
        Some((delay.as_millis().div_ceil(1000) as u64).max(1))
    }

    /// Encodes the report as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        let report = Report {
            r#type: format!("about:blank#{}", self.reason),
            title: self.reason.name(),
            status: self.status().as_u16(),
            detail: &self.detail,
            reason: self.reason.name(),
            run: self.execution,
            retry_after_seconds: self.retry_after_seconds(),
        };
        serde_json::to_string(&report).unwrap_or_default()
    }
}
