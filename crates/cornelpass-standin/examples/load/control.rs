//! Measures control traffic, processor time and memory of routers and sidecars, by the size of the
//! fleet.
//!
//! The first case is the base, and each other case changes sizes of the base, so that the rows show
//! how each figure grows with one size. A [`Meter`] in front of each sidecar counts the bytes
//! between routers and sidecars. The bytes to the platform are calculated: the number of requests
//! that the platform counts, times the bytes of one such request and its response.

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
use crate::meter::{Meter, Traffic};
use crate::record::JsonLines;
use crate::usage::{processor_seconds, resident_mib};

/// Time after the start in which connections settle before the first sample.
const SETTLE_DURATION: Duration = Duration::from_secs(5);

/// Limit of each engine, in units of load: too high for a refusal.
const LIMIT: u32 = 4096;

/// Row that every router and sidecar polls.
const ACCEPTED_HEAD_PATH: &str = "/v1/table/row?key=accepted/head";

/// Rows that a router scans at each poll.
const CONFIG_ROWS_PATH: &str = "/v1/table/rows?prefix=config/";

/// List of instances, which the sidecars poll.
const INSTANCES_PATH: &str = "/v1/instances";

/// Size of the fleet and load of one measurement.
#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    routers: usize,
    targets: usize,
    organisations: usize,
    /// Concurrent streams.
    streams: usize,
    /// Changes of the declared table in ten seconds.
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

/// Counters at one time.
struct Sample {
    taken_at: Instant,
    link_bytes: u64,
    platform: Counters,
    router_cpu_seconds: f64,
    sidecar_cpu_seconds: f64,
    messages: f64,
    payload_bytes: f64,
}

/// Results of one case for each router and each sidecar: bytes, messages and requests per second,
/// processor time in percent of one processor and memory in MiB.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    router_link: f64,
    router_platform: f64,
    router_messages: f64,
    router_cpu_percent: f64,
    router_memory_mib: f64,
    sidecar_link: f64,
    sidecar_platform: f64,
    sidecar_messages: f64,
    sidecar_cpu_percent: f64,
    sidecar_memory_mib: f64,
    /// Bytes per second for each pair of a router and a sidecar.
    payload_bytes: f64,
    reads: f64,
    scans: f64,
    lists: f64,
}

