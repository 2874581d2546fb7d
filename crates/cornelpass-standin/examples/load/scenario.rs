//! Runs the callers of a deployment against a fleet under one fault, once for each placement
//! policy.
//!
//! After a warm-up, the measurement starts with a steady phase. The fault lasts from one quarter to
//! five eighths of the measurement, and the rest shows the recovery.

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

use crate::caller::{self, BAJIO, Caller, Outcome, PORTO, Record, Workload};
use crate::fault::{Injector, Kind};
use crate::record::{Durations, JsonLines};
use crate::sampling::{self, PromptTokens, Sample, Skew};

const ENGINE_COUNT: usize = 9;
const SERVICE_COUNT: usize = 3;
const ROUTER_COUNT: usize = 3;
const DATA_CENTRE_COUNT: usize = 3;

/// Limit of each target and organisation, in units of load.
const LIMIT: u32 = 1024;

/// Highest number of concurrent requests at a cold engine.
const COLD_LIMIT: u32 = 6;

/// Retries allowed, in percent of the requests.
const RETRY_PERCENT: u32 = 20;

/// Duration of an engine's cold start.
const COLD_TIME: Duration = Duration::from_secs(1);

/// Time before the measurement in which caches and windows fill.
const WARM_UP_DURATION: Duration = Duration::from_secs(8);

/// Additional callers during a surge for each usual caller of the surging organisation, which makes
/// its load ten times as high.
const SURGE_EXTRA_CALLERS: usize = 9;

/// Part of the previous share of requests at which a data centre counts as restored.
const RESTORED_SHARE: f64 = 0.8;

/// Arguments of the subcommand.
pub(crate) struct Options<'a> {
    /// Name of the deployment.
    pub(crate) deployment: &'a str,
    /// Names of the placement policies.
    pub(crate) policies: Vec<&'a str>,
    /// Name of the fault.
    pub(crate) fault: &'a str,
    /// Length of the measurement, in seconds.
    pub(crate) seconds: u64,
    /// Seed for the random numbers of the callers.
    pub(crate) seed: u64,
    /// Multiple of the mean load that a target may reach, in percent.
    pub(crate) multiple: u64,
    /// Load per weight below which the multiple does not apply, in units of load.
    pub(crate) floor: u64,
}

/// Times at which the phases of a run start and end.
#[derive(Clone, Copy)]
struct Schedule {
    start: Instant,
    fault_start: Instant,
    fault_end: Instant,
    end: Instant,
}

impl Schedule {
    fn new(length: Duration) -> Self {
        let start = Instant::now() + WARM_UP_DURATION;
        let (fault_start, fault_end) = (start + length / 4, start + length * 5 / 8);
        Self { start, fault_start, fault_end, end: start + length }
    }
}

/// Records and samples of a run.
struct Results {
    schedule: Schedule,
    records: Vec<Record>,
    samples: Vec<Sample>,
    prompt_tokens: PromptTokens,
    skew: Skew,
    repeated_executions: usize,
    cold_restarts: u64,
    /// Refusals and retries that the routers and sidecars counted since their start, by role,
    /// metric and reason.
    counters: BTreeMap<String, u64>,
}

/// Measures each placement policy, and prints one row for each.
///
/// # Errors
///
/// If a fleet does not start, or the results can not be written.
pub(crate) fn run(runtime: &Runtime, options: &Options<'_>) -> io::Result<()> {
    let workload = if options.deployment == "bajio" { BAJIO } else { PORTO };
    let kind = Kind::parse(options.fault).unwrap_or(Kind::Steady);
    let mut lines =
        JsonLines::create(&format!("scenario-{}-{}", options.deployment, options.fault))?;
    println!("{}", heading());
    for policy in &options.policies {
        let results = measure(runtime, workload, kind, policy, options)?;
        let figures = Figures::new(&results, kind)?;
        println!("{}", figures.row(policy));
        for (detail, count) in results.failure_reasons() {
            println!("{:>13} {count} x {detail}", "");
        }
        for (name, count) in &results.counters {
            println!("{:>13} {count} x {name}", "");
        }
        lines.append(&figures.line(options, policy))?;
    }
    Ok(())
}

