//! HTTP responses of the chat interface: complete responses, event streams and problem reports.

use std::io;

use bytes::Bytes;
use cornelpass_core::refusal::{Execution, Reason};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

use crate::event::{Event, usage_json};
use crate::flush::FlushBeforeError;
use crate::handler::{self, Stream};
use crate::problem::{self, Problem};

/// Body of a response.
pub type Body = BoxBody<Bytes, io::Error>;

fn full_body(text: String) -> Body {
    Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed()
}

/// Response with a problem report.
pub(crate) fn report(problem: &Problem) -> Response<Body> {
    let mut response = Response::new(full_body(problem.to_json()));
    *response.status_mut() = problem.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(problem::CONTENT_TYPE));
    if let Some(seconds) = problem.retry_after_seconds() {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Response of a plain service.
pub(crate) fn from_service(service_response: handler::Response) -> Response<Body> {
    let status =
        StatusCode::from_u16(service_response.answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(full_body(service_response.answer.body));
    *response.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(&service_response.answer.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    if service_response.replayed {
        response.headers_mut().insert("idempotency-replayed", HeaderValue::from_static("true"));
    }
    response
}

/// Response that streams events.
///
/// # Errors
///
/// The problem, if it occurs before the first event, so that it determines the HTTP status, or
/// [`Reason::LinkLost`] if the stream closes without an event.
pub(crate) async fn events(stream: Stream, model: &str) -> Result<Response<Body>, Problem> {
    let created = stream.created_unix_seconds();
    let Stream { request_id, events, .. } = stream;
    let first = match events.recv_async().await {
        Ok(Event::Problem(problem)) => return Err(problem),
        Ok(event) => event,
        Err(_) => return Err(Problem::new(Reason::LinkLost, Execution::Unknown)),
    };
    let (sender, receiver) = flume::bounded::<Result<Frame<Bytes>, io::Error>>(1);
    let model = model.to_owned();
    let id = request_id.clone();
    tokio::spawn(async move {
        let mut event = first;
        loop {
            let text = event.to_sse(&id, &model, created);
            let sent = sender.send_async(Ok(Frame::data(Bytes::from(text)))).await;
            if sent.is_err() || event.is_last() {
                return;
            }
            event = match events.recv_async().await {
                Ok(event) => event,
                Err(_) => {
                    // An error ends the body without its final HTTP chunk, so that the caller can
                    // distinguish an incomplete response from a complete one.
                    let incomplete = io::Error::from(io::ErrorKind::UnexpectedEof);
                    let _ = sender.send_async(Err(incomplete)).await;
                    return;
                }
            };
        }
    });
    let body = FlushBeforeError::new(StreamBody::new(receiver.into_stream()));
    let mut response = Response::new(BodyExt::boxed(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    if let Ok(value) = HeaderValue::from_str(&request_id) {
        headers.insert("x-request-id", value);
    }
    Ok(response)
}

/// Response with the collected events of a stream, for a caller that wants no stream.
///
/// # Errors
///
/// The problem that ended the stream, or [`Reason::LinkLost`] if the stream ended early.
pub(crate) async fn collect(stream: Stream, model: &str) -> Result<Response<Body>, Problem> {
    let mut content = String::new();
    while let Ok(event) = stream.events.recv_async().await {
        match event {
            Event::Piece { text, .. } => content.push_str(&text),
            Event::Problem(problem) => return Err(problem),
            Event::End { finish, usage } => {
                let message = json!({"role": "assistant", "content": content});
                let completion = json!({
                    "id": stream.request_id,
                    "object": "chat.completion",
                    "created": stream.created_unix_seconds(),
                    "model": model,
                    "choices": [{"index": 0, "message": message, "finish_reason": finish}],
                    "usage": usage_json(&usage),
                });
                let mut response = Response::new(full_body(completion.to_string()));
                let json = HeaderValue::from_static("application/json");
                response.headers_mut().insert(CONTENT_TYPE, json);
                return Ok(response);
            }
        }
    }
    Err(Problem::new(Reason::LinkLost, Execution::Unknown))
}
