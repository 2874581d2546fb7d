//! Findings in a settings file, with file, line and key.

use std::fmt;

/// Error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Number of the line, from 1.
    pub line: usize,
    /// Name of the file.
    pub file: String,
    /// Key with its section, such as `listen.callers`; empty if the finding is not about one key.
    pub key: String,
    /// Description of the error.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.problem)
    }
}

/// All findings of a file, in the order of its lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Iterates over the findings.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
