//! Brings requests to targets: one attempt after another, until there is an answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use cornelpass_caller::gateway::{self, Frame, Message};
use cornelpass_caller::problem::Problem;
use cornelpass_core::admission::suspect;
use cornelpass_core::events::Events;
use cornelpass_core::gateway_config::{Config, Limits};
use cornelpass_core::history::{FailedAttempt, History, Next, Policy};
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::request::{Prompt, Request};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_operator::metrics::gateway::Ending;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::time::timeout;

use super::exchange::{Answer, Outcome, Pace, Sending};
use super::state::State;
use super::{crash, desk};

/// Frames held for a caller that reads slowly.
const BUFFER: usize = 8;

/// Part of the wanted latency after which a silent target is given up for another one.
const SWITCH_PART: f64 = 0.8;

/// Part of a caller's time for which its request waits for the first configuration.
const HOLD_PART: f64 = 0.25;

/// Part of the rest after which it is asked to come back: callers heed no more than a third.
const RETURN_PART: f64 = 0.33;

/// Shortest time after which a caller is asked to come back.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// The callers' requests to this gateway.
pub struct Relay {
    state: Arc<State>,
}

impl Relay {
    /// Requests to a gateway.
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

    async fn config(&self, wait: Duration) -> Result<Arc<Config>, Problem> {
        if let Some(config) = self.state.served() {
            return Ok(config);
        }
        let hold = wait.mul_f64(HOLD_PART);
        let begun = self.state.clock.now();
        let config = timeout(hold, self.state.serving()).await;
        self.state
            .metrics
            .record_config_wait(self.state.clock.now().saturating_duration_since(begun));
        if let Ok(config) = config {
            return Ok(config);
        }
        // A fresh router of a fleet that was lost as a whole: the platform may be back at any time.
        let rest = wait.saturating_sub(hold).mul_f64(RETURN_PART);
        Err(Problem::refused(Reason::NotReady).with_retry_after(Some(rest)))
    }

    fn limits(&self) -> Limits {
        self.state.config().map_or_else(Limits::default, |config| config.limits)
    }

    fn start(&self, request: Request, message: Message) -> Receiver<Frame> {
        let (sender, frames) = mpsc::channel(BUFFER);
        tokio::spawn(run(Arc::clone(&self.state), request, message, sender));
        frames
    }

    fn record_refusal(&self, id: &str, problem: &Problem) {
        self.state.metrics.count_refusal(problem.reason);
        log!(Code::Refused, id, reason = problem.reason.name(), detail = problem.detail);
    }
}

/// What is known of a request's end so far.
struct Progress {
    history: History,
    reason: Reason,
    wait: Duration,
    /// A target's own failure, to be passed on if nothing better comes.
    failure: Option<(StatusCode, Box<HeaderMap>, Bytes)>,
}

/// What follows a step.
enum Step {
    Again,
    Done,
}

async fn run(state: Arc<State>, request: Request, message: Message, frames: Sender<Frame>) {
    let _open = state.enter();
    state.budgets().record_request(state.clock.now(), &request.service);
    let mut answer = Answer {
        request: &request,
        message: &message,
        frames: &frames,
        events: Events::resume_after(message.last_event_id),
        begun: false,
        weights: None,
        pace: Pace::default(),
    };
    let policy = Policy { retry_safety: request.retry_safety, max_targets: request.max_targets };
    let mut progress = Progress {
        history: History::new(policy),
        reason: Reason::NoTarget,
        wait: RETRY_AFTER,
        failure: None,
    };
    while let Step::Again = attempt(&state, &mut answer, &mut progress).await {}
}

/// Makes one attempt.
async fn attempt(state: &Arc<State>, answer: &mut Answer<'_>, progress: &mut Progress) -> Step {
    let request = answer.request;
    let now = state.clock.now();
    if request.time_left(now).is_zero() {
        progress.reason = Reason::DeadlineExceeded;
        return finish(state, answer, progress).await;
    }
    let level = state.fleet().suspects().level(now, request.digest);
    if level == suspect::Level::Blocked {
        progress.reason = Reason::SuspectedCrash;
        return finish(state, answer, progress).await;
    }
    let (choice, selection) = match desk::find(state, request, &progress.history).await {
        Ok(found) => found,
        Err(refusal) => {
            if progress.history.attempts() == 0 {
                (progress.reason, progress.wait) = (refusal.reason, refusal.retry_after);
            } else if refusal.reason == Reason::Overloaded {
                // The others have named the time at which the first of them is free.
                progress.wait = progress.wait.max(refusal.retry_after);
            }
            return finish(state, answer, progress).await;
        }
    };
    let now = state.clock.now();
    let ticket = state.fleet().record_sent(now, &choice.target, request.digest);
    if !selection.is_granted(&choice.target) {
        desk::note(state, &choice.target);
    }
    selection.granted_elsewhere(&choice.target).for_each(|target| desk::note(state, target));
    let (list_ms, reports_ms) = state.ages_ms();
    log!(
        Code::Routed,
        id = request.id,
        content = format_args!("{:016x}", request.digest),
        key = format_args!("{:016x}", request.placement_key()),
        target = choice.target,
        attempt = progress.history.attempts() + 1,
        load = choice.load,
        bound = choice.bound,
        source = %choice.source,
        asked = selection.question_count(),
        standing = %choice.standing,
        place = choice.position,
        cause = %choice.cause,
        parts = request.prompt.as_ref().map_or_else(String::new, Prompt::shared_parts_summary),
        fetch = choice.fetch.as_ref().map_or(0, |fetch| fetch.tokens),
        holder = choice.fetch.as_ref().map_or("", |fetch| &fetch.target),
        guessed = choice.fetch.as_ref().is_some_and(|fetch| fetch.inferred),
        version = state.config().map_or(0, |config| config.version),
        list_ms,
        reports_ms
    );
    let patience = patience(request, &progress.history, now);
    let sending = Sending { choice, ticket, patience };
    let outcome = answer.attempt(state, &sending).await;
    note(state, request, &sending, &outcome);
    ended(state, answer, progress, &sending.choice.target, outcome).await
}

