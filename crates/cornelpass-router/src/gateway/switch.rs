//! Search for a place at another target while an attempt is running.
//!
//! The search runs in a task of its own, because a question to an accountant must not be cancelled
//! when the running attempt gets its response. A place that is not used is released.

use std::sync::Arc;

use cornelpass_core::accounting::selection::Selection;
use cornelpass_core::contention::capacity::Switch;
use cornelpass_core::fleet::Choice;
use cornelpass_core::history::History;
use cornelpass_core::request::Request;
use tokio::sync::oneshot;

use super::accounting::{report_usage, select_target};
use super::state::State;

/// Place for a request at a target.
#[derive(Debug)]
pub struct Place {
    /// Target of the next attempt.
    pub choice: Choice,
    /// Answers of the accountants.
    pub selection: Selection,
}

impl Place {
    /// Reports to the accountants that the place is not used.
    pub fn release(&self, state: &State) {
        self.selection.granted_elsewhere("").for_each(|target| report_usage(state, target));
    }
}

/// Searches for a place at another target; the receiver gets none if there is no room.
///
/// `history` includes the running attempt.
pub fn search(
    state: &Arc<State>,
    request: &Request,
    history: &History,
) -> oneshot::Receiver<Option<Place>> {
    let (sender, receiver) = oneshot::channel();
    let (state, request, history) = (Arc::clone(state), request.clone(), history.clone());
    tokio::spawn(async move {
        let place = find(&state, &request, &history).await;
        if let Err(Some(place)) = sender.send(place) {
            place.release(&state);
        }
    });
    receiver
}

async fn find(state: &State, request: &Request, history: &History) -> Option<Place> {
    let (choice, selection) = select_target(state, request, history).await.ok()?;
    let place = Place { choice, selection };
    // The lock must be released before the match: `Place::release` takes it again.
    let switch = state.fleet().decide_switch(&place.choice, &place.selection);
    match switch {
        Switch::Abandon => Some(place),
        Switch::Ask | Switch::Wait => {
            place.release(state);
            None
        }
    }
}
