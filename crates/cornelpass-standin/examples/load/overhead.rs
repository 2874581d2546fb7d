//! Measures the latency that a router and a sidecar add to a request.
//!
//! Phases of direct calls to the engines and of calls through the router alternate in one run, with
//! the same engines and the same number of concurrent streams, so that both series meet the same
//! conditions.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cornelpass_standin::engine;
use cornelpass_standin::fleet::{Fleet, Layout};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::runtime::Runtime;

use crate::client::{self, Chat};
use crate::record::{Durations, JsonLines};

/// Numbers of concurrent streams, each with its own row of results.
const STREAM_COUNTS: [usize; 3] = [1, 50, 200];

/// Number of engines.
const ENGINE_COUNT: usize = 4;

/// Number of phases of each series.
const PHASES: u64 = 5;

/// Limit of each engine, in units of load: too high for a refusal.
const LIMIT: u32 = 4096;

/// Delay before the next request after an incomplete response.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Tokens in each response.
const TOKENS: u32 = 32;

/// Time from a request to its first token at the engine, without the router.
const FIRST_TOKEN: Duration = Duration::from_millis(20);

/// Results of the direct calls, or of the calls through the router.
struct Series {
    first_token: Durations,
    inter_token: Durations,
    reads: usize,
    single_token_reads: usize,
    incomplete: usize,
}

impl Series {
    fn new() -> io::Result<Self> {
        Ok(Self {
            first_token: Durations::new()?,
            inter_token: Durations::new()?,
            reads: 0,
            single_token_reads: 0,
            incomplete: 0,
        })
    }

    fn record(&mut self, completion: &client::Completion) {
        if !completion.complete {
            self.incomplete += 1;
            return;
        }
        self.first_token.record(completion.first_token);
        completion.inter_token.iter().for_each(|&time| self.inter_token.record(time));
        self.reads += completion.tokens_per_read.len();
        self.single_token_reads +=
            completion.tokens_per_read.iter().filter(|&&tokens| tokens == 1).count();
    }

    fn single_token_percent(&self) -> f64 {
        100.0 * self.single_token_reads as f64 / self.reads.max(1) as f64
    }
}

/// Measures each number of concurrent streams.
///
/// # Errors
///
/// If the fleet does not start, or the results can not be written.
pub(crate) fn run(
    runtime: &Runtime,
    seconds: u64,
    seed: u64,
    inter_token_ms: u64,
) -> io::Result<()> {
    let inter_token = Duration::from_millis(inter_token_ms);
    let options = engine::Options {
        slots: 1024,
        first_token: FIRST_TOKEN,
        prefill_per_token: Duration::ZERO,
        inter_token,
        ..engine::Options::default()
    };
    let layout = Layout {
        engines: ENGINE_COUNT,
        routers: 1,
        services: 0,
        engine: options,
        limit: LIMIT,
        cold_limit: LIMIT,
        policy: json!({
            "load_multiple_percent": 150, "load_floor": LIMIT, "retry_percent": 20,
        }),
        ..Layout::default()
    };
    let fleet = Fleet::start(layout)?;
    let engines: Vec<SocketAddr> = fleet.engines.iter().map(engine::Engine::address).collect();
    let router = [fleet.router_address(0)?];
    let mut lines = JsonLines::create("overhead")?;
    println!("{}", heading());
    for streams in STREAM_COUNTS {
        let (mut direct, mut routed) = (Series::new()?, Series::new()?);
        let length = Duration::from_secs(seconds) / (2 * PHASES as u32);
        let stream_duration = FIRST_TOKEN + inter_token * TOKENS;
        for phase in 0..PHASES {
            let seed = seed * 1_000 + phase;
            for (series, addresses) in [(&mut direct, &engines[..]), (&mut routed, &router[..])] {
                let phase = Phase { addresses, streams, length, stream_duration, seed };
                runtime.block_on(phase.run(series));
            }
        }
        println!("{}", row(streams, &direct, &routed));
        lines.append(&line(streams, &direct, &routed))?;
    }
    Ok(())
}

struct Phase<'a> {
    addresses: &'a [SocketAddr],
    streams: usize,
    length: Duration,
    stream_duration: Duration,
    seed: u64,
}

impl Phase<'_> {
    async fn run(&self, series: &mut Series) {
        let (sender, completions) = flume::unbounded();
        let started_at = Instant::now();
        for index in 0..self.streams {
            let mut random = StdRng::seed_from_u64(self.seed * 10_000 + index as u64);
            let address = self.addresses[index % self.addresses.len()];
            let deadline = started_at + self.length.max(self.stream_duration);
            let delay = self.stream_duration.mul_f64(random.random::<f64>());
            let sender = sender.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                while Instant::now() < deadline {
                    let id = format!("chat-{:x}", random.random::<u64>());
                    let messages = format!(r#"[{{"role":"user","content":"{id}"}}]"#);
                    let chat = Chat {
                        organisation: "org-1",
                        id: &id,
                        messages: &messages,
                        tokens: TOKENS,
                    };
                    let completion = client::stream(address, &chat).await;
                    if !completion.complete {
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                    let _ = sender.send(completion);
                }
            });
        }
        drop(sender);
        while let Ok(completion) = completions.recv_async().await {
            series.record(&completion);
        }
    }
}

fn heading() -> String {
    format!(
        "{:>7} {:>8} {:>23} {:>23} {:>19} {:>23} {:>23} {:>19} {:>13} {:>9}",
        "streams",
        "answers",
        "first direct p50/p99",
        "first routed p50/p99",
        "added p50/p99 ms",
        "gap direct p50/p99",
        "gap routed p50/p99",
        "added p50/p99 ms",
        "one by one %",
        "lost",
    )
}

fn quantiles(times: &Durations) -> String {
    format!("{:.2}/{:.2}", times.ms(0.5), times.ms(0.99))
}

fn added_latency(direct: &Durations, routed: &Durations) -> String {
    let added = |quantile| routed.ms(quantile) - direct.ms(quantile);
    format!("{:+.2}/{:+.2}", added(0.5), added(0.99))
}

fn row(streams: usize, direct: &Series, routed: &Series) -> String {
    format!(
        "{streams:>7} {:>8} {:>23} {:>23} {:>19} {:>23} {:>23} {:>19} {:>13} {:>9}",
        direct.first_token.count() + routed.first_token.count(),
        quantiles(&direct.first_token),
        quantiles(&routed.first_token),
        added_latency(&direct.first_token, &routed.first_token),
        quantiles(&direct.inter_token),
        quantiles(&routed.inter_token),
        added_latency(&direct.inter_token, &routed.inter_token),
        format!("{:.1}/{:.1}", direct.single_token_percent(), routed.single_token_percent()),
        format!("{}/{}", direct.incomplete, routed.incomplete),
    )
}

fn line(streams: usize, direct: &Series, routed: &Series) -> serde_json::Value {
    let series = |series: &Series| {
        json!({
            "answers": series.first_token.count(),
            "first_token_ms": {"p50": series.first_token.ms(0.5), "p99": series.first_token.ms(0.99)},
            "inter_token_ms": {"p50": series.inter_token.ms(0.5), "p99": series.inter_token.ms(0.99)},
            "single_event_reads_percent": series.single_token_percent(),
            "lost": series.incomplete,
        })
    };
    json!({"streams": streams, "direct": series(direct), "routed": series(routed)})
}
