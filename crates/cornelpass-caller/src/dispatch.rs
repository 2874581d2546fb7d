//! Chat interface: parses each request by its method and path and runs it through the handler.
//!
//! A chat request is a `POST` of `/v1/chat/completions`; with a `last-event-id` header it resumes a
//! stream. A path below `/v1/services/` is a call of a plain service. Any other request gets a
//! problem report.

use std::sync::Arc;

use async_trait::async_trait;
use cornelpass_core::digest;
use cornelpass_core::refusal::Reason;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response};

use crate::body::{self, Buffered, Reader};
use crate::budget::Budget;
use crate::handler::Handler;
use crate::headers::{optional_header, organisation};
use crate::problem::Problem;
use crate::request::{self, Call, Chat, Resume};
use crate::responder::Responder;
use crate::response::{self, Body};
use crate::server::Limits;
use crate::tracked_body::RequestBody;

/// Handles the requests of the chat interface.
pub(crate) struct Dispatcher {
    handler: Arc<dyn Handler>,
    limits: Limits,
    bodies: Reader,
}

impl Dispatcher {
    /// Creates a dispatcher that runs requests through a handler.
    pub(crate) fn new(handler: Arc<dyn Handler>, limits: Limits) -> Self {
        let bodies = Reader::new(Budget::new(limits.buffered_bytes), Arc::default());
        Self { handler, limits, bodies }
    }

    async fn dispatch(&self, request: Request<RequestBody>) -> Result<Response<Body>, Problem> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        if path == "/v1/chat/completions" && parts.method == Method::POST {
            return self.chat(&parts.headers, body).await;
        }
        if let Some(rest) = path.strip_prefix("/v1/services/") {
            let (service, path) = split_service(rest, parts.uri.query());
            return self.call(&parts.method, &parts.headers, service, path, body).await;
        }
        let detail = format!("{} {path}", parts.method);
        self.refuse(Problem::refused(Reason::NotFound).with_detail(detail))
    }

    /// Records the refusal of a request that does not reach the handler.
    fn refuse<T>(&self, problem: Problem) -> Result<T, Problem> {
        self.handler.record_refusal(&problem);
        Err(problem)
    }

    async fn chat(
        &self,
        headers: &HeaderMap,
        body: RequestBody,
    ) -> Result<Response<Body>, Problem> {
        if headers.contains_key(request::LAST_EVENT_ID_HEADER) {
            let resume = Resume::parse(headers).or_else(|problem| self.refuse(problem))?;
            // The model of a resumed stream is not known here.
            return response::events(self.handler.resume(resume), "").await;
        }
        let chat = self.read_chat(headers, body).await;
        // The body counts against the budget until the response starts.
        let (chat, _body) = chat.or_else(|problem| self.refuse(problem))?;
        let (model, streamed) = (chat.model.clone(), chat.streamed);
        let stream = self.handler.chat(chat);
        if streamed {
            response::events(stream, &model).await
        } else {
            response::collect(stream, &model).await
        }
    }

    async fn read_chat(
        &self,
        headers: &HeaderMap,
        body: RequestBody,
    ) -> Result<(Chat, Buffered), Problem> {
        let organisation = organisation(headers)?;
        let chat_id = optional_header(headers, request::CHAT_ID_HEADER)?;
        let body = self.read_body(body).await?;
        let chat = Chat::parse(organisation, chat_id, body.bytes())?;
        Ok((chat, body))
    }

    async fn call(
        &self,
        method: &Method,
        headers: &HeaderMap,
        service: &str,
        path: String,
        body: RequestBody,
    ) -> Result<Response<Body>, Problem> {
        let call = self.read_call(method, headers, service, path, body).await;
        let (call, _body) = call.or_else(|problem| self.refuse(problem))?;
        self.handler.call(call).await.map(response::from_service)
    }

    async fn read_call(
        &self,
        method: &Method,
        headers: &HeaderMap,
        service: &str,
        path: String,
        body: RequestBody,
    ) -> Result<(Call, Buffered), Problem> {
        let organisation = organisation(headers)?.to_owned();
        let key = optional_header(headers, request::IDEMPOTENCY_KEY_HEADER)?;
        if key.is_none() && !method.is_safe() {
            let detail =
                format!("{method}: a call that changes something needs an idempotency-key");
            return Err(Problem::refused(Reason::MissingKey).with_detail(detail));
        }
        let content_type = optional_header(headers, "content-type")?.unwrap_or("application/json");
        let buffered = self.read_body(body).await?;
        let body = std::str::from_utf8(buffered.bytes())
            .map_err(|_| Problem::refused(Reason::BadRequest).with_detail("body: not UTF-8"))?;
        let content = format!("{method} {service} {path}\n{body}");
        let call = Call {
            organisation,
            service: service.to_owned(),
            method: method.to_string(),
            digest: digest::content(content.as_bytes()),
            path,
            content_type: content_type.to_owned(),
            body: body.to_owned(),
            idempotency_key: key.filter(|_| !method.is_safe()).map(str::to_owned),
            timeout: request::REQUEST_TIMEOUT,
        };
        Ok((call, buffered))
    }

    async fn read_body(&self, body: RequestBody) -> Result<Buffered, Problem> {
        let limits = body::Limits { bytes: self.limits.body_bytes, time: self.limits.body_timeout };
        self.bodies.read(body, limits).await
    }
}

#[async_trait]
impl Responder for Dispatcher {
    async fn respond(&self, request: Request<RequestBody>) -> Response<Body> {
        match self.dispatch(request).await {
            Ok(response) => response,
            Err(problem) => response::report(&problem),
        }
    }
}

/// Splits the rest of a path into the service and the path at the service, with the query.
fn split_service<'a>(rest: &'a str, query: Option<&str>) -> (&'a str, String) {
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = query.map(|query| format!("?{query}")).unwrap_or_default();
    (service, format!("/{path}{query}"))
}
