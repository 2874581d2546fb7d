//! One request's way, from the logs of all processes that had to do with it.
//!
//! A line may stand behind a prefix, such as the time and the instance that a collector puts there;
//! the last word before the line's JSON names the instance. Before each step of the request stand the
//! beliefs of the same instance that were in force then and matter to it: the configuration, the
//! platform, and the target that the step names.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use serde_json::{Map, Value};

/// Fields of a line that every event has, or that the story shows in another way.
const COMMON: [&str; 7] = ["timestamp", "level", "event", "name", "id", "left_out", "target"];

/// A line of a log.
#[derive(Clone, Debug)]
struct Line {
    instance: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; none if it holds no event.
    fn parse(text: &str, source: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        fields.get("event")?.as_u64()?;
        let prefix = text[..start].split_whitespace().next_back();
        let instance = prefix.unwrap_or(source).to_owned();
        Some(Self { instance, fields })
    }

    fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// The line's own fields, in the order of their names.
    fn details(&self) -> String {
        let own = self.fields.iter().filter(|(name, _)| !COMMON.contains(&name.as_str()));
        let own = own.map(|(name, value)| match value {
            Value::String(text) => format!("{name} {text}"),
            other => format!("{name} {other}"),
        });
        own.collect::<Vec<_>>().join(", ")
    }
}

/// Events that change what an instance believes.
fn topic(line: &Line) -> Option<String> {
    let topic = match line.text("name") {
        "config_applied" | "config_from_peer" | "config_rejected" => "configuration".to_owned(),
        "platform_unreachable" | "platform_reachable" => format!("platform {}", line.text("topic")),
        "target_standing" | "suspected" => format!("target {}", line.text("target")),
        "started" | "stopping" => "process".to_owned(),
        _ => return None,
    };
    Some(topic)
}

/// A step of a request, or a belief in force at it.
#[derive(Clone, Debug)]
struct Step {
    line: Line,
    belief: bool,
}

/// A request's way.
#[derive(Clone, Debug)]
pub struct Story {
    id: String,
    steps: Vec<Step>,
}

impl Story {
    /// The way of a request with a number, from logs by their sources' names.
    #[must_use]
    pub fn of(id: &str, logs: &[(String, String)]) -> Self {
        let lines = logs
            .iter()
            .flat_map(|(source, text)| text.lines().filter_map(|line| Line::parse(line, source)));
        let mut lines: Vec<Line> = lines.collect();
        lines.sort_by(|a, b| a.text("timestamp").cmp(b.text("timestamp")));
        let mut beliefs: BTreeMap<(String, String), Line> = BTreeMap::new();
        let mut steps = Vec::new();
        for line in lines {
            if let Some(topic) = topic(&line) {
                beliefs.insert((line.instance.clone(), topic), line);
                continue;
            }
            if line.text("id") != id {
                continue;
            }
            let target = format!("target {}", line.text("target"));
            let matters = |topic: &str| !topic.starts_with("target ") || topic == target;
            // Each belief is shown once, before the first step that it matters to.
            let mine: Vec<(String, String)> = beliefs
                .keys()
                .filter(|(instance, topic)| *instance == line.instance && matters(topic))
                .cloned()
                .collect();
            let shown = mine.iter().filter_map(|key| beliefs.remove(key));
            steps.extend(shown.map(|line| Step { line, belief: true }));
            steps.push(Step { line, belief: false });
        }
        Self { id: id.to_owned(), steps }
    }

    /// Whether no log names the request.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }
}

impl Display for Story {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "request {}", self.id)?;
        for Step { line, belief } in &self.steps {
            let time = line.text("timestamp");
            let time = time.split_once('T').map_or(time, |(_, time)| time);
            let mark = if *belief { "  since" } else { "" };
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
