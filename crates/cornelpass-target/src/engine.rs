//! Clients of model engines.
//!
//! An engine streams its responses as server-sent events. Each stream has an ID, assigned by the
//! sender of the request, by which it can be resumed or cancelled.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cornelpass_core::chat::{Finish, TokenUsage};
use eventsource_stream::Eventsource;
use flume::{Receiver, Sender};
use futures_util::StreamExt;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::time::timeout;

use crate::connection;
use crate::error::Error;

/// Header with the boot number of the engine.
const BOOT_NUMBER_HEADER: &str = "x-boot-id";

/// Maximum number of events that are buffered between the connection of an engine and the reader.
const BUFFERED_EVENTS_LIMIT: usize = 64;

/// Time limit for the head of the response to a cancel or load request, and for the body of a load
/// report or of any error response.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit from the opened connection to the head of the response to a generate or resume
/// request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time without an event of a response, after which the connection is treated as failed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of characters of an error response that are kept.
const ERROR_DETAIL_CHARS: usize = 200;

/// Request to generate a response.
#[derive(Clone, Debug)]
pub struct Prompt<'a> {
    /// ID of the stream, for resume and cancel.
    pub stream_id: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Messages as a JSON array.
    pub messages: &'a str,
    /// Limit on generated tokens.
    pub max_tokens: u32,
    /// Text generated so far, which the response continues; may be empty.
    pub generated_text: &'a str,
    /// Number of pieces in the text generated so far.
    pub offset: u32,
    /// Priority; the engine runs requests with a higher value first.
    pub priority: i32,
}

/// Event of a response.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Piece of text.
    Text(String),
    /// The response is complete.
    End {
        /// Reason for which the generation ended.
        finish: Finish,
        /// Tokens of the request and the response.
        usage: TokenUsage,
    },
    /// The connection failed, no event arrived within the idle time-out, or an event could not be
    /// decoded.
    Failed(Error),
}

/// Response whose generation has started.
#[derive(Debug)]
pub struct Generation {
    /// Boot number of the engine, which changes with each restart; 0 if the engine sent none.
    pub boot: u64,
    /// Events in order; dropping the receiver closes the connection.
    pub events: Receiver<Event>,
}

/// Load that an engine reports; the report may lag behind the actual load. The field names are the
/// JSON keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Load {
    /// Boot number of the engine.
    pub boot: u64,
    /// Requests in the running batch.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
}

/// Model engine.
///
/// Each method fails with [`Error::Unsent`] if the request was not sent, [`Error::Status`] if the
/// engine responded with an error status, and [`Error::Lost`] if the response was lost.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts the generation of a response.
    async fn generate(&self, prompt: &Prompt<'_>) -> Result<Generation, Error>;

    /// Resumes a stream from the piece with the index `from_offset`.
    async fn resume(&self, stream: &str, from_offset: u32) -> Result<Generation, Error>;

    /// Cancels a stream.
    async fn cancel(&self, stream: &str) -> Result<(), Error>;

    /// Returns the latest load report.
    async fn load(&self) -> Result<Load, Error>;
}

/// Engine that is called over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct Http {
    address: SocketAddr,
    head_timeout: Duration,
    idle_timeout: Duration,
}

impl Http {
    /// Creates a client of the engine at an address.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { address, head_timeout: HEAD_TIMEOUT, idle_timeout: IDLE_TIMEOUT }
    }

    /// Sets the longest time without an event, after which the connection is treated as failed.
    #[must_use]
    pub const fn with_idle_timeout(mut self, idle_timeout: Duration) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }

    fn request(&self, method: Method, path: &str, body: String) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = method;
        if let Ok(uri) = path.parse() {
            *request.uri_mut() = uri;
        }
        let headers = request.headers_mut();
        headers.insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
        if let Ok(host) = connection::host_header(self.address).parse() {
            headers.insert("host", host);
        }
        request
    }

    async fn open(&self, request: Request<Full<Bytes>>) -> Result<Generation, Error> {
        let response = connection::exchange(self.address, request, self.head_timeout).await?;
        let response = check_status(response).await?;
        let boot = boot(&response);
        let (sender, events) = flume::bounded(BUFFERED_EVENTS_LIMIT);
        let idle_timeout = self.idle_timeout;
        tokio::spawn(async move {
            if let Err(error) = forward(response.into_body(), idle_timeout, &sender).await {
                let _ = sender.send_async(Event::Failed(error)).await;
            }
        });
        Ok(Generation { boot, events })
    }
}

