//! Reads the columns of one row.
//!
//! Each `read_` method returns the typed value of a column, or records a finding and returns `None`
//! if the column is missing or its value is invalid. Reading continues after a finding, so that all
//! errors of a row are found in one pass. A row whose value is not an object gives a single
//! finding, in `Reader::finish`.

use std::net::SocketAddr;

use serde_json::{Map, Value};

use super::{Finding, MAX_NAME_BYTES, Problem};
use crate::table::Kind;

/// Reads one row and records findings.
pub(super) struct Reader<'a> {
    path: &'a str,
    columns: Option<&'a Map<String, Value>>,
    /// Columns read so far; any other column of the row is unknown.
    expected_columns: Vec<&'static str>,
    findings: &'a mut Vec<Finding>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(path: &'a str, value: &'a Value, findings: &'a mut Vec<Finding>) -> Self {
        Self { path, columns: value.as_object(), expected_columns: Vec::new(), findings }
    }

    pub(super) fn add_finding(&mut self, column: &str, problem: Problem) {
        self.findings.push(Finding::new(self.path, column, problem));
    }

    /// Checks the name in the path of the row.
    pub(super) fn check_name(&mut self, name: &str) {
        if !is_valid_name(name) {
            self.add_finding("", Problem::InvalidName);
        }
    }

    /// Reads a string column whose value must be a valid name.
    pub(super) fn read_name(&mut self, column: &'static str) -> Option<String> {
        let value = self.require(column)?;
        let Some(text) = value.as_str() else {
            return self.wrong_type(column, "a string");
        };
        if !is_valid_name(text) {
            self.add_finding(column, Problem::InvalidName);
            return None;
        }
        Some(text.to_owned())
    }

    /// Reads a column whose value must be a whole number from `min` to `max`.
    pub(super) fn read_number(&mut self, column: &'static str, min: u32, max: u32) -> Option<u32> {
        let value = self.require(column)?;
        if !value.is_i64() && !value.is_u64() {
            return self.wrong_type(column, "a whole number");
        }
        let number = value.as_u64().and_then(|number| u32::try_from(number).ok());
        let in_range = number.filter(|number| (min..=max).contains(number));
        if in_range.is_none() {
            self.add_finding(column, Problem::OutOfRange { min, max });
        }
        in_range
    }

    /// Like `read_number`, but returns `default` if the column is missing.
    pub(super) fn read_number_or(
        &mut self,
        column: &'static str,
        min: u32,
        max: u32,
        default: u32,
    ) -> Option<u32> {
        if self.columns.is_some_and(|columns| columns.contains_key(column)) {
            return self.read_number(column, min, max);
        }
        Some(default)
    }

    pub(super) fn read_bool(&mut self, column: &'static str) -> Option<bool> {
        let value = self.require(column)?;
        match value.as_bool() {
            Some(flag) => Some(flag),
            None => self.wrong_type(column, "true or false"),
        }
    }

    pub(super) fn read_kind(&mut self, column: &'static str) -> Option<Kind> {
        match self.require(column)?.as_str() {
            Some("model") => Some(Kind::Model),
            Some("service") => Some(Kind::Service),
            _ => self.wrong_type(column, "\"model\" or \"service\""),
        }
    }

    /// Reads a column with a socket address that can be connected to.
    pub(super) fn read_address(&mut self, column: &'static str) -> Option<SocketAddr> {
        let value = self.require(column)?;
        let Some(address) = value.as_str().and_then(|text| text.parse::<SocketAddr>().ok()) else {
            return self.wrong_type(column, "an IP address and a port");
        };
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            self.add_finding(column, Problem::UnusableAddress);
            return None;
        }
        Some(address)
    }

    /// Records a finding for each column that was not read, and returns `row`.
    ///
    /// Returns `None` if the value of the row is not an object.
    pub(super) fn finish<T>(mut self, row: Option<T>) -> Option<T> {
        let Some(columns) = self.columns else {
            self.add_finding("", Problem::NotAnObject);
            return None;
        };
        for column in
            columns.keys().filter(|column| !self.expected_columns.contains(&column.as_str()))
        {
            self.findings.push(Finding::new(self.path, column, Problem::UnknownColumn));
        }
        row
    }

    /// Returns the value of a column that must exist.
    fn require(&mut self, column: &'static str) -> Option<&'a Value> {
        self.expected_columns.push(column);
        let value = self.columns?.get(column);
        if value.is_none() {
            self.add_finding(column, Problem::Missing);
        }
        value
    }

    fn wrong_type<T>(&mut self, column: &str, expected: &'static str) -> Option<T> {
        self.add_finding(column, Problem::WrongType { expected });
        None
    }
}

/// Whether a string has the length and the characters of a name.
fn is_valid_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed)
}
