//! HTTP interface of an engine: chat completions as event streams, resume and cancel of streams,
//! the load report, the counters and the faults.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Method, Request, Response};
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;

use super::batch::{Batch, Counts, Faults, Options, Stream};
use super::piece;
use crate::http::{self, Body, Server};

/// A running engine; it stops when it is dropped.
pub struct Engine {
    server: Server,
    batch: SharedBatch,
}

type SharedBatch = Arc<Mutex<Batch>>;

/// JSON body of a chat request.
#[derive(Deserialize)]
struct Chat<'a> {
    #[serde(borrow)]
    messages: &'a RawValue,
    max_tokens: u32,
    stream_id: String,
    #[serde(default)]
    offset: u32,
    #[serde(default)]
    priority: i32,
}

impl Engine {
    /// Starts an engine on a listener.
    ///
    /// # Errors
    ///
    /// If the listener can not be used.
    pub fn start(listener: TcpListener, options: Options) -> io::Result<Self> {
        let boot = u64::from(listener.local_addr()?.port()) * 1_000;
        let batch = Arc::new(Mutex::new(Batch::new(options, boot)));
        let shared = Arc::clone(&batch);
        let server = Server::start(listener, move |request| handle(Arc::clone(&shared), request))?;
        Ok(Self { server, batch })
    }

    /// Address that the engine listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Counters of the engine since its start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        lock(&self.batch).counts.clone()
    }

    /// Replaces the faults of the engine.
    pub fn set_faults(&self, faults: Faults) {
        apply_faults(&self.batch, faults);
    }
}

fn lock(batch: &Mutex<Batch>) -> MutexGuard<'_, Batch> {
    batch.lock().unwrap_or_else(PoisonError::into_inner)
}

fn apply_faults(batch: &Mutex<Batch>, mut faults: Faults) {
    let mut batch = lock(batch);
    if std::mem::take(&mut faults.crash) {
        batch.restart();
    }
    if std::mem::take(&mut faults.silence_open) {
        batch.silence_open_connections();
    }
    batch.faults = faults;
    batch.wake_readers();
}

async fn handle(batch: SharedBatch, request: Request<Bytes>) -> Option<Response<Body>> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => start_stream(&batch, request.body()),
        (&Method::GET, "/v1/load") => {
            let mut batch = lock(&batch);
            let Counts { boot, running, waiting, .. } = *batch.reported_counts();
            let running = running - waiting;
            Some(http::json_response(
                200,
                &json!({"boot": boot, "running": running, "waiting": waiting}),
            ))
        }
        (&Method::GET, "/counts") => Some(http::json_response(200, &json!(lock(&batch).counts))),
        (&Method::POST, "/faults") => {
            let faults: Faults = serde_json::from_slice(request.body()).unwrap_or_default();
            apply_faults(&batch, faults.clone());
            Some(http::json_response(200, &json!(faults)))
        }
        (method, path) => {
            let id = path.strip_prefix("/v1/streams/")?;
            let from = http::query_parameter(request.uri().query(), "from");
            let from = from.and_then(|text| text.parse().ok()).unwrap_or_default();
            if method == Method::DELETE {
                cancel_stream(&batch, id)
            } else {
                resume_stream(&batch, id, from)
            }
        }
    }
}

fn start_stream(batch: &SharedBatch, body: &[u8]) -> Option<Response<Body>> {
    let chat: Chat<'_> = match serde_json::from_slice(body) {
        Ok(chat) => chat,
        Err(error) => return Some(http::json_response(400, &json!({"error": error.to_string()}))),
    };
    let id = chat.stream_id;
    let dropped = {
        let mut batch = lock(batch);
        if let Some(status) = batch.faults.refuse {
            return Some(http::json_response(status, &json!({"error": "refused"})));
        }
        let messages = chat.messages.get().to_owned();
        let (start, end) = (chat.offset, chat.max_tokens);
        let priority = chat.priority;
        let stream = Stream { messages, priority, start, end, next: start, ..Stream::default() };
        if !batch.accept(&id, stream) {
            return None;
        }
        let dropped = batch.faults.drop_requests > 0;
        batch.faults.drop_requests = batch.faults.drop_requests.saturating_sub(1);
        dropped
    };
    tokio::spawn(generate_tokens(Arc::clone(batch), id.clone()));
    if dropped { None } else { send_stream(batch, &id, chat.offset) }
}

fn resume_stream(batch: &SharedBatch, id: &str, from: u32) -> Option<Response<Body>> {
    let unknown = || Some(http::json_response(404, &json!({"error": "no such stream"})));
    send_stream(batch, id, from).or_else(unknown)
}

