//! Callers that measure streamed chats, for the tests of load, surges and outages.

#![allow(dead_code)]

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use cornelpass_core::digest;
use cornelpass_core::placement::{Candidate, Placement, Rendezvous};
use cornelpass_standin::engine;
use cornelpass_standin::fleet::{Fleet, MODEL};
use cornelpass_standin::http::fetch;
use cornelpass_standin::process::Process;
use cornelpass_standin::sse::Stream;
use serde_json::{Value, json};

/// Refusals after which a caller gives up.
const REFUSAL_LIMIT: usize = 200;

/// Time between two tries of a refused caller.
const RETRY_PERIOD: Duration = Duration::from_millis(50);

/// A chat of an organisation.
#[derive(Clone, Debug)]
pub(crate) struct Chat {
    /// Organisation.
    pub(crate) organisation: String,
    /// Name.
    pub(crate) name: String,
    /// Tokens of an answer.
    pub(crate) tokens: u32,
}

/// What a caller saw of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Seen {
    /// HTTP status of the last answer.
    pub(crate) status: u16,
    /// Reason of the last refusal, if it has one.
    pub(crate) reason: String,
    /// Refusals before the answer.
    pub(crate) refused: usize,
    /// Target that gave the first piece.
    pub(crate) target: String,
    /// Time from the first request to the first piece, over all tries.
    pub(crate) first: Duration,
    /// The whole answer to this request came, and nothing else.
    pub(crate) whole: bool,
}

impl Chat {
    /// A chat.
    pub(crate) fn new(organisation: usize, name: &str, tokens: u32) -> Self {
        Self { organisation: format!("org-{organisation}"), name: name.to_owned(), tokens }
    }

    /// Target that the chat prefers among engines of the same weight.
    pub(crate) fn home(&self, engines: usize) -> String {
        let names: Vec<String> = (1..=engines).map(|number| format!("engine-{number}")).collect();
        let candidates: Vec<_> = names.iter().map(|name| Candidate::new(name, 1)).collect();
        let key = digest::key(&format!("{}/{}", self.organisation, self.name));
        names[Rendezvous.rank(key, &candidates)[0]].clone()
    }

    /// Sends a turn of the chat once.
    pub(crate) fn ask(&self, router: SocketAddr, turn: usize) -> Seen {
        let begun = Instant::now();
        self.attempt(router, turn, begun).unwrap_or_default()
    }

    /// Sends a turn of the chat until it is answered or was refused too often.
    pub(crate) fn persist(&self, router: SocketAddr, turn: usize) -> Seen {
        let begun = Instant::now();
        let mut seen = Seen::default();
        for refused in 0..REFUSAL_LIMIT {
            seen = self.attempt(router, turn, begun).unwrap_or_default();
            seen.refused = refused;
            if seen.status == 200 {
                break;
            }
            thread::sleep(RETRY_PERIOD);
        }
        seen
    }

    fn attempt(&self, router: SocketAddr, turn: usize, begun: Instant) -> io::Result<Seen> {
        let content = format!("{} of {}, turn {turn}", self.name, self.organisation);
        let messages = json!([{"role": "user", "content": content}]);
        let body = json!({
            "model": MODEL, "messages": messages, "max_tokens": self.tokens, "stream": true,
        });
        let headers = [("x-organisation", &*self.organisation), ("x-chat-id", &*self.name)];
        let mut stream = Stream::open(router, &headers, &body.to_string())?;
        let mut seen = Seen { status: stream.status, ..Seen::default() };
        if seen.status != 200 {
            seen.reason = reason(&mut stream)?;
            return Ok(seen);
        }
        let mut text = String::new();
        while let Some(event) = stream.next_event()? {
            if seen.first.is_zero() {
                seen.first = begun.elapsed();
                let id = event.id.clone().unwrap_or_default();
                seen.target = id.split('/').next().unwrap_or_default().to_owned();
            }
            text.push_str(&event.text());
        }
        seen.whole = text == engine::expected_text(&messages.to_string(), self.tokens);
        Ok(seen)
    }
}

/// Reason in a refusal, whose body is a problem report of the length that its head gives.
fn reason(stream: &mut Stream) -> io::Result<String> {
    let body = stream.read_body()?;
    let problem: Value = serde_json::from_str(&body).unwrap_or_default();
    Ok(problem["reason"].as_str().unwrap_or_default().to_owned())
}

/// Addresses of the routers for callers.
pub(crate) fn routers(fleet: &Fleet) -> Vec<SocketAddr> {
    (0..fleet.routers.len()).map(|index| fleet.router_address(index).unwrap()).collect()
}

/// What a process shows of itself.
pub(crate) fn status(process: &Process) -> Value {
    let operators = process.address("operators").unwrap();
    let (_, body) = fetch(operators, "GET", "/status", &[], "").unwrap();
    serde_json::from_str(&body).unwrap()
}

/// Requests that the engines run now.
pub(crate) fn running(fleet: &Fleet) -> usize {
    fleet.engines.iter().map(|engine| engine.counts().running).sum()
}

/// Value under which a share of the sorted values lies, in percent.
pub(crate) fn percentile(values: &[Duration], percent: usize) -> Duration {
    let mut sorted = values.to_vec();
    sorted.sort();
    sorted[(sorted.len() * percent).div_ceil(100).max(1) - 1]
}
