//! Retries of the chat interface: their reasons, the budget that limits them, and the wait before
//! each one. (The retry budgets of the gateway interface are in [`crate::budget`].)
//!
//! Only the router retries; no lower layer sends a request twice. The router charges each retry to
//! a token bucket ([`Budget`]). Each organisation has its own bucket ([`OrganisationBudgets`]), so
//! that refused requests of one organisation do not use up the retries of the others; organisations
//! outside the configuration share a bucket. For each bucket, one router therefore makes at most
//! `requests * (1 + percent / 100) + RETRY_BURST` attempts. The waits use "full jitter" (Brooker,
//! "Exponential Backoff And Jitter", 2015) and are limited by the time that the request has left.

use std::collections::BTreeMap;
use std::time::Duration;

/// Capacity of a bucket, which is full at first: retries that may be made before any request.
///
/// It covers the loss of one of four data centres, which interrupts a quarter of the streams of a
/// router: at the designed size of 47,000 streams over 370 routers, 32 of 128 streams, both rounded
/// up (see the test `the_retry_burst_covers_the_loss_of_a_data_centre`).
pub const RETRY_BURST: u32 = 40;

/// Minimum time that must be left after the wait for a retry to be made.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(100);

/// Upper limit of the wait before the first retry; the limit doubles with each further retry.
const BASE_WAIT: Duration = Duration::from_millis(25);

/// Upper limit of the wait before any retry.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Cost of one retry, in hundredths: the unit of credit, so that each request can add whole
/// percents.
const RETRY_CENTI: u64 = 100;

/// Reason for a retry.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The target refused the request, so the request did not run.
    Refused,
    /// The target was lost, and the request is sent again to, or continued on, another target.
    TargetLost,
    /// The connection to a sidecar was lost, and the stream is resumed on a new connection, or the
    /// request is sent again.
    LinkLost,
    /// The configurations of the router and the sidecar differed.
    Config,
}

/// Token bucket for retries: each request adds a fraction of a retry, each retry takes a whole one.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Retries per request, in percent.
    percent: u32,
    /// Retries available, in hundredths of a retry.
    credit_centi: u64,
}

impl Budget {
    /// Creates a full bucket that allows retries as a share of requests, in percent.
    #[must_use]
    pub const fn new(percent: u32) -> Self {
        Self { percent, credit_centi: RETRY_BURST as u64 * RETRY_CENTI }
    }

    /// Sets the share of requests, in percent, and keeps the credit.
    pub const fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Adds the credit for one request.
    pub fn deposit(&mut self) {
        let capacity_centi = u64::from(RETRY_BURST) * RETRY_CENTI;
        self.credit_centi = (self.credit_centi + u64::from(self.percent)).min(capacity_centi);
    }

    /// Charges one retry; returns false, and charges nothing, if the credit does not suffice.
    #[must_use]
    pub fn try_withdraw(&mut self) -> bool {
        let Some(rest_centi) = self.credit_centi.checked_sub(RETRY_CENTI) else { return false };
        self.credit_centi = rest_centi;
        true
    }
}

/// Retry budgets by organisation.
#[derive(Clone, Debug)]
pub struct OrganisationBudgets {
    configured: BTreeMap<String, Budget>,
    /// Budget that all organisations outside the configuration share.
    unconfigured: Budget,
}

impl Default for OrganisationBudgets {
    fn default() -> Self {
        Self::new()
    }
}

impl OrganisationBudgets {
    /// Creates budgets without organisations, in which requests add no credit.
    #[must_use]
    pub const fn new() -> Self {
        Self { configured: BTreeMap::new(), unconfigured: Budget::new(0) }
    }

    /// Applies the share of requests, in percent, and the organisations of a new configuration.
    ///
    /// Organisations that were configured before keep their credit.
    pub fn configure<'a>(&mut self, percent: u32, names: impl IntoIterator<Item = &'a str>) {
        let mut previous = std::mem::take(&mut self.configured);
        for name in names {
            let mut budget = previous.remove(name).unwrap_or_else(|| Budget::new(percent));
            budget.set_percent(percent);
            self.configured.insert(name.to_owned(), budget);
        }
        self.unconfigured.set_percent(percent);
    }

    /// Budget of an organisation; all organisations outside the configuration share one.
    pub fn for_organisation(&mut self, organisation: &str) -> &mut Budget {
        self.configured.get_mut(organisation).unwrap_or(&mut self.unconfigured)
    }
}

/// Whether a retry is made, and after which wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backoff {
    /// Retry after this wait.
    Wait(Duration),
    /// Do not retry: no attempt fits in the time left.
    GiveUp,
}

/// Decides on the wait before a retry, given the number of earlier retries and the time left for
/// the request.
///
/// `jitter` is a random number from 0 to 1; the wait is `jitter` times its upper limit.
#[must_use]
pub fn backoff(retries: u32, jitter: f64, time_left: Duration) -> Backoff {
    let ceiling = BASE_WAIT.saturating_mul(2_u32.saturating_pow(retries)).min(MAX_WAIT);
    let wait = ceiling.mul_f64(jitter.clamp(0.0, 1.0));
    if wait + MIN_ATTEMPT_TIME <= time_left { Backoff::Wait(wait) } else { Backoff::GiveUp }
}
