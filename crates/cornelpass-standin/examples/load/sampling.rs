//! Samples of a fleet while it runs, and the figures that are calculated from them.
//!
//! A sample has the load of each engine, as its sidecar reports it, and the number of requests that
//! each engine has received.

use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};

use cornelpass_standin::fleet::Fleet;
use cornelpass_standin::http::fetch;
use serde_json::Value;

/// Time between two samples.
pub(crate) const SAMPLE_PERIOD: Duration = Duration::from_millis(100);

/// Samples in a window, which covers one second.
const WINDOW_SAMPLES: usize = 10;

/// State of the engines at one time.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// Time at which the sample was taken.
    pub(crate) taken_at: Instant,
    /// Load of each engine; none for an engine that accepts no new requests.
    loads: Vec<Option<Load>>,
    /// Requests that each engine has received so far.
    received: Vec<u64>,
}

/// Load and capacity of an engine.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Load, in units of load.
    units: f64,
    /// Part of its full weight that the engine can serve, from 0 to 1; below 1 while the target is
    /// warming.
    capacity: f64,
}

/// Prompt tokens that the engines have received so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PromptTokens {
    /// Tokens found in the prefix caches.
    pub(crate) cached: u64,
    /// All tokens, cached or not.
    pub(crate) total: u64,
}

/// Imbalance of the load over the targets in the worst window.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Skew {
    /// Highest load of a target, divided by the mean load.
    pub(crate) ratio: f64,
    /// Highest load, in units of load.
    pub(crate) highest: f64,
    /// Mean load per weight, in units of load.
    pub(crate) mean: f64,
    /// Median over all windows of the ratio.
    pub(crate) median: f64,
}

/// Takes a sample of the engines.
pub(crate) fn sample(fleet: &Fleet, engines: usize) -> Sample {
    let load = |index: usize| read_load(fleet, index).ok().flatten();
    let loads = (0..engines).map(load).collect();
    let received = fleet.engines.iter().map(|engine| engine.counts().received).collect();
    Sample { taken_at: Instant::now(), loads, received }
}

/// Load that the sidecar of an engine reports; none if the target accepts no new requests.
fn read_load(fleet: &Fleet, index: usize) -> io::Result<Option<Load>> {
    let operators = fleet.sidecars[index].address("operators")?;
    let (_, body) = fetch(operators, "GET", "/status", &[], "")?;
    let status: Value = serde_json::from_str(&body)?;
    let report = &status["report"];
    let capacity = match report["state"].as_str() {
        Some("steady") => 1.0,
        Some("warming") => report["ramp_percent"].as_f64().unwrap_or_default().max(1.0) / 100.0,
        _ => return Ok(None),
    };
    Ok(report["load"].as_f64().map(|units| Load { units, capacity }))
}

/// Refusals and retries that the routers and sidecars have counted, by role, metric and reason.
pub(crate) fn refusals_and_retries(fleet: &Fleet) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for (role, processes) in [("router", &fleet.routers), ("sidecar", &fleet.sidecars)] {
        for process in processes {
            let text = process.address("operators").and_then(|operators| {
                fetch(operators, "GET", "/metrics", &[], "").map(|(_, text)| text)
            });
            for (name, value) in text.iter().flat_map(|text| text.lines()).filter_map(parse_counter)
            {
                *sums.entry(format!("{role} {name}")).or_default() += value;
            }
        }
    }
    sums
}

/// Name and value of a metric of refusals or retries; none for other lines.
fn parse_counter(line: &str) -> Option<(String, u64)> {
    let rest = line.strip_prefix("cornelpass_")?;
    let (kind, rest) = rest.split_once("_total{")?;
    let (_, rest) = rest.split_once("reason=\"")?;
    let (reason, rest) = rest.split_once('"')?;
    let (_, value) = rest.rsplit_once(' ')?;
    Some((format!("{kind} {reason}"), value.parse().ok()?))
}

