//! Command line of the sidecar of a target.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(&cli::command().get_matches()).into()
}
