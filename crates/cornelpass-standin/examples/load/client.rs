//! HTTP client that streams chats and makes service calls, and records when each part of a response
//! arrives.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelpass_standin::fleet::MODEL;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time::timeout;
use uuid::Uuid;

/// Time limit for the head of a response and for each further part.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// A chat request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chat<'a> {
    /// Name of the organisation.
    pub(crate) organisation: &'a str,
    /// ID of the chat.
    pub(crate) id: &'a str,
    /// Messages as a JSON array.
    pub(crate) messages: &'a str,
    /// Tokens to generate.
    pub(crate) tokens: u32,
}

/// Response to a chat request, with the arrival times of its tokens.
#[derive(Clone, Debug, Default)]
pub(crate) struct Completion {
    /// HTTP status; 0 if no response arrived.
    pub(crate) status: u16,
    /// Time from sending the request to the first token.
    pub(crate) first_token: Duration,
    /// Times between consecutive tokens; zero for tokens that arrived in one read.
    pub(crate) inter_token: Vec<Duration>,
    /// Number of tokens in each read from the connection that contained tokens.
    pub(crate) tokens_per_read: Vec<usize>,
    /// Generated text, or the body of a response with a status other than 200.
    pub(crate) text: String,
    /// Data of the error event that ended the response early, if there was one.
    pub(crate) error: Option<String>,
    /// Whether the end of the response arrived.
    pub(crate) complete: bool,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

/// Incremental parser for the events of a chat response.
#[derive(Default)]
struct Parser {
    buffer: Vec<u8>,
    completion: Completion,
    last_token_at: Option<Instant>,
}

impl Parser {
    /// Parses the bytes of one read from the connection.
    fn push(&mut self, sent_at: Instant, bytes: &[u8]) {
        let now = Instant::now();
        self.buffer.extend_from_slice(bytes);
        let mut tokens = 0;
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            tokens += usize::from(self.record_event(&String::from_utf8_lossy(&event)));
        }
        if tokens == 0 {
            return;
        }
        self.completion.tokens_per_read.push(tokens);
        match self.last_token_at.replace(now) {
            None => self.completion.first_token = now - sent_at,
            Some(previous) => self.completion.inter_token.push(now - previous),
        }
        self.completion.inter_token.extend((1..tokens).map(|_| Duration::ZERO));
    }

    /// Records an event; true if the event contains a token.
    fn record_event(&mut self, event: &str) -> bool {
        let Some(data) = event.lines().find_map(|line| line.strip_prefix("data: ")) else {
            return false;
        };
        if event.contains("event: error") {
            self.completion.error = Some(data.to_owned());
        }
        self.completion.complete |= event.contains("data: [DONE]");
        let Ok(chunk) = serde_json::from_str::<Chunk>(data) else { return false };
        let content = chunk.choices.into_iter().find_map(|choice| choice.delta.content);
        content.is_some_and(|text| {
            self.completion.text.push_str(&text);
            true
        })
    }
}

/// Streams a chat. If the connection breaks, the result contains the response up to that point.
pub(crate) async fn stream(address: SocketAddr, chat: &Chat<'_>) -> Completion {
    let body = format!(
        r#"{{"model":"{MODEL}","messages":{},"max_tokens":{},"stream":true,"stream_id":"{}"}}"#,
        chat.messages,
        chat.tokens,
        Uuid::new_v4().simple(),
    );
    let headers = [("x-organisation", chat.organisation), ("x-chat-id", chat.id)];
    let mut parser = Parser::default();
    let Ok(request) = build_request(address, "/v1/chat/completions", &headers, body) else {
        return parser.completion;
    };
    let Ok((response, sent_at)) = send(address, request).await else { return parser.completion };
    parser.completion.status = response.status().as_u16();
    let mut body = response.into_body();
    while let Ok(Some(Ok(frame))) = timeout(RESPONSE_TIMEOUT, body.frame()).await {
        if let Ok(data) = frame.into_data() {
            if parser.completion.status == 200 {
                parser.push(sent_at, &data);
            } else {
                parser.completion.text.push_str(&String::from_utf8_lossy(&data));
            }
        }
    }
    parser.completion
}

/// Makes a service call; returns the status and the body of the response.
///
/// # Errors
///
/// If no complete response arrives.
pub(crate) async fn call(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<(u16, String)> {
    let request = build_request(address, path, headers, body.to_owned())?;
    let (response, _) = send(address, request).await?;
    let status = response.status().as_u16();
    let bytes = timeout(RESPONSE_TIMEOUT, response.into_body().collect()).await?;
    let bytes = bytes.map_err(io::Error::other)?.to_bytes();
    Ok((status, String::from_utf8_lossy(&bytes).into_owned()))
}

fn build_request(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> io::Result<Request<Full<Bytes>>> {
    let mut request = Request::post(path).header("host", address.to_string());
    request = request.header("content-type", "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Full::new(Bytes::from(body))).map_err(io::Error::other)
}

/// Sends a request on a new connection; returns the head of the response and the time of sending.
/// The time excludes the opening of the connection.
async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> io::Result<(Response<Incoming>, Instant)> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(io::Error::other)?;
    tokio::spawn(connection);
    let sent_at = Instant::now();
    let response = timeout(RESPONSE_TIMEOUT, sender.send_request(request)).await?;
    Ok((response.map_err(io::Error::other)?, sent_at))
}
