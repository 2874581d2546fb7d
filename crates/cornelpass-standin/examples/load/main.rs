//! Load and experiment tool. It sends load to a fleet of real processes on loopback, and prints one
//! table of results for each run.
//!
//! Each run also writes its results as JSON lines under `target/measure`.

mod caller;
mod client;
mod control;
mod fault;
mod meter;
mod overhead;
mod record;
mod sampling;
mod scenario;
mod usage;

use std::io;

use clap::{Arg, ArgMatches, value_parser};
use cornelpass_standin::process::build_programs;

/// Worker threads that run all callers.
const CALLER_THREADS: usize = 4;

/// Names of the placement policies.
const POLICIES: [&str; 4] = ["bounded", "random", "least-loaded", "hash"];

/// Names of the faults.
const FAULTS: [&str; 4] = ["steady", "surge", "churn", "datacentre"];

fn choice_arg(
    name: &'static str,
    values: &[&'static str],
    default: &'static str,
    help: &'static str,
) -> Arg {
    let values = values.to_vec();
    Arg::new(name).long(name).value_parser(values).default_value(default).help(help)
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default).help(help)
}

fn command() -> clap::Command {
    let seconds = || number_arg("seconds", "10", "Length of each measurement, in seconds");
    let seed = || number_arg("seed", "1", "Seed of the callers' random numbers");
    clap::Command::new("load")
        .about("Measures a fleet of real processes on loopback")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            clap::Command::new("overhead")
                .about("Latency that a router adds to a request, compared with direct calls to the same engines")
                .arg(seconds())
                .arg(seed())
                .arg(number_arg("inter-token-ms", "20", "Time between the engines' tokens, in milliseconds")),
        )
        .subcommand(
            clap::Command::new("control")
                .about("Control traffic, processor time and memory of each process, by the size of the fleet")
                .arg(seconds()),
        )
        .subcommand(
            clap::Command::new("scenario")
                .about("A deployment under a fault, with one placement policy after another")
                .arg(choice_arg("deployment", &["porto", "bajio"], "porto", "Deployment whose callers are simulated"))
                .arg(
                    choice_arg("policy", &POLICIES, "bounded", "Placement policies, separated by commas")
                        .value_delimiter(','),
                )
                .arg(choice_arg("fault", &FAULTS, "steady", "Fault during the measurement"))
                .arg(number_arg("seconds", "16", "Length of the measurement, in seconds"))
                .arg(number_arg("multiple", "150", "Highest load per weight, in percent of the mean"))
                .arg(number_arg("floor", "256", "Load per weight below which the multiple does not apply"))
                .arg(seed()),
        )
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

fn main() -> io::Result<()> {
    let matches = command().get_matches();
    build_programs()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(CALLER_THREADS)
        .enable_all()
        .build()?;
    match matches.subcommand() {
        Some(("overhead", matches)) => overhead::run(
            &runtime,
            number(matches, "seconds"),
            number(matches, "seed"),
            number(matches, "inter-token-ms"),
        ),
        Some(("control", matches)) => control::run(&runtime, number(matches, "seconds")),
        Some(("scenario", matches)) => scenario::run(&runtime, &options(matches)),
        _ => Ok(()),
    }
}

fn options(matches: &ArgMatches) -> scenario::Options<'_> {
    let text = |name| matches.get_one::<String>(name).map_or("", String::as_str);
    let policies = matches.get_many::<String>("policy").into_iter().flatten();
    scenario::Options {
        deployment: text("deployment"),
        policies: policies.map(String::as_str).collect(),
        fault: text("fault"),
        seconds: number(matches, "seconds"),
        seed: number(matches, "seed"),
        multiple: number(matches, "multiple"),
        floor: number(matches, "floor"),
    }
}
