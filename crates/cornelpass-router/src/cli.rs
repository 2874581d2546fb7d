//! Commands of the router: run it, check settings and tables, inspect a running router, trace a
//! request in logs, and edit the operators' table.

mod table;

use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use cornelpass_operator::cli::{self, Exit};
use cornelpass_operator::settings::{self, Findings, Interface};
use cornelpass_operator::trace::Trace;
use cornelpass_router::{gateway, serve};

/// Describes the command line, with all commands.
pub(crate) fn command() -> Command {
    Command::new("cornelpass-router")
        .about("Receives requests from callers and forwards each of them to a target")
        .version(env!("CARGO_PKG_VERSION"))
        .term_width(cli::HELP_WIDTH)
        .after_help(cli::EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("run")
                .about("Run the router until it is asked to stop")
                .long_about(
                    "Runs the router until SIGTERM or SIGINT asks it to stop. Then it reports that \
                     it is not ready, but accepts connections for some time (chat interface: \
                     drain.notice). After that it waits until all requests in progress have ended, \
                     and exits. It waits for drain.limit at most (chat interface), or until \
                     shortly before bounds.grace has passed since the signal (gateway interface).",
                )
                .arg(cli::settings_argument().required(true)),
        )
        .subcommand(check_command())
        .subcommand(cli::status_command())
        .subcommand(explain_command())
        .subcommand(trace_command())
        .subcommand(table::command())
}

fn check_command() -> Command {
    Command::new("check")
        .about("Check settings or a declared table without running the router")
        .long_about(
            "Checks settings, a declared table, or both, without opening a connection or a port. \
             Prints each finding with its file and line or row; the exit code is 3 if there are \
             findings.",
        )
        .arg(cli::settings_argument().required_unless_present("table"))
        .arg(
            Arg::new("table")
                .long("table")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Declared table, in TOML"),
        )
}

fn explain_command() -> Command {
    let value = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("NAME").required(true).help(help)
    };
    Command::new("explain")
        .about("Explain which targets a chat would be sent to now, and why")
        .long_about(
            "Prints the order in which a running router of the chat interface would try the \
             targets for a chat, with the weight, warm-up, load and bound of each target, which \
             determine the order.",
        )
        .arg(cli::console_argument())
        .arg(value("organisation", "Organisation of the caller"))
        .arg(value("chat", "ID of the chat, as in the x-chat-id header"))
        .arg(value("model", "Model that the chat requests"))
}

fn trace_command() -> Command {
    Command::new("trace")
        .about("Show the steps of one request from logs")
        .long_about(
            "Reads the logs of one or several processes, in JSON, and prints the steps of one \
             request in the order of their times, with the state that each instance last logged \
             before the step. The exit code is 3 if no log contains the request.",
        )
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("ID of the request, as in the logs"),
        )
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .num_args(0..)
                .value_parser(value_parser!(PathBuf))
                .help("Log files; the standard input if no file is given"),
        )
}

/// Runs the command that the command line selects.
pub(crate) fn run(matches: &ArgMatches) -> Exit {
    match matches.subcommand() {
        Some(("run", matches)) => serve(matches),
        Some(("check", matches)) => check(matches),
        Some(("status", matches)) => cli::run_status(matches),
        Some(("explain", matches)) => explain(matches),
        Some(("trace", matches)) => trace(matches),
        Some(("table", matches)) => table::run(matches),
        _ => Exit::Usage,
    }
}

/// Settings of a router, for the interface that the settings select.
enum Settings {
    Chat(Box<settings::Router>),
    Gateway(Box<settings::gateway::Gateway>),
}

fn parse(path: &Path, text: &str) -> Result<Settings, Findings> {
    match settings::parse_interface(path, text)? {
        Interface::Chat => {
            settings::parse_router(path, text).map(|settings| Settings::Chat(Box::new(settings)))
        }
        Interface::Gateway => settings::gateway::parse(path, text)
            .map(|settings| Settings::Gateway(Box::new(settings))),
    }
}

fn serve(matches: &ArgMatches) -> Exit {
    match cli::load_settings(matches, parse) {
        Ok(Settings::Chat(settings)) => cli::exit_after_serving(serve::run(*settings)),
        Ok(Settings::Gateway(settings)) => cli::exit_after_serving(gateway::serve::run(*settings)),
        Err(exit) => exit,
    }
}

fn check(matches: &ArgMatches) -> Exit {
    let has_settings = cli::file_path(matches, "settings").is_some();
    let settings = has_settings.then(|| cli::load_settings(matches, parse));
    let table = cli::file_path(matches, "table").map(table::read);
    match (settings, table) {
        (Some(Err(exit)), _) | (_, Some(Err(exit))) => exit,
        _ => Exit::Done,
    }
}

fn trace(matches: &ArgMatches) -> Exit {
    let id = matches.get_one::<String>("id").cloned().unwrap_or_default();
    let files: Vec<PathBuf> = matches.get_many("logs").into_iter().flatten().cloned().collect();
    let logs = if files.is_empty() {
        std::io::read_to_string(std::io::stdin()).map(|text| vec![("-".to_owned(), text)])
    } else {
        files.iter().map(read_log).collect()
    };
    let request_trace = match logs {
        Ok(logs) => Trace::from_logs(&id, &logs),
        Err(error) => return cli::print_error(error, Exit::Usage),
    };
    if request_trace.is_empty() {
        return cli::print_error(format!("no log contains the request {id}"), Exit::Findings);
    }
    print!("{request_trace}");
    Exit::Done
}

/// Reads a log file; returns its name without the extension, and its text.
fn read_log(path: &PathBuf) -> std::io::Result<(String, String)> {
    let bytes = std::fs::read(path)
        .map_err(|error| std::io::Error::other(format!("{}: {error}", path.display())))?;
    let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    Ok((name, String::from_utf8_lossy(&bytes).into_owned()))
}

fn explain(matches: &ArgMatches) -> Exit {
    let value = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let query = format!(
        "/explain?organisation={}&chat={}&model={}",
        value("organisation"),
        value("chat"),
        value("model")
    );
    match cli::fetch_page(matches, &query) {
        Ok(text) => println!("{text}"),
        Err(error) => return cli::print_error(error, Exit::Unreachable),
    }
    Exit::Done
}
