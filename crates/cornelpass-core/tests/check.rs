//! Checks of the operators' rows.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::collections::BTreeMap;

use cornelpass_core::check::{self, Finding};
use cornelpass_core::table::{DataCentre, Kind, Organisation, Policy, Table, Target};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::{Value, json};

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(9), failure_persistence: None, ..Config::default() }
}

fn run(rows: &BTreeMap<String, Value>) -> Result<Table, Vec<Finding>> {
    check::check_rows(rows.iter().map(|(path, row)| (path.as_str(), row)))
}

fn report(rows: Value) -> String {
    let rows: BTreeMap<String, Value> = serde_json::from_value(rows).unwrap();
    let findings = run(&rows).unwrap_err();
    findings.iter().map(|finding| format!("{finding}\n")).collect()
}

fn target(address: u8) -> Target {
    Target {
        data_centre: "norte-1".to_owned(),
        kind: Kind::Model,
        serves: "briefs".to_owned(),
        address: format!("10.0.0.{address}:9000").parse().unwrap(),
        weight: 100,
        limit: 32,
        cold_limit: 2,
        cold_seconds: 0,
        in_service: true,
    }
}

fn table() -> Table {
    let centre = DataCentre { region: "norte".to_owned(), in_service: true };
    let organisation = Organisation { weight: 10, limit: 64, in_service: true };
    let targets = [("a", 1), ("b", 2)].map(|(name, at)| (name.to_owned(), target(at)));
    Table {
        policy: Policy::default(),
        organisations: [("oficina".to_owned(), organisation)].into(),
        data_centres: [("norte-1".to_owned(), centre)].into(),
        targets: targets.into(),
    }
}

#[test]
fn every_finding_is_reported_with_its_row_and_column() {
    let report = report(json!({
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
    let mut table = table();
    let mut other = target(1);
    other.kind = Kind::Service;
    other.data_centre = "sul-1".to_owned();
    other.cold_limit = 33;
    table.targets.insert("c".to_owned(), other);
    let mut lone = target(4);
    lone.serves = "notes".to_owned();
    lone.in_service = false;
    table.targets.insert("d".to_owned(), lone);
    let findings = check::check_table(&table).unwrap_err();
    let report: String = findings.iter().map(|finding| format!("{finding}\n")).collect();
    insta::assert_snapshot!(report);
}

#[test]
fn a_data_centre_can_always_be_taken_out() {
    let mut table = table();
    table.data_centres.get_mut("norte-1").unwrap().in_service = false;
    assert_eq!(check::check_table(&table), Ok(()));
}

fn cell() -> impl Strategy<Value = Value> {
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

/// Typed reading of the rows by `serde` alone, without ranges and checks across rows.
fn naive(rows: &BTreeMap<String, Value>) -> Option<Table> {
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
    #![proptest_config(config())]

    /// Whatever the checks accept is what `serde` reads, and nothing that it cannot read passes.
    #[test]
    fn checks_agree_with_a_naive_reading(
        edits in prop::collection::vec((0..40_usize, prop::option::of(cell())), 0..4),
    ) {
        let mut rows = check::to_rows(&table());
        let places: Vec<(String, String)> = rows
            .iter()
            .flat_map(|(path, row)| {
                row.as_object().unwrap().keys().map(move |column| (path.clone(), column.clone()))
            })
            .collect();
        for (place, cell) in edits {
            let (path, column) = &places[place % places.len()];
            let row = rows.get_mut(path).unwrap().as_object_mut().unwrap();
            match cell {
                Some(cell) => row.insert(column.clone(), cell),
                None => row.remove(column),
            };
        }
        match (run(&rows), naive(&rows)) {
            (Ok(table), naive) => prop_assert_eq!(Some(table), naive),
            (Err(findings), _) => prop_assert!(!findings.is_empty() && findings.is_sorted()),
        }
    }

    /// The order in which rows are read does not matter.
    #[test]
    fn verdict_does_not_depend_on_the_order(seed in any::<u64>(), cell in cell()) {
        let mut rows: Vec<(String, Value)> = check::to_rows(&table()).into_iter().collect();
        rows[0].1["in_service"] = cell;
        let forward = check::check_rows(rows.iter().map(|(path, row)| (path.as_str(), row)));
        let len = rows.len();
        rows.rotate_left(usize::try_from(seed % 1_000).unwrap() % len);
        rows.reverse();
        let backward = check::check_rows(rows.iter().map(|(path, row)| (path.as_str(), row)));
        prop_assert_eq!(forward, backward);
    }
}
