//! Commands of the sidecar: run, check the settings, and show the status of a running sidecar.

use clap::{ArgMatches, Command};
use cornelpass_operator::cli::{self, Exit};
use cornelpass_operator::settings;
use cornelpass_sidecar::serve;

/// Defines the command line.
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
                    "Serves until SIGTERM or SIGINT requests a stop. Then it reports to the \
                     routers that the target is leaving, refuses new requests, waits at most \
                     drain.limit for the requests in progress, and exits.",
                )
                .arg(cli::settings_argument().required(true)),
        )
        .subcommand(
            Command::new("check")
                .about("Check settings without running")
                .long_about(
                    "Checks settings without opening a connection or a port. Prints each finding \
                     with its file and line; the exit code is 3 if there are findings.",
                )
                .arg(cli::settings_argument().required(true)),
        )
        .subcommand(cli::status_command())
}

/// Runs the command that the command line names.
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
