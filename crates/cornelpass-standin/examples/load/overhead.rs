//! What a router and the process beside a target add to a request.
//!
//! Phases of direct calls and of calls through the router take turns in one run, over the same
//! engines and with the same number of streams at once.

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
use crate::record::{Lines, Times};

/// Streams at once.
const STREAMS: [usize; 3] = [1, 50, 200];

/// Engines.
const ENGINES: usize = 4;

/// Phases of each kind.
const PHASES: u64 = 5;

/// Units of load that an engine takes, at which nothing is refused.
const LIMIT: u32 = 4096;

/// Time after an answer that did not come whole.
const PAUSE: Duration = Duration::from_millis(100);

/// Tokens of an answer.
const TOKENS: u32 = 32;

/// Time from a request to its first token at the engine.
const FIRST_TOKEN: Duration = Duration::from_millis(20);

/// Figures of the direct calls, or of those through the router.
struct Series {
    first: Times,
    gap: Times,
    reads: usize,
    single: usize,
    lost: usize,
}

impl Series {
    fn new() -> io::Result<Self> {
        Ok(Self { first: Times::new()?, gap: Times::new()?, reads: 0, single: 0, lost: 0 })
    }

    fn add(&mut self, answer: &client::Answer) {
        if !answer.whole {
            self.lost += 1;
            return;
        }
        self.first.add(answer.first);
        answer.gaps.iter().for_each(|&gap| self.gap.add(gap));
        self.reads += answer.lumps.len();
        self.single += answer.lumps.iter().filter(|&&tokens| tokens == 1).count();
    }

    fn single_percent(&self) -> f64 {
        100.0 * self.single as f64 / self.reads.max(1) as f64
    }
}

/// Measures at each number of streams.
///
/// # Errors
///
/// If the fleet does not start.
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
        engines: ENGINES,
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
    let mut lines = Lines::create("overhead")?;
    println!("{}", heading());
    for streams in STREAMS {
        let (mut direct, mut routed) = (Series::new()?, Series::new()?);
        let length = Duration::from_secs(seconds) / (2 * PHASES as u32);
        let stream = FIRST_TOKEN + inter_token * TOKENS;
        for phase in 0..PHASES {
            let seed = seed * 1_000 + phase;
            for (series, addresses) in [(&mut direct, &engines[..]), (&mut routed, &router[..])] {
                let phase = Phase { addresses, streams, length, stream, seed };
                runtime.block_on(phase.run(series));
            }
        }
        println!("{}", row(streams, &direct, &routed));
        lines.add(&line(streams, &direct, &routed))?;
    }
    Ok(())
}

struct Phase<'a> {
    addresses: &'a [SocketAddr],
    streams: usize,
    length: Duration,
    stream: Duration,
    seed: u64,
}

impl Phase<'_> {
    async fn run(&self, series: &mut Series) {
        let (sender, answers) = flume::unbounded();
        let begun = Instant::now();
        for index in 0..self.streams {
            let mut random = StdRng::seed_from_u64(self.seed * 10_000 + index as u64);
            let address = self.addresses[index % self.addresses.len()];
            let until = begun + self.length.max(self.stream);
            let delay = self.stream.mul_f64(random.random::<f64>());
            let sender = sender.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                while Instant::now() < until {
                    let name = format!("chat-{:x}", random.random::<u64>());
                    let messages = format!(r#"[{{"role":"user","content":"{name}"}}]"#);
                    let chat = Chat {
                        organisation: "org-1",
                        name: &name,
                        messages: &messages,
                        tokens: TOKENS,
                    };
                    let answer = client::stream(address, &chat).await;
                    if !answer.whole {
                        tokio::time::sleep(PAUSE).await;
                    }
                    let _ = sender.send(answer);
                }
            });
        }
        drop(sender);
        while let Ok(answer) = answers.recv_async().await {
            series.add(&answer);
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

fn pair(times: &Times) -> String {
    format!("{:.2}/{:.2}", times.ms(0.5), times.ms(0.99))
}

fn added(direct: &Times, routed: &Times) -> String {
    let added = |quantile| routed.ms(quantile) - direct.ms(quantile);
    format!("{:+.2}/{:+.2}", added(0.5), added(0.99))
}

fn row(streams: usize, direct: &Series, routed: &Series) -> String {
    format!(
        "{streams:>7} {:>8} {:>23} {:>23} {:>19} {:>23} {:>23} {:>19} {:>13} {:>9}",
        direct.first.count() + routed.first.count(),
        pair(&direct.first),
        pair(&routed.first),
        added(&direct.first, &routed.first),
        pair(&direct.gap),
        pair(&routed.gap),
        added(&direct.gap, &routed.gap),
        format!("{:.1}/{:.1}", direct.single_percent(), routed.single_percent()),
        format!("{}/{}", direct.lost, routed.lost),
    )
}

fn line(streams: usize, direct: &Series, routed: &Series) -> serde_json::Value {
    let series = |series: &Series| {
        json!({
            "answers": series.first.count(),
            "first_token_ms": {"p50": series.first.ms(0.5), "p99": series.first.ms(0.99)},
            "inter_token_ms": {"p50": series.gap.ms(0.5), "p99": series.gap.ms(0.99)},
            "single_event_reads_percent": series.single_percent(),
            "lost": series.lost,
        })
    };
    json!({"streams": streams, "direct": series(direct), "routed": series(routed)})
}
