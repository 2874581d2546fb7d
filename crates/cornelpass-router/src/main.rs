//! Command line of the router.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(&cli::command().get_matches()).into()
}
