//! Communication between routers: reports and bulletins as datagrams, and snapshots of the state over
//! HTTP.
//!
//! They are encoded with `postcard` and sent as datagrams, because a JSON-RPC connection to each
//! router would need more memory than the rest of the process. Snapshots are larger and rarely
//! needed: a router requests one when it starts, and when another router has newer rows of the
//! operators than the platform has returned.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cornelpass_caller::budget::Budget;
use cornelpass_caller::gateway;
use cornelpass_caller::responder::Responder;
use cornelpass_caller::response::Body;
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
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::snapshot::Snapshot;
use super::state::State;
use super::{accounting, contact, rate_limit, rollout};

/// Maximum size of a received datagram, in bytes; it fits into one packet.
const MAX_DATAGRAM_BYTES: usize = 1400;

/// Limits the time to the head of another router's response, and the time without any byte of its
/// body.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two rounds of snapshot requests to all routers, and after a failed receive from
/// the socket.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Time for the platform to return rows that another router already has, before a snapshot of that
/// router is requested.
const PLATFORM_GRACE: Duration = Duration::from_millis(300);

/// Path under which a router returns its snapshot.
const SNAPSHOT_PATH: &str = "/known";

/// Path under which a router returns the data centres that it keeps out of service after a restore.
const KEPT_CLOSED_PATH: &str = "/closed";

/// Number of routers that are asked for these data centres; one of them may have started after the
/// restore as well.
const KEPT_CLOSED_RESPONSES: usize = 3;

/// Number of rounds in which they are asked.
const KEPT_CLOSED_ROUNDS: usize = 5;

/// Maximum size of a snapshot, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;

/// Sends reports to the other routers, until the process ends.
pub async fn send_reports(state: Arc<State>) {
    loop {
        let report = Datagram::Report(state.build_report());
        let others: Vec<SocketAddr> = state.fleet().peers().addresses().collect();
        // A lost report needs no repetition: the next report replaces it.
        let mut length = accounting::send_datagram(&state, &others, &report);
        let bulletin = state.fleet().quarantine().bulletin(state.clock.now());
        if let Some(bulletin) = bulletin {
            length += accounting::send_datagram(&state, &others, &Datagram::Bulletin(bulletin));
        }
        let lost = state.fleet().peers().take_lost(state.clock.now());
        for address in lost {
            log!(Code::PeerLost, router = %address);
        }
        let pause = state.fleet().report_pause(state.clock.now(), length, others.len());
        tokio::select! {
            () = sleep(pause) => {}
            () = state.wait_for_report_request() => {}
        }
    }
}

/// Receives the datagrams of the other routers, until the process ends.
pub async fn receive_datagrams(state: Arc<State>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, address) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log!(Code::PeerUnreadable, %error);
                sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        match postcard::from_bytes::<Datagram>(&buffer[..length]) {
            Ok(Datagram::Report(report)) => apply_report(&state, address, report),
            Ok(Datagram::Question(question)) => {
                let reply = state.fleet().answer_question(state.clock.now(), address, &question);
                accounting::send_datagram(&state, &[address], &Datagram::Reply(reply));
                rate_limit::send_reports(&state);
            }
            Ok(Datagram::Demand(demand)) => {
                let reply = state.fleet().answer_demand(state.clock.now(), address, &demand);
                accounting::send_datagram(&state, &[address], &Datagram::Reply(reply));
                rate_limit::send_reports(&state);
            }
            Ok(Datagram::Reply(reply)) => state.accounting.deliver_reply(reply),
            Ok(Datagram::Note(usage)) => accounting::apply_usage_report(&state, address, &usage),
            Ok(Datagram::Probe) => {
                let presence = state.fleet().build_presence(state.clock.now());
                accounting::send_datagram(&state, &[address], &Datagram::Presence(presence));
            }
            Ok(Datagram::Presence(presence)) => {
                if state.fleet().apply_presence(state.clock.now(), address, &presence) {
                    log!(Code::AccountantReturned, router = %address);
                }
            }
            Ok(Datagram::Bulletin(bulletin)) => {
                state.fleet().quarantine().apply(state.clock.now(), &bulletin);
                state.process_quarantine_changes();
            }
            Ok(Datagram::Progress(progress)) => {
                state.fleet().apply_progress(state.clock.now(), address, &progress);
            }
            Ok(Datagram::Evidence(evidence)) => rollout::apply_evidence(&state, address, &evidence),
            Ok(Datagram::Verdict(verdict)) => rollout::apply_verdict(&state, address, &verdict),
            Ok(Datagram::Contact(report)) => contact::apply(&state, address, &report),
            Ok(Datagram::RateLimit(report)) => rate_limit::apply(&state, address, &report),
            Err(error) => log!(Code::PeerUnreadable, router = %address, %error),
        }
    }
}

