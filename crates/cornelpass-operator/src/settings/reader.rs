//! Reads the keys of a settings file one by one, and collects the findings.
//!
//! Reading continues after a finding, so that all findings of a file are reported together.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;
use std::path::Path;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::finding::{Finding, Findings};

/// A settings file with valid TOML, and its findings so far.
pub(super) struct Document<'a> {
    file: String,
    text: &'a str,
    table: Spanned<DeTable<'a>>,
    findings: RefCell<Vec<Finding>>,
}

impl<'a> Document<'a> {
    /// Parses the text of a file; the only finding of an invalid file is the first syntax error.
    pub(super) fn parse(path: &Path, text: &'a str) -> Result<Self, Findings> {
        let file = path.display().to_string();
        match DeTable::parse(text) {
            Ok(table) => Ok(Self { file, text, table, findings: RefCell::default() }),
            Err(error) => {
                let start = error.span().map_or(0, |span| span.start);
                let problem = error.message().to_owned();
                let key = String::new();
                Err(Findings(vec![Finding { line: line_number(text, start), file, key, problem }]))
            }
        }
    }

    /// Keys outside all sections.
    pub(super) fn root(&self) -> Section<'_> {
        let span = 0..0;
        let table = Some(self.table.get_ref());
        Section { document: self, name: String::new(), span, table, known_keys: BTreeSet::new() }
    }

    /// Returns all findings so far as an error, if there are any.
    pub(super) fn result(&self) -> Result<(), Findings> {
        let mut findings = self.findings.borrow().clone();
        findings.sort();
        if findings.is_empty() { Ok(()) } else { Err(Findings(findings)) }
    }

    /// Error for a required value that is missing without a finding.
    ///
    /// This does not happen, since missing keys and sections are findings, which
    /// [`Self::result`] returns.
    pub(super) fn incomplete_error(&self) -> Findings {
        Findings(self.findings.borrow().clone())
    }

    fn add_finding(&self, offset: usize, key: String, problem: String) {
        let line = line_number(self.text, offset);
        let finding = Finding { line, file: self.file.clone(), key, problem };
        self.findings.borrow_mut().push(finding);
    }
}

/// Number of the line at a byte offset, from 1.
fn line_number(text: &str, offset: usize) -> usize {
    1 + text.bytes().take(offset).filter(|byte| *byte == b'\n').count()
}

/// A section of a settings file, which may be missing.
pub(super) struct Section<'a> {
    document: &'a Document<'a>,
    name: String,
    span: Range<usize>,
    table: Option<&'a DeTable<'a>>,
    /// Keys that have been read; all other keys of the section are unknown.
    known_keys: BTreeSet<String>,
}

impl<'a> Section<'a> {
    /// Reads a required section.
    pub(super) fn required_section(&mut self, name: &str) -> Section<'a> {
        let section = self.optional_section(name);
        if section.table.is_none() && !self.contains(name) {
            let problem = format!("the section [{name}] is missing");
            self.document.add_finding(0, String::new(), problem);
        }
        section
    }

    /// Reads an optional section.
    pub(super) fn optional_section(&mut self, name: &str) -> Section<'a> {
        self.known_keys.insert(name.to_owned());
        let value = self.table.and_then(|table| table.get(name));
        let table = value.and_then(|value| value.get_ref().as_table());
        let span = value.map_or(0..0, Spanned::span);
        if let (Some(value), None) = (value, table) {
            let problem = format!("expected a section [{name}]");
            self.document.add_finding(value.span().start, name.to_owned(), problem);
        }
        Section {
            document: self.document,
            name: name.to_owned(),
            span,
            table,
            known_keys: BTreeSet::new(),
        }
    }

    /// Reads a required value.
    ///
    /// `expected` describes the values that `parse` accepts.
    pub(super) fn required<T>(
        &mut self,
        key: &str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        // A missing section has been reported already.
        if self.table.is_some() && !self.contains(key) {
            self.add_finding(key, &format!("missing; expected {expected}"));
        }
        self.optional(key, expected, parse)
    }

    /// Reads an optional value.
    ///
    /// `expected` describes the values that `parse` accepts.
    pub(super) fn optional<T>(
        &mut self,
        key: &str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.known_keys.insert(key.to_owned());
        let value = self.table?.get(key)?;
        let parsed = value.get_ref().as_str().and_then(parse);
        if parsed.is_none() {
            self.add_finding(
                key,
                &format!("expected {expected}, found {}", describe(value.get_ref())),
            );
        }
        parsed
    }

    /// Reads an optional number from `min` to `max`.
    pub(super) fn number(&mut self, key: &str, min: f64, max: f64) -> Option<f64> {
        self.known_keys.insert(key.to_owned());
        let value = self.table?.get(key)?.get_ref();
        let text = match value {
            DeValue::Integer(number) => Some(number.as_str()),
            DeValue::Float(number) => Some(number.as_str()),
            _ => None,
        };
        let number = text.and_then(|text| text.parse::<f64>().ok());
        let valid = number.filter(|number| (min..=max).contains(number));
        if valid.is_none() {
            let found = text.map_or_else(|| describe(value), str::to_owned);
            self.add_finding(key, &format!("expected a number from {min} to {max}, found {found}"));
        }
        valid
    }

    /// Reads an optional list of values; invalid items are omitted and reported.
    ///
    /// `expected` describes the values that `parse` accepts.
    pub(super) fn list<T>(
        &mut self,
        key: &str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        self.known_keys.insert(key.to_owned());
        let Some(value) = self.table.and_then(|table| table.get(key)) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            self.add_finding(key, &format!("expected a list of {expected}"));
            return Vec::new();
        };
        let mut values = Vec::new();
        for item in items {
            match item.get_ref().as_str().and_then(&parse) {
                Some(value) => values.push(value),
                None => {
                    let problem =
                        format!("expected {expected}, found {}", describe(item.get_ref()));
                    self.document.add_finding(item.span().start, self.full_key(key), problem);
                }
            }
        }
        values
    }

    /// Adds a finding about a key of this section, with the line of the key or else of the section.
    pub(super) fn add_finding(&self, key: &str, problem: &str) {
        let value = self.table.and_then(|table| table.get(key));
        let offset = value.map_or(self.span.start, |value| value.span().start);
        self.document.add_finding(offset, self.full_key(key), problem.to_owned());
    }

    /// Adds a finding for each key of this section that no function has read; call it last.
    pub(super) fn report_unknown_keys(self) {
        let Some(table) = self.table else { return };
        for (key, _) in table {
            if !self.known_keys.contains(key.get_ref().as_ref()) {
                let known: Vec<&str> = self.known_keys.iter().map(String::as_str).collect();
                let problem = format!("unknown key; known are {}", known.join(", "));
                self.document.add_finding(key.span().start, self.full_key(key.get_ref()), problem);
            }
        }
    }

    fn contains(&self, key: &str) -> bool {
        self.table.is_some_and(|table| table.contains_key(key))
    }

    /// Key with the name of its section, such as `listen.callers`.
    fn full_key(&self, key: &str) -> String {
        if self.name.is_empty() { key.to_owned() } else { format!("{}.{key}", self.name) }
    }
}

/// Describes a value for a finding: texts and whole numbers themselves, otherwise the type.
fn describe(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(number) => number.as_str().to_owned(),
        other => other.type_str().to_owned(),
    }
}
