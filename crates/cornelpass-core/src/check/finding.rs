//! Findings of the checks: the problem, and the row and column that have it.

use std::fmt;

/// Problem of a row or column.
///
/// The `Display` text is shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[non_exhaustive]
pub enum Problem {
    /// The path is not that of an organisation, data centre, target or the policy.
    UnknownRow,
    /// The value of the row is not a JSON object of columns.
    NotAnObject,
    /// The name is empty, too long, or contains a character that is not allowed.
    InvalidName,
    /// Rows of this kind have no such column.
    UnknownColumn,
    /// A required column is missing.
    Missing,
    /// The value has the wrong type.
    WrongType {
        /// Type that is expected, in words.
        expected: &'static str,
    },
    /// The number is outside its range.
    OutOfRange {
        /// Lowest allowed value.
        min: u32,
        /// Highest allowed value.
        max: u32,
    },
    /// The target refers to a data centre that has no row.
    UnknownDataCentre {
        /// Name of the missing data centre.
        name: String,
    },
    /// Another target has the same address.
    DuplicateAddress {
        /// Path of the other target.
        other: String,
    },
    /// The address cannot be connected to: its port is 0, or its IP address is unspecified or
    /// multicast.
    UnusableAddress,
    /// The cold limit of a target is higher than its limit.
    ColdLimitOverLimit {
        /// Limit of the target, in units of load.
        limit: u32,
    },
    /// Targets of both kinds, model and service, serve the same name.
    MixedKinds {
        /// Path of a target of the other kind.
        other: String,
    },
    /// None of the targets that serve a name is in service.
    NoneInService {
        /// Name of the model or service.
        serves: String,
    },
    /// The text of the rows cannot be parsed.
    Syntax {
        /// Error message of the parser.
        message: String,
    },
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownRow => {
                f.write_str("not an organisation, a data centre, a target or the policy")
            }
            Self::NotAnObject => f.write_str("must be an object of columns"),
            Self::InvalidName => {
                f.write_str("a name has 1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'")
            }
            Self::UnknownColumn => f.write_str("unknown column"),
            Self::Missing => f.write_str("missing"),
            Self::WrongType { expected } => write!(f, "must be {expected}"),
            Self::OutOfRange { min, max } => write!(f, "must be from {min} to {max}"),
            Self::UnknownDataCentre { name } => write!(f, "no data centre is named {name:?}"),
            Self::DuplicateAddress { other } => write!(f, "{other} has the same address"),
            Self::UnusableAddress => f.write_str(
                "must have a port other than 0 and no unspecified or multicast IP address",
            ),
            Self::ColdLimitOverLimit { limit } => {
                write!(f, "must not be over the limit of {limit}")
            }
            Self::MixedKinds { other } => {
                write!(f, "{other} serves the same name but is of the other kind")
            }
            Self::NoneInService { serves } => write!(f, "no target of {serves:?} is in service"),
            Self::Syntax { message } => f.write_str(message),
        }
    }
}

/// A problem and its location.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Path of the row, such as `target/engine-1`; empty if the problem belongs to no row.
    pub row: String,
    /// Name of the column; empty if the problem concerns the row as a whole.
    pub column: String,
    /// Problem of the row or column.
    pub problem: Problem,
    /// Line number in the file, starting at 1, if the rows were read from a file.
    pub line: Option<usize>,
}

impl Finding {
    /// Creates a finding without a line number.
    #[must_use]
    pub fn new(row: impl Into<String>, column: impl Into<String>, problem: Problem) -> Self {
        Self { row: row.into(), column: column.into(), problem, line: None }
    }

    /// Sets the line number.
    #[must_use]
    pub fn with_line(mut self, line: Option<usize>) -> Self {
        self.line = line;
        self
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        let location: Vec<&str> = [self.row.as_str(), self.column.as_str()]
            .into_iter()
            .filter(|part| !part.is_empty())
            .collect();
        if location.is_empty() {
            return write!(f, "{}", self.problem);
        }
        write!(f, "{}: {}", location.join(", "), self.problem)
    }
}