fn apply_report(state: &State, address: SocketAddr, report: Report) {
    let now = state.clock.now();
    let version = report.version;
    let operator_revision = report.operator_revision;
    let (effect, departed) = {
        let mut fleet = state.fleet();
        (fleet.apply_report(now, address, report), fleet.take_peer_departures())
    };
    state.record_peer_operator_revision(operator_revision);
    state.log_listing_changes();
    for target in departed {
        log!(Code::TargetLeaves, target, told_by = %address);
    }
    match effect {
        Effect::Joined => log!(Code::PeerJoined, router = %address, version),
        Effect::Returned => log!(Code::PeerReturned, router = %address, version),
        Effect::Unchanged | Effect::Stale => {}
    }
}

/// Requests snapshots of the other routers, until the process ends.
///
/// Until this router can serve requests, all known routers are asked in turn. Afterwards, only
/// routers with newer rows of the operators than this router has are asked. `port` is the port for
/// snapshot requests.
pub async fn request_snapshots(state: Arc<State>, port: u16) {
    request_first_snapshot(&state, port).await;
    loop {
        state.wait_until_snapshot_due().await;
        sleep(PLATFORM_GRACE).await;
        let (own_revision, own_version) = (state.operator_revision(), state.config_version());
        let now = state.clock.now();
        let routers_with_newer_rows: Vec<SocketAddr> = state
            .fleet()
            .peers()
            .live_reports_with_age(now)
            .filter(|(_, _, report)| {
                report.operator_revision > own_revision || report.version > own_version
            })
            .map(|(address, ..)| address)
            .collect();
        for address in routers_with_newer_rows {
            if state.has_newer_peer_rows() {
                apply_snapshot_from(&state, address, port).await;
            }
        }
    }
}

/// Requests snapshots of all known routers until this router can serve requests.
async fn request_first_snapshot(state: &Arc<State>, port: u16) {
    while state.serving_config().is_none() {
        let others: Vec<SocketAddr> = state.fleet().peers().addresses().collect();
        for address in others {
            apply_snapshot_from(state, address, port).await;
            if state.serving_config().is_some() {
                return;
            }
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Requests the snapshot of another router and applies it.
async fn apply_snapshot_from(state: &State, router: SocketAddr, port: u16) {
    // All routers of a deployment use the same ports.
    let address = SocketAddr::new(router.ip(), port);
    if let Some(snapshot) = fetch::<Snapshot>(address, SNAPSHOT_PATH).await {
        log!(Code::ConfigFromPeer, router = %address, version = snapshot.version());
        snapshot.apply(state);
    }
}

/// Requests the data centres that other routers keep out of service after a restore of the platform,
/// which a router that starts after it cannot know.
pub async fn recall_closed_data_centres(state: Arc<State>, port: u16) {
    while state.era().is_none() {
        sleep(RETRY_PAUSE).await;
    }
    if state.era() == Some(0) {
        // The platform was never restored.
        return;
    }
    let mut responded = BTreeSet::new();
    for _ in 0..KEPT_CLOSED_ROUNDS {
        let others: Vec<SocketAddr> = state.fleet().peers().addresses().collect();
        for router in others {
            if responded.len() >= KEPT_CLOSED_RESPONSES {
                return;
            }
            let address = SocketAddr::new(router.ip(), port);
            if responded.contains(&address) {
                continue;
            }
            if let Some(kept) = fetch(address, KEPT_CLOSED_PATH).await {
                state.keep_closed(kept);
                responded.insert(address);
            }
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Requests a JSON value of another router.
async fn fetch<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let request = Request::get(path).header(HOST, host_header(address));
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let limits = Limits {
        head_timeout: RESPONSE_TIMEOUT,
        idle_timeout: RESPONSE_TIMEOUT,
        body_bytes: MAX_SNAPSHOT_BYTES,
    };
    match buffered::exchange(address, request, limits).await {
        Ok(response) if response.status() == StatusCode::OK => {
            match serde_json::from_slice(response.body()) {
                Ok(value) => Some(value),
                Err(error) => {
                    log!(Code::PeerUnreadable, router = %address, %error);
                    None
                }
            }
        }
        // The other router has no configuration yet.
        Ok(_) => None,
        Err(error) => {
            log!(Code::PeerUnanswered, router = %address, %error);
            None
        }
    }
}

/// Returns the snapshot of this router to other routers, and the data centres that it keeps out of
/// service.
pub struct SnapshotResponder {
    state: Arc<State>,
    memory: Budget,
}

impl SnapshotResponder {
    /// Creates the responder from the state of a gateway; `memory` is for snapshots in progress.
    #[must_use]
    pub const fn new(state: Arc<State>, memory: Budget) -> Self {
        Self { state, memory }
    }
}

#[async_trait]
impl Responder for SnapshotResponder {
    async fn respond(&self, request: Request<RequestBody>) -> Response<Body> {
        let json = match request.uri().path() {
            KEPT_CLOSED_PATH => serde_json::to_vec(&self.state.kept_closed()).ok(),
            _ => Snapshot::capture(&self.state)
                .and_then(|snapshot| serde_json::to_vec(&snapshot).ok()),
        };
        match json.and_then(|json| self.memory.try_charge_response(json.into())) {
            Some(json) => gateway::full_response(StatusCode::OK, json),
            None => gateway::full_response(StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
        }
    }
}
