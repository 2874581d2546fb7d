//! Load and experiment tool: drives a fleet of real processes on loopback and prints one table.
//!
//! Each run also writes its figures as JSON lines under `target/measure`.

mod client;
mod control;
mod fault;
mod meter;
mod overhead;
mod process;
mod record;
mod scenario;
mod trace;
mod watch;

use std::io;

use clap::{Arg, ArgMatches, value_parser};
use cornelpass_standin::process::build_programs;

/// Worker threads of the callers.
const CALLER_THREADS: usize = 4;

/// Names of the placement policies.
const POLICIES: [&str; 4] = ["bounded", "random", "least-loaded", "hash"];

/// Names of the faults.
const FAULTS: [&str; 4] = ["steady", "surge", "churn", "datacentre"];

fn name(
    name: &'static str,
    values: &[&'static str],
    default: &'static str,
    help: &'static str,
) -> Arg {
    let values = values.to_vec();
    Arg::new(name).long(name).value_parser(values).default_value(default).help(help)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default).help(help)
}

fn command() -> clap::Command {
    let seconds = || number("seconds", "10", "Length of each measurement");
    let seed = || number("seed", "1", "Seed of the callers");
    clap::Command::new("load")
        .about("Measures a fleet of real processes on loopback")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            clap::Command::new("overhead")
                .about("What a router adds to a request, against the same engines called directly")
                .arg(seconds())
                .arg(seed())
                .arg(number("inter-token-ms", "20", "Time between the engines' tokens")),
        )
        .subcommand(
            clap::Command::new("control")
                .about("Control traffic, processor time and memory of each process, and the slopes")
                .arg(seconds()),
        )
        .subcommand(
            clap::Command::new("scenario")
                .about("A deployment under a fault, with each placement policy in turn")
                .arg(name("deployment", &["porto", "bajio"], "porto", "Whose callers"))
                .arg(
                    name("policy", &POLICIES, "bounded", "Placement policies, separated by commas")
                        .value_delimiter(','),
                )
                .arg(name("fault", &FAULTS, "steady", "What goes wrong"))
                .arg(number("seconds", "16", "Length of the measurement"))
                .arg(number("multiple", "150", "Most load per weight, in percent of the mean"))
                .arg(number("floor", "256", "Load per weight below which the multiple is off"))
                .arg(seed()),
        )
}

fn value(matches: &ArgMatches, name: &str) -> u64 {
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
            value(matches, "seconds"),
            value(matches, "seed"),
            value(matches, "inter-token-ms"),
        ),
        Some(("control", matches)) => control::run(&runtime, value(matches, "seconds")),
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
        seconds: value(matches, "seconds"),
        seed: value(matches, "seed"),
        multiple: value(matches, "multiple"),
        floor: value(matches, "floor"),
    }
}
