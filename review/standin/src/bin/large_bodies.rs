//! More clients come at once, each with a body of the largest size that the limits allow, while the
//! platform kills a process whose memory exceeds its limit.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use review_standin::caller::{head, new_id};
use review_standin::config::{CHAT, MODELS, ORDERS, STATUS, config};
use review_standin::http::{Connection, header};
use review_standin::record::Record;
use review_standin::router::Fleet;
use review_standin::store::Store;
use review_standin::target::Target;
use review_standin::{exit, has_trouble};

const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// `MemoryMb` of a front machine of the site.
const MEMORY_BYTES: u64 = 260 * 1024 * 1024;

/// `MaxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;

/// Clients of the router at usual times; each has one request in progress.
const USUAL_CLIENTS: usize = 26;

/// Clients during the burst: the usual ones times 2.79.
const BURST_CLIENTS: usize = 72;

/// Time from the arrival of a request at a model server to its answer.
const WORK: Duration = Duration::from_secs(3);

const BURST_AFTER: Duration = Duration::from_secs(8);
const BURST: Duration = Duration::from_secs(10);

/// Cuts of a kept connection that the rule allows.
const ALLOWED_CUTS: u32 = 3;

struct Shared {
    record: Record,
    router: SocketAddr,
    stop: AtomicBool,
    answered: AtomicU32,
    refused: AtomicU32,
    /// Requests on kept connections that ended without any byte of an answer.
    cut: Mutex<Vec<String>>,
}

fn main() -> ExitCode {
    exit(play())
}

/// Sends one request after another on one connection, which a short request has opened.
fn run_client(shared: &Shared) {
    while !shared.stop.load(Ordering::SeqCst) {
        let Ok(mut connection) = Connection::open(shared.router, Duration::from_secs(12)) else {
            return;
        };
        let short = head("GET", "/status/1", &new_id(), KEY, 600) + "\r\n";
        if connection.write(short.as_bytes()).is_err() || connection.read().is_err() {
            continue;
        }
        let body = vec![b'a'; BODY_BYTES];
        while !shared.stop.load(Ordering::SeqCst) {
            let id = new_id();
            let start = head("POST", "/chat/1", &id, KEY, 10_000);
            let start = format!("{start}Content-Length: {BODY_BYTES}\r\n\r\n");
            shared.record.line(&format!("client sends POST /chat/1 id {id}"));
            let sent = connection.write(start.as_bytes()).and_then(|()| connection.write(&body));
            let answer = connection.read();
            match answer {
                Ok(answer) => {
                    let status = answer.status();
                    shared.record.line(&format!("client gets {status} for id {id}"));
                    let count = if status == 200 { &shared.answered } else { &shared.refused };
                    count.fetch_add(1, Ordering::SeqCst);
                    let wait = header(&answer.headers, "retry-after");
                    let wait = wait.and_then(|text| text.parse().ok()).unwrap_or(0.0);
                    if status != 200 {
                        thread::sleep(Duration::from_secs_f64(wait));
                        break;
                    }
                }
                Err((error, part)) => {
                    let whole = if sent.is_ok() { "whole" } else { "not whole" };
                    shared.record.line(&format!(
                        "client's kept connection ends without an answer for id {id} ({whole}): {error}"
                    ));
                    if sent.is_ok()
                        && part.first_line.is_empty()
                        && let Ok(mut cut) = shared.cut.lock()
                    {
                        cut.push(id);
                    }
                    break;
                }
            }
        }
    }
}

/// Returns whether the rule held.
fn play() -> std::io::Result<bool> {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&Path::new(&folder).join("record.txt"))?;
    let store = Store::start()?;
    store.put("op", "config", &config(1, &[&STATUS, &CHAT], &[KEY]));
    let mut models = Vec::new();
    for (index, zone) in ["centro-a", "centro-b", "centro-c"].into_iter().enumerate() {
        let name = format!("i-model-{index}");
        let target = Target::start(&name, MODELS, zone, WORK, &record)?;
        store.put("servers", &name, &target.row("ready"));
        models.push(target);
    }
    let orders = Target::start("i-order", ORDERS, "centro-a", Duration::from_millis(15), &record)?;
    store.put("servers", &orders.id, &orders.row("ready"));
    let fleet = Fleet::new(1)?;
    let mut router = fleet.start(1, "centro-a", store.address())?;
    if !router.wait_until_ready() {
        return Err(std::io::Error::other("the router is not ready"));
    }
    let shared = Arc::new(Shared {
        record: record.clone(),
        router: router.callers,
        stop: AtomicBool::new(false),
        answered: AtomicU32::new(0),
        refused: AtomicU32::new(0),
        cut: Mutex::default(),
    });
    let burst_clients = if has_trouble() { BURST_CLIENTS - USUAL_CLIENTS } else { 0 };
    let mut clients = Vec::new();
    let mut start_clients = |count: usize| {
        for number in 0..count {
            let shared = Arc::clone(&shared);
            clients.push(thread::spawn(move || {
                // Clients come within the time of one request.
                thread::sleep(WORK.mul_f64(number as f64 / count as f64));
                run_client(&shared);
            }));
        }
    };
    record.say(&format!("{USUAL_CLIENTS} clients with bodies of {BODY_BYTES} B"));
    start_clients(USUAL_CLIENTS);
    let (mut most, mut killed, mut burst_started) = (0, false, false);
    let end = BURST_AFTER + BURST;
    while record.now() < end {
        let memory = router.memory_bytes();
        most = most.max(memory);
        if memory > MEMORY_BYTES {
            record.say(&format!("platform kills the process: {} MB of memory", memory >> 20));
            router.kill();
            killed = true;
            break;
        }
        if router.has_ended() {
            record.say("the process has ended by itself");
            killed = true;
            break;
        }
        if record.now() > BURST_AFTER && !burst_started {
            burst_started = true;
            record.say(&format!("{burst_clients} more clients come; memory {} MB", memory >> 20));
            start_clients(burst_clients);
        }
        thread::sleep(Duration::from_millis(20));
    }
    shared.stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let runs: Vec<String> = models.iter().flat_map(Target::runs).map(|run| run.id).collect();
    let cut = shared.cut.lock().map(|cut| cut.clone()).unwrap_or_default();
    let lost = cut.iter().filter(|id| runs.contains(id)).count();
    record.say(&format!(
        "answered {}, refused {}, most memory {} MB, killed {killed}",
        shared.answered.load(Ordering::SeqCst),
        shared.refused.load(Ordering::SeqCst),
        most >> 20
    ));
    record.say(&format!(
        "LOST: {lost} requests were passed on to sound servers from kept connections that then \
         ended without an answer (allowed: {ALLOWED_CUTS})"
    ));
    if shared.answered.load(Ordering::SeqCst) == 0 {
        return Err(std::io::Error::other("no request was served"));
    }
    Ok(lost <= ALLOWED_CUTS as usize)
}
