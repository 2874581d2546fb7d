//! Commands on the operators' table, declared in a file.
//!
//! `pull` writes the table to a file, and the rows as they were beside it, in `FILE.base`. `push`
//! writes what the file changes against that base, all rows or none, and only if nobody else has
//! changed one of these rows since.

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

pub(crate) fn command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Declared table, in TOML; the rows it was pulled from are in FILE.base");
    let platform = Arg::new("platform")
        .long("platform")
        .value_name("ADDRESS")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Address of the platform's table service");
    Command::new("table")
        .about("Pull the operators' table into a file, and push the file's changes")
        .subcommand_required(true)
        .subcommand(
            Command::new("pull")
                .about("Write the operators' rows to a file")
                .arg(platform.clone())
                .arg(file.clone()),
        )
        .subcommand(
            Command::new("push")
                .about("Write what a file changes, unless somebody else changed the same rows")
                .arg(platform)
                .arg(file),
        )
}

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

/// Reads a declared table from a file, or prints everything that is wrong with it.
pub(crate) fn read(path: &Path) -> Result<Table, Exit> {
    let text = cli::read_file(path).map_err(|error| cli::print_error(error, Exit::Findings))?;
    declaration::parse(&text).map_err(|findings| {
        let name = path.display();
        cli::print_findings(findings.iter().map(|finding| format!("{name}: {finding}")))
    })
}

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
            drop(findings);
            Table::default()
        }
        Err(findings) => return cli::print_findings(findings),
    };
    match write(&table, &base, file) {
        Ok(()) => Exit::Done,
        Err(error) => cli::print_error(error, Exit::Failed),
    }
}

fn write(table: &Table, base: &Base, file: &Path) -> Result<(), Whatever> {
    let text = toml::to_string(table).whatever_context("table")?;
    std::fs::write(file, text).with_whatever_context(|_| file.display().to_string())?;
    save(base, file)
}

fn save(base: &Base, file: &Path) -> Result<(), Whatever> {
    let path = base_path(file);
    let text = serde_json::to_string_pretty(base).whatever_context("base")?;
    std::fs::write(&path, text).with_whatever_context(|_| path.display().to_string())
}

fn load(file: &Path) -> Result<Base, Whatever> {
    let path = base_path(file);
    let text = cli::read_file(&path).whatever_context("pull first")?;
    serde_json::from_str(&text).with_whatever_context(|_| path.display().to_string())
}

fn push(platform: &Platform, file: &Path) -> Exit {
    let table = match read(file) {
        Ok(table) => table,
        Err(exit) => return exit,
    };
    let base = match load(file) {
        Ok(base) => base,
        Err(error) => return cli::print_error(error, Exit::Failed),
    };
    match config::apply_edit(platform, &base, &table) {
        Ok(EditOutcome::Unchanged) => {
            println!("nothing to change");
            Exit::Done
        }
        Ok(EditOutcome::Written { rows }) => written(platform, file, &rows),
        Ok(EditOutcome::Conflict { rows }) => {
            let list = rows.join(", ");
            cli::print_error(
                format!("changed by somebody else since the pull: {list}"),
                Exit::Conflict,
            )
        }
        Ok(EditOutcome::Invalid { findings }) => cli::print_findings(findings),
        Ok(EditOutcome::Unknown { rows }) => {
            let list = rows.join(", ");
            cli::print_error(format!("the answer was lost; pull to see: {list}"), Exit::Unreachable)
        }
        Err(error) => cli::print_error(error, Exit::Unreachable),
    }
}

fn written(platform: &Platform, file: &Path, rows: &[String]) -> Exit {
    for row in rows {
        println!("written: {row}");
    }
    let saved = config::read_base(platform).map(|base| save(&base, file));
    match saved {
        Ok(Ok(())) => Exit::Done,
        _ => cli::print_error(
            "written, but the base is old now: pull before the next push",
            Exit::Failed,
        ),
    }
}
