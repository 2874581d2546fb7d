//! Error responses that a request gets from every target.

use cornelpass_core::contention::failures::Verdict;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;

use super::{Delivery, Outcome};
use crate::gateway::state::State;

impl Delivery<'_> {
    /// Records the response of an attempt; returns whether the request gets an error response from
    /// every target.
    ///
    /// Errors while a stream is resumed do not count: they may be due to the resumption.
    #[must_use]
    pub fn fails_everywhere(&self, state: &State, target: &str, outcome: &Outcome) -> bool {
        let digest = self.request.digest;
        let status = match outcome {
            Outcome::Complete { .. } => {
                state.fleet().record_answer(digest);
                return false;
            }
            Outcome::ErrorResponse(status, ..) if self.sent_status.is_none() => status,
            Outcome::ErrorForwarded(status) => status,
            _ => return false,
        };
        let verdict = state.fleet().record_error_response(state.clock.now(), target, digest);
        if verdict == Verdict::NewlyKnown {
            log!(
                Code::FailsEverywhere,
                id = self.request.id,
                content = format_args!("{digest:016x}"),
                target,
                status = status.as_u16()
            );
        }
        verdict.fails_everywhere()
    }
}
