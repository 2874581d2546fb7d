//! What responses show about their targets: outcomes at fresh targets for their accountants, and the
//! pace that a target reports.

use std::net::SocketAddr;

use cornelpass_core::contention::capacity::SWITCH_FRACTION;
use cornelpass_core::datagram::Datagram;
use cornelpass_core::fleet::slow_start::{Outcome, Progress, State as Window};
use cornelpass_core::request::Request;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_target::protocol::Load;

use super::accounting::send_datagram;
use super::attempt::Dispatch;
use super::state::State;

/// Records whether a response started in time.
pub fn record_first_response(state: &State, request: &Request, dispatch: &Dispatch) {
    let now = state.clock.now();
    let limit = request.desired_latency.mul_f64(SWITCH_FRACTION);
    let outcome = match now.saturating_duration_since(dispatch.sent_at) > limit {
        true => Outcome::Late,
        false => Outcome::Good,
    };
    state.fleet().record_outcome(now, &dispatch.choice.target, outcome);
}

/// Records the pace that a target reports in the head of a response.
pub fn record_load(state: &State, target: &str, load: Option<Load>) {
    let Some(percent) = load.and_then(|load| load.pace) else { return };
    let Some(slow) = state.fleet().record_pace(state.clock.now(), target, percent) else { return };
    log!(Code::TargetPace, target, percent, slow);
}

/// Sends reports of outcomes to accountants.
pub fn send(state: &State, reports: impl IntoIterator<Item = (SocketAddr, Progress)>) {
    for (accountant, progress) in reports {
        send_datagram(state, &[accountant], &Datagram::Progress(progress));
    }
}

/// Sends all reports of outcomes that are due, and logs the slow starts that have begun or ended.
pub fn report(state: &State) {
    let now = state.clock.now();
    let (reports, changes) = {
        let mut fleet = state.fleet();
        (fleet.all_due_progress(now), fleet.take_slow_start_changes())
    };
    send(state, reports);
    for change in changes {
        let (target, window) = (&change.target, change.window);
        let age_ms = u64::try_from(change.age.as_millis()).unwrap_or(u64::MAX);
        log!(Code::SlowStart, target, state = %change.state, window, age_ms);
        state.metrics.count_slow_start(&change.state.to_string());
        if change.state != Window::Limited {
            state.metrics.set_window(target, 0);
        }
    }
}
