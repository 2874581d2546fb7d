//! Results of a run: histograms of durations, and a file of JSON lines.

use std::fs::{self, File};
use std::io::{self, Write};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::Value;

/// Folder of the files, relative to the working directory.
const FOLDER: &str = "target/measure";

/// Upper bound of the histogram, in microseconds: longer durations count as this one.
const LONGEST_MICROS: u64 = 60_000_000;

/// Histogram of durations, with three significant digits.
#[derive(Clone, Debug)]
pub(crate) struct Durations(Histogram<u64>);

impl Durations {
    /// Empty histogram.
    ///
    /// # Errors
    ///
    /// If the histogram can not be created.
    pub(crate) fn new() -> io::Result<Self> {
        Histogram::new_with_bounds(1, LONGEST_MICROS, 3).map(Self).map_err(io::Error::other)
    }

    /// Records a duration; anything below 1 µs counts as 1 µs.
    pub(crate) fn record(&mut self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(LONGEST_MICROS);
        self.0.saturating_record(micros.max(1));
    }

    /// Number of recorded durations.
    pub(crate) fn count(&self) -> u64 {
        self.0.len()
    }

    /// Duration at a quantile from 0 to 1, in milliseconds.
    pub(crate) fn ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// File with one JSON document in each line.
pub(crate) struct JsonLines(File);

impl JsonLines {
    /// Creates the file for a run, and replaces an earlier one of the same name.
    ///
    /// # Errors
    ///
    /// If the folder or the file can not be created.
    pub(crate) fn create(run: &str) -> io::Result<Self> {
        fs::create_dir_all(FOLDER)?;
        File::create(format!("{FOLDER}/{run}.jsonl")).map(Self)
    }

    /// Appends a document as one line.
    ///
    /// # Errors
    ///
    /// If the line can not be written.
    pub(crate) fn append(&mut self, line: &Value) -> io::Result<()> {
        writeln!(self.0, "{line}")
    }
}
