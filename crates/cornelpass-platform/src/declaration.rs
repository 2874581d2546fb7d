//! A declaration of the whole table in TOML, checked as the rows are, with lines.
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

/// Sections whose tables are rows.
const SECTIONS: [&str; 3] = ["organisation", "data_centre", "target"];

/// Reads a declaration.
///
/// # Errors
///
/// Every finding with its row, column and line, in the order of rows and columns; errors of
/// syntax alone if there are any.
pub fn parse(text: &str) -> Result<Table, Vec<Finding>> {
    let (document, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        let mut findings: Vec<Finding> = errors.iter().map(|error| syntax(text, error)).collect();
        findings.sort_by_key(|finding| finding.line);
        return Err(findings);
    }
    let mut draft = Draft { text, rows: BTreeMap::new(), lines: BTreeMap::new() };
    for (key, value) in document.get_ref() {
        draft.section(key.get_ref(), key.span().start, value.get_ref());
    }
    let rows = draft.rows.iter().map(|(path, row)| (path.as_str(), row));
    check::check_rows(rows)
        .map_err(|findings| findings.into_iter().map(|finding| draft.place(finding)).collect())
}

fn syntax(text: &str, error: &toml::de::Error) -> Finding {
    let message = error.message().to_owned();
    let line = error.span().map(|span| line(text, span.start));
    Finding::new("", "", Problem::Syntax { message }).with_line(line)
}

/// Line of a byte offset, from 1.
fn line(text: &str, offset: usize) -> usize {
    1 + text.bytes().take(offset).filter(|&byte| byte == b'\n').count()
}

/// Rows of a declaration and the lines they stand on.
struct Draft<'a> {
    text: &'a str,
    rows: BTreeMap<String, Value>,
    /// Lines by path and column; the column is empty for the row as a whole.
    lines: BTreeMap<(String, String), usize>,
}

impl Draft<'_> {
    fn section(&mut self, section: &str, offset: usize, value: &DeValue<'_>) {
        match value {
            DeValue::Table(rows) if SECTIONS.contains(&section) => {
                for (name, row) in rows {
                    let path = format!("{section}/{}", name.get_ref());
                    self.row(path, name.span().start, row.get_ref());
                }
            }
            _ => self.row(section.to_owned(), offset, value),
        }
    }

    fn row(&mut self, path: String, offset: usize, value: &DeValue<'_>) {
        self.mark(&path, "", offset);
        if let DeValue::Table(columns) = value {
            for column in columns.keys() {
                self.mark(&path, column.get_ref(), column.span().start);
            }
        }
        self.rows.insert(path, json(value));
    }

    fn mark(&mut self, path: &str, column: &str, offset: usize) {
        self.lines.insert((path.to_owned(), column.to_owned()), line(self.text, offset));
    }

    /// Gives a finding the line of its column, or else of its row.
    fn place(&self, finding: Finding) -> Finding {
        let at = |column: &str| self.lines.get(&(finding.row.clone(), column.to_owned())).copied();
        let line = at(&finding.column).or_else(|| at(""));
        finding.with_line(line)
    }
}

/// A TOML value as JSON; null where JSON has no such value.
fn json(value: &DeValue<'_>) -> Value {
    match value {
        DeValue::String(text) => Value::from(text.as_ref()),
        DeValue::Integer(integer) => number(integer),
        DeValue::Float(float) => float.as_str().parse::<f64>().map(Value::from).unwrap_or_default(),
        DeValue::Boolean(flag) => Value::from(*flag),
        DeValue::Datetime(_) => Value::Null,
        DeValue::Array(items) => items.iter().map(|item| json(item.get_ref())).collect(),
        DeValue::Table(columns) => Value::Object(
            columns
                .iter()
                .map(|(key, value)| (key.get_ref().to_string(), json(value.get_ref())))
                .collect::<Map<_, _>>(),
        ),
    }
}

fn number(integer: &DeInteger<'_>) -> Value {
    i64::from_str_radix(integer.as_str(), integer.radix()).map(Value::from).unwrap_or_default()
}
