//! Simulated callers of a deployment: chats with several turns, and service calls with idempotency
//! keys.
//!
//! The random numbers of a caller depend on the seed and the index of the caller alone.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelpass_standin::engine;
use cornelpass_standin::fleet::SERVICE;
use flume::Sender;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::client::{self, Chat, Completion};

/// Bytes in a KiB.
const KIB: usize = 1024;

/// Number of the organisation whose load rises during a surge.
pub(crate) const SURGING_ORGANISATION: usize = 4;

/// Share of the service calls that the caller sends twice at the same time, each copy through a
/// random router.
const REPEATED_CALL_SHARE: f64 = 0.1;

/// Behaviour of the callers of a deployment, and size of its engines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Workload {
    /// Number of callers, each with one chat at a time.
    pub(crate) chats: usize,
    /// Number of organisations.
    pub(crate) organisations: usize,
    /// Mean time between the response to a request and the next request of the caller.
    pub(crate) think_time: Duration,
    /// Smallest and largest first prompt, in KiB.
    pub(crate) first_prompt_kib: (usize, usize),
    /// Size of a prompt above which the chat ends, in KiB.
    pub(crate) prompt_limit_kib: usize,
    /// Largest message that a turn adds to a chat, in bytes.
    pub(crate) growth_bytes: usize,
    /// Tokens of a response.
    pub(crate) tokens: u32,
    /// Time between the tokens of a response.
    pub(crate) inter_token: Duration,
    /// Share of the requests that are service calls.
    pub(crate) call_share: f64,
    /// Capacity of the prefix cache of an engine, in chunks.
    pub(crate) cache_chunks: usize,
}

/// Deployment with long chats of many turns, and few service calls.
pub(crate) const PORTO: Workload = Workload {
    chats: 300,
    organisations: 10,
    think_time: Duration::from_millis(1_500),
    first_prompt_kib: (8, 16),
    prompt_limit_kib: 40,
    growth_bytes: 3 * KIB,
    tokens: 64,
    inter_token: Duration::from_millis(25),
    call_share: 0.02,
    cache_chunks: 1400,
};

/// Deployment with many short chats and many service calls.
pub(crate) const BAJIO: Workload = Workload {
    chats: 450,
    organisations: 10,
    think_time: Duration::from_millis(3_000),
    first_prompt_kib: (1, 3),
    prompt_limit_kib: 8,
    growth_bytes: KIB,
    tokens: 32,
    inter_token: Duration::from_millis(25),
    call_share: 0.2,
    cache_chunks: 400,
};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The response was complete and, for a chat, had the expected text.
    Complete,
    /// The request was refused, and the refusal states that it was not executed.
    Refused,
    /// A service call that may or may not have been executed.
    Unknown,
    /// No response, an incomplete response or a wrong one.
    Lost,
}

/// Request of a caller and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    /// Time at which the caller sent the request.
    pub(crate) sent_at: Instant,
    /// Whether the request belongs to the organisation that surges.
    pub(crate) surging: bool,
    /// How it ended.
    pub(crate) outcome: Outcome,
    /// Completion with its times; none for a service call.
    pub(crate) completion: Option<Completion>,
    /// Response or error that the caller received in place of a complete response; empty for a
    /// complete one.
    pub(crate) detail: String,
}

/// Caller that sends one request after the other.
pub(crate) struct Caller {
    /// Behaviour of the caller.
    pub(crate) workload: Workload,
    /// Addresses of the routers; each request uses a random one.
    pub(crate) routers: Arc<Vec<SocketAddr>>,
    /// Index of the caller, which is part of its seed and of its chat IDs.
    pub(crate) index: usize,
    /// Number of the caller's organisation.
    pub(crate) organisation: usize,
    /// Time after which the caller sends no more requests.
    pub(crate) deadline: Instant,
    /// Channel that receives a record of each request.
    pub(crate) records: Sender<Record>,
}

/// Number of the organisation of a caller. The distribution is uneven: a few organisations have
/// most of the callers.
pub(crate) fn organisation(workload: &Workload, index: usize) -> usize {
    let fraction = (index as f64 + 0.5) / workload.chats as f64;
    1 + (workload.organisations as f64 * fraction * fraction) as usize
}

