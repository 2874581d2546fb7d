//! Callers of a deployment: chats that return, and calls that may not be repeated.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelpass_standin::engine;
use cornelpass_standin::fleet::SERVICE;
use flume::Sender;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::client::{self, Answer, Chat};

/// Bytes in a KiB.
const KIB: usize = 1024;

/// Organisation that surges.
pub(crate) const SURGING: usize = 4;

/// Part of the calls that the caller sends twice at once, through two routers.
const REPEATED_CALLS: f64 = 0.1;

/// A deployment's callers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    /// Chats in progress.
    pub(crate) chats: usize,
    /// Organisations.
    pub(crate) organisations: usize,
    /// Mean time from an answer to the chat's return.
    pub(crate) gap: Duration,
    /// Smallest and largest first prompt, in KiB.
    pub(crate) first_kib: (usize, usize),
    /// Prompt at which a chat ends, in KiB.
    pub(crate) last_kib: usize,
    /// Largest message that a return adds, in bytes.
    pub(crate) growth: usize,
    /// Tokens of an answer.
    pub(crate) tokens: u32,
    /// Time between the tokens of an answer.
    pub(crate) inter_token: Duration,
    /// Part of the turns that make a call instead.
    pub(crate) calls: f64,
    /// Chunks that the prefix cache of an engine holds.
    pub(crate) cache_chunks: usize,
}

/// Long dossiers that return; few calls.
pub(crate) const PORTO: Shape = Shape {
    chats: 300,
    organisations: 10,
    gap: Duration::from_millis(1_500),
    first_kib: (8, 16),
    last_kib: 40,
    growth: 3 * KIB,
    tokens: 64,
    inter_token: Duration::from_millis(25),
    calls: 0.02,
    cache_chunks: 1400,
};

/// Many short chats and many calls.
pub(crate) const BAJIO: Shape = Shape {
    chats: 450,
    organisations: 10,
    gap: Duration::from_millis(3_000),
    first_kib: (1, 3),
    last_kib: 8,
    growth: KIB,
    tokens: 32,
    inter_token: Duration::from_millis(25),
    calls: 0.2,
    cache_chunks: 400,
};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The whole answer came, and it was the right one.
    Whole,
    /// A refusal that says that nothing ran.
    Refused,
    /// A call whose outcome is not known.
    Unknown,
    /// No answer, or not the whole one.
    Lost,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Event {
    /// When it was sent.
    pub(crate) at: Instant,
    /// Whether it is of the organisation that surges.
    pub(crate) surging: bool,
    /// How it ended.
    pub(crate) end: End,
    /// Times of a chat's answer; none for a call.
    pub(crate) answer: Option<Answer>,
    /// What came in place of an answer.
    pub(crate) detail: String,
}

/// One chat after another, by the same caller.
pub(crate) struct Caller {
    /// What it does.
    pub(crate) shape: Shape,
    /// Routers that it may use.
    pub(crate) routers: Arc<Vec<SocketAddr>>,
    /// Number of the caller.
    pub(crate) index: usize,
    /// Number of its organisation.
    pub(crate) organisation: usize,
    /// When it stops.
    pub(crate) until: Instant,
    /// Where its requests are told.
    pub(crate) events: Sender<Event>,
}

/// Organisation of a caller: a few are large.
pub(crate) fn organisation(shape: &Shape, index: usize) -> usize {
    let part = (index as f64 + 0.5) / shape.chats as f64;
    1 + (shape.organisations as f64 * part * part) as usize
}

