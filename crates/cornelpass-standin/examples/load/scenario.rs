//! Runs a deployment's callers against a fleet under one fault, once for each placement policy.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelpass_standin::engine;
use cornelpass_standin::fleet::{Fleet, Layout};
use flume::{Receiver, Sender};
use serde_json::json;
use tokio::runtime::Runtime;

use crate::fault::{Faults, Kind};
use crate::record::{Lines, Times};
use crate::trace::{self, BAJIO, Caller, End, Event, PORTO, Shape};
use crate::watch::{self, Prompt, Sample, Skew};

const ENGINES: usize = 9;
const SERVICES: usize = 3;
const ROUTERS: usize = 3;
const DATA_CENTRES: usize = 3;

/// Units of load that an engine takes.
const LIMIT: u32 = 1024;

/// Requests at once that a cold engine bears.
const COLD_LIMIT: u32 = 6;

/// Retries allowed as a share of requests, in percent.
const RETRY_PERCENT: u32 = 20;

/// Time from an engine's start until it is warm.
const COLD: Duration = Duration::from_secs(1);

/// Time in which caches and windows fill before the measurement.
const WARM_UP: Duration = Duration::from_secs(8);

/// Callers of the surging organisation for each of its usual ones, besides these.
const SURGE: usize = 9;

/// Part of the earlier share at which a data centre counts as back.
const BACK: f64 = 0.8;

/// What to run.
pub(crate) struct Options<'a> {
    /// Name of the deployment.
    pub(crate) deployment: &'a str,
    /// Names of the policies.
    pub(crate) policies: Vec<&'a str>,
    /// Name of the fault.
    pub(crate) fault: &'a str,
    /// Length of the measurement, in seconds.
    pub(crate) seconds: u64,
    /// Seed of the callers.
    pub(crate) seed: u64,
    /// Multiple of the mean load that a target may reach, in percent.
    pub(crate) multiple: u64,
    /// Load below which the multiple does not bind, in units of load.
    pub(crate) floor: u64,
}

/// Moments of a run.
#[derive(Clone, Copy)]
struct Plan {
    begin: Instant,
    from: Instant,
    to: Instant,
    end: Instant,
}

impl Plan {
    fn new(length: Duration) -> Self {
        let begin = Instant::now() + WARM_UP;
        let (from, to) = (begin + length / 4, begin + length * 5 / 8);
        Self { begin, from, to, end: begin + length }
    }
}

/// What a run gave.
struct Outcome {
    plan: Plan,
    events: Vec<Event>,
    samples: Vec<Sample>,
    prompt: Prompt,
    skew: Skew,
    doubles: usize,
    fell_over: u64,
    /// Refusals and retries of the processes, by reason, from their start on.
    counters: BTreeMap<String, u64>,
}

/// Runs each policy and prints one line for each.
///
/// # Errors
///
/// If a fleet does not start.
pub(crate) fn run(runtime: &Runtime, options: &Options<'_>) -> io::Result<()> {
    let shape = if options.deployment == "bajio" { BAJIO } else { PORTO };
    let kind = Kind::parse(options.fault).unwrap_or(Kind::Steady);
    let mut lines = Lines::create(&format!("scenario-{}-{}", options.deployment, options.fault))?;
    println!("{}", heading());
    for policy in &options.policies {
        let outcome = measure(runtime, shape, kind, policy, options)?;
        let figures = Figures::new(&outcome, kind)?;
        println!("{}", figures.row(policy));
        for (detail, count) in outcome.details() {
            println!("{:>13} {count} x {detail}", "");
        }
        for (name, count) in &outcome.counters {
            println!("{:>13} {count} x {name}", "");
        }
        lines.add(&figures.line(options, policy))?;
    }
    Ok(())
}

fn layout(shape: Shape, policy: &str, options: &Options<'_>) -> Layout {
    Layout {
        engines: ENGINES,
        services: SERVICES,
        routers: ROUTERS,
        data_centres: DATA_CENTRES,
        organisations: shape.organisations,
        engine: engine::Options {
            slots: 256,
            inter_token: shape.inter_token,
            cache_chunks: shape.cache_chunks,
            cold_time: COLD,
            cold_limit: COLD_LIMIT as usize,
            ..engine::Options::default()
        },
        limit: LIMIT,
        cold_limit: COLD_LIMIT,
        cold_seconds: 0,
        policy: json!({
            "load_multiple_percent": options.multiple, "load_floor": options.floor,
            "retry_percent": RETRY_PERCENT,
        }),
        router_settings: format!("placement = \"{policy}\""),
    }
}

