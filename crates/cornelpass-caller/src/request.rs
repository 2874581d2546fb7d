//! Requests of the chat interface, parsed from headers and bodies.

use std::time::Duration;

use cornelpass_core::chat;
use cornelpass_core::digest;
use cornelpass_core::refusal::Reason;
use hyper::header::HeaderMap;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::headers::{optional_header, organisation};
use crate::problem::Problem;

/// Header with the organisation.
pub const ORGANISATION_HEADER: &str = "x-organisation";

/// Header with the ID of the chat. Requests of an organisation with the same ID go to the same
/// target if possible.
pub const CHAT_ID_HEADER: &str = "x-chat-id";

/// Header with the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header with the last event that the caller received; it makes a request resume a stream.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";

/// Limit on generated tokens when the caller sets none.
pub const DEFAULT_MAX_TOKENS: u32 = 256;

/// Time-out of a request of the chat interface.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum of the limit on generated tokens that a caller may set.
pub const MAX_TOKENS: u32 = 131_072;

/// Retry delay sent to callers whose connection or body exceeds a limit of the process.
pub(crate) const OVERLOAD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Chat request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chat {
    /// Organisation of the caller.
    pub organisation: String,
    /// Hash that selects the target: of the organisation and the chat ID, or of the organisation
    /// and the content of the first message if the chat has no ID.
    pub placement_key: u64,
    /// Hash of the messages.
    pub digest: u64,
    /// Name of the model.
    pub model: String,
    /// Messages as a JSON array, exactly as received.
    pub messages: String,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Limit on generated tokens.
    pub max_tokens: u32,
    /// Whether the caller wants a streamed response.
    pub streamed: bool,
    /// Time-out of the request.
    pub timeout: Duration,
}

/// Call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Organisation of the caller.
    pub organisation: String,
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query at the service.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: String,
    /// Idempotency key; none for methods that change nothing at the service.
    pub idempotency_key: Option<String>,
    /// Hash of the method, the service, the path and the body.
    pub digest: u64,
    /// Time-out of the request.
    pub timeout: Duration,
}

/// Request to resume a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resume {
    /// Organisation of the caller.
    pub organisation: String,
    /// Last event that the caller received.
    pub last_event: crate::event::Id,
}

impl Resume {
    /// Parses the headers of a request to resume a stream.
    ///
    /// # Errors
    ///
    /// A problem that names the invalid header.
    pub(crate) fn parse(headers: &HeaderMap) -> Result<Self, Problem> {
        let organisation = organisation(headers)?.to_owned();
        let last_event =
            optional_header(headers, LAST_EVENT_ID_HEADER)?.and_then(|last| last.parse().ok());
        let last_event = last_event.ok_or_else(|| {
            let detail = "last-event-id: not an event of a stream";
            Problem::refused(Reason::BadRequest).with_detail(detail)
        })?;
        Ok(Self { organisation, last_event })
    }
}

/// Fields of the body of a chat request that the interface uses; the names are the JSON keys.
#[derive(Deserialize)]
struct Body<'a> {
    model: String,
    #[serde(borrow)]
    messages: &'a RawValue,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    chat_id: Option<String>,
}

/// Message of a chat; the content of the first one selects the target of a chat without an ID.
#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: serde_json::Value,
}

impl Chat {
    /// Parses the body of a chat request.
    ///
    /// `header_chat_id` is the chat ID from the headers; it has precedence over the one in the
    /// body.
    ///
    /// # Errors
    ///
    /// A problem that describes the invalid field.
    pub fn parse(
        organisation: &str,
        header_chat_id: Option<&str>,
        body: &[u8],
    ) -> Result<Self, Problem> {
        let bad = |error: serde_json::Error| {
            Problem::refused(Reason::BadRequest).with_detail(format!("body: {error}"))
        };
        let body: Body<'_> = serde_json::from_slice(body).map_err(bad)?;
        let text = body.messages.get();
        let messages: Vec<Message> = serde_json::from_str(text).map_err(bad)?;
        let Some(first) = messages.first() else {
            return Err(Problem::refused(Reason::BadRequest).with_detail("messages: at least one"));
        };
        let max_tokens = body.max_completion_tokens.or(body.max_tokens);
        let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if !(1..=MAX_TOKENS).contains(&max_tokens) {
            let detail = format!("max_tokens: from 1 to {MAX_TOKENS}");
            return Err(Problem::refused(Reason::BadRequest).with_detail(detail));
        }
        let chat_id = header_chat_id.or(body.chat_id.as_deref());
        if chat_id == Some("") {
            return Err(Problem::refused(Reason::BadRequest).with_detail("chat_id: empty"));
        }
        let placement_key = match chat_id {
            Some(name) => digest::key(&format!("{organisation}/{name}")),
            None => digest::key(&format!("{organisation}/{}", first.content)),
        };
        Ok(Self {
            organisation: organisation.to_owned(),
            placement_key,
            digest: digest::content(text.as_bytes()),
            prompt_tokens: chat::prompt_tokens(text.len()),
            messages: text.to_owned(),
            model: body.model,
            max_tokens,
            streamed: body.stream,
            timeout: REQUEST_TIMEOUT,
        })
    }
}
