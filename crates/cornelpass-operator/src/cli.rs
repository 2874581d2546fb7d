//! Parts that the command lines of the router and the sidecar have in common.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::Value;
use snafu::{ResultExt, Whatever};

use crate::settings::Findings;

/// Time limit on a request to a console, in seconds.
const CONSOLE_TIMEOUT_S: u64 = 5;

/// Width of the help texts, in columns.
pub const HELP_WIDTH: usize = 100;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded; there are no findings.
    Done = 0,
    /// The process could not start, or stopped because of an error.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The settings or the declared table have findings.
    Findings = 3,
    /// The process or the platform does not respond.
    Unreachable = 4,
    /// Rows of the edit were changed by others since they were read; nothing was written.
    Conflict = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Description of the exit codes, for the end of the help text.
pub const EXIT_CODES: &str = "Exit codes:\n  \
    0  success; no findings\n  \
    1  the process could not start, or stopped on an error\n  \
    2  the command line is wrong\n  \
    3  settings or table have findings; each is printed with its place\n  \
    4  the process or the platform does not respond\n  \
    5  the same rows were changed by others; nothing was written";

/// Argument `--settings` for a settings file.
#[must_use]
pub fn settings_argument() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Settings of the process, in TOML")
}

/// Argument `--console` for the address of a running process's console.
#[must_use]
pub fn console_argument() -> Arg {
    Arg::new("console")
        .long("console")
        .value_name("ADDRESS")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Operators' address of the running process, as in its settings")
}

/// The command `status`, which shows the active configuration and the state of a running process.
#[must_use]
pub fn status_command() -> Command {
    Command::new("status")
        .about("Show the active configuration and the state of a running process")
        .long_about(
            "Shows what a running process uses at present: version of the configuration, targets \
             with their state, load and bound, and whether the process is stopping.",
        )
        .arg(console_argument())
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the console's JSON as it is"),
        )
}

/// Path that an argument names; `None` if the argument is missing.
#[must_use]
pub fn file_path<'a>(matches: &'a ArgMatches, name: &str) -> Option<&'a Path> {
    matches.get_one::<PathBuf>(name).map(PathBuf::as_path)
}

/// Reads a text file.
///
/// # Errors
///
/// If the file cannot be read; the error names the file.
pub fn read_file(path: &Path) -> Result<String, Whatever> {
    std::fs::read_to_string(path).with_whatever_context(|_| path.display().to_string())
}

/// Reads and parses the settings file that the argument `--settings` names, and prints all
/// findings.
///
/// # Errors
///
/// The exit code, if the settings cannot be used.
pub fn load_settings<T>(
    matches: &ArgMatches,
    parse: impl Fn(&Path, &str) -> Result<T, Findings>,
) -> Result<T, Exit> {
    let path = file_path(matches, "settings").ok_or(Exit::Usage)?;
    // A file that cannot be read ends with the same exit code as one with findings.
    let text = read_file(path).map_err(|error| print_error(error, Exit::Findings))?;
    parse(path, &text).map_err(|findings| print_findings(findings.iter()))
}

/// Prints the error of a process that has ended, if any, and returns the exit code.
#[must_use]
pub fn exit_after_serving(result: Result<(), Whatever>) -> Exit {
    match result {
        Ok(()) => Exit::Done,
        Err(error) => print_error(error, Exit::Failed),
    }
}

/// Prints findings and returns the exit code for them.
pub fn print_findings(findings: impl IntoIterator<Item = impl Display>) -> Exit {
    for finding in findings {
        eprintln!("{finding}");
    }
    Exit::Findings
}

/// Prints an error and returns an exit code.
pub fn print_error(error: impl Display, exit: Exit) -> Exit {
    eprintln!("{error}");
    exit
}

/// Gets a page of a running process's console.
///
/// The status code of the response is not checked: the body of an error response is returned too.
///
/// # Errors
///
/// If the console does not respond, or the page is not UTF-8.
pub fn fetch_page(matches: &ArgMatches, path: &str) -> Result<String, Whatever> {
    let Some(console) = matches.get_one::<SocketAddr>("console") else {
        snafu::whatever!("the argument --console is missing");
    };
    let url = format!("http://{console}{path}");
    let response = minreq::get(&url)
        .with_timeout(CONSOLE_TIMEOUT_S)
        .send()
        .with_whatever_context(|_| url.clone())?;
    let text = response.as_str().with_whatever_context(|_| url.clone())?;
    Ok(text.to_owned())
}

/// Runs the command `status`.
#[must_use]
pub fn run_status(matches: &ArgMatches) -> Exit {
    let text = match fetch_page(matches, "/status") {
        Ok(text) => text,
        Err(error) => return print_error(error, Exit::Unreachable),
    };
    if matches.get_flag("json") {
        println!("{text}");
        return Exit::Done;
    }
    match serde_json::from_str(&text) {
        Ok(status) => println!("{}", render_status(&status)),
        Err(error) => return print_error(error, Exit::Failed),
    }
    Exit::Done
}

/// Formats a status for people: single values first, then one line for each target.
#[must_use]
pub fn render_status(status: &Value) -> String {
    let mut lines = Vec::new();
    let fields = status.as_object().into_iter().flatten();
    for (name, value) in fields.filter(|(name, _)| *name != "targets") {
        lines.push(format!("{name:<12} {}", cell(value)));
    }
    if let Some(targets) = status["targets"].as_object() {
        let head = ["target", "data centre", "serves", "in service", "state", "load", "bound"];
        lines.push(table_row(&head.map(str::to_owned)));
        for (name, target) in targets {
            let report = &target["report"];
            let state = if report.is_null() { "no report".into() } else { cell(&report["state"]) };
            lines.push(table_row(&[
                name.clone(),
                cell(&target["data_centre"]),
                cell(&target["serves"]),
                cell(&target["in_service"]),
                state,
                cell(&report["load"]),
                cell(&report["bound"]),
            ]));
        }
    }
    lines.join("\n")
}

fn table_row(cells: &[String; 7]) -> String {
    let [target, data_centre, serves, in_service, state, load, bound] = cells;
    let line = format!(
        "{target:<16} {data_centre:<12} {serves:<16} {in_service:<10} {state:<10} {load:>5} {bound:>5}"
    );
    line.trim_end().to_owned()
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
