//! Loss of contact with targets, and targets that count as cold.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cornelpass_core::datagram::Datagram;
use cornelpass_core::fleet::contact::report::Report;
use cornelpass_core::fleet::contact::{Evidence, Finding};
use cornelpass_core::fleet::load::Ticket;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_target::connection::Obstacle;

use super::accounting::send_datagram;
use super::state::State;

/// Records that a connection to a target could not be opened, which was tried at `tried_at`.
pub fn record_unopened(state: &State, target: &str, tried_at: Instant, obstacle: Obstacle) {
    match obstacle {
        Obstacle::Refused => record(state, target, tried_at, Evidence::Refused),
        Obstacle::TimedOut => record(state, target, tried_at, Evidence::Unreachable),
        Obstacle::Other => record(state, target, tried_at, Evidence::Unopened),
    }
}

/// Records that a target did not accept a connection which was tried at `tried_at`.
pub fn record(state: &State, target: &str, tried_at: Instant, evidence: Evidence) {
    let now = state.clock.now();
    let (finding, reports) = {
        let mut fleet = state.fleet();
        let finding = fleet.record_failed_contact(now, target, tried_at, evidence);
        (finding, fleet.due_contact(now, target))
    };
    send(state, reports);
    if finding == Finding::Lost {
        state.metrics.count_lost_contact(&evidence.to_string());
        log!(Code::TargetContactLost, target, how = %evidence);
    }
    log_cold_changes(state);
}

/// Records the cold time that a target states in its response to a request.
pub fn record_cold_statement(state: &State, target: &str, ticket: Ticket, left: Duration) {
    let now = state.clock.now();
    let reports = {
        let mut fleet = state.fleet();
        fleet.record_cold_statement(now, target, ticket, left);
        fleet.due_contact(now, target)
    };
    send(state, reports);
    log_cold_changes(state);
}

/// Sends all reports of lost contact that are due.
pub fn report(state: &State) {
    let reports = state.fleet().all_due_contact(state.clock.now());
    send(state, reports);
    log_cold_changes(state);
}

fn send(state: &State, reports: Vec<(SocketAddr, Report)>) {
    for (router, report) in reports {
        send_datagram(state, &[router], &Datagram::Contact(report));
    }
}

/// Applies another router's report of lost contact.
pub fn apply(state: &State, router: SocketAddr, report: &Report) {
    state.fleet().apply_contact(state.clock.now(), router, report);
    log_cold_changes(state);
}

/// Logs the targets that have begun to count as cold.
pub fn log_cold_changes(state: &State) {
    let changes = state.fleet().take_cold_changes();
    for change in changes {
        let (target, source) = (&change.target, change.source);
        let left_ms = u64::try_from(change.left.as_millis()).unwrap_or(u64::MAX);
        state.metrics.count_cold(&source.to_string());
        log!(Code::TargetCold, target, %source, left_ms);
    }
}