fn cancel_stream(batch: &SharedBatch, id: &str) -> Option<Response<Body>> {
    let cancelled = lock(batch).cancel(id);
    match cancelled {
        Some(()) => Some(http::json_response(200, &json!({}))),
        None => Some(http::json_response(404, &json!({"error": "no such stream"}))),
    }
}

/// Generates the tokens of a stream until the stream finishes or the engine restarts.
async fn generate_tokens(batch: SharedBatch, id: String) {
    let Some((boot, first_token, inter_token)) = wait_for_slot(&batch, &id).await else { return };
    tokio::time::sleep(first_token).await;
    let mut ticks = tokio::time::interval(inter_token.max(Duration::from_micros(100)));
    loop {
        ticks.tick().await;
        let mut batch = lock(&batch);
        if batch.counts.boot != boot || batch.generate_token(&id) {
            return;
        }
    }
}

/// Waits until a stream has a slot in the batch; returns the boot number, the time to the first
/// token and the time between tokens. None if the stream is finished or unknown.
async fn wait_for_slot(batch: &SharedBatch, id: &str) -> Option<(u64, Duration, Duration)> {
    loop {
        let changed = Arc::clone(&lock(batch).streams.get(id)?.changed);
        let notified = changed.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        {
            let batch = lock(batch);
            let stream = batch.streams.get(id).filter(|stream| !stream.finished)?;
            if stream.has_slot {
                let prompt_tokens = u32::try_from(stream.messages.len() / 4).unwrap_or(u32::MAX);
                let uncached = prompt_tokens.saturating_sub(stream.cached_tokens);
                let options = batch.options;
                let first_token = options.first_token + options.prefill_per_token * uncached;
                return Some((batch.counts.boot, first_token, options.inter_token));
            }
        }
        notified.await;
    }
}

/// Connection on which the engine sends a stream, and the boot in which it was opened.
#[derive(Clone, Copy)]
struct Reader {
    boot: u64,
    connection: u64,
}

/// Next step of sending a stream on one connection.
enum Step {
    Send(String),
    Last(String),
    Wait,
    Abort,
}

fn next_step(batch: &Batch, id: &str, reader: Reader, offset: u32) -> Step {
    let Reader { boot, connection } = reader;
    let Some(stream) = batch.streams.get(id).filter(|_| batch.counts.boot == boot) else {
        return Step::Abort;
    };
    if stream.cancelled {
        return Step::Abort;
    }
    if batch.faults.silent || connection < batch.first_working_connection {
        return Step::Wait;
    }
    if offset < stream.next {
        let content = piece(&stream.messages, offset);
        let chunk = json!({"choices": [{"delta": {"content": content}, "finish_reason": null}]});
        return Step::Send(format!("id: {offset}\ndata: {chunk}\n\n"));
    }
    if offset >= stream.end {
        let usage = json!({
            "prompt_tokens": stream.messages.len() / 4,
            "completion_tokens": stream.end - stream.start,
            "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
        });
        let chunk = json!({"choices": [{"delta": {}, "finish_reason": "stop"}], "usage": usage});
        return Step::Last(format!("data: {chunk}\n\ndata: [DONE]\n\n"));
    }
    Step::Wait
}

/// Sends the pieces of a stream from an offset on; none if the stream is unknown.
fn send_stream(batch: &SharedBatch, id: &str, from: u32) -> Option<Response<Body>> {
    let (sender, receiver) = flume::bounded::<Result<Frame<Bytes>, io::Error>>(16);
    let (reader, changed) = {
        let mut batch = lock(batch);
        let changed = Arc::clone(&batch.streams.get(id)?.changed);
        (Reader { boot: batch.counts.boot, connection: batch.open_connection() }, changed)
    };
    let (batch, id) = (Arc::clone(batch), id.to_owned());
    tokio::spawn(async move {
        let mut offset = from;
        loop {
            let notified = changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            let step = next_step(&lock(&batch), &id, reader, offset);
            let (text, last) = match step {
                Step::Send(text) => (text, false),
                Step::Last(text) => (text, true),
                Step::Wait => {
                    notified.await;
                    continue;
                }
                Step::Abort => {
                    let reset = io::Error::from(io::ErrorKind::ConnectionReset);
                    let _ = sender.send_async(Err(reset)).await;
                    return;
                }
            };
            offset += 1;
            if sender.send_async(Ok(Frame::data(Bytes::from(text)))).await.is_err() || last {
                return;
            }
        }
    });
    let mut response = Response::new(StreamBody::new(receiver.into_stream()).boxed());
    let headers = response.headers_mut();
    headers.insert("content-type", hyper::header::HeaderValue::from_static("text/event-stream"));
    headers.insert("x-boot-id", hyper::header::HeaderValue::from(reader.boot));
    Some(response)
}
