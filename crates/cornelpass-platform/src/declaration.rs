//! Declaration of the operators' whole table in TOML.
//!
//! The declaration is checked in the same way as the operators' rows in the platform's table;
//! findings also state the line of the declaration.
//!
//! ```toml
//! [organisation.oficina]
//! weight = 10
//! limit = 64
//! in_service = true
//! ```

use std::collections::BTreeMap;

use cornelpass_core::check::{self, Finding, Problem};
use cornelpass_core::table::Table;
use serde_json::{Map, Value};
use toml::de::{DeInteger, DeTable, DeValue};

/// Sections that contain one table for each row.
const SECTIONS: [&str; 3] = ["organisation", "data_centre", "target"];

/// Parses and checks a declaration.
///
/// # Errors
///
/// All findings with their row, column and line, in the order of rows and columns. If there are
/// syntax errors, only these are returned.
pub fn parse(text: &str) -> Result<Table, Vec<Finding>> {
    let (document, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        let mut findings: Vec<Finding> =
            errors.iter().map(|error| syntax_finding(text, error)).collect();
        findings.sort_by_key(|finding| finding.line);
        return Err(findings);
    }
    let mut draft = Draft { text, rows: BTreeMap::new(), lines: BTreeMap::new() };
    for (key, value) in document.get_ref() {
        draft.add_section(key.get_ref(), key.span().start, value.get_ref());
    }
    let rows = draft.rows.iter().map(|(path, row)| (path.as_str(), row));
    check::check_rows(rows)
        .map_err(|findings| findings.into_iter().map(|finding| draft.add_line(finding)).collect())
}

fn syntax_finding(text: &str, error: &toml::de::Error) -> Finding {
    let message = error.message().to_owned();
    let line = error.span().map(|span| line_number(text, span.start));
    Finding::new("", "", Problem::Syntax { message }).with_line(line)
}

/// Number of the line at a byte offset, from 1.
fn line_number(text: &str, offset: usize) -> usize {
    1 + text.bytes().take(offset).filter(|&byte| byte == b'\n').count()
}

/// Rows of a declaration, and the numbers of their lines.
struct Draft<'a> {
    text: &'a str,
    /// Values of the rows by path, such as `target/engine-1`.
    rows: BTreeMap<String, Value>,
    /// Line numbers by path and column; the column is empty for the row as a whole.
    lines: BTreeMap<(String, String), usize>,
}

impl Draft<'_> {
    fn add_section(&mut self, section: &str, offset: usize, value: &DeValue<'_>) {
        match value {
            DeValue::Table(rows) if SECTIONS.contains(&section) => {
                for (name, row) in rows {
                    let path = format!("{section}/{}", name.get_ref());
                    self.add_row(path, name.span().start, row.get_ref());
                }
            }
            _ => self.add_row(section.to_owned(), offset, value),
        }
    }

    fn add_row(&mut self, path: String, offset: usize, value: &DeValue<'_>) {
        self.record_line(&path, "", offset);
        if let DeValue::Table(columns) = value {
            for column in columns.keys() {
                self.record_line(&path, column.get_ref(), column.span().start);
            }
        }
        self.rows.insert(path, to_json(value));
    }

    fn record_line(&mut self, path: &str, column: &str, offset: usize) {
        self.lines.insert((path.to_owned(), column.to_owned()), line_number(self.text, offset));
    }

    /// Sets the line of a finding: the line of its column or, if that is unknown, of its row.
    fn add_line(&self, finding: Finding) -> Finding {
        let line_of =
            |column: &str| self.lines.get(&(finding.row.clone(), column.to_owned())).copied();
        let line = line_of(&finding.column).or_else(|| line_of(""));
        finding.with_line(line)
    }
}

/// Converts a TOML value to JSON; the result is null where JSON has no equivalent.
fn to_json(value: &DeValue<'_>) -> Value {
    match value {
        DeValue::String(text) => Value::from(text.as_ref()),
        DeValue::Integer(integer) => integer_to_json(integer),
        DeValue::Float(float) => float.as_str().parse::<f64>().map(Value::from).unwrap_or_default(),
        DeValue::Boolean(flag) => Value::from(*flag),
        DeValue::Datetime(_) => Value::Null,
        DeValue::Array(items) => items.iter().map(|item| to_json(item.get_ref())).collect(),
        DeValue::Table(columns) => Value::Object(
            columns
                .iter()
                .map(|(key, value)| (key.get_ref().to_string(), to_json(value.get_ref())))
                .collect::<Map<_, _>>(),
        ),
    }
}

/// Converts an integer in any TOML notation to JSON; null if it does not fit into 64 bits.
fn integer_to_json(integer: &DeInteger<'_>) -> Value {
    i64::from_str_radix(integer.as_str(), integer.radix()).map(Value::from).unwrap_or_default()
}