fn measure(
    runtime: &Runtime,
    shape: Shape,
    kind: Kind,
    policy: &str,
    options: &Options<'_>,
) -> io::Result<Outcome> {
    let mut fleet = Fleet::start(layout(shape, policy, options))?;
    let routers = (0..ROUTERS).map(|index| fleet.router_address(index));
    let routers = Arc::new(routers.collect::<io::Result<Vec<SocketAddr>>>()?);
    let plan = Plan::new(Duration::from_secs(options.seconds));
    let (sender, receiver) = flume::unbounded();
    call(runtime, shape, kind, options.seed, plan, &routers, &sender);
    drop(sender);
    let mut faults = Faults::new(kind, ENGINES, plan.from, plan.to);
    let mut samples = Vec::new();
    let mut before = Prompt::default();
    while Instant::now() < plan.end {
        let due = Instant::now() + watch::PERIOD;
        faults.step(&mut fleet)?;
        let sample = watch::sample(&fleet, ENGINES);
        if sample.at < plan.begin {
            before = watch::prompt(&fleet);
        } else {
            samples.push(sample);
        }
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    let after = watch::prompt(&fleet);
    let prompt = Prompt { cached: after.cached - before.cached, all: after.all - before.all };
    let events = collect(&receiver, plan);
    let doubles = doubles(&fleet);
    let skew = watch::skew(&samples);
    let fell_over = watch::fell_over(&fleet);
    let counters = watch::counters(&fleet);
    Ok(Outcome { plan, events, samples, prompt, skew, doubles, fell_over, counters })
}

/// Starts the callers, and those of the surge.
fn call(
    runtime: &Runtime,
    shape: Shape,
    kind: Kind,
    seed: u64,
    plan: Plan,
    routers: &Arc<Vec<SocketAddr>>,
    events: &Sender<Event>,
) {
    let caller = |index, organisation, until| Caller {
        shape,
        routers: Arc::clone(routers),
        index,
        organisation,
        until,
        events: events.clone(),
    };
    for index in 0..shape.chats {
        let organisation = trace::organisation(&shape, index);
        runtime.spawn(caller(index, organisation, plan.end).run(seed));
        if kind == Kind::Surge && organisation == trace::SURGING {
            for extra in 1..=SURGE {
                let caller = caller(index + extra * shape.chats, organisation, plan.to);
                runtime.spawn(async move {
                    tokio::time::sleep_until(plan.from.into()).await;
                    caller.run(seed).await;
                });
            }
        }
    }
}

/// Requests that were sent within the measurement.
fn collect(receiver: &Receiver<Event>, plan: Plan) -> Vec<Event> {
    let events = receiver.iter();
    events.filter(|event| event.at >= plan.begin && event.at < plan.end).collect()
}

/// Idempotency keys under which more than one call ran, over all services.
fn doubles(fleet: &Fleet) -> usize {
    let mut ran = BTreeMap::<String, u64>::new();
    for service in &fleet.services {
        for (key, count) in service.executions().by_key {
            *ran.entry(key).or_default() += count;
        }
    }
    ran.values().filter(|&&count| count > 1).count()
}

impl Outcome {
    fn count(&self, end: End) -> usize {
        self.events.iter().filter(|event| event.end == end).count()
    }

    /// First-token times of the chats that were sent between two moments.
    fn first(&self, from: Instant, to: Instant, surging: bool) -> io::Result<Times> {
        let mut times = Times::new()?;
        let inside = |event: &&Event| event.at >= from && event.at < to;
        let ours = |event: &&Event| surging || !event.surging;
        for event in self.events.iter().filter(inside).filter(ours) {
            if let (End::Whole, Some(answer)) = (event.end, &event.answer) {
                times.add(answer.first);
            }
        }
        Ok(times)
    }

    fn gaps(&self) -> io::Result<Times> {
        let mut times = Times::new()?;
        for answer in self.events.iter().filter_map(|event| event.answer.as_ref()) {
            answer.gaps.iter().for_each(|&gap| times.add(gap));
        }
        Ok(times)
    }

    /// What came in place of answers, and how often.
    fn details(&self) -> BTreeMap<String, usize> {
        let mut details = BTreeMap::new();
        for event in self.events.iter().filter(|event| event.end != End::Whole) {
            let reason = event.detail.split(r#""reason":""#).nth(1).and_then(|rest| {
                let (reason, rest) = rest.split_once('"')?;
                let run = rest.split(r#""run":""#).nth(1)?.split_once('"')?.0;
                Some(format!("{reason} ({run})"))
            });
            let reason = reason.unwrap_or_else(|| event.detail.chars().take(60).collect());
            *details.entry(format!("{:?}: {reason}", event.end)).or_default() += 1;
        }
        details
    }
}

/// Figures of one line.
struct Figures {
    requests: usize,
    refused: usize,
    unknown: usize,
    lost: usize,
    doubles: usize,
    fell_over: u64,
    reuse: f64,
    skew: Skew,
    first: Times,
    steady: Times,
    fault: Times,
    gaps: Times,
    out: Option<Duration>,
    back: Option<Duration>,
}

impl Figures {
    fn new(outcome: &Outcome, kind: Kind) -> io::Result<Self> {
        let plan = outcome.plan;
        let engines: Vec<usize> = (0..ENGINES).filter(|index| index % DATA_CENTRES == 1).collect();
        let leaves = kind == Kind::DataCentre;
        let last = || watch::last_received(&outcome.samples, &engines, plan.from, plan.to);
        let steady: Vec<&Sample> =
            outcome.samples.iter().filter(|sample| sample.at < plan.from).collect();
        let share = BACK * watch::received_share(&steady, &engines);
        let back = || watch::share_back(&outcome.samples, &engines, plan.to, share);
        Ok(Self {
            requests: outcome.events.len(),
            refused: outcome.count(End::Refused),
            unknown: outcome.count(End::Unknown),
            lost: outcome.count(End::Lost),
            doubles: outcome.doubles,
            fell_over: outcome.fell_over,
            reuse: 100.0 * outcome.prompt.cached as f64 / outcome.prompt.all.max(1) as f64,
            skew: outcome.skew,
            first: outcome.first(plan.begin, plan.end, true)?,
            steady: outcome.first(plan.begin, plan.from, false)?,
            fault: outcome.first(plan.from, plan.to, false)?,
            gaps: outcome.gaps()?,
            out: leaves.then(last),
            back: leaves.then(back).flatten(),
        })
    }

    /// First-token 99th percentile during the fault, against the one before it.
    fn slowdown(&self) -> f64 {
        self.fault.ms(0.99) / self.steady.ms(0.99).max(0.001)
    }

    fn row(&self, policy: &str) -> String {
        let time = |time: Option<Duration>| {
            time.map_or("-".to_owned(), |time| format!("{:.1}", time.as_secs_f64()))
        };
        format!(
            "{policy:>13} {:>8} {:>7} {:>7} {:>5} {:>7} {:>9} {:>7.1} {:>22} {:>6.2} {:>15} {:>10} {:>8.2} {:>9.1} {:>6} {:>6}",
            self.requests,
            self.refused,
            self.unknown,
            self.lost,
            self.doubles,
            self.fell_over,
            self.reuse,
            format!("{:.2} ({:.0}/{:.0})", self.skew.ratio, self.skew.most, self.skew.mean),
            self.skew.median,
            format!("{:.0}/{:.0}", self.first.ms(0.5), self.first.ms(0.99)),
            format!("{:.0}/{:.0}", self.steady.ms(0.99), self.fault.ms(0.99)),
            self.slowdown(),
            self.gaps.ms(0.99),
            time(self.out),
            time(self.back),
        )
    }

    fn line(&self, options: &Options<'_>, policy: &str) -> serde_json::Value {
        let seconds = |time: Option<Duration>| time.map(|time| time.as_secs_f64());
        json!({
            "deployment": options.deployment, "fault": options.fault, "policy": policy,
            "seconds": options.seconds, "seed": options.seed,
            "load_multiple_percent": options.multiple, "load_floor": options.floor,
            "requests": self.requests, "refused": self.refused, "unknown": self.unknown,
            "lost": self.lost, "doubles": self.doubles, "fell_over": self.fell_over,
            "cache_reuse_percent": self.reuse,
            "skew": {
                "worst": self.skew.ratio, "most": self.skew.most, "mean": self.skew.mean,
                "median": self.skew.median,
            },
            "first_token_ms": {
                "p50": self.first.ms(0.5), "p99": self.first.ms(0.99),
                "steady_p99": self.steady.ms(0.99), "fault_p99": self.fault.ms(0.99),
            },
            "inter_token_p99_ms": self.gaps.ms(0.99),
            "no_new_work_after_s": seconds(self.out), "weight_back_after_s": seconds(self.back),
        })
    }
}

fn heading() -> String {
    format!(
        "{:>13} {:>8} {:>7} {:>7} {:>5} {:>7} {:>9} {:>7} {:>22} {:>6} {:>15} {:>10} {:>8} {:>9} {:>6} {:>6}",
        "policy",
        "requests",
        "refused",
        "unknown",
        "lost",
        "doubles",
        "fell over",
        "reuse %",
        "skew worst (most/mean)",
        "median",
        "first p50/p99",
        "before/in",
        "ratio",
        "gap p99",
        "out s",
        "back s",
    )
}
