//! Processes the requests of callers: makes one attempt after another until there is a response.
//!
//! The history of the attempts decides whether another attempt follows a failed one, and the retry
//! budget of the service limits the retries. If no attempt succeeds, the caller receives the last
//! error response of a target if there is one. Otherwise it receives a problem report with the
//! reason of the last failure, whether the request may have run, and when to retry. A response that
//! has started is aborted instead.

mod lines;

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use cornelpass_caller::gateway::{self, Frame, Message};
use cornelpass_caller::problem::Problem;
use cornelpass_core::events::Events;
use cornelpass_core::gateway_config::{Config, Limits};
use cornelpass_core::history::{FailedAttempt, History, Next, Policy};
use cornelpass_core::quarantine::feature::Feature;
use cornelpass_core::refusal::{Execution, RETRY_DELAY_FRACTION, Reason, retry_delay_within};
use cornelpass_core::request::{Prompt, Request};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_operator::metrics::gateway::Ending;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use self::lines::{log_answered, log_routed};
use super::accounting::{report_usage, select_target};
use super::attempt::{Delivery, Dispatch, Outcome, Timing};
use super::crash_check::{self, EndedAttempt};
use super::rollout;
use super::state::State;
use super::switch::Place;

/// Number of frames that are buffered for a caller that reads slowly.
const FRAME_BUFFER: usize = 8;

/// Time for which a request waits for the first configuration, as a fraction of the time-out of its
/// caller.
const CONFIG_WAIT_FRACTION: f64 = 0.25;

/// Retry delay of a refused request, unless the target selection gives another one.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for which a retry waits for the check whether the target has crashed.
///
/// A crashed target refuses a connection within a round trip; one that is unreachable would delay
/// the retry for longer than callers should wait.
const CRASH_CHECK_WAIT: Duration = Duration::from_millis(20);

/// Relay of the gateway interface, which sends the requests of callers to targets.
pub struct Relay {
    state: Arc<State>,
}

impl Relay {
    /// Creates the relay of a gateway.
    #[must_use]
    pub const fn new(state: Arc<State>) -> Self {
        Self { state }
    }
}

#[async_trait]
impl gateway::Relay for Relay {
    fn now(&self) -> Instant {
        self.state.clock.now()
    }

    async fn config(&self, caller_timeout: Duration) -> Result<Arc<Config>, Problem> {
        if self.state.refuses_requests() {
            let problem = Problem::refused(Reason::Draining);
            return Err(problem.with_retry_after(Some(DEFAULT_RETRY_DELAY)));
        }
        if let Some(config) = self.state.serving_config() {
            return Ok(config);
        }
        let config_wait = caller_timeout.mul_f64(CONFIG_WAIT_FRACTION);
        let started_at = self.state.clock.now();
        let config = timeout(config_wait, self.state.wait_for_serving_config()).await;
        self.state
            .metrics
            .record_config_wait(self.state.clock.now().saturating_duration_since(started_at));
        if let Ok(config) = config {
            return Ok(config);
        }
        // Neither the platform nor another router has returned both a configuration and the list of
        // targets. This happens if all routers were lost while the platform is unreachable. The
        // platform may become reachable at any time, so the caller is asked to retry within its
        // time-out.
        let retry_delay = caller_timeout.saturating_sub(config_wait).mul_f64(RETRY_DELAY_FRACTION);
        Err(Problem::refused(Reason::NotReady).with_retry_after(Some(retry_delay)))
    }

    fn limits(&self) -> Limits {
        self.state.config().map_or_else(Limits::default, |config| config.limits)
    }

    fn start(&self, request: Request, message: Message) -> Receiver<Frame> {
        let (sender, frames) = mpsc::channel(FRAME_BUFFER);
        tokio::spawn(run(Arc::clone(&self.state), request, message, sender));
        frames
    }

    fn record_refusal(&self, id: &str, problem: &Problem) {
        self.state.metrics.count_refusal(problem.reason);
        log!(Code::Refused, id, reason = problem.reason.name(), detail = problem.detail);
    }
}

