//! Control traffic, processor time and memory of each kind of process, and their slopes.
//!
//! One case is the base; each other case changes one size of it. Bytes between routers and the
//! processes beside targets are counted on the connections themselves, by a [`Meter`] before each
//! process; bytes to the platform are the platform's own count of requests by the size of each.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use cornelpass_standin::fleet::{Fleet, Layout, MODEL};
use cornelpass_standin::http::fetch;
use cornelpass_standin::platform::Counters;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

use crate::client::{self, Chat};
use crate::meter::{Bytes, Meter};
use crate::process::{processor_seconds, resident_mib};
use crate::record::Lines;

/// Time for links to settle before the first sample.
const SETTLE: Duration = Duration::from_secs(5);

/// Units of load that an engine takes, at which nothing is refused.
const LIMIT: u32 = 4096;

/// Row that every process polls.
const HEAD: &str = "/v1/table/row?key=accepted/head";

/// Rows that a router scans at each poll.
const ROWS: &str = "/v1/table/rows?prefix=config/";

/// List of instances, which the processes beside targets follow.
const LIST: &str = "/v1/instances";

/// One size of the fleet.
#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    routers: usize,
    targets: usize,
    organisations: usize,
    /// Streams at once.
    streams: usize,
    /// Changes of the table in ten seconds.
    changes: u32,
}

const BASE: Case =
    Case { name: "base", routers: 2, targets: 9, organisations: 10, streams: 0, changes: 0 };

const CASES: [Case; 10] = [
    BASE,
    Case { name: "routers", routers: 4, ..BASE },
    Case { name: "routers", routers: 8, ..BASE },
    Case { name: "targets", targets: 3, ..BASE },
    Case { name: "targets", targets: 18, ..BASE },
    Case { name: "organisations", organisations: 100, ..BASE },
    Case { name: "organisations", organisations: 2200, ..BASE },
    Case { name: "changes", changes: 10, ..BASE },
    Case { name: "changes", changes: 10, organisations: 2200, ..BASE },
    Case { name: "streams", streams: 50, ..BASE },
];

/// Counters at one moment.
struct Sample {
    at: Instant,
    links: u64,
    platform: Counters,
    router_cpu: f64,
    sidecar_cpu: f64,
    messages: f64,
    payload: f64,
}

/// Figures of one case, for one process of each kind.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    router_link: f64,
    router_platform: f64,
    router_messages: f64,
    router_cpu: f64,
    router_memory: f64,
    sidecar_link: f64,
    sidecar_platform: f64,
    sidecar_messages: f64,
    sidecar_cpu: f64,
    sidecar_memory: f64,
    payload: f64,
    reads: f64,
    scans: f64,
    lists: f64,
}

/// Measures each case.
///
/// # Errors
///
/// If a fleet does not start.
pub(crate) fn run(runtime: &Runtime, seconds: u64) -> io::Result<()> {
    let mut lines = Lines::create("control")?;
    println!("{}", heading());
    for case in CASES {
        let figures = measure(runtime, case, Duration::from_secs(seconds))?;
        println!("{}", row(case, &figures));
        lines.add(&line(case, &figures))?;
    }
    Ok(())
}

fn measure(runtime: &Runtime, case: Case, length: Duration) -> io::Result<Figures> {
    let fleet = Fleet::start(Layout {
        engines: case.targets,
        services: 0,
        routers: case.routers,
        organisations: case.organisations,
        limit: LIMIT,
        cold_limit: LIMIT,
        policy: json!({
            "load_multiple_percent": 150, "load_floor": LIMIT, "retry_percent": 20,
        }),
        ..Layout::default()
    })?;
    let meters = interpose(runtime, &fleet)?;
    std::thread::sleep(SETTLE);
    fleet.wait_until_ready()?;
    let stop = Arc::new(AtomicBool::new(false));
    load(runtime, &fleet, case, &stop)?;
    let before = sample(&fleet, &meters)?;
    change(&fleet, case, length)?;
    let after = sample(&fleet, &meters)?;
    stop.store(true, Ordering::Relaxed);
    figures(&fleet, case, &before, &after)
}

