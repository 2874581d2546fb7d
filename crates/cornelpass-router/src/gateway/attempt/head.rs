//! Wait for the head of a response, and the decision to give the attempt up for another target.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelpass_core::contention::capacity::{Checks, Ending, Switch};
use cornelpass_target::error::Error;
use http_body_util::Full;
use hyper::Response;
use hyper::body::Incoming;
use tokio::sync::oneshot;

use super::{
    Choice, Classification, Delivery, Dispatch, Framing, Outcome, PooledConnection, Reason,
    WatchedConnection,
};
use crate::gateway::state::State;
use crate::gateway::switch::{self, Place};

/// Time for which a new connection to a target near its cap is watched for a reset: a round trip
/// between data centres.
const RESET_WAIT: Duration = Duration::from_millis(3);

/// What happens first while an attempt waits for the head of its response.
enum Event {
    Sent(Result<Response<Incoming>, Error>),
    /// The search for a place at another target has ended.
    Searched(Option<Place>),
    /// A check of the attempt is due.
    CheckDue,
}

impl Delivery<'_> {
    /// Sends the request and waits for the head of the response.
    ///
    /// An attempt that may be given up is checked at intervals, and abandoned only for a place at
    /// another target.
    pub(super) async fn receive_head(
        &self,
        state: &Arc<State>,
        dispatch: &Dispatch,
        connection: &mut WatchedConnection,
        message: hyper::Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Outcome> {
        let WatchedConnection { pooled, watch } = connection;
        let is_new = !pooled.reused;
        let mut sending = pin!(pooled.send(message));
        let started_at = state.clock.now();
        let mut checks = Checks::new(self.request.desired_latency);
        let mut search: Option<oneshot::Receiver<Option<Place>>> = None;
        loop {
            let check_due = dispatch.switch.is_some() && search.is_none();
            let event = async {
                tokio::select! {
                    biased;
                    result = sending.as_mut() => Event::Sent(result),
                    place = finish_search(&mut search) => Event::Searched(place),
                    () = wait_until(state, started_at, checks), if check_due => Event::CheckDue,
                }
            };
            match self.wait_for(state, watch, self.time_left(state), event).await? {
                Event::Sent(Ok(response)) => {
                    self.record_capacity(state, dispatch, started_at, &response);
                    return Ok(response);
                }
                Event::Sent(Err(error)) => {
                    if is_new {
                        state.record_reset(&dispatch.choice.target);
                    }
                    return Err(match error {
                        Error::Unsent { .. } if is_new => Outcome::Reset,
                        Error::Unsent { .. } => self.unsent(state),
                        _ => Outcome::lost(Reason::TargetLost),
                    });
                }
                Event::CheckDue => search = self.check(state, dispatch),
                Event::Searched(place) => {
                    search = None;
                    match place {
                        Some(place) if state.withdraw_retry(self.request) => {
                            return Err(Outcome::Abandoned(Box::new(place)));
                        }
                        Some(place) => place.release(state),
                        None => {}
                    }
                }
            }
            if search.is_none() {
                checks = checks.after_wait();
            }
        }
    }

    /// Records what the head of a response shows about the capacity of a target.
    ///
    /// The head of a stream does not show how long the request occupies its slot.
    fn record_capacity(
        &self,
        state: &State,
        dispatch: &Dispatch,
        started_at: Instant,
        response: &Response<Incoming>,
    ) {
        let (status, headers) = (response.status(), response.headers());
        let ending = match state.protocol.classify(&self.request.id, status, headers) {
            Classification::NotRun { misdirected: false, .. } => Ending::Shed,
            Classification::Response { success: true, .. }
                if self.request.framing == Framing::Body =>
            {
                Ending::Answered
            }
            _ => return,
        };
        let elapsed = state.clock.now().saturating_duration_since(started_at);
        state.fleet().record_capacity(self.request, &dispatch.choice, elapsed, ending);
    }

    /// Whether a target near its cap has reset a new connection for a request that may not be
    /// repeated.
    ///
    /// The reset arrives within a round trip after the connection opens. A request that is written
    /// before it arrives may have run, so the request is written a little later.
    pub(super) async fn is_reset(
        &self,
        state: &State,
        choice: &Choice,
        pooled: &PooledConnection,
    ) -> bool {
        let near_cap = state.resets().is_near_cap(state.clock.now(), &choice.target);
        if pooled.reused || !near_cap || self.request.retry_safety.allows_retry() {
            return false;
        }
        tokio::time::sleep(RESET_WAIT).await;
        !pooled.is_open()
    }

    /// Starts a search for a place at another target if one may have room.
    fn check(
        &self,
        state: &Arc<State>,
        dispatch: &Dispatch,
    ) -> Option<oneshot::Receiver<Option<Place>>> {
        let history = dispatch.switch.as_ref()?;
        let switch = state.fleet().check_attempt(state.clock.now(), self.request, history);
        match switch {
            Switch::Ask => Some(switch::search(state, self.request, history)),
            Switch::Wait | Switch::Abandon => None,
        }
    }
}

/// Waits for the end of a search, for ever if there is none.
async fn finish_search(search: &mut Option<oneshot::Receiver<Option<Place>>>) -> Option<Place> {
    match search {
        Some(search) => search.await.ok().flatten(),
        None => std::future::pending().await,
    }
}

/// Waits until the next check of an attempt.
async fn wait_until(state: &State, started_at: Instant, checks: Checks) {
    let elapsed = state.clock.now().saturating_duration_since(started_at);
    tokio::time::sleep(checks.next().saturating_sub(elapsed)).await;
}