/// Progress of a request, and what its caller receives if no further attempt succeeds.
struct Progress {
    history: History,
    /// Reason of the last failure.
    reason: Reason,
    /// Time after which the caller may retry, if the request did not run.
    retry_delay: Duration,
    /// Last error response of a target.
    error_response: Option<(StatusCode, Box<HeaderMap>, Bytes)>,
    /// Place for the next attempt, if a running attempt was abandoned for it.
    place: Option<Box<Place>>,
    /// Whether the last attempt has shown that the request fails at every target.
    fails_everywhere: bool,
}

/// What follows an attempt.
enum Step {
    /// Make another attempt.
    Retry,
    /// The request has ended.
    Done,
}

/// Processes one request to its end.
async fn run(state: Arc<State>, request: Request, message: Message, frames: Sender<Frame>) {
    let _open = state.open_request();
    state.budgets().record_request(state.clock.now(), &request.service);
    let mut delivery = Delivery {
        request: &request,
        message: &message,
        frames: &frames,
        events: Events::resume_after(message.last_event_id),
        sent_status: None,
        weights_version: None,
        timing: Timing::default(),
    };
    let policy = Policy { retry_safety: request.retry_safety, max_targets: request.max_targets };
    let mut progress = Progress {
        history: History::new(policy),
        reason: Reason::NoTarget,
        retry_delay: DEFAULT_RETRY_DELAY,
        error_response: None,
        place: None,
        fails_everywhere: false,
    };
    while let Step::Retry = run_attempt(&state, &mut delivery, &mut progress).await {}
}

/// Selects a target and makes one attempt there.
async fn run_attempt(
    state: &Arc<State>,
    delivery: &mut Delivery<'_>,
    progress: &mut Progress,
) -> Step {
    let request = delivery.request;
    let now = state.clock.now();
    if request.time_left(now).is_zero() || state.is_ending() {
        release_place(state, progress);
        progress.reason =
            if state.is_ending() { Reason::Draining } else { Reason::DeadlineExceeded };
        return finish(state, delivery, progress).await;
    }
    let features = request.features();
    let quarantined = state.fleet().quarantine().remaining(now, &features);
    if let Some(remaining) = quarantined {
        release_place(state, progress);
        (progress.reason, progress.retry_delay) = (Reason::SuspectedCrash, remaining);
        return finish(state, delivery, progress).await;
    }
    let selected = match progress.place.take() {
        Some(place) => Ok((place.choice, place.selection)),
        None => select_target(state, request, &progress.history).await,
    };
    let (choice, selection) = match selected {
        Ok(selected) => selected,
        Err(refusal) => {
            if progress.history.attempts() == 0 {
                (progress.reason, progress.retry_delay) = (refusal.reason, refusal.retry_after);
            } else if refusal.reason == Reason::Overloaded {
                // All targets of the service pause. The refusal states when the first pause ends.
                progress.retry_delay = progress.retry_delay.max(refusal.retry_after);
            }
            return finish(state, delivery, progress).await;
        }
    };
    let now = state.clock.now();
    let is_first = progress.history.attempts() == 0;
    let evidence = state.fleet().evidence_key(now, request, &choice.target, is_first);
    let ticket = state.fleet().record_sent(now, &choice.target, &features);
    // An accountant that granted the request at the chosen target has counted it already. The
    // accountants of other targets that granted it must release it.
    if !selection.is_granted(&choice.target) {
        report_usage(state, &choice.target);
    }
    selection.granted_elsewhere(&choice.target).for_each(|target| report_usage(state, target));
    log_routed(state, request, progress.history.attempts() + 1, &choice, &selection);
    let may_switch = progress.history.is_repeatable() && progress.history.attempts() == 0;
    let switch = may_switch.then(|| progress.history.with_running(&choice.target));
    let dispatch = Dispatch { choice, sent_at: now, ticket, switch };
    let outcome = delivery.run_attempt(state, &dispatch).await;
    progress.fails_everywhere = delivery.fails_everywhere(state, &dispatch.choice.target, &outcome);
    if let Some(key) = evidence {
        rollout::record_outcome(state, request, key, &dispatch, delivery.timing, &outcome);
    }
    let check = record_outcome(state, &dispatch, features, &outcome, progress.fails_everywhere);
    let step = next_step(state, delivery, progress, &dispatch.choice.target, outcome).await;
    if let (Step::Retry, Some(check)) = (&step, check) {
        // If the target has crashed, the request may be quarantined now.
        let _ = timeout(CRASH_CHECK_WAIT, check).await;
    }
    step
}

