//! Commands of the process beside a target: run, check, and look at a running one.

use clap::{ArgMatches, Command};
use cornelpass_operator::cli::{self, Exit};
use cornelpass_operator::settings;
use cornelpass_sidecar::serve;

/// The whole command line.
pub(crate) fn command() -> Command {
    Command::new("cornelpass-sidecar")
        .about("Runs beside a target: admits, runs and streams what routers send to it")
        .version(env!("CARGO_PKG_VERSION"))
        .term_width(cli::HELP_WIDTH)
        .after_help(cli::EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("run")
                .about("Serve until asked to stop")
                .long_about(
                    "Serves until it is asked to stop by SIGTERM or SIGINT. Then it tells the \
                     routers that the target is leaving, refuses new work, finishes what is in \
                     progress, at most for drain.limit, and ends.",
                )
                .arg(cli::settings_argument().required(true)),
        )
        .subcommand(
            Command::new("check")
                .about("Check settings without running")
                .long_about(
                    "Checks settings without opening anything. Each finding is printed with its \
                     place; the exit code is 3 if there are any.",
                )
                .arg(cli::settings_argument().required(true)),
        )
        .subcommand(cli::status_command())
}

/// Runs a command line.
pub(crate) fn run(matches: &ArgMatches) -> Exit {
    match matches.subcommand() {
        Some(("run", matches)) => serve(matches),
        Some(("check", matches)) => check(matches),
        Some(("status", matches)) => cli::run_status(matches),
        _ => Exit::Usage,
    }
}

fn serve(matches: &ArgMatches) -> Exit {
    match cli::load_settings(matches, settings::parse_sidecar) {
        Ok(settings) => cli::exit_after_serving(serve::run(settings)),
        Err(exit) => exit,
    }
}

fn check(matches: &ArgMatches) -> Exit {
    match cli::load_settings(matches, settings::parse_sidecar) {
        Ok(_) => Exit::Done,
        Err(exit) => exit,
    }
}