fn layout(workload: Workload, policy: &str, options: &Options<'_>) -> Layout {
    Layout {
        engines: ENGINE_COUNT,
        services: SERVICE_COUNT,
        routers: ROUTER_COUNT,
        data_centres: DATA_CENTRE_COUNT,
        organisations: workload.organisations,
        engine: engine::Options {
            slots: 256,
            inter_token: workload.inter_token,
            cache_chunks: workload.cache_chunks,
            cold_time: COLD_TIME,
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
    workload: Workload,
    kind: Kind,
    policy: &str,
    options: &Options<'_>,
) -> io::Result<Results> {
    let mut fleet = Fleet::start(layout(workload, policy, options))?;
    let routers = (0..ROUTER_COUNT).map(|index| fleet.router_address(index));
    let routers = Arc::new(routers.collect::<io::Result<Vec<SocketAddr>>>()?);
    let schedule = Schedule::new(Duration::from_secs(options.seconds));
    let (sender, receiver) = flume::unbounded();
    start_callers(runtime, workload, kind, options.seed, schedule, &routers, &sender);
    drop(sender);
    let mut injector = Injector::new(kind, ENGINE_COUNT, schedule.fault_start, schedule.fault_end);
    let mut samples = Vec::new();
    let mut before = PromptTokens::default();
    while Instant::now() < schedule.end {
        let due = Instant::now() + sampling::SAMPLE_PERIOD;
        injector.inject_due(&mut fleet)?;
        let sample = sampling::sample(&fleet, ENGINE_COUNT);
        if sample.taken_at < schedule.start {
            before = sampling::prompt_tokens(&fleet);
        } else {
            samples.push(sample);
        }
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    let after = sampling::prompt_tokens(&fleet);
    let prompt_tokens =
        PromptTokens { cached: after.cached - before.cached, total: after.total - before.total };
    let records = measured_records(&receiver, schedule);
    let repeated_executions = repeated_executions(&fleet);
    let skew = sampling::load_skew(&samples);
    let cold_restarts = sampling::cold_restarts(&fleet);
    let counters = sampling::refusals_and_retries(&fleet);
    Ok(Results {
        schedule,
        records,
        samples,
        prompt_tokens,
        skew,
        repeated_executions,
        cold_restarts,
        counters,
    })
}

/// Starts the callers. In a surge, the additional callers wait for the start of the fault.
fn start_callers(
    runtime: &Runtime,
    workload: Workload,
    kind: Kind,
    seed: u64,
    schedule: Schedule,
    routers: &Arc<Vec<SocketAddr>>,
    records: &Sender<Record>,
) {
    let caller = |index, organisation, deadline| Caller {
        workload,
        routers: Arc::clone(routers),
        index,
        organisation,
        deadline,
        records: records.clone(),
    };
    for index in 0..workload.chats {
        let organisation = caller::organisation(&workload, index);
        runtime.spawn(caller(index, organisation, schedule.end).run(seed));
        if kind == Kind::Surge && organisation == caller::SURGING_ORGANISATION {
            for extra in 1..=SURGE_EXTRA_CALLERS {
                let caller =
                    caller(index + extra * workload.chats, organisation, schedule.fault_end);
                runtime.spawn(async move {
                    tokio::time::sleep_until(schedule.fault_start.into()).await;
                    caller.run(seed).await;
                });
            }
        }
    }
}

/// Requests that were sent during the measurement.
fn measured_records(receiver: &Receiver<Record>, schedule: Schedule) -> Vec<Record> {
    let records = receiver.iter();
    records
        .filter(|record| record.sent_at >= schedule.start && record.sent_at < schedule.end)
        .collect()
}

/// Number of idempotency keys under which the services executed more than one call.
fn repeated_executions(fleet: &Fleet) -> usize {
    let mut executions = BTreeMap::<String, u64>::new();
    for service in &fleet.services {
        for (key, count) in service.executions().by_key {
            *executions.entry(key).or_default() += count;
        }
    }
    executions.values().filter(|&&count| count > 1).count()
}

impl Results {
    fn count(&self, outcome: Outcome) -> usize {
        self.records.iter().filter(|record| record.outcome == outcome).count()
    }

    /// First-token times of the complete responses to chats that were sent between two times. The
    /// surging organisation counts only on request.
    fn first_token_times(
        &self,
        from: Instant,
        to: Instant,
        include_surging: bool,
    ) -> io::Result<Durations> {
        let mut times = Durations::new()?;
        let is_inside = |record: &&Record| record.sent_at >= from && record.sent_at < to;
        let is_counted = |record: &&Record| include_surging || !record.surging;
        for record in self.records.iter().filter(is_inside).filter(is_counted) {
            if let (Outcome::Complete, Some(completion)) = (record.outcome, &record.completion) {
                times.record(completion.first_token);
            }
        }
        Ok(times)
    }

    fn inter_token_times(&self) -> io::Result<Durations> {
        let mut times = Durations::new()?;
        for completion in self.records.iter().filter_map(|record| record.completion.as_ref()) {
            completion.inter_token.iter().for_each(|&time| times.record(time));
        }
        Ok(times)
    }

    /// Refusals and failures with their reasons, and how often each occurred.
    fn failure_reasons(&self) -> BTreeMap<String, usize> {
        let mut reasons = BTreeMap::new();
        for record in self.records.iter().filter(|record| record.outcome != Outcome::Complete) {
            let reason = record.detail.split(r#""reason":""#).nth(1).and_then(|rest| {
                let (reason, rest) = rest.split_once('"')?;
                let run = rest.split(r#""run":""#).nth(1)?.split_once('"')?.0;
                Some(format!("{reason} ({run})"))
            });
            let reason = reason.unwrap_or_else(|| record.detail.chars().take(60).collect());
            *reasons.entry(format!("{:?}: {reason}", record.outcome)).or_default() += 1;
        }
        reasons
    }
}

/// Results of one run, for one row of the table.
struct Figures {
    requests: usize,
    refused: usize,
    unknown: usize,
    lost: usize,
    repeated_executions: usize,
    cold_restarts: u64,
    cache_reuse_percent: f64,
    skew: Skew,
    first_token: Durations,
    before_fault: Durations,
    during_fault: Durations,
    inter_token: Durations,
    drained_after: Option<Duration>,
    restored_after: Option<Duration>,
}

impl Figures {
    fn new(results: &Results, kind: Kind) -> io::Result<Self> {
        let schedule = results.schedule;
        let engines: Vec<usize> =
            (0..ENGINE_COUNT).filter(|index| index % DATA_CENTRE_COUNT == 1).collect();
        let data_centre_leaves = kind == Kind::DataCentre;
        let drained_after = || {
            sampling::time_to_last_request(
                &results.samples,
                &engines,
                schedule.fault_start,
                schedule.fault_end,
            )
        };
        let steady: Vec<&Sample> = results
            .samples
            .iter()
            .filter(|sample| sample.taken_at < schedule.fault_start)
            .collect();
        let restored_share = RESTORED_SHARE * sampling::received_share(&steady, &engines);
        let restored_after = || {
            sampling::time_until_share(
                &results.samples,
                &engines,
                schedule.fault_end,
                restored_share,
            )
        };
        Ok(Self {
            requests: results.records.len(),
            refused: results.count(Outcome::Refused),
            unknown: results.count(Outcome::Unknown),
            lost: results.count(Outcome::Lost),
            repeated_executions: results.repeated_executions,
            cold_restarts: results.cold_restarts,
            cache_reuse_percent: 100.0 * results.prompt_tokens.cached as f64
                / results.prompt_tokens.total.max(1) as f64,
            skew: results.skew,
            first_token: results.first_token_times(schedule.start, schedule.end, true)?,
            before_fault: results.first_token_times(schedule.start, schedule.fault_start, false)?,
            during_fault: results.first_token_times(
                schedule.fault_start,
                schedule.fault_end,
                false,
            )?,
            inter_token: results.inter_token_times()?,
            drained_after: data_centre_leaves.then(drained_after),
            restored_after: data_centre_leaves.then(restored_after).flatten(),
        })
    }

    /// 99th percentile of the first-token time during the fault, divided by the one before it.
    fn slowdown(&self) -> f64 {
        self.during_fault.ms(0.99) / self.before_fault.ms(0.99).max(0.001)
    }

    fn row(&self, policy: &str) -> String {
        let seconds = |time: Option<Duration>| {
            time.map_or("-".to_owned(), |time| format!("{:.1}", time.as_secs_f64()))
        };
        format!(
            "{policy:>13} {:>8} {:>7} {:>7} {:>5} {:>7} {:>9} {:>7.1} {:>22} {:>6.2} {:>15} {:>10} {:>8.2} {:>9.1} {:>6} {:>6}",
            self.requests,
            self.refused,
            self.unknown,
            self.lost,
            self.repeated_executions,
            self.cold_restarts,
            self.cache_reuse_percent,
            format!("{:.2} ({:.0}/{:.0})", self.skew.ratio, self.skew.highest, self.skew.mean),
            self.skew.median,
            format!("{:.0}/{:.0}", self.first_token.ms(0.5), self.first_token.ms(0.99)),
            format!("{:.0}/{:.0}", self.before_fault.ms(0.99), self.during_fault.ms(0.99)),
            self.slowdown(),
            self.inter_token.ms(0.99),
            seconds(self.drained_after),
            seconds(self.restored_after),
        )
    }

    fn line(&self, options: &Options<'_>, policy: &str) -> serde_json::Value {
        let seconds = |time: Option<Duration>| time.map(|time| time.as_secs_f64());
        json!({
            "deployment": options.deployment, "fault": options.fault, "policy": policy,
            "seconds": options.seconds, "seed": options.seed,
            "load_multiple_percent": options.multiple, "load_floor": options.floor,
            "requests": self.requests, "refused": self.refused, "unknown": self.unknown,
            "lost": self.lost, "doubles": self.repeated_executions, "fell_over": self.cold_restarts,
            "cache_reuse_percent": self.cache_reuse_percent,
            "skew": {
                "worst": self.skew.ratio, "most": self.skew.highest, "mean": self.skew.mean,
                "median": self.skew.median,
            },
            "first_token_ms": {
                "p50": self.first_token.ms(0.5), "p99": self.first_token.ms(0.99),
                "steady_p99": self.before_fault.ms(0.99), "fault_p99": self.during_fault.ms(0.99),
            },
            "inter_token_p99_ms": self.inter_token.ms(0.99),
            "no_new_work_after_s": seconds(self.drained_after), "weight_back_after_s": seconds(self.restored_after),
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