/// Takes what the end of an attempt says of its target.
fn note(state: &Arc<State>, request: &Request, sending: &Sending, outcome: &Outcome) {
    let Sending { choice, ticket, .. } = sending;
    let (target, content, evidence) = (&choice.target, request.digest, outcome.evidence());
    state.metrics.count_attempt(target, outcome.name());
    let ended = state.fleet().record_end(state.clock.now(), target, *ticket, evidence);
    desk::note(state, target);
    let (before, after) = ended;
    if before != after {
        log!(Code::TargetStanding, target, %before, %after);
    }
    if outcome.is_broken() {
        let (state, target) = (Arc::clone(state), target.clone());
        tokio::spawn(crash::look(state, target, choice.address, content));
    }
}

/// Time for the head of an answer, after which another target is tried.
fn patience(request: &Request, history: &History, now: Instant) -> Duration {
    let left = request.time_left(now);
    let first = history.is_repeatable() && history.attempts() == 0;
    if first { left.min(request.target_latency.mul_f64(SWITCH_PART)) } else { left }
}

async fn ended(
    state: &State,
    answer: &mut Answer<'_>,
    progress: &mut Progress,
    target: &str,
    outcome: Outcome,
) -> Step {
    let (id, now) = (&answer.request.id, state.clock.now());
    let route = &answer.request.route;
    let begun = answer.begun;
    let ended = match outcome {
        Outcome::Whole => {
            let ms = now.saturating_duration_since(answer.request.arrived_at).as_millis();
            let ms = u64::try_from(ms).unwrap_or(u64::MAX);
            let (first_ms, gap_ms) = answer.pace.millis(answer.request.arrived_at);
            log!(Code::Answered, id, target, ms, first_ms, gap_ms);
            state.metrics.count_ended_request(route, Ending::Answered, None);
            return Step::Done;
        }
        Outcome::Passed(status) => {
            log!(Code::FailurePassed, id, target, status = status.as_u16());
            state.metrics.count_ended_request(route, Ending::FailurePassed, None);
            return Step::Done;
        }
        Outcome::Gone => {
            log!(Code::CallerGone, id, target);
            state.metrics.count_ended_request(route, Ending::CallerGone, None);
            return Step::Done;
        }
        Outcome::Refused(status, headers, body) => {
            log!(Code::AttemptFailed, id, target, status = status.as_u16());
            progress.failure = Some((status, headers, body));
            progress.reason = Reason::TargetError;
            FailedAttempt {
                execution: Execution::Unknown,
                reached_target: true,
                answer_started: begun,
                target_error: true,
            }
        }
        Outcome::Failed { reason, run, arrived } => {
            log!(Code::AttemptFailed, id, target, reason = reason.name(), run = %run);
            progress.reason = reason;
            FailedAttempt {
                execution: run,
                reached_target: arrived,
                answer_started: begun,
                target_error: false,
            }
        }
    };
    match progress.history.record_failure(target, ended) {
        Next::Retry { charged: true } if !pay(state, answer.request) => {
            progress.reason = Reason::RetryBudget;
            finish(state, answer, progress).await
        }
        Next::Retry { .. } => {
            state.metrics.count_retry(progress.reason);
            Step::Again
        }
        Next::GiveUp => finish(state, answer, progress).await,
    }
}

/// Takes a retry from the budget.
fn pay(state: &State, request: &Request) -> bool {
    let now = state.clock.now();
    let routers = state.fleet().peers().member_count(now);
    state.budgets().try_withdraw(now, &request.service, routers)
}

/// Gives the caller the final answer.
async fn finish(state: &State, answer: &mut Answer<'_>, progress: &mut Progress) -> Step {
    let (id, route) = (&answer.request.id, &answer.request.route);
    let effect = progress.history.execution();
    if answer.begun {
        log!(Code::AnswerCut, id, reason = progress.reason.name());
        state.metrics.count_ended_request(route, Ending::Aborted, Some(progress.reason));
        answer.give(Frame::Aborted).await;
        return Step::Done;
    }
    if let Some((status, headers, body)) = progress.failure.take() {
        log!(Code::FailurePassed, id, status = status.as_u16());
        state.metrics.count_ended_request(route, Ending::FailurePassed, None);
        answer.give(Frame::Head(status, headers)).await;
        answer.give(Frame::Data(body)).await;
        answer.give(Frame::End).await;
        return Step::Done;
    }
    let returns = effect == Execution::NotRun && progress.reason != Reason::SuspectedCrash;
    let wait = returns.then_some(progress.wait);
    let problem = Problem::new(progress.reason, effect).with_retry_after(wait);
    let wait_ms = wait.map_or(0, |wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
    let (reason, version) = (progress.reason, state.config().map_or(0, |config| config.version));
    log!(Code::Refused, id, reason = reason.name(), run = %effect, wait_ms, version);
    state.metrics.count_ended_request(route, Ending::Refused, Some(reason));
    state.metrics.count_refusal(reason);
    answer.give(Frame::Problem(problem)).await;
    Step::Done
}
