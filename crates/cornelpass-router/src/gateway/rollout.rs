//! Rollouts of new versions of services: sends and receives the messages about them, and reads and
//! writes their status rows.
//!
//! [`cornelpass_core::rollout`] decides. The task [`run`] carries out the steps that are due. Calls
//! to the platform run in tasks of their own, so that a slow store delays no messages. Without an
//! order nothing is sent.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use cornelpass_core::datagram::Datagram;
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::request::Request;
use cornelpass_core::rollout::evidence::{Answer, Evidence, Key};
use cornelpass_core::rollout::verdict::Verdict;
use cornelpass_core::rollout::{self, Change, Figures, Message, Status, Step, Summary, Written};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_platform::error::Error;
use cornelpass_platform::feed::{Feed, Page, Record};
use tokio::time::sleep;

use super::accounting::send_datagram;
use super::attempt::{Dispatch, Outcome, Timing};
use super::state::State;

/// Limits the time for a response of the platform.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between two looks for orders while there is none.
///
/// It is shorter than [`rollout::MAX_TICK_GAP`], so that a process that runs does not count as
/// suspended.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// Carries out the steps of the rollouts until the process ends.
pub async fn run(state: Arc<State>, feed: Arc<dyn Feed>) {
    loop {
        let steps = state.fleet().rollout_steps(state.clock.now(), wall_ms(&state));
        for step in steps {
            match step {
                Step::Send { to, message } => {
                    let datagram = match message {
                        Message::Evidence(evidence) => Datagram::Evidence(evidence),
                        Message::Verdict(verdict) => Datagram::Verdict(verdict),
                    };
                    send_datagram(&state, &to, &datagram);
                }
                Step::Read { service } => {
                    tokio::spawn(read_status(Arc::clone(&state), Arc::clone(&feed), service));
                }
                Step::Write { service, status, expected } => {
                    let (state, feed) = (Arc::clone(&state), Arc::clone(&feed));
                    tokio::spawn(write_status(state, feed, service, status, expected));
                }
            }
        }
        log_changes(&state);
        let idle = state.fleet().rollouts().is_empty();
        sleep(if idle { IDLE_INTERVAL } else { rollout::TICK }).await;
    }
}

async fn read_status(state: Arc<State>, feed: Arc<dyn Feed>, service: String) {
    let row = feed.read_status(&service, RESPONSE_TIMEOUT).await;
    let now = state.clock.now();
    match row {
        Ok(row) => {
            let wall_ms = wall_ms(&state);
            state.fleet().rollouts().apply_status(now, &service, row, wall_ms);
        }
        Err(error) => {
            log!(Code::RolloutUnwritten, service, call = "read_status", %error);
            state.fleet().rollouts().record_unread(now, &service);
        }
    }
    log_changes(&state);
}

async fn write_status(
    state: Arc<State>,
    feed: Arc<dyn Feed>,
    service: String,
    status: Status,
    expected: u64,
) {
    let written = match feed.write_status(&service, &status, expected, RESPONSE_TIMEOUT).await {
        Ok(()) => Written::Done,
        Err(Error::Conflict { .. }) => {
            log!(Code::RolloutConflict, service, state = %status.state);
            Written::Conflict
        }
        Err(error) => {
            log!(Code::RolloutUnwritten, service, call = "write_status", %error);
            Written::Unknown
        }
    };
    state.fleet().rollouts().record_write(state.clock.now(), &service, &status, written);
    log_changes(&state);
}

/// Applies the counts of another router, and replies with the state if that router needs it.
pub fn apply_evidence(state: &State, router: SocketAddr, evidence: &Evidence) {
    let reply = state.fleet().rollouts().apply_evidence(state.clock.now(), router, evidence);
    finish_message(state, router, reply);
}

/// Applies the state that another router has sent, and replies with that of this router if it is
/// ahead.
pub fn apply_verdict(state: &State, router: SocketAddr, verdict: &Verdict) {
    let reply = state.fleet().rollouts().apply_verdict(state.clock.now(), router, verdict);
    finish_message(state, router, reply);
}

fn finish_message(state: &State, router: SocketAddr, reply: Option<Verdict>) {
    if let Some(reply) = reply {
        send_datagram(state, &[router], &Datagram::Verdict(reply));
    }
    log_changes(state);
}

