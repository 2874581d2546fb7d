//! Validates the operators' rows and builds a [`Table`] from them.
//!
//! The input is a set of rows. A row is identified by its path, such as `target/engine-1`, and its
//! value is a JSON object of columns. The result is either the table or the findings. All rows are
//! checked, so that an operator can correct as many errors as possible in one edit; checks across
//! rows see only the valid target rows. The result depends on the rows alone, so every process that
//! checks the same rows gets the same result.

mod column;
mod cross;
mod finding;

use std::collections::BTreeMap;

use serde_json::Value;

pub use self::finding::{Finding, Problem};
use crate::check::column::Reader;
use crate::table::{DataCentre, Organisation, Policy, Table, Target};

/// Maximum length of the name of an organisation, data centre, target, model or service, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum weight of an organisation or target.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// Maximum value of `limit`, in units of load, of `load_floor`, in units of load per unit of
/// weight, and of `cold_limit`, in requests.
pub const MAX_LIMIT: u32 = 1_000_000;

/// Maximum value of `cold_seconds`, the minimum cold time of a target, in seconds.
pub const MAX_COLD_SECONDS: u32 = 3_600;

/// Minimum load multiple, in percent of the mean load per weight.
pub const MIN_LOAD_MULTIPLE_PERCENT: u32 = 100;

/// Maximum load multiple, in percent of the mean load per weight.
pub const MAX_LOAD_MULTIPLE_PERCENT: u32 = 1_000;

/// Maximum share of retries, in percent of the requests.
pub const MAX_RETRY_PERCENT: u32 = 100;

/// Checks rows, given as pairs of path and value, and returns the table if all rows are valid.
///
/// # Errors
///
/// Returns the findings, sorted by row and column. Checks across rows see only the valid target
/// rows. Whether a target is in service for each model and service is checked only if all target
/// rows are valid.
pub fn check_rows<'a>(
    rows: impl IntoIterator<Item = (&'a str, &'a Value)>,
) -> Result<Table, Vec<Finding>> {
    let mut draft = Draft::default();
    for (path, value) in rows {
        draft.add_row(path, value);
    }
    let Draft { table, mut findings, data_centre_names, has_invalid_target } = draft;
    cross::check_targets(&table, &data_centre_names, &mut findings);
    // An invalid target is missing from the table, and it may be the one that is in service.
    if !has_invalid_target {
        cross::check_in_service(&table, &mut findings);
    }
    findings.sort();
    if findings.is_empty() { Ok(table) } else { Err(findings) }
}

/// Checks a table that is already parsed.
///
/// # Errors
///
/// Returns the findings, sorted by row and column, as [`check_rows`] does.
pub fn check_table(table: &Table) -> Result<(), Vec<Finding>> {
    let rows = to_rows(table);
    check_rows(rows.iter().map(|(path, value)| (path.as_str(), value))).map(|_| ())
}

/// Converts a table into rows by path; the inverse of [`check_rows`] for valid rows.
#[must_use]
pub fn to_rows(table: &Table) -> BTreeMap<String, Value> {
    fn section_rows<'a, T: serde::Serialize>(
        section: &'a str,
        rows: &'a BTreeMap<String, T>,
    ) -> impl Iterator<Item = (String, Value)> + 'a {
        rows.iter().map(move |(name, row)| (format!("{section}/{name}"), to_value(row)))
    }
    let policy = ("policy".to_owned(), to_value(&table.policy));
    section_rows("organisation", &table.organisations)
        .chain(section_rows("data_centre", &table.data_centres))
        .chain(section_rows("target", &table.targets))
        .chain([policy])
        .collect()
}

fn to_value(row: &impl serde::Serialize) -> Value {
    serde_json::to_value(row).unwrap_or_default()
}

/// Valid rows and findings collected so far.
#[derive(Default)]
struct Draft {
    table: Table,
    findings: Vec<Finding>,
    /// Names of all data centre rows, including rows with findings.
    data_centre_names: Vec<String>,
    /// Whether an invalid target row was left out of the table.
    has_invalid_target: bool,
}

impl Draft {
    fn add_row(&mut self, path: &str, value: &Value) {
        let (section, name) = path.split_once('/').unwrap_or((path, ""));
        let mut reader = Reader::new(path, value, &mut self.findings);
        match section {
            "organisation" => {
                reader.check_name(name);
                let row = read_organisation(&mut reader);
                insert_valid(&mut self.table.organisations, name, reader.finish(row));
            }
            "data_centre" => {
                self.data_centre_names.push(name.to_owned());
                reader.check_name(name);
                let row = read_data_centre(&mut reader);
                insert_valid(&mut self.table.data_centres, name, reader.finish(row));
            }
            "target" => {
                reader.check_name(name);
                let row = read_target(&mut reader);
                let row = reader.finish(row);
                self.has_invalid_target |= row.is_none();
                insert_valid(&mut self.table.targets, name, row);
            }
            "policy" if !path.contains('/') => {
                let row = read_policy(&mut reader);
                if let Some(policy) = reader.finish(row) {
                    self.table.policy = policy;
                }
            }
            _ => reader.add_finding("", Problem::UnknownRow),
        }
    }
}

fn insert_valid<T>(rows: &mut BTreeMap<String, T>, name: &str, row: Option<T>) {
    if let Some(row) = row {
        rows.insert(name.to_owned(), row);
    }
}

fn read_organisation(reader: &mut Reader<'_>) -> Option<Organisation> {
    let weight = reader.read_number("weight", 1, MAX_WEIGHT);
    let limit = reader.read_number("limit", 1, MAX_LIMIT);
    let in_service = reader.read_bool("in_service");
    Some(Organisation { weight: weight?, limit: limit?, in_service: in_service? })
}

fn read_data_centre(reader: &mut Reader<'_>) -> Option<DataCentre> {
    let region = reader.read_name("region");
    let in_service = reader.read_bool("in_service");
    Some(DataCentre { region: region?, in_service: in_service? })
}

fn read_target(reader: &mut Reader<'_>) -> Option<Target> {
    let data_centre = reader.read_name("data_centre");
    let kind = reader.read_kind("kind");
    let serves = reader.read_name("serves");
    let address = reader.read_address("address");
    let weight = reader.read_number("weight", 1, MAX_WEIGHT);
    let limit = reader.read_number("limit", 1, MAX_LIMIT);
    let cold_limit = reader.read_number("cold_limit", 1, MAX_LIMIT);
    let cold_seconds = reader.read_number_or("cold_seconds", 0, MAX_COLD_SECONDS, 0);
    let in_service = reader.read_bool("in_service");
    Some(Target {
        data_centre: data_centre?,
        kind: kind?,
        serves: serves?,
        address: address?,
        weight: weight?,
        limit: limit?,
        cold_limit: cold_limit?,
        cold_seconds: cold_seconds?,
        in_service: in_service?,
    })
}

fn read_policy(reader: &mut Reader<'_>) -> Option<Policy> {
    let multiple = reader.read_number(
        "load_multiple_percent",
        MIN_LOAD_MULTIPLE_PERCENT,
        MAX_LOAD_MULTIPLE_PERCENT,
    );
    let floor = reader.read_number("load_floor", 1, MAX_LIMIT);
    let retry = reader.read_number("retry_percent", 0, MAX_RETRY_PERCENT);
    Some(Policy { load_multiple_percent: multiple?, load_floor: floor?, retry_percent: retry? })
}
