//! Reports between routers, as datagrams, and what a fresh router asks of the others.
//!
//! Reports are `postcard`, since a JSON-RPC connection to each router would cost more memory than
//! all else in the process. What a fresh router asks for is larger and rare, and comes over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cornelpass_caller::gateway;
use cornelpass_caller::response::Body;
use cornelpass_caller::service::Service;
use cornelpass_caller::tracked_body::RequestBody;
use cornelpass_core::datagram::Datagram;
use cornelpass_core::peers::Effect;
use cornelpass_core::report::Report;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_target::buffered::{self, Limits};
use cornelpass_target::connection::host_header;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::desk;
use super::known::Known;
use super::state::State;

/// Largest report, in bytes; it fits one packet.
const REPORT_LIMIT: usize = 1400;

/// Time for the head of another router's answer, and without any byte of its body.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two rounds of questions.
const ASK_PAUSE: Duration = Duration::from_millis(150);

/// Time for the platform to tell what another router knows already.
const PLATFORM_WAIT: Duration = Duration::from_millis(300);

/// Largest answer, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;

/// Tells the other routers, for as long as the process runs.
pub async fn tell(state: Arc<State>) {
    for sequence in 1.. {
        let report = Datagram::Report(state.report(sequence));
        let others: Vec<SocketAddr> = state.fleet().peers().addresses().collect();
        // A report that is lost is followed by the next one.
        let length = desk::send(&state, &others, &report);
        for address in state.fleet().peers().take_lost(state.clock.now()) {
            log!(Code::PeerLost, router = %address);
        }
        let period = state.fleet().report_pause(state.clock.now(), length, others.len());
        tokio::select! {
            () = sleep(period) => {}
            () = state.urgent() => {}
        }
    }
}

/// Listens to the other routers, for as long as the process runs.
pub async fn listen(state: Arc<State>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; REPORT_LIMIT];
    loop {
        let (length, address) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log!(Code::PeerUnreadable, %error);
                sleep(ASK_PAUSE).await;
                continue;
            }
        };
        match postcard::from_bytes::<Datagram>(&buffer[..length]) {
            Ok(Datagram::Report(report)) => take(&state, address, report),
            Ok(Datagram::Question(question)) => {
                let reply = state.fleet().answer_question(state.clock.now(), address, &question);
                desk::send(&state, &[address], &Datagram::Reply(reply));
            }
            Ok(Datagram::Reply(reply)) => state.desk.take(reply),
            Ok(Datagram::Note(note)) => desk::noted(&state, address, &note),
            Ok(Datagram::Probe) => {
                let presence = state.fleet().build_presence(state.clock.now());
                desk::send(&state, &[address], &Datagram::Presence(presence));
            }
            Ok(Datagram::Presence(presence)) => {
                if state.fleet().apply_presence(state.clock.now(), address, &presence) {
                    log!(Code::AccountantReturned, router = %address);
                }
            }
            Err(error) => log!(Code::PeerUnreadable, router = %address, %error),
        }
    }
}

fn take(state: &State, address: SocketAddr, report: Report) {
    let now = state.clock.now();
    let version = report.version;
    state.told_of_orders(report.operator_revision);
    let (effect, departed) = {
        let mut fleet = state.fleet();
        (fleet.apply_report(now, address, report), fleet.take_peer_departures())
    };
    state.log_relisted();
    for target in departed {
        log!(Code::TargetLeaves, target, told_by = %address);
    }
    match effect {
        Effect::Joined => log!(Code::PeerJoined, router = %address, version),
        Effect::Returned => log!(Code::PeerReturned, router = %address, version),
        Effect::Unchanged | Effect::Stale => {}
    }
}

/// Asks the other routers for what they know, until there is a configuration, and later whenever
/// they know more than the platform tells this one.
pub async fn ask(state: Arc<State>, port: u16) {
    start(&state, port).await;
    loop {
        state.lagging().await;
        sleep(PLATFORM_WAIT).await;
        let own = state.orders();
        let now = state.clock.now();
        let ahead: Vec<SocketAddr> = state
            .fleet()
            .peers()
            .live_entries(now)
            .filter(|(_, _, report)| report.operator_revision > own)
            .map(|(address, ..)| address)
            .collect();
        for address in ahead {
            if state.is_behind() {
                take_from(&state, address, port).await;
            }
        }
    }
}

async fn start(state: &Arc<State>, port: u16) {
    while state.served().is_none() {
        let others: Vec<SocketAddr> = state.fleet().peers().addresses().collect();
        for address in others {
            take_from(state, address, port).await;
            if state.served().is_some() {
                return;
            }
        }
        sleep(ASK_PAUSE).await;
    }
}

/// Takes what another router knows.
async fn take_from(state: &State, router: SocketAddr, port: u16) {
    // All routers of a deployment use the same ports.
    let address = SocketAddr::new(router.ip(), port);
    if let Some(known) = fetch(address).await {
        log!(Code::ConfigFromPeer, router = %address, version = known.version());
        known.apply(state);
    }
}

async fn fetch(address: SocketAddr) -> Option<Known> {
    let request = Request::get("/known").header(HOST, host_header(address));
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let limits =
        Limits { head_timeout: ASK_TIMEOUT, idle_timeout: ASK_TIMEOUT, body_bytes: ANSWER_LIMIT };
    match buffered::exchange(address, request, limits).await {
        Ok((StatusCode::OK, body)) => match serde_json::from_slice(&body) {
            Ok(known) => Some(known),
            Err(error) => {
                log!(Code::PeerUnreadable, router = %address, %error);
                None
            }
        },
        // A router that knows nothing yet either.
        Ok(_) => None,
        Err(error) => {
            log!(Code::PeerUnanswered, router = %address, %error);
            None
        }
    }
}

/// Answers routers that ask.
pub struct Answers {
    state: Arc<State>,
}

impl Answers {
    /// Answers from a gateway's state.
    #[must_use]
    pub const fn new(state: Arc<State>) -> Self {
        Self { state }
    }
}

#[async_trait]
impl Service for Answers {
    async fn respond(&self, _request: Request<RequestBody>) -> Response<Body> {
        match Known::of(&self.state).and_then(|known| serde_json::to_vec(&known).ok()) {
            Some(json) => gateway::full_response(StatusCode::OK, json),
            None => gateway::full_response(StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
        }
    }
}