impl Caller {
    /// Sends requests until the deadline.
    pub(crate) async fn run(self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed * 1_000_003 + self.index as u64);
        let mut round = 0;
        let (min_kib, _) = self.workload.first_prompt_kib;
        let mut chat =
            self.start_chat(&mut random, round, (min_kib, self.workload.prompt_limit_kib));
        self.think(&mut random).await;
        while Instant::now() < self.deadline {
            round += 1;
            if random.random::<f64>() < self.workload.call_share {
                self.send_call(&mut random, round).await;
            } else {
                chat = self.send_turn(&mut random, chat, round).await;
            }
            self.think(&mut random).await;
        }
    }

    async fn think(&self, random: &mut StdRng) {
        let factor = -(1.0 - random.random::<f64>()).ln();
        let time = self.workload.think_time.mul_f64(factor.min(4.0));
        let left = self.deadline.saturating_duration_since(Instant::now());
        tokio::time::sleep(time.min(left)).await;
    }

    fn random_router(&self, random: &mut StdRng) -> SocketAddr {
        self.routers[random.random_range(0..self.routers.len())]
    }

    /// Starts a chat whose first prompt has a random size between two limits, in KiB; returns the
    /// ID and the first message of the chat.
    fn start_chat(
        &self,
        random: &mut StdRng,
        round: u64,
        (min_kib, max_kib): (usize, usize),
    ) -> (String, String) {
        let size = random.random_range(min_kib * KIB..=max_kib * KIB);
        let message = format!(r#"{{"role":"user","content":"{}"}}"#, random_text(random, size));
        (format!("chat-{}-{round}", self.index), message)
    }

    /// Sends one turn of a chat; returns the chat for the next turn.
    async fn send_turn(
        &self,
        random: &mut StdRng,
        (id, body): (String, String),
        round: u64,
    ) -> (String, String) {
        let messages = format!("[{body}]");
        let organisation = format!("org-{}", self.organisation);
        let chat = Chat {
            organisation: &organisation,
            id: &id,
            messages: &messages,
            tokens: self.workload.tokens,
        };
        let sent_at = Instant::now();
        let completion = client::stream(self.random_router(random), &chat).await;
        let outcome = check_completion(&completion, &messages, self.workload.tokens);
        let growth =
            random.random_range(self.workload.growth_bytes / 3..=self.workload.growth_bytes);
        let next = format!(
            r#"{body},{{"role":"assistant","content":"{}"}},{{"role":"user","content":"{}"}}"#,
            completion.text,
            random_text(random, growth),
        );
        let detail = completion.error.clone().unwrap_or_else(|| match outcome {
            Outcome::Complete => String::new(),
            _ => completion.text.clone(),
        });
        self.record(sent_at, outcome, Some(completion), detail);
        match outcome {
            Outcome::Complete if next.len() <= self.workload.prompt_limit_kib * KIB => (id, next),
            Outcome::Complete => self.start_chat(random, round, self.workload.first_prompt_kib),
            _ => (id, body),
        }
    }

    /// Sends a service call with an idempotency key. A share of the calls is sent twice at the same
    /// time.
    async fn send_call(&self, random: &mut StdRng, round: u64) {
        let organisation = format!("org-{}", self.organisation);
        let key = format!("key-{}-{round}", self.index);
        let headers =
            [("x-organisation", organisation.as_str()), ("idempotency-key", key.as_str())];
        let path = format!("/v1/services/{SERVICE}/deposits");
        let sent_at = Instant::now();
        let first = client::call(self.random_router(random), &path, &headers, "{}");
        let (outcome, detail) = if random.random::<f64>() < REPEATED_CALL_SHARE {
            let second = client::call(self.random_router(random), &path, &headers, "{}");
            let (first, second) = tokio::join!(first, second);
            prefer_complete(call_outcome(first), call_outcome(second))
        } else {
            call_outcome(first.await)
        };
        self.record(sent_at, outcome, None, detail);
    }

    fn record(
        &self,
        sent_at: Instant,
        outcome: Outcome,
        completion: Option<Completion>,
        detail: String,
    ) {
        let surging = self.organisation == SURGING_ORGANISATION;
        let _ = self.records.send(Record { sent_at, surging, outcome, completion, detail });
    }
}

/// Outcome of a service call, and the response or error in place of a complete response.
fn call_outcome(result: io::Result<(u16, String)>) -> (Outcome, String) {
    match result {
        Ok((200..=299, _)) => (Outcome::Complete, String::new()),
        Ok((_, body)) if body.contains(r#""run":"not-run""#) => (Outcome::Refused, body),
        Ok((_, body)) => (Outcome::Unknown, body),
        Err(error) => (Outcome::Lost, error.to_string()),
    }
}

/// Outcome of two copies of a call: the complete one, if there is one. While one copy runs, the other
/// copy is refused and the caller has to retry later.
fn prefer_complete(first: (Outcome, String), second: (Outcome, String)) -> (Outcome, String) {
    if second.0 == Outcome::Complete { second } else { first }
}

/// Compares a completion with the text that the engine generates for the messages.
fn check_completion(completion: &Completion, messages: &str, tokens: u32) -> Outcome {
    let is_expected = || completion.text == engine::expected_text(messages, tokens);
    match completion.status {
        200 if completion.complete && is_expected() => Outcome::Complete,
        400.. if completion.text.contains(r#""run":"not-run""#) => Outcome::Refused,
        _ => Outcome::Lost,
    }
}

fn random_text(random: &mut StdRng, size: usize) -> String {
    let mut text = String::with_capacity(size + 16);
    while text.len() < size {
        text.push_str(&format!("{:016x}", random.random::<u64>()));
    }
    text
}
