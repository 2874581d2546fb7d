//! Communication with accountants: questions and their answers, and reports of usage.
//!
//! The accountant of a target is the one router that counts the requests of all routers there.
//! Before a request is sent to a target, this module asks the target's accountant whether the
//! target may get the request, if the accountant is another router and the selection may ask one
//! more question ([`Selection::may_ask`]). It also reports the usage of targets by this router. All
//! messages are datagrams, which may be lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use cornelpass_core::accounting::accountant::COLLECTION_INTERVAL;
use cornelpass_core::accounting::message::{Message, Note, Outgoing, Reply};
use cornelpass_core::accounting::selection::{Query, Selection};
use cornelpass_core::datagram::Datagram;
use cornelpass_core::fleet::{Choice, Decision, Refusal};
use cornelpass_core::history::History;
use cornelpass_core::request::Request;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::contact;
use super::contention;
use super::rate_limit;
use super::slow_start;
use super::state::State;

/// Limits the wait for the reply to a question.
///
/// The time covers a round trip between data centres (3 ms), the body of a long prompt that
/// occupies a link of the users' smallest instances (30 ms), and the slow replies of these
/// instances, which have a tenth of a core.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(40);

/// Socket for datagrams, and the questions that are waiting for replies.
#[derive(Debug, Default)]
pub struct Client {
    socket: OnceLock<Arc<UdpSocket>>,
    /// Channels to the tasks that wait for replies, by the sequence number of the question.
    pending: Mutex<BTreeMap<u32, oneshot::Sender<Reply>>>,
}

impl Client {
    /// Sets the socket for all datagrams of this router.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // A process opens one socket, so the value is set only once.
        let _ = self.socket.set(socket);
    }

    fn pending(&self) -> std::sync::MutexGuard<'_, BTreeMap<u32, oneshot::Sender<Reply>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes a reply to the task that asked the question; drops the reply if the question has
    /// timed out.
    pub fn deliver_reply(&self, reply: Reply) {
        let sender = self.pending().remove(&reply.number);
        if let Some(sender) = sender {
            let _ = sender.send(reply);
        }
    }
}

/// Sends a datagram to routers, and returns the length of its content in bytes.
///
/// Errors of the socket are ignored: a datagram that is not sent, or is lost, has the same effect
/// as one that the receiver does not answer.
pub fn send_datagram(state: &State, addresses: &[SocketAddr], datagram: &Datagram) -> usize {
    let bytes = match postcard::to_stdvec(datagram) {
        Ok(bytes) => bytes,
        Err(error) => {
            log!(Code::PeerUnreadable, %error);
            return 0;
        }
    };
    let Some(socket) = state.accounting.socket.get() else { return 0 };
    for address in addresses {
        let _ = socket.try_send_to(&bytes, *address);
        state.metrics.count_datagram(datagram.into(), bytes.len());
    }
    bytes.len()
}

/// Sends a question to an accountant and waits for the reply; none if it does not arrive in time.
async fn ask_accountant(state: &State, query: &Query) -> Option<Reply> {
    let number = query.question.stamp.number;
    let (sender, reply) = oneshot::channel();
    let started_at = state.clock.now();
    state.accounting.pending().insert(number, sender);
    send_datagram(state, &[query.accountant], &Datagram::from(query));
    let reply = timeout(QUESTION_TIMEOUT, reply).await;
    state.accounting.pending().remove(&number);
    let reply = reply.ok().and_then(Result::ok);
    let verdict = reply.as_ref().map_or("silent".to_owned(), |reply| reply.verdict.to_string());
    state.metrics.record_question(state.clock.now().saturating_duration_since(started_at), verdict);
    reply
}

/// Finds a target for the next attempt at a request, and asks accountants as needed.
///
/// Returns the choice and the answers of the accountants.
///
/// # Errors
///
/// A refusal if no target may get the request now.
pub async fn select_target(
    state: &State,
    request: &Request,
    history: &History,
) -> Result<(Choice, Selection), Refusal> {
    let mut selection = Selection::default();
    loop {
        let now = state.clock.now();
        let decision = state.fleet().decide(now, request, history, &mut selection)?;
        let query = match decision {
            Decision::Send(choice) => return Ok((choice, selection)),
            Decision::Ask(query) => query,
        };
        // The accountant may be one that does not know the rate limit of the target yet.
        rate_limit::send_reports(state);
        let reply = ask_accountant(state, &query).await;
        let now = state.clock.now();
        match reply {
            Some(reply) => {
                let answer = state.fleet().apply_reply(now, &query, &reply);
                selection.record_reply(&query.target, answer);
            }
            None => {
                selection.record_miss(query.accountant);
                // The accountant may have counted the request although its reply did not arrive.
                // The usage report corrects the count.
                report_usage(state, &query.target);
                if state.fleet().record_timeout(now, &query) {
                    log!(Code::AccountantSilent, router = %query.accountant);
                }
            }
        }
    }
}

/// Reports this router's usage of a target to the target's accountant, and to the router that last
/// answered a question about the target if that is a different one.
pub fn report_usage(state: &State, target: &str) {
    let usage_reports = state.fleet().notes_for(state.clock.now(), target);
    for (accountant, usage_report) in usage_reports {
        send_datagram(state, &[accountant], &Datagram::Note(usage_report));
    }
    let progress = state.fleet().due_progress(state.clock.now(), target);
    slow_start::send(state, progress);
}

/// Sends the due messages to accountants at regular intervals, until the process ends.
pub async fn run(state: Arc<State>) {
    loop {
        sleep(COLLECTION_INTERVAL).await;
        let messages: Vec<Outgoing> = state.fleet().due_messages(state.clock.now());
        for (address, message) in messages {
            let datagram = match message {
                Message::Note(usage_report) => Datagram::Note(usage_report),
                Message::Probe => Datagram::Probe,
            };
            send_datagram(&state, &[address], &datagram);
        }
        contention::report(&state);
        slow_start::report(&state);
        contact::report(&state);
        rate_limit::report(&state);
    }
}

/// Records the usage that another router reports.
pub fn apply_usage_report(state: &State, router: SocketAddr, usage_report: &Note) {
    state.fleet().apply_note(state.clock.now(), router, usage_report);
}
