//! Checks whether a target crashed during a request.
//!
//! A failed connection alone does not prove a crash, because the response may also be lost in the
//! network. The target counts as crashed only if it refuses a new connection immediately
//! afterwards. A response without a length ends with its connection, also if the target crashes, so
//! that its end is checked in the same way.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelpass_core::fleet::contact::Evidence;
use cornelpass_core::quarantine::feature::{self, Feature};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::attempt::CrashEvidence;
use super::contact;
use super::state::State;

/// Limits the time for a running target to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// An attempt that has ended.
#[derive(Debug)]
pub struct EndedAttempt {
    /// Name of the target.
    pub target: String,
    /// Address of the target.
    pub address: SocketAddr,
    /// Features of the request.
    pub features: Vec<Feature>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the attempt ended, which is the time of the crash if the target crashed.
    pub ended_at: Instant,
}

/// Reaction of a target to an attempt to connect.
enum Reaction {
    /// The target accepts connections.
    Accepts,
    /// No process listens on the address.
    Refuses,
    /// No reaction, or a failure that does not show whether the target is running.
    Unknown,
}

/// Records what the end of an attempt shows about the features of its request.
///
/// Returns the check of the target, if there is one; it continues when the value is dropped.
pub fn record(
    state: &Arc<State>,
    attempt: EndedAttempt,
    evidence: CrashEvidence,
) -> Option<JoinHandle<()>> {
    match evidence {
        CrashEvidence::None => None,
        CrashEvidence::Completed => {
            record_completion(state, &attempt.features);
            None
        }
        CrashEvidence::CheckCompletion | CrashEvidence::CheckFailure => {
            Some(tokio::spawn(check_target(Arc::clone(state), attempt, evidence)))
        }
    }
}

/// Connects to the target, and records a crash if it refuses the connection.
async fn check_target(state: Arc<State>, attempt: EndedAttempt, evidence: CrashEvidence) {
    let tried_at = state.clock.now();
    match probe(attempt.address).await {
        Reaction::Refuses => {
            contact::record(&state, &attempt.target, tried_at, Evidence::Refused);
            record_crash(&state, &attempt);
        }
        Reaction::Accepts if evidence == CrashEvidence::CheckCompletion => {
            record_completion(&state, &attempt.features);
        }
        Reaction::Accepts | Reaction::Unknown => {}
    }
}

async fn probe(address: SocketAddr) -> Reaction {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Reaction::Accepts,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Reaction::Refuses,
        Ok(Err(_)) | Err(_) => Reaction::Unknown,
    }
}

fn record_crash(state: &State, attempt: &EndedAttempt) {
    let EndedAttempt { target, features, sent_at, ended_at, .. } = attempt;
    if state.fleet().record_crash(*ended_at, target, features, *sent_at) {
        state.metrics.count_crash(target);
        log!(Code::Suspected, target, features = feature::summary(features));
    }
    state.process_quarantine_changes();
}

fn record_completion(state: &State, features: &[Feature]) {
    let now = state.clock.now();
    state.fleet().quarantine().record_response(now, features);
    state.process_quarantine_changes();
}