/// Releases the place for the next attempt, if there is one.
fn release_place(state: &State, progress: &mut Progress) {
    if let Some(place) = progress.place.take() {
        place.release(state);
    }
}

/// Records the outcome of an attempt for its target, and what it shows about whether the request
/// crashes targets; returns the check of the target, if there is one.
fn record_outcome(
    state: &Arc<State>,
    dispatch: &Dispatch,
    features: Vec<Feature>,
    outcome: &Outcome,
    fails_everywhere: bool,
) -> Option<JoinHandle<()>> {
    let Dispatch { choice, sent_at, ticket, .. } = dispatch;
    let target = &choice.target;
    let is_full = outcome.is_shed() && state.fleet().had_no_free_slot(choice);
    let health = outcome.health_outcome().filter(|_| !is_full && !fails_everywhere);
    state.metrics.count_attempt(target, outcome.name());
    let ended_at = state.clock.now();
    let standings = state.fleet().record_end(ended_at, target, *ticket, health);
    if let Some(evidence) = outcome.slow_start_evidence() {
        state.fleet().record_outcome(ended_at, target, evidence);
    }
    report_usage(state, target);
    let (before, after) = standings;
    if before != after {
        log!(Code::TargetStanding, target, %before, %after);
    }
    let (target, address, sent_at) = (target.clone(), choice.address, *sent_at);
    let attempt = EndedAttempt { target, address, features, sent_at, ended_at };
    crash_check::record(state, attempt, outcome.crash_evidence())
}

/// Logs the outcome of an attempt, decides whether another attempt follows, and counts the retry or
/// the ended request.
async fn next_step(
    state: &State,
    delivery: &mut Delivery<'_>,
    progress: &mut Progress,
    target: &str,
    outcome: Outcome,
) -> Step {
    let (id, route) = (&delivery.request.id, &delivery.request.route);
    let response_started = delivery.sent_status.is_some();
    let failed_attempt = match outcome {
        Outcome::Complete { .. } => {
            log_answered(state, delivery, target);
            state.metrics.count_ended_request(route, Ending::Complete, None);
            return Step::Done;
        }
        Outcome::ErrorForwarded(status) => {
            log!(Code::FailurePassed, id, target, status = status.as_u16());
            state.metrics.count_ended_request(route, Ending::ErrorForwarded, None);
            return Step::Done;
        }
        Outcome::CallerDisconnected => {
            log!(Code::CallerGone, id, target);
            state.metrics.count_ended_request(route, Ending::CallerDisconnected, None);
            return Step::Done;
        }
        Outcome::Abandoned(place) => return switch_target(state, id, target, progress, place),
        Outcome::ErrorResponse(status, headers, body) => {
            log!(Code::AttemptFailed, id, target, status = status.as_u16());
            progress.error_response = Some((status, headers, body));
            progress.reason = Reason::TargetError;
            FailedAttempt {
                execution: Execution::Unknown,
                reached_target: true,
                response_started,
                target_error: true,
            }
        }
        Outcome::Reset => {
            log!(Code::AttemptFailed, id, target, reason = "reset", run = %Execution::NotRun);
            progress.reason = Reason::Overloaded;
            FailedAttempt {
                execution: Execution::NotRun,
                reached_target: false,
                response_started,
                target_error: false,
            }
        }
        Outcome::Failed { reason, execution, reached_target } => {
            let prompt = delivery.request.prompt.as_ref();
            log!(
                Code::AttemptFailed,
                id,
                target,
                reason = reason.name(),
                run = %execution,
                own_parts = prompt.map_or_else(String::new, Prompt::parts_summary)
            );
            progress.reason = reason;
            FailedAttempt { execution, reached_target, response_started, target_error: false }
        }
    };
    follow_failure(state, delivery, progress, target, failed_attempt).await
}

