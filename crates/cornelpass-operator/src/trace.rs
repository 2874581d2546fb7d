//! Trace of one request, from the logs of all processes that handled it.
//!
//! A log collector may have added a prefix to each line, such as the time and the instance. The
//! last word before the JSON of a line is the name of the instance; without a prefix the name of
//! the log's source is used.
//!
//! The trace lists the steps of the request: the log lines with its ID, in the order of their
//! times. Before a step it lists the latest state changes of the same instance that are relevant
//! for the step: those of the process, the configuration, the platform, and the target that the
//! step names.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use serde_json::{Map, Value};

/// Fields of a line that are not listed as details, because all events have them or because the
/// trace shows them elsewhere.
const HIDDEN_FIELDS: [&str; 7] =
    ["timestamp", "level", "event", "name", "id", "left_out", "target"];

/// Line of a log.
#[derive(Clone, Debug)]
struct Line {
    instance: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; `None` if the line is not an event.
    fn parse(text: &str, source: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        fields.get("event")?.as_u64()?;
        let prefix = text[..start].split_whitespace().next_back();
        let instance = prefix.unwrap_or(source).to_owned();
        Some(Self { instance, fields })
    }

    /// Value of a text field; empty if the line has no such field.
    fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// Other fields of the line, in the order of their names.
    fn details(&self) -> String {
        let details =
            self.fields.iter().filter(|(name, _)| !HIDDEN_FIELDS.contains(&name.as_str()));
        let details = details.map(|(name, value)| match value {
            Value::String(text) => format!("{name} {text}"),
            other => format!("{name} {other}"),
        });
        details.collect::<Vec<_>>().join(", ")
    }
}

/// Subject of the state that a line changes, such as a target; `None` if the line is no state
/// change.
fn state_subject(line: &Line) -> Option<String> {
    let subject = match line.text("name") {
        "config_applied" | "config_from_peer" | "config_rejected" => "configuration".to_owned(),
        "platform_unreachable" | "platform_reachable" => format!("platform {}", line.text("topic")),
        "target_standing" | "suspected" => format!("target {}", line.text("target")),
        "started" | "stopping" => "process".to_owned(),
        _ => return None,
    };
    Some(subject)
}

/// Item of a trace: a step of the request, or a state change that is relevant for the next step.
#[derive(Clone, Debug)]
struct Item {
    line: Line,
    is_state_change: bool,
}

/// Trace of one request.
#[derive(Clone, Debug)]
pub struct Trace {
    id: String,
    items: Vec<Item>,
}

impl Trace {
    /// Creates the trace of the request with an ID, from pairs of the name of a source and its log.
    #[must_use]
    pub fn from_logs(id: &str, logs: &[(String, String)]) -> Self {
        let lines = logs
            .iter()
            .flat_map(|(source, text)| text.lines().filter_map(|line| Line::parse(line, source)));
        let mut lines: Vec<Line> = lines.collect();
        lines.sort_by(|a, b| a.text("timestamp").cmp(b.text("timestamp")));
        let mut latest_changes: BTreeMap<(String, String), Line> = BTreeMap::new();
        let mut items = Vec::new();
        for line in lines {
            if let Some(subject) = state_subject(&line) {
                latest_changes.insert((line.instance.clone(), subject), line);
                continue;
            }
            if line.text("id") != id {
                continue;
            }
            let target = format!("target {}", line.text("target"));
            let is_relevant = |subject: &str| !subject.starts_with("target ") || subject == target;
            // Each state change is listed once, before the first step that it is relevant for.
            let relevant: Vec<(String, String)> = latest_changes
                .keys()
                .filter(|(instance, subject)| *instance == line.instance && is_relevant(subject))
                .cloned()
                .collect();
            let changes = relevant.iter().filter_map(|key| latest_changes.remove(key));
            items.extend(changes.map(|line| Item { line, is_state_change: true }));
            items.push(Item { line, is_state_change: false });
        }
        Self { id: id.to_owned(), items }
    }

    /// Whether no log contains the request.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}

impl Display for Trace {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "request {}", self.id)?;
        for Item { line, is_state_change } in &self.items {
            let time = line.text("timestamp");
            let time = time.split_once('T').map_or(time, |(_, time)| time);
            // The word "since" marks a state that holds from this time on.
            let mark = if *is_state_change { "  since" } else { "" };
            let target = line.text("target");
            let target = if target.is_empty() { String::new() } else { format!(" at {target}") };
            let (instance, name) = (&line.instance, line.text("name").replace('_', " "));
            let details = line.details();
            let colon = if details.is_empty() { "" } else { ": " };
            writeln!(formatter, "{mark:7} {time} {instance} {name}{target}{colon}{details}")?;
        }
        Ok(())
    }
}