/// Applies an order, or its removal, that the platform has listed.
pub fn apply_record(state: &State, record: Record, revision: u64) {
    match record {
        Record::Rollout(service, order) => {
            state.fleet().apply_order(state.clock.now(), &service, order, revision);
        }
        Record::RolloutRemoved(service) => {
            state.fleet().rollouts().remove_order(&service, revision);
        }
        Record::RolloutMalformed(service, problem) => {
            log!(Code::RolloutRejected, service, problem);
        }
        _ => {}
    }
}

/// Removes the orders that a complete list of the operators' rows lacks.
pub fn apply_complete_list(state: &State, page: &Page) {
    let listed: BTreeSet<String> = page
        .rows
        .iter()
        .filter_map(|row| match &row.record {
            Record::Rollout(service, _) | Record::RolloutMalformed(service, _) => {
                Some(service.clone())
            }
            _ => None,
        })
        .collect();
    let now = state.clock.now();
    state.fleet().rollouts().apply_complete_list(now, &listed, page.revision);
}

/// Applies the rollouts that another router knows; with its revision of the operators' rows if that
/// is newer than this router's, so that other orders no longer exist.
pub fn apply_summaries(state: &State, rollouts: BTreeMap<String, Summary>, revision: Option<u64>) {
    let now = state.clock.now();
    {
        let mut fleet = state.fleet();
        if let Some(revision) = revision {
            let listed = rollouts.keys().cloned().collect();
            fleet.rollouts().apply_complete_list(now, &listed, revision);
        }
        fleet.apply_rollouts(now, rollouts);
    }
    log_changes(state);
}

/// Records the outcome of a request as evidence about the version of its target.
pub fn record_outcome(
    state: &State,
    request: &Request,
    key: Key,
    dispatch: &Dispatch,
    timing: Timing,
    outcome: &Outcome,
) {
    let now = state.clock.now();
    let waited = now.saturating_duration_since(dispatch.sent_at);
    let first = timing.first().filter(|first| *first >= dispatch.sent_at);
    let first = first.map(|first| first.saturating_duration_since(dispatch.sent_at));
    let answer = match outcome {
        Outcome::Complete { .. } => Some(Answer::Good(first.unwrap_or(waited))),
        Outcome::ErrorForwarded(_) | Outcome::ErrorResponse(..) => Some(Answer::Failed(waited)),
        Outcome::CallerDisconnected => first.map(Answer::Good),
        // The connection was reset before the request was sent.
        Outcome::Reset => None,
        Outcome::Abandoned(_) => Some(Answer::Overdue),
        Outcome::Failed { reached_target: false, .. } => None,
        Outcome::Failed { execution, .. } if *execution == Execution::NotRun => None,
        Outcome::Failed { reason: Reason::DeadlineExceeded, .. } => Some(Answer::Overdue),
        Outcome::Failed { reason: Reason::TargetLost | Reason::TargetSilent, .. } => {
            Some(Answer::Lost)
        }
        Outcome::Failed { .. } => Some(Answer::Failed(waited)),
    };
    if let Some(answer) = answer {
        let target = &dispatch.choice.target;
        state.fleet().record_evidence(now, &request.service, key, target, answer);
    }
}

/// Logs the changes of the rollouts since the last call.
pub fn log_changes(state: &State) {
    let changes = state.fleet().rollouts().take_changes();
    for (service, change) in changes {
        match change {
            Change::Ordered(order) => {
                let duration_ms = u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX);
                log!(Code::RolloutOrdered, service, to = order.to, duration_ms);
            }
            Change::Removed => log!(Code::RolloutRemoved, service),
            Change::State(rollout::State::Running) => {}
            Change::State(rollout::State::Stopped) => log!(Code::RolloutStopped, service),
            Change::State(rollout::State::Succeeded) => log!(Code::RolloutSucceeded, service),
            Change::State(rollout::State::RolledBack) => log!(Code::RolloutRolledBack, service),
            Change::Decided { finding, answers, failures } => {
                log!(Code::RolloutDecided, service, %finding, answers, failures);
            }
            Change::Suspended => log!(Code::RolloutSuspended, service),
        }
    }
}

/// Updates the metrics of the rollouts.
pub fn update_metrics(state: &State) {
    let figures = state.fleet().rollouts().figures();
    for Figures { service, state: rollout_state, requests, exposed, suspicion } in figures {
        let counts = (u64::from(requests.saturating_sub(exposed)), u64::from(exposed));
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "not negative")]
        let percent = (suspicion * 100.0) as u64;
        state.metrics.set_rollout(&service, rollout_state as u64, counts, percent);
    }
}

fn wall_ms(state: &State) -> u64 {
    let wall = state.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
}