/// Decides whether another attempt follows a failed one.
async fn follow_failure(
    state: &State,
    delivery: &mut Delivery<'_>,
    progress: &mut Progress,
    target: &str,
    failed_attempt: FailedAttempt,
) -> Step {
    match progress.history.record_failure(target, failed_attempt) {
        Next::Retry { .. } if progress.fails_everywhere => {
            state.metrics.capacity.count_repeated_failure();
            finish(state, delivery, progress).await
        }
        Next::Retry { charged: true } if !state.withdraw_retry(delivery.request) => {
            progress.reason = Reason::RetryBudget;
            finish(state, delivery, progress).await
        }
        Next::Retry { .. } => {
            state.metrics.count_retry(progress.reason);
            Step::Retry
        }
        Next::GiveUp => finish(state, delivery, progress).await,
    }
}

/// Records an abandoned attempt, whose successor is already charged to the retry budget.
fn switch_target(
    state: &State,
    id: &str,
    target: &str,
    progress: &mut Progress,
    place: Box<Place>,
) -> Step {
    log!(Code::AttemptAbandoned, id, target, next = place.choice.target, load = place.choice.load);
    let attempt = FailedAttempt {
        execution: Execution::Unknown,
        reached_target: true,
        response_started: false,
        target_error: false,
    };
    progress.history.record_failure(target, attempt);
    progress.reason = Reason::TargetLost;
    progress.place = Some(place);
    state.metrics.count_retry(progress.reason);
    Step::Retry
}

/// Time after which the caller may retry a request that did not run.
///
/// The delay of a request that is refused because it crashes targets is not limited: the caller
/// must not repeat it.
fn retry_delay(state: &State, delivery: &Delivery<'_>, progress: &Progress) -> Duration {
    if progress.reason == Reason::SuspectedCrash {
        return progress.retry_delay;
    }
    let now = state.clock.now();
    let deadline = delivery.message.caller_deadline;
    let caller_time_left = deadline.map(|deadline| deadline.saturating_duration_since(now));
    retry_delay_within(progress.retry_delay, caller_time_left)
}

/// Ends a request without a complete response of a target.
///
/// The caller receives an aborted response if its head was sent already. Otherwise it receives the
/// error response of a target if there is one, or else a problem report.
async fn finish(state: &State, delivery: &mut Delivery<'_>, progress: &mut Progress) -> Step {
    let (id, route) = (&delivery.request.id, &delivery.request.route);
    let execution = progress.history.execution();
    if delivery.sent_status.is_some() {
        log!(Code::AnswerCut, id, reason = progress.reason.name());
        state.metrics.count_ended_request(route, Ending::Aborted, Some(progress.reason));
        delivery.send_frame(Frame::Aborted).await;
        return Step::Done;
    }
    if let Some((status, headers, body)) = progress.error_response.take() {
        log!(Code::FailurePassed, id, status = status.as_u16());
        state.metrics.count_ended_request(route, Ending::ErrorForwarded, None);
        delivery.send_frame(Frame::Head(status, headers)).await;
        delivery.send_frame(Frame::Data(body)).await;
        delivery.send_frame(Frame::End).await;
        return Step::Done;
    }
    let retry_delay =
        (execution == Execution::NotRun).then(|| retry_delay(state, delivery, progress));
    let problem = Problem::new(progress.reason, execution).with_retry_after(retry_delay);
    let delay_ms =
        retry_delay.map_or(0, |delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
    let (reason, version) = (progress.reason, state.config().map_or(0, |config| config.version));
    log!(
        Code::Refused,
        id,
        reason = reason.name(),
        run = %execution,
        wait_ms = delay_ms,
        version
    );
    state.metrics.count_ended_request(route, Ending::Refused, Some(reason));
    state.metrics.count_refusal(reason);
    delivery.send_frame(Frame::Problem(problem)).await;
    Step::Done
}