/// Measures each case.
///
/// # Errors
///
/// If a fleet does not start, or the results can not be written.
pub(crate) fn run(runtime: &Runtime, seconds: u64) -> io::Result<()> {
    let mut lines = JsonLines::create("control")?;
    println!("{}", heading());
    for case in CASES {
        let figures = measure(runtime, case, Duration::from_secs(seconds))?;
        println!("{}", row(case, &figures));
        lines.append(&line(case, &figures))?;
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
    let meters = insert_meters(runtime, &fleet)?;
    std::thread::sleep(SETTLE_DURATION);
    fleet.wait_until_ready()?;
    let stop = Arc::new(AtomicBool::new(false));
    start_streams(runtime, &fleet, case, &stop)?;
    let before = sample(&fleet, &meters)?;
    change_table(&fleet, case, length)?;
    let after = sample(&fleet, &meters)?;
    stop.store(true, Ordering::Relaxed);
    figures(&fleet, case, &before, &after)
}

/// Puts a meter in front of each sidecar, and writes its address into the table in place of the
/// sidecar's.
fn insert_meters(runtime: &Runtime, fleet: &Fleet) -> io::Result<Vec<Arc<Traffic>>> {
    let mut traffic = Vec::new();
    let mut rows = fleet.config_rows()?;
    for (index, sidecar) in fleet.sidecars.iter().enumerate() {
        let meter = Meter::start(runtime, sidecar.address("routers")?)?;
        let key = format!("config/target/{}", fleet.target_name(index));
        for (_, row) in rows.iter_mut().filter(|(name, _)| *name == key) {
            row["address"] = json!(meter.address.to_string());
        }
        traffic.push(meter.traffic);
    }
    rows.retain(|(key, _)| key.starts_with("config/target/"));
    fleet.write_rows(&rows)?;
    Ok(traffic)
}

/// Runs concurrent streams, spread over the routers, until `stop` is set.
fn start_streams(
    runtime: &Runtime,
    fleet: &Fleet,
    case: Case,
    stop: &Arc<AtomicBool>,
) -> io::Result<()> {
    for index in 0..case.streams {
        let router = fleet.router_address(index % case.routers)?;
        let stop = Arc::clone(stop);
        runtime.spawn(async move {
            for round in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("chat-{index}-{round}");
                let messages = format!(r#"[{{"role":"user","content":"{id}"}}]"#);
                let chat = Chat { organisation: "org-1", id: &id, messages: &messages, tokens: 64 };
                client::stream(router, &chat).await;
            }
        });
    }
    Ok(())
}

/// Waits for the length of a measurement, and changes the table as often as the case requires.
fn change_table(fleet: &Fleet, case: Case, length: Duration) -> io::Result<()> {
    let started_at = Instant::now();
    if case.changes > 0 {
        let period = Duration::from_secs(10) / case.changes;
        let mut weight = 1;
        while started_at.elapsed() + period <= length {
            weight = 3 - weight;
            let row = json!({"weight": weight, "limit": LIMIT, "in_service": true});
            fleet.write_rows(&[("config/organisation/org-1".to_owned(), row)])?;
            std::thread::sleep(period);
        }
    }
    std::thread::sleep(length.saturating_sub(started_at.elapsed()));
    Ok(())
}

fn sample(fleet: &Fleet, meters: &[Arc<Traffic>]) -> io::Result<Sample> {
    let (mut messages, mut payload_bytes) = (0.0, 0.0);
    for sidecar in &fleet.sidecars {
        let (_, text) = fetch(sidecar.address("operators")?, "GET", "/metrics", &[], "")?;
        messages += metric_sum(&text, "cornelpass_control_messages_total");
        payload_bytes += metric_sum(&text, "cornelpass_control_bytes_total");
    }
    let cpu_seconds = |processes: &[cornelpass_standin::process::Process]| {
        processes.iter().map(|process| processor_seconds(process.id())).sum::<io::Result<f64>>()
    };
    Ok(Sample {
        taken_at: Instant::now(),
        link_bytes: meters.iter().map(|traffic| traffic.total()).sum(),
        platform: fleet.platform.counters(),
        router_cpu_seconds: cpu_seconds(&fleet.routers)?,
        sidecar_cpu_seconds: cpu_seconds(&fleet.sidecars)?,
        messages,
        payload_bytes,
    })
}

/// Sum of the values of a metric over all its labels.
fn metric_sum(text: &str, name: &str) -> f64 {
    let value = |line: &str| line.strip_prefix(name)?.rsplit_once(' ')?.1.parse::<f64>().ok();
    text.lines().filter_map(value).sum()
}

fn figures(fleet: &Fleet, case: Case, before: &Sample, after: &Sample) -> io::Result<Figures> {
    let seconds = (after.taken_at - before.taken_at).as_secs_f64();
    let (routers, targets) = (case.routers as f64, case.targets as f64);
    let platform = fleet.platform.address();
    let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
    let link_rate = rate(before.link_bytes, after.link_bytes);
    let reads = rate(before.platform.reads, after.platform.reads);
    let scans = rate(before.platform.scans, after.platform.scans);
    let lists = rate(before.platform.instance_reads, after.platform.instance_reads);
    let list_bytes = exchange_bytes(platform, INSTANCES_PATH)? as f64;
    let head_bytes = exchange_bytes(platform, ACCEPTED_HEAD_PATH)? as f64;
    let rows_bytes = exchange_bytes(platform, CONFIG_ROWS_PATH)? as f64;
    let snapshot_bytes = snapshot_bytes(fleet)? as f64;
    // Each router and each sidecar polls the accepted head once a second.
    let head_polls = routers + targets;
    // A process that learns of a new version also reads the row of the complete snapshot.
    let snapshot_rate = (reads - head_polls).max(0.0) / head_polls * snapshot_bytes;
    let follow_rate = head_bytes * (reads.min(head_polls) / head_polls) + snapshot_rate;
    let mean_resident_mib = |processes: &[cornelpass_standin::process::Process]| {
        let sizes = processes.iter().map(|process| resident_mib(process.id()));
        sizes.sum::<io::Result<f64>>().map(|sum| sum / processes.len().max(1) as f64)
    };
    let messages = (after.messages - before.messages) / seconds;
    Ok(Figures {
        router_link: link_rate / routers,
        router_platform: follow_rate + rows_bytes * scans / routers,
        router_messages: messages / routers,
        router_cpu_percent: 100.0 * (after.router_cpu_seconds - before.router_cpu_seconds)
            / seconds
            / routers,
        router_memory_mib: mean_resident_mib(&fleet.routers)?,
        sidecar_link: link_rate / targets,
        sidecar_platform: follow_rate + list_bytes * lists / targets,
        sidecar_messages: messages / targets,
        sidecar_cpu_percent: 100.0 * (after.sidecar_cpu_seconds - before.sidecar_cpu_seconds)
            / seconds
            / targets,
        sidecar_memory_mib: mean_resident_mib(&fleet.sidecars)?,
        payload_bytes: (after.payload_bytes - before.payload_bytes) / seconds / routers / targets,
        reads,
        scans,
        lists,
    })
}

/// Bytes for reading the row of the accepted configuration.
fn snapshot_bytes(fleet: &Fleet) -> io::Result<usize> {
    let head = fleet.platform.row("accepted/head").unwrap_or_default();
    let path = format!("/v1/table/row?key=accepted/snapshot/{}", head["version"]);
    exchange_bytes(fleet.platform.address(), &path)
}

/// Bytes of one request and its response, with their heads.
fn exchange_bytes(address: SocketAddr, path: &str) -> io::Result<usize> {
    let mut stream = TcpStream::connect(address)?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    Ok(request.len() + response.len())
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
        figures.router_cpu_percent,
        figures.router_memory_mib,
        bytes(figures.sidecar_link, figures.sidecar_platform),
        figures.sidecar_messages,
        figures.sidecar_cpu_percent,
        figures.sidecar_memory_mib,
        figures.payload_bytes,
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
            "messages_s": figures.router_messages, "cpu_percent": figures.router_cpu_percent,
            "memory_mib": figures.router_memory_mib,
        },
        "sidecar": {
            "link_bytes_s": figures.sidecar_link, "platform_bytes_s": figures.sidecar_platform,
            "messages_s": figures.sidecar_messages, "cpu_percent": figures.sidecar_cpu_percent,
            "memory_mib": figures.sidecar_memory_mib,
        },
        "payload_bytes_s_per_pair": figures.payload_bytes,
        "platform": {
            "reads_s": figures.reads, "scans_s": figures.scans, "instance_lists_s": figures.lists,
        },
    })
}
