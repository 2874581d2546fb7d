//! Questions to accountants, and their answers.

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

use super::state::State;

/// Time for an answer: a round trip between data centres takes 3 ms, the users' smallest instances have a
/// tenth of a core, and the body of a long prompt keeps their links busy for 30 ms.
const PATIENCE: Duration = Duration::from_millis(40);

/// Questions that wait for their answers, by number.
#[derive(Debug, Default)]
pub struct Desk {
    socket: OnceLock<Arc<UdpSocket>>,
    waiting: Mutex<BTreeMap<u32, oneshot::Sender<Reply>>>,
}

impl Desk {
    /// Sends by a socket from now on.
    pub fn open(&self, socket: Arc<UdpSocket>) {
        // A process has one socket, and opens it once.
        let _ = self.socket.set(socket);
    }

    fn waiting(&self) -> std::sync::MutexGuard<'_, BTreeMap<u32, oneshot::Sender<Reply>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An answer has arrived; one that nobody waits for any more is dropped.
    pub fn take(&self, reply: Reply) {
        if let Some(sender) = self.waiting().remove(&reply.number) {
            let _ = sender.send(reply);
        }
    }
}

/// Sends datagrams to routers; one that is lost is like one that is not answered.
///
/// Returns the length of its content.
pub fn send(state: &State, addresses: &[SocketAddr], datagram: &Datagram) -> usize {
    let bytes = match postcard::to_stdvec(datagram) {
        Ok(bytes) => bytes,
        Err(error) => {
            log!(Code::PeerUnreadable, %error);
            return 0;
        }
    };
    let Some(socket) = state.desk.socket.get() else { return 0 };
    for address in addresses {
        let _ = socket.try_send_to(&bytes, *address);
        state.metrics.count_datagram(datagram.into(), bytes.len());
    }
    bytes.len()
}

/// Asks an accountant.
async fn ask(state: &State, query: &Query) -> Option<Reply> {
    let number = query.question.stamp.number;
    let (sender, reply) = oneshot::channel();
    let begun = state.clock.now();
    state.desk.waiting().insert(number, sender);
    send(state, &[query.accountant], &Datagram::Question(query.question));
    let reply = timeout(PATIENCE, reply).await;
    state.desk.waiting().remove(&number);
    let reply = reply.ok().and_then(Result::ok);
    let verdict = reply.as_ref().map_or("silent".to_owned(), |reply| reply.verdict.to_string());
    state.metrics.record_question(state.clock.now().saturating_duration_since(begun), verdict);
    reply
}

/// Finds a target for a request.
///
/// # Errors
///
/// Why there is none.
pub async fn find(
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
        let reply = ask(state, &query).await;
        let now = state.clock.now();
        match reply {
            Some(reply) => {
                let answer = state.fleet().apply_reply(now, &query, &reply);
                selection.record_reply(&query.target, answer);
            }
            None => {
                selection.record_miss(query.accountant);
                // It may have granted the place all the same.
                note(state, &query.target);
                if state.fleet().record_timeout(now, &query) {
                    log!(Code::AccountantSilent, router = %query.accountant);
                }
            }
        }
    }
}

/// Tells those who count for a target that this router's work there has changed.
pub fn note(state: &State, target: &str) {
    let notes = state.fleet().notes_for(state.clock.now(), target);
    for (accountant, note) in notes {
        send(state, &[accountant], &Datagram::Note(note));
    }
}

/// Tells accountants what is to be told again, for as long as the process runs.
pub async fn run(state: Arc<State>) {
    loop {
        sleep(COLLECTION_INTERVAL).await;
        let messages: Vec<Outgoing> = state.fleet().due_messages(state.clock.now());
        for (address, message) in messages {
            let datagram = match message {
                Message::Note(note) => Datagram::Note(note),
                Message::Probe => Datagram::Probe,
            };
            send(&state, &[address], &datagram);
        }
    }
}

/// Takes a note of another router.
pub fn noted(state: &State, router: SocketAddr, note: &Note) {
    state.fleet().apply_note(state.clock.now(), router, note);
}