/// Puts a meter before each process beside a target.
fn interpose(runtime: &Runtime, fleet: &Fleet) -> io::Result<Vec<Arc<Bytes>>> {
    let mut bytes = Vec::new();
    let mut rows = fleet.config_rows()?;
    for (index, sidecar) in fleet.sidecars.iter().enumerate() {
        let meter = Meter::start(runtime, sidecar.address("routers")?)?;
        let key = format!("config/target/{}", fleet.target_name(index));
        for (_, row) in rows.iter_mut().filter(|(name, _)| *name == key) {
            row["address"] = json!(meter.address.to_string());
        }
        bytes.push(meter.bytes);
    }
    rows.retain(|(key, _)| key.starts_with("config/target/"));
    fleet.write_rows(&rows)?;
    Ok(bytes)
}

/// Keeps streams running through all routers in turn.
fn load(runtime: &Runtime, fleet: &Fleet, case: Case, stop: &Arc<AtomicBool>) -> io::Result<()> {
    for index in 0..case.streams {
        let router = fleet.router_address(index % case.routers)?;
        let stop = Arc::clone(stop);
        runtime.spawn(async move {
            for turn in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let name = format!("chat-{index}-{turn}");
                let messages = format!(r#"[{{"role":"user","content":"{name}"}}]"#);
                let chat =
                    Chat { organisation: "org-1", name: &name, messages: &messages, tokens: 64 };
                client::stream(router, &chat).await;
            }
        });
    }
    Ok(())
}

/// Lets the time pass, with as many changes of the table as the case has.
fn change(fleet: &Fleet, case: Case, length: Duration) -> io::Result<()> {
    let begun = Instant::now();
    if case.changes > 0 {
        let period = Duration::from_secs(10) / case.changes;
        let mut weight = 1;
        while begun.elapsed() + period <= length {
            weight = 3 - weight;
            let row = json!({"weight": weight, "limit": LIMIT, "in_service": true});
            fleet.write_rows(&[("config/organisation/org-1".to_owned(), row)])?;
            std::thread::sleep(period);
        }
    }
    std::thread::sleep(length.saturating_sub(begun.elapsed()));
    Ok(())
}

fn sample(fleet: &Fleet, meters: &[Arc<Bytes>]) -> io::Result<Sample> {
    let (mut messages, mut payload) = (0.0, 0.0);
    for sidecar in &fleet.sidecars {
        let (_, text) = fetch(sidecar.address("operators")?, "GET", "/metrics", &[], "")?;
        messages += counter(&text, "cornelpass_control_messages_total");
        payload += counter(&text, "cornelpass_control_bytes_total");
    }
    let cpu = |processes: &[cornelpass_standin::process::Process]| {
        processes.iter().map(|process| processor_seconds(process.id())).sum::<io::Result<f64>>()
    };
    Ok(Sample {
        at: Instant::now(),
        links: meters.iter().map(|bytes| bytes.total()).sum(),
        platform: fleet.platform.counters(),
        router_cpu: cpu(&fleet.routers)?,
        sidecar_cpu: cpu(&fleet.sidecars)?,
        messages,
        payload,
    })
}

/// Sum of a counter over its labels.
fn counter(text: &str, name: &str) -> f64 {
    let value = |line: &str| line.strip_prefix(name)?.rsplit_once(' ')?.1.parse::<f64>().ok();
    text.lines().filter_map(value).sum()
}

