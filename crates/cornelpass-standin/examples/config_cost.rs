//! Measures the requests and bytes that the platform serves while routers and sidecars follow the
//! configuration, with 10 and 2,200 organisations, and the time until a change is accepted.
//!
//! Run with `cargo run --example config_cost`.

use std::io;
use std::time::{Duration, Instant};

use cornelpass_standin::fleet::{Fleet, Layout, wait_until};
use cornelpass_standin::http::fetch;
use serde_json::json;

/// Time during which the tool counts requests without a change of the configuration.
const IDLE_DURATION: Duration = Duration::from_secs(10);

fn main() -> io::Result<()> {
    for organisations in [10, 2_200] {
        measure(organisations)?;
    }
    Ok(())
}

fn measure(organisations: usize) -> io::Result<()> {
    let layout = Layout { organisations, routers: 3, engines: 4, ..Layout::default() };
    let fleet = Fleet::start(layout)?;
    let platform = fleet.platform.address();
    let response_bytes =
        |path: &str| fetch(platform, "GET", path, &[], "").map(|(_, body)| body.len());
    let (before, started_at) = (fleet.platform.counters(), Instant::now());
    std::thread::sleep(IDLE_DURATION);
    let (after, seconds) = (fleet.platform.counters(), started_at.elapsed().as_secs_f64());
    let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
    println!(
        "{organisations} organisations, 3 routers, 5 sidecars: \
         {:.1} scans/s, {:.1} reads/s, {:.1} commits/s; {} bytes per scan",
        rate(before.scans, after.scans),
        rate(before.reads, after.reads),
        rate(before.commits, after.commits),
        response_bytes("/v1/table/rows?prefix=config%2F")?,
    );
    let changed_at = Instant::now();
    let row = json!({"weight": 2, "limit": 64, "in_service": true});
    fleet.platform.put_row("config/organisation/org-1", row);
    wait_until(|| fleet.platform.row("accepted/snapshot/2").is_some())?;
    println!(
        "  accepted after {:.2?}; {} bytes per snapshot",
        changed_at.elapsed(),
        response_bytes("/v1/table/row?key=accepted%2Fsnapshot%2F2")?,
    );
    Ok(())
}