/// Body of a request to generate a response; the field names are the JSON keys.
#[derive(Serialize)]
struct Body<'a> {
    model: &'a str,
    messages: &'a RawValue,
    max_tokens: u32,
    stream: bool,
    stream_id: &'a str,
    priority: i32,
    #[serde(skip_serializing_if = "str::is_empty")]
    given: &'a str,
    offset: u32,
}

/// JSON object of one event of a response, a chat completion chunk; the field names are the JSON
/// keys.
#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
    usage: Option<ReportedUsage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<Finish>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Default, Deserialize)]
struct ReportedUsage {
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: Details,
}

#[derive(Default, Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: u32,
}

#[async_trait]
impl Engine for Http {
    async fn generate(&self, prompt: &Prompt<'_>) -> Result<Generation, Error> {
        let unsent = |error: serde_json::Error| Error::Unsent { detail: error.to_string() };
        let body = Body {
            model: prompt.model,
            messages: serde_json::from_str(prompt.messages).map_err(unsent)?,
            max_tokens: prompt.max_tokens,
            stream: true,
            stream_id: prompt.stream_id,
            priority: prompt.priority,
            given: prompt.generated_text,
            offset: prompt.offset,
        };
        let body = serde_json::to_string(&body).map_err(unsent)?;
        self.open(self.request(Method::POST, "/v1/chat/completions", body)).await
    }

    async fn resume(&self, stream: &str, from_offset: u32) -> Result<Generation, Error> {
        let path = format!("/v1/streams/{stream}?from={from_offset}");
        self.open(self.request(Method::GET, &path, String::new())).await
    }

    async fn cancel(&self, stream: &str) -> Result<(), Error> {
        let path = format!("/v1/streams/{stream}");
        let request = self.request(Method::DELETE, &path, String::new());
        let response = connection::exchange(self.address, request, CONTROL_TIMEOUT).await?;
        check_status(response).await.map(|_| ())
    }

    async fn load(&self) -> Result<Load, Error> {
        let request = self.request(Method::GET, "/v1/load", String::new());
        let response = connection::exchange(self.address, request, CONTROL_TIMEOUT).await?;
        let bytes = read_body(check_status(response).await?).await?;
        serde_json::from_slice(&bytes).map_err(|error| Error::Lost { detail: error.to_string() })
    }
}

fn boot(response: &Response<Incoming>) -> u64 {
    let header = response.headers().get(BOOT_NUMBER_HEADER).and_then(|value| value.to_str().ok());
    header.and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Returns a response with a success status, and reads any other one into an error.
async fn check_status(response: Response<Incoming>) -> Result<Response<Incoming>, Error> {
    if response.status().is_success() {
        return Ok(response);
    }
    let status = response.status().as_u16();
    let body = read_body(response).await.unwrap_or_default();
    let detail = String::from_utf8_lossy(&body).chars().take(ERROR_DETAIL_CHARS).collect();
    Err(Error::Status { status, detail })
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, Error> {
    let collect = response.into_body().collect();
    let lost = |detail: String| Error::Lost { detail };
    let collected = timeout(CONTROL_TIMEOUT, collect)
        .await
        .map_err(|_| lost(format!("response body incomplete after {CONTROL_TIMEOUT:?}")))?
        .map_err(|error| lost(error.to_string()))?;
    Ok(collected.to_bytes())
}

/// Reads the events of a response and sends them to a channel until the response ends.
async fn forward(
    body: Incoming,
    idle_timeout: Duration,
    sender: &Sender<Event>,
) -> Result<(), Error> {
    let lost = |detail: String| Error::Lost { detail };
    let mut events = body.into_data_stream().eventsource();
    loop {
        let event = timeout(idle_timeout, events.next())
            .await
            .map_err(|_| lost(format!("no event for {idle_timeout:?}")))?
            .ok_or_else(|| lost("connection closed before the final event".to_owned()))?
            .map_err(|error| lost(error.to_string()))?;
        let chunk: Chunk =
            serde_json::from_str(&event.data).map_err(|error| lost(error.to_string()))?;
        let usage = chunk.usage.map(usage).unwrap_or_default();
        let Some(choice) = chunk.choices.into_iter().next() else { continue };
        if let Some(text) = choice.delta.content
            && sender.send_async(Event::Text(text)).await.is_err()
        {
            return Ok(());
        }
        if let Some(finish) = choice.finish_reason {
            let _ = sender.send_async(Event::End { finish, usage }).await;
            return Ok(());
        }
    }
}

fn usage(reported: ReportedUsage) -> TokenUsage {
    TokenUsage {
        prompt: reported.prompt_tokens,
        cached: reported.prompt_tokens_details.cached_tokens,
        generated: reported.completion_tokens,
    }
}