/// Restarts of engines caused by overload while cold.
pub(crate) fn cold_restarts(fleet: &Fleet) -> u64 {
    fleet.engines.iter().map(|engine| engine.counts().fell_over).sum()
}

/// Sum of the prompt tokens over all engines.
pub(crate) fn prompt_tokens(fleet: &Fleet) -> PromptTokens {
    let mut tokens = PromptTokens::default();
    for counts in fleet.engines.iter().map(|engine| engine.counts()) {
        tokens.cached += counts.cached_tokens;
        tokens.total += counts.prompt_tokens;
    }
    tokens
}

/// Imbalance of the load: the highest load of a target divided by the mean load per weight, in
/// windows of one second, over the targets that accept new requests in the whole window.
///
/// A warming target counts in the mean with the part of its weight that it can serve.
pub(crate) fn load_skew(samples: &[Sample]) -> Skew {
    let mut windows: Vec<Skew> = samples.windows(WINDOW_SAMPLES).filter_map(window_skew).collect();
    windows.sort_by(|a, b| a.ratio.total_cmp(&b.ratio));
    let median = windows.get(windows.len() / 2).map_or(0.0, |window| window.ratio);
    windows.pop().map(|worst| Skew { median, ..worst }).unwrap_or_default()
}

fn window_skew(samples: &[Sample]) -> Option<Skew> {
    let engines = samples.first()?.loads.len();
    let load = |index: usize| {
        let loads: Option<Vec<Load>> = samples.iter().map(|sample| sample.loads[index]).collect();
        loads.map(|loads| {
            let mean =
                |value: fn(&Load) -> f64| loads.iter().map(value).sum::<f64>() / loads.len() as f64;
            Load { units: mean(|load| load.units), capacity: mean(|load| load.capacity) }
        })
    };
    let loads: Vec<Load> = (0..engines).filter_map(load).collect();
    let total_capacity: f64 = loads.iter().map(|load| load.capacity).sum();
    let mean = loads.iter().map(|load| load.units).sum::<f64>() / total_capacity;
    let highest = loads.iter().map(|load| load.units).fold(0.0, f64::max);
    (mean > 0.0).then(|| Skew { ratio: highest / mean, highest, mean, median: 0.0 })
}

/// Time from `from` to the last request that any of the engines received until `to`; zero if they
/// received none.
pub(crate) fn time_to_last_request(
    samples: &[Sample],
    engines: &[usize],
    from: Instant,
    to: Instant,
) -> Duration {
    let is_inside = |sample: &&Sample| sample.taken_at >= from && sample.taken_at <= to;
    let samples: Vec<&Sample> = samples.iter().filter(is_inside).collect();
    let received =
        |sample: &Sample| engines.iter().map(|&index| sample.received[index]).sum::<u64>();
    let mut increases = samples.windows(2).filter(|pair| received(pair[1]) > received(pair[0]));
    increases.next_back().map_or(Duration::ZERO, |pair| pair[1].taken_at - from)
}

/// Time from `from` to the end of the first window of one second in which the engines receive a
/// share of all requests; none if they never do.
pub(crate) fn time_until_share(
    samples: &[Sample],
    engines: &[usize],
    from: Instant,
    share: f64,
) -> Option<Duration> {
    let after: Vec<&Sample> = samples.iter().filter(|sample| sample.taken_at >= from).collect();
    let has_share = |window: &&[&Sample]| received_share(window, engines) >= share;
    after
        .windows(WINDOW_SAMPLES)
        .find(has_share)
        .map(|window| window[WINDOW_SAMPLES - 1].taken_at - from)
}

/// Share of all requests that the engines received between the first and the last sample.
pub(crate) fn received_share(window: &[&Sample], engines: &[usize]) -> f64 {
    let (Some(first), Some(last)) = (window.first(), window.last()) else { return 0.0 };
    let received = |index: usize| last.received[index] - first.received[index];
    let all: u64 = (0..first.received.len()).map(received).sum();
    let selected: u64 = engines.iter().map(|&index| received(index)).sum();
    selected as f64 / all.max(1) as f64
}
