//! Commands that transfer the operators' table between the platform and a file.
//!
//! `pull` writes the table to `FILE`, and the rows from which it was made to `FILE.base`. `push`
//! compares `FILE` with that base and writes the changed rows to the platform: either all of them
//! or none. It writes none if one of these rows was changed on the platform since the base was
//! written.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use cornelpass_core::check;
use cornelpass_core::table::Table;
use cornelpass_operator::cli::{self, Exit};
use cornelpass_platform::config::{self, Base, EditOutcome};
use cornelpass_platform::declaration;
use cornelpass_platform::http::Platform;
use cornelpass_router::serve::PLATFORM_TIMEOUT;
use snafu::{ResultExt, Whatever};

/// Describes the command `table` and its subcommands.
pub(crate) fn command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Declared table, in TOML; FILE.base holds the rows from which it was pulled");
    let platform = Arg::new("platform")
        .long("platform")
        .value_name("ADDRESS")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Address of the platform's table service");
    Command::new("table")
        .about("Pull the operators' table into a file, or push the changes in the file")
        .subcommand_required(true)
        .subcommand(
            Command::new("pull")
                .about("Write the operators' table to a file")
                .arg(platform.clone())
                .arg(file.clone()),
        )
        .subcommand(
            Command::new("push")
                .about(
                    "Write the changes in a file, unless the same rows were changed by another \
                     operator",
                )
                .arg(platform)
                .arg(file),
        )
}

/// Runs the subcommand that the command line selects.
pub(crate) fn run(matches: &ArgMatches) -> Exit {
    let (name, matches) = match matches.subcommand() {
        Some(command) => command,
        None => return Exit::Usage,
    };
    let Some(address) = matches.get_one::<SocketAddr>("platform") else { return Exit::Usage };
    let Some(file) = cli::file_path(matches, "file") else { return Exit::Usage };
    let platform = Platform::new(*address, PLATFORM_TIMEOUT);
    match name {
        "pull" => pull(&platform, file),
        _ => push(&platform, file),
    }
}

/// Reads a declared table from a file, and prints all findings.
///
/// # Errors
///
/// The exit code, if the table cannot be used.
pub(crate) fn read(path: &Path) -> Result<Table, Exit> {
    let text = cli::read_file(path).map_err(|error| cli::print_error(error, Exit::Findings))?;
    declaration::parse(&text).map_err(|findings| {
        let name = path.display();
        cli::print_findings(findings.iter().map(|finding| format!("{name}: {finding}")))
    })
}

/// Path of the base of a declared table: the path of the file with `.base` appended.
fn base_path(file: &Path) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(".base");
    PathBuf::from(name)
}

fn pull(platform: &Platform, file: &Path) -> Exit {
    let base = match config::read_base(platform) {
        Ok(base) => base,
        Err(error) => return cli::print_error(error, Exit::Unreachable),
    };
    let rows = base.rows.iter().map(|(path, row)| (path.as_str(), &row.value));
    let table = match check::check_rows(rows) {
        Ok(table) => table,
        Err(findings) if base.rows.is_empty() => {
            // Without any rows, the file gets an empty table instead of findings.
            drop(findings);
            Table::default()
        }
        Err(findings) => return cli::print_findings(findings),
    };
    match write_files(&table, &base, file) {
        Ok(()) => Exit::Done,
        Err(error) => cli::print_error(error, Exit::Failed),
    }
}

fn write_files(table: &Table, base: &Base, file: &Path) -> Result<(), Whatever> {
    let text = toml::to_string(table).whatever_context("cannot encode the table as TOML")?;
    std::fs::write(file, text)
        .with_whatever_context(|_| format!("cannot write {}", file.display()))?;
    write_base(base, file)
}

fn write_base(base: &Base, file: &Path) -> Result<(), Whatever> {
    let path = base_path(file);
    let text =
        serde_json::to_string_pretty(base).whatever_context("cannot encode the base as JSON")?;
    std::fs::write(&path, text)
        .with_whatever_context(|_| format!("cannot write {}", path.display()))
}

fn read_base(file: &Path) -> Result<Base, Whatever> {
    let path = base_path(file);
    let text = cli::read_file(&path).whatever_context("cannot read the base; pull first")?;
    serde_json::from_str(&text)
        .with_whatever_context(|_| format!("cannot decode the base {}", path.display()))
}

fn push(platform: &Platform, file: &Path) -> Exit {
    let table = match read(file) {
        Ok(table) => table,
        Err(exit) => return exit,
    };
    let base = match read_base(file) {
        Ok(base) => base,
        Err(error) => return cli::print_error(error, Exit::Failed),
    };
    match config::apply_edit(platform, &base, &table) {
        Ok(EditOutcome::Unchanged) => {
            println!("no changes to push");
            Exit::Done
        }
        Ok(EditOutcome::Written { rows }) => report_written(platform, file, &rows),
        Ok(EditOutcome::Conflict { rows }) => {
            let list = rows.join(", ");
            cli::print_error(
                format!("changed by another operator since the pull, nothing was written: {list}"),
                Exit::Conflict,
            )
        }
        Ok(EditOutcome::Invalid { findings }) => cli::print_findings(findings),
        Ok(EditOutcome::Unknown { rows }) => {
            let list = rows.join(", ");
            cli::print_error(
                format!(
                    "the platform's response was lost; pull to see whether these rows are \
                     written: {list}"
                ),
                Exit::Unreachable,
            )
        }
        Err(error) => cli::print_error(error, Exit::Unreachable),
    }
}

/// Prints the written rows, and renews the base so that the next push compares with them.
fn report_written(platform: &Platform, file: &Path, rows: &[String]) -> Exit {
    for row in rows {
        println!("written: {row}");
    }
    let renewed = config::read_base(platform).map(|base| write_base(&base, file));
    match renewed {
        Ok(Ok(())) => Exit::Done,
        _ => cli::print_error(
            "the rows are written, but the base could not be renewed: pull before the next push",
            Exit::Failed,
        ),
    }
}