impl Caller {
    /// Runs until its end.
    pub(crate) async fn run(self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed * 1_000_003 + self.index as u64);
        let mut turn = 0;
        let (least, _) = self.shape.first_kib;
        let mut chat = self.begin(&mut random, turn, (least, self.shape.last_kib));
        self.pause(&mut random).await;
        while Instant::now() < self.until {
            turn += 1;
            if random.random::<f64>() < self.shape.calls {
                self.call(&mut random, turn).await;
            } else {
                chat = self.turn(&mut random, chat, turn).await;
            }
            self.pause(&mut random).await;
        }
    }

    async fn pause(&self, random: &mut StdRng) {
        let factor = -(1.0 - random.random::<f64>()).ln();
        let pause = self.shape.gap.mul_f64(factor.min(4.0));
        let left = self.until.saturating_duration_since(Instant::now());
        tokio::time::sleep(pause.min(left)).await;
    }

    fn router(&self, random: &mut StdRng) -> SocketAddr {
        self.routers[random.random_range(0..self.routers.len())]
    }

    /// A new chat with a first prompt between two sizes, in KiB.
    fn begin(
        &self,
        random: &mut StdRng,
        turn: u64,
        (least, most): (usize, usize),
    ) -> (String, String) {
        let size = random.random_range(least * KIB..=most * KIB);
        let message = format!(r#"{{"role":"user","content":"{}"}}"#, text(random, size));
        (format!("chat-{}-{turn}", self.index), message)
    }

    /// One turn of a chat; returns the chat as it goes on.
    async fn turn(
        &self,
        random: &mut StdRng,
        (name, body): (String, String),
        turn: u64,
    ) -> (String, String) {
        let messages = format!("[{body}]");
        let organisation = format!("org-{}", self.organisation);
        let chat = Chat {
            organisation: &organisation,
            name: &name,
            messages: &messages,
            tokens: self.shape.tokens,
        };
        let at = Instant::now();
        let answer = client::stream(self.router(random), &chat).await;
        let end = judge(&answer, &messages, self.shape.tokens);
        let growth = random.random_range(self.shape.growth / 3..=self.shape.growth);
        let next = format!(
            r#"{body},{{"role":"assistant","content":"{}"}},{{"role":"user","content":"{}"}}"#,
            answer.text,
            text(random, growth),
        );
        let detail = answer.error.clone().unwrap_or_else(|| match end {
            End::Whole => String::new(),
            _ => answer.text.clone(),
        });
        self.tell(at, end, Some(answer), detail);
        match end {
            End::Whole if next.len() <= self.shape.last_kib * KIB => (name, next),
            End::Whole => self.begin(random, turn, self.shape.first_kib),
            _ => (name, body),
        }
    }

    /// A call that may not be repeated; some are sent twice at once.
    async fn call(&self, random: &mut StdRng, turn: u64) {
        let organisation = format!("org-{}", self.organisation);
        let key = format!("key-{}-{turn}", self.index);
        let headers =
            [("x-organisation", organisation.as_str()), ("idempotency-key", key.as_str())];
        let path = format!("/v1/services/{SERVICE}/deposits");
        let at = Instant::now();
        let first = client::call(self.router(random), &path, &headers, "{}");
        let (end, detail) = if random.random::<f64>() < REPEATED_CALLS {
            let again = client::call(self.router(random), &path, &headers, "{}");
            let (first, again) = tokio::join!(first, again);
            best(outcome(first), outcome(again))
        } else {
            outcome(first.await)
        };
        self.tell(at, end, None, detail);
    }

    fn tell(&self, at: Instant, end: End, answer: Option<Answer>, detail: String) {
        let surging = self.organisation == SURGING;
        let _ = self.events.send(Event { at, surging, end, answer, detail });
    }
}

/// How a call ended, and what came in place of its answer.
fn outcome(result: io::Result<(u16, String)>) -> (End, String) {
    match result {
        Ok((200..=299, _)) => (End::Whole, String::new()),
        Ok((_, body)) if body.contains(r#""run":"not-run""#) => (End::Refused, body),
        Ok((_, body)) => (End::Unknown, body),
        Err(error) => (End::Lost, error.to_string()),
    }
}

/// The answered one of two copies of a call; one that meets the other is told to wait.
fn best(first: (End, String), again: (End, String)) -> (End, String) {
    if again.0 == End::Whole { again } else { first }
}

/// Holds an answer against the one that the engine must give.
fn judge(answer: &Answer, messages: &str, tokens: u32) -> End {
    let right = || answer.text == engine::expected_text(messages, tokens);
    match answer.status {
        200 if answer.whole && right() => End::Whole,
        400.. if answer.text.contains(r#""run":"not-run""#) => End::Refused,
        _ => End::Lost,
    }
}

fn text(random: &mut StdRng, size: usize) -> String {
    let mut text = String::with_capacity(size + 16);
    while text.len() < size {
        text.push_str(&format!("{:016x}", random.random::<u64>()));
    }
    text
}
