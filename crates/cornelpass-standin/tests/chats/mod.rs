//! Streamed chat requests and their times, for the tests of load, surges and outages.

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

/// Maximum number of attempts of [`Chat::send_with_retries`] at one request.
const ATTEMPT_LIMIT: usize = 200;

/// Wait between two attempts of [`Chat::send_with_retries`].
const RETRY_WAIT: Duration = Duration::from_millis(50);

/// A chat of an organisation.
#[derive(Clone, Debug)]
pub(crate) struct Chat {
    /// Name of the organisation.
    pub(crate) organisation: String,
    /// Name of the chat, which is its ID in requests.
    pub(crate) name: String,
    /// Tokens of each response.
    pub(crate) tokens: u32,
}

/// Result of a request. The status is 0 if the connection failed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// HTTP status of the last response.
    pub(crate) status: u16,
    /// Reason of the refusal, if the last response is a refusal; otherwise empty.
    pub(crate) reason: String,
    /// Failed attempts before the last attempt.
    pub(crate) failed_attempts: usize,
    /// Target that sent the first event; empty if no event arrived.
    pub(crate) target: String,
    /// Time from the start of the first attempt to the first event, which has the first token; zero
    /// if no event arrived.
    pub(crate) first_token_time: Duration,
    /// Whether the response has exactly the text generated for this request.
    pub(crate) is_complete: bool,
}

impl Chat {
    /// Chat of the organisation `org-N`, where N is `organisation`.
    pub(crate) fn new(organisation: usize, name: &str, tokens: u32) -> Self {
        Self { organisation: format!("org-{organisation}"), name: name.to_owned(), tokens }
    }

    /// Target that the chat prefers among `engine-1` to `engine-N` of the same weight, where N is
    /// `engines`: the first target in the hash order of the chat's placement key.
    pub(crate) fn preferred_target(&self, engines: usize) -> String {
        let names: Vec<String> = (1..=engines).map(|number| format!("engine-{number}")).collect();
        let candidates: Vec<_> = names.iter().map(|name| Candidate::new(name, 1)).collect();
        let key = digest::key(&format!("{}/{}", self.organisation, self.name));
        names[Rendezvous.rank(key, &candidates)[0]].clone()
    }

    /// Sends a turn of the chat once.
    pub(crate) fn send(&self, router: SocketAddr, turn: usize) -> Outcome {
        let started_at = Instant::now();
        self.attempt(router, turn, started_at).unwrap_or_default()
    }

    /// Sends a turn of the chat until an attempt has status 200, at most [`ATTEMPT_LIMIT`] times.
    /// The response of that attempt may still be incomplete.
    pub(crate) fn send_with_retries(&self, router: SocketAddr, turn: usize) -> Outcome {
        let started_at = Instant::now();
        let mut outcome = Outcome::default();
        for failed_attempts in 0..ATTEMPT_LIMIT {
            outcome = self.attempt(router, turn, started_at).unwrap_or_default();
            outcome.failed_attempts = failed_attempts;
            if outcome.status == 200 {
                break;
            }
            thread::sleep(RETRY_WAIT);
        }
        outcome
    }

    fn attempt(&self, router: SocketAddr, turn: usize, started_at: Instant) -> io::Result<Outcome> {
        let content = format!("{} of {}, turn {turn}", self.name, self.organisation);
        let messages = json!([{"role": "user", "content": content}]);
        let body = json!({
            "model": MODEL, "messages": messages, "max_tokens": self.tokens, "stream": true,
        });
        let headers = [("x-organisation", &*self.organisation), ("x-chat-id", &*self.name)];
        let mut stream = Stream::open(router, &headers, &body.to_string())?;
        let mut outcome = Outcome { status: stream.status, ..Outcome::default() };
        if outcome.status != 200 {
            outcome.reason = read_reason(&mut stream)?;
            return Ok(outcome);
        }
        let mut text = String::new();
        while let Some(event) = stream.next_event()? {
            if outcome.first_token_time.is_zero() {
                outcome.first_token_time = started_at.elapsed();
                let id = event.id.clone().unwrap_or_default();
                outcome.target = id.split('/').next().unwrap_or_default().to_owned();
            }
            text.push_str(&event.text());
        }
        outcome.is_complete = text == engine::expected_text(&messages.to_string(), self.tokens);
        Ok(outcome)
    }
}

/// Reads the problem report of a refusal and returns the reason. A refusal has a `content-length`
/// header and is not an event stream.
fn read_reason(stream: &mut Stream) -> io::Result<String> {
    let body = stream.read_body()?;
    let problem: Value = serde_json::from_str(&body).unwrap_or_default();
    Ok(problem["reason"].as_str().unwrap_or_default().to_owned())
}

/// Addresses of all routers for callers.
pub(crate) fn router_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    (0..fleet.routers.len()).map(|index| fleet.router_address(index).unwrap()).collect()
}

/// Status page of a process.
pub(crate) fn status(process: &Process) -> Value {
    let operators = process.address("operators").unwrap();
    let (_, body) = fetch(operators, "GET", "/status", &[], "").unwrap();
    serde_json::from_str(&body).unwrap()
}

/// Number of requests in progress at all engines.
pub(crate) fn running_requests(fleet: &Fleet) -> usize {
    fleet.engines.iter().map(|engine| engine.counts().running).sum()
}

/// Percentile of some values, by the nearest rank.
pub(crate) fn percentile(values: &[Duration], percent: usize) -> Duration {
    let mut sorted = values.to_vec();
    sorted.sort();
    sorted[(sorted.len() * percent).div_ceil(100).max(1) - 1]
}
