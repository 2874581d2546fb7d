//! Checks that compare several columns or rows.
//!
//! The input is a table of the rows that have passed the checks of their own columns.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{Finding, Problem};
use crate::table::{Kind, Table, Target};

/// Checks the valid target rows against each other and against the data centres.
///
/// `data_centre_names` includes data centres whose rows have findings, so that an invalid data
/// centre row does not cause further findings for its targets.
pub(super) fn check_targets(
    table: &Table,
    data_centre_names: &[String],
    findings: &mut Vec<Finding>,
) {
    for (name, target) in &table.targets {
        check_target(name, target, data_centre_names, findings);
    }
    check_addresses(table, findings);
    check_kinds(table, findings);
}

fn target_path(name: &str) -> String {
    format!("target/{name}")
}

fn check_target(
    name: &str,
    target: &Target,
    data_centre_names: &[String],
    findings: &mut Vec<Finding>,
) {
    if !data_centre_names.contains(&target.data_centre) {
        let problem = Problem::UnknownDataCentre { name: target.data_centre.clone() };
        findings.push(Finding::new(target_path(name), "data_centre", problem));
    }
    if target.cold_limit > target.limit {
        let problem = Problem::ColdLimitOverLimit { limit: target.limit };
        findings.push(Finding::new(target_path(name), "cold_limit", problem));
    }
}

fn check_addresses(table: &Table, findings: &mut Vec<Finding>) {
    let mut first_by_address: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for (name, target) in &table.targets {
        match first_by_address.get(&target.address) {
            Some(other) => {
                let problem = Problem::DuplicateAddress { other: target_path(other) };
                findings.push(Finding::new(target_path(name), "address", problem));
            }
            None => {
                first_by_address.insert(target.address, name);
            }
        }
    }
}

fn check_kinds(table: &Table, findings: &mut Vec<Finding>) {
    let mut first_by_name: BTreeMap<&str, (Kind, &str)> = BTreeMap::new();
    for (name, target) in &table.targets {
        let (kind, other) = *first_by_name.entry(&target.serves).or_insert((target.kind, name));
        if kind != target.kind {
            let problem = Problem::MixedKinds { other: target_path(other) };
            findings.push(Finding::new(target_path(name), "kind", problem));
        }
    }
}

/// Adds a finding for each model or service without a target whose own `in_service` flag is set.
///
/// The `in_service` flags of data centres are ignored, so that operators can take any data centre
/// out of service.
pub(super) fn check_in_service(table: &Table, findings: &mut Vec<Finding>) {
    let mut first_by_name: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, target) in &table.targets {
        first_by_name.entry(&target.serves).or_insert(name);
    }
    for (serves, name) in first_by_name {
        let mut targets = table.targets.values().filter(|target| target.serves == serves);
        if !targets.any(|target| target.in_service) {
            let problem = Problem::NoneInService { serves: serves.to_owned() };
            findings.push(Finding::new(target_path(name), "in_service", problem));
        }
    }
}
