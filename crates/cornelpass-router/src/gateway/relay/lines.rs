//! Log lines of a request that is sent to a target or has its response.

use cornelpass_core::accounting::selection::Selection;
use cornelpass_core::fleet::Choice;
use cornelpass_core::request::{Prompt, Request};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;

use crate::gateway::attempt::Delivery;
use crate::gateway::state::State;

/// Logs that a request is sent to its chosen target, with the grounds for the choice.
pub(super) fn log_routed(
    state: &State,
    request: &Request,
    attempt: u32,
    choice: &Choice,
    selection: &Selection,
) {
    let (sync_age_ms, report_age_ms) = state.ages_ms();
    log!(
        Code::Routed,
        id = request.id,
        content = format_args!("{:016x}", request.digest),
        key = format_args!("{:016x}", request.placement_key()),
        target = choice.target,
        attempt,
        load = choice.load,
        bound = choice.bound,
        source = %choice.source,
        asked = selection.question_count(),
        standing = %choice.standing,
        cold = choice.cold,
        place = choice.position,
        cause = %choice.cause,
        parts = request.prompt.as_ref().map_or_else(String::new, Prompt::shared_parts_summary),
        fetch = choice.fetch.as_ref().map_or(0, |fetch| fetch.tokens),
        holder = choice.fetch.as_ref().map_or("", |fetch| &fetch.target),
        guessed = choice.fetch.as_ref().is_some_and(|fetch| fetch.inferred),
        version = state.config().map_or(0, |config| config.version),
        list_ms = sync_age_ms,
        reports_ms = report_age_ms
    );
}

/// Logs that the caller has the complete response.
pub(super) fn log_answered(state: &State, delivery: &Delivery<'_>, target: &str) {
    let Request { id, arrived_at, .. } = delivery.request;
    let ms = state.clock.now().saturating_duration_since(*arrived_at).as_millis();
    let ms = u64::try_from(ms).unwrap_or(u64::MAX);
    let (first_ms, gap_ms) = delivery.timing.summary_ms(*arrived_at);
    log!(Code::Answered, id, target, ms, first_ms, gap_ms);
}