fn figures(fleet: &Fleet, case: Case, before: &Sample, after: &Sample) -> io::Result<Figures> {
    let seconds = (after.at - before.at).as_secs_f64();
    let (routers, targets) = (case.routers as f64, case.targets as f64);
    let platform = fleet.platform.address();
    let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
    let links = rate(before.links, after.links);
    let reads = rate(before.platform.reads, after.platform.reads);
    let scans = rate(before.platform.scans, after.platform.scans);
    let lists = rate(before.platform.instance_reads, after.platform.instance_reads);
    let list = exchange(platform, LIST)? as f64;
    let head = exchange(platform, HEAD)? as f64;
    let rows = exchange(platform, ROWS)? as f64;
    let snapshot = snapshot(fleet)? as f64;
    let polls = routers + targets;
    // A version that is not in force yet takes one more read, of the whole snapshot.
    let snapshots = (reads - polls).max(0.0) / polls * snapshot;
    let follow = head * (reads.min(polls) / polls) + snapshots;
    let mean_memory = |processes: &[cornelpass_standin::process::Process]| {
        let memory = processes.iter().map(|process| resident_mib(process.id()));
        memory.sum::<io::Result<f64>>().map(|sum| sum / processes.len().max(1) as f64)
    };
    let messages = (after.messages - before.messages) / seconds;
    Ok(Figures {
        router_link: links / routers,
        router_platform: follow + rows * scans / routers,
        router_messages: messages / routers,
        router_cpu: 100.0 * (after.router_cpu - before.router_cpu) / seconds / routers,
        router_memory: mean_memory(&fleet.routers)?,
        sidecar_link: links / targets,
        sidecar_platform: follow + list * lists / targets,
        sidecar_messages: messages / targets,
        sidecar_cpu: 100.0 * (after.sidecar_cpu - before.sidecar_cpu) / seconds / targets,
        sidecar_memory: mean_memory(&fleet.sidecars)?,
        payload: (after.payload - before.payload) / seconds / routers / targets,
        reads,
        scans,
        lists,
    })
}

/// Size of the accepted configuration's row as it is read.
fn snapshot(fleet: &Fleet) -> io::Result<usize> {
    let head = fleet.platform.row("accepted/head").unwrap_or_default();
    let path = format!("/v1/table/row?key=accepted/snapshot/{}", head["version"]);
    exchange(fleet.platform.address(), &path)
}

/// Bytes of one request and its answer.
fn exchange(address: SocketAddr, path: &str) -> io::Result<usize> {
    let mut stream = TcpStream::connect(address)?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    Ok(request.len() + answer.len())
}

fn heading() -> String {
    format!(
        "{:>13} {:>7} {:>7} {:>6} {:>7} {:>7} | {:>27} {:>6} {:>6} {:>5} | {:>27} {:>6} {:>6} {:>5} | {:>7} {:>7} {:>7} {:>7}",
        "case",
        "routers",
        "targets",
        "orgs",
        "streams",
        "changes",
        "router B/s links+platform",
        "msg/s",
        "cpu %",
        "MiB",
        "sidecar B/s links+platform",
        "msg/s",
        "cpu %",
        "MiB",
        "pair B",
        "reads/s",
        "scans/s",
        "lists/s",
    )
}

fn row(case: Case, figures: &Figures) -> String {
    let bytes = |link: f64, platform: f64| format!("{link:.0}+{platform:.0}");
    format!(
        "{:>13} {:>7} {:>7} {:>6} {:>7} {:>7} | {:>27} {:>6.1} {:>6.2} {:>5.1} | {:>27} {:>6.1} {:>6.2} {:>5.1} | {:>7.0} {:>7.1} {:>7.1} {:>7.1}",
        case.name,
        case.routers,
        case.targets,
        case.organisations,
        case.streams,
        case.changes,
        bytes(figures.router_link, figures.router_platform),
        figures.router_messages,
        figures.router_cpu,
        figures.router_memory,
        bytes(figures.sidecar_link, figures.sidecar_platform),
        figures.sidecar_messages,
        figures.sidecar_cpu,
        figures.sidecar_memory,
        figures.payload,
        figures.reads,
        figures.scans,
        figures.lists,
    )
}

fn line(case: Case, figures: &Figures) -> Value {
    json!({
        "case": case.name, "model": MODEL,
        "routers": case.routers, "targets": case.targets,
        "organisations": case.organisations, "streams": case.streams,
        "changes_in_10_s": case.changes,
        "router": {
            "link_bytes_s": figures.router_link, "platform_bytes_s": figures.router_platform,
            "messages_s": figures.router_messages, "cpu_percent": figures.router_cpu,
            "memory_mib": figures.router_memory,
        },
        "sidecar": {
            "link_bytes_s": figures.sidecar_link, "platform_bytes_s": figures.sidecar_platform,
            "messages_s": figures.sidecar_messages, "cpu_percent": figures.sidecar_cpu,
            "memory_mib": figures.sidecar_memory,
        },
        "payload_bytes_s_per_pair": figures.payload,
        "platform": {
            "reads_s": figures.reads, "scans_s": figures.scans, "instance_lists_s": figures.lists,
        },
    })
}
