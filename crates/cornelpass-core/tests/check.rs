//! Tests of the validation of the operators' rows.
//!
//! They guard against an invalid table that is accepted, and against errors in the rows that are
//! not reported.

#![allow(clippy::unwrap_used, reason = "test helpers")]

use std::collections::BTreeMap;

use cornelpass_core::check::{self, Finding};
use cornelpass_core::table::{DataCentre, Kind, Organisation, Policy, Table, Target};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::{Value, json};

fn proptest_config() -> Config {
    Config { rng_seed: RngSeed::Fixed(9), failure_persistence: None, ..Config::default() }
}

fn check_rows(rows: &BTreeMap<String, Value>) -> Result<Table, Vec<Finding>> {
    check::check_rows(rows.iter().map(|(path, row)| (path.as_str(), row)))
}

/// Findings of rows that are not valid, one per line.
fn describe_findings(rows: Value) -> String {
    let rows: BTreeMap<String, Value> = serde_json::from_value(rows).unwrap();
    let findings = check_rows(&rows).unwrap_err();
    findings.iter().map(|finding| format!("{finding}\n")).collect()
}

fn target(last_octet: u8) -> Target {
    Target {
        data_centre: "norte-1".to_owned(),
        kind: Kind::Model,
        serves: "briefs".to_owned(),
        address: format!("10.0.0.{last_octet}:9000").parse().unwrap(),
        weight: 100,
        limit: 32,
        cold_limit: 2,
        cold_seconds: 0,
        in_service: true,
    }
}

/// A valid table: one organisation, one data centre and two targets.
fn valid_table() -> Table {
    let data_centre = DataCentre { region: "norte".to_owned(), in_service: true };
    let organisation = Organisation { weight: 10, limit: 64, in_service: true };
    let targets =
        [("a", 1), ("b", 2)].map(|(name, last_octet)| (name.to_owned(), target(last_octet)));
    Table {
        policy: Policy::default(),
        organisations: [("oficina".to_owned(), organisation)].into(),
        data_centres: [("norte-1".to_owned(), data_centre)].into(),
        targets: targets.into(),
    }
}

#[test]
fn every_finding_is_reported_with_its_row_and_column() {
    let report = describe_findings(json!({
        "data_centre/norte-1": {"region": "norte", "in_service": "yes"},
        "data_centre/norte 2": {"region": 4, "in_service": true},
        "organisation/oficina": {"weight": 0, "limit": 1.5, "in_service": true, "wieght": 3},
        "organisation/large": "weight=3",
        "policy": {"load_multiple_percent": 99, "load_floor": -1},
        "policy/x": {},
        "targets/a": {},
        "target/a": {
            "data_centre": "norte-1", "kind": "model", "serves": "briefs",
            "address": "10.0.0.1:9000", "weight": 0, "limit": 8, "cold_limit": 2,
            "in_service": false,
        },
        "target/b": {
            "data_centre": "sul-1", "kind": "engine", "serves": "briefs",
            "address": "engine:80", "weight": 5_000_000_000_u64, "limit": 8, "cold_limit": 2,
        },
    }));
    insta::assert_snapshot!(report);
}

#[test]
fn rows_are_checked_against_each_other() {
    let mut table = valid_table();
    let mut conflicting = target(1);
    conflicting.kind = Kind::Service;
    conflicting.data_centre = "sul-1".to_owned();
    conflicting.cold_limit = 33;
    table.targets.insert("c".to_owned(), conflicting);
    let mut out_of_service = target(4);
    out_of_service.serves = "notes".to_owned();
    out_of_service.in_service = false;
    table.targets.insert("d".to_owned(), out_of_service);
    let findings = check::check_table(&table).unwrap_err();
    let report: String = findings.iter().map(|finding| format!("{finding}\n")).collect();
    insta::assert_snapshot!(report);
}

#[test]
fn a_data_centre_can_always_be_taken_out_of_service() {
    let mut table = valid_table();
    table.data_centres.get_mut("norte-1").unwrap().in_service = false;
    assert_eq!(check::check_table(&table), Ok(()));
}

/// Values of a column, valid or not.
fn column_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(json!(0)),
        Just(json!(1)),
        Just(json!(99)),
        Just(json!(2_000_000_u64)),
        Just(json!(-1)),
        Just(json!(u64::MAX)),
        Just(json!(1.5)),
        Just(json!(true)),
        Just(json!(null)),
        Just(json!("")),
        Just(json!("norte-1")),
        Just(json!("service")),
        Just(json!("10.0.0.1:9000")),
        Just(json!([1])),
    ]
}

/// Parses the rows with `serde` alone, without the checks of ranges and of rows against each
/// other.
fn parse_with_serde(rows: &BTreeMap<String, Value>) -> Option<Table> {
    let mut document = json!({});
    for (path, row) in rows {
        match path.split_once('/') {
            Some((section, name)) => document[section][name] = row.clone(),
            None => document[path] = row.clone(),
        }
    }
    serde_json::from_value(document).ok()
}

proptest! {
    #![proptest_config(proptest_config())]

    /// Accepted rows give the table that `serde` parses, and rows that `serde` cannot parse are
    /// never accepted.
    ///
    /// An edit replaces the value of a column, or removes the column if there is no value.
    #[test]
    fn accepted_rows_give_the_table_that_serde_parses(
        edits in prop::collection::vec((0..40_usize, prop::option::of(column_value())), 0..4),
    ) {
        let mut rows = check::to_rows(&valid_table());
        let columns: Vec<(String, String)> = rows
            .iter()
            .flat_map(|(path, row)| {
                row.as_object().unwrap().keys().map(move |column| (path.clone(), column.clone()))
            })
            .collect();
        for (index, value) in edits {
            let (path, column) = &columns[index % columns.len()];
            let row = rows.get_mut(path).unwrap().as_object_mut().unwrap();
            match value {
                Some(value) => row.insert(column.clone(), value),
                None => row.remove(column),
            };
        }
        match (check_rows(&rows), parse_with_serde(&rows)) {
            (Ok(table), parsed) => prop_assert_eq!(Some(table), parsed),
            (Err(findings), _) => prop_assert!(!findings.is_empty() && findings.is_sorted()),
        }
    }

    /// The rows in a different order give the same table or the same findings.
    #[test]
    fn the_result_does_not_depend_on_the_order_of_rows(
        rotation in any::<u64>(),
        value in column_value(),
    ) {
        let mut rows: Vec<(String, Value)> = check::to_rows(&valid_table()).into_iter().collect();
        rows[0].1["in_service"] = value;
        let forward = check::check_rows(rows.iter().map(|(path, row)| (path.as_str(), row)));
        let len = rows.len();
        rows.rotate_left(usize::try_from(rotation % 1_000).unwrap() % len);
        rows.reverse();
        let backward = check::check_rows(rows.iter().map(|(path, row)| (path.as_str(), row)));
        prop_assert_eq!(forward, backward);
    }
}
