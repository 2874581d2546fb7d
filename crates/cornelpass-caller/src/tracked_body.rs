//! Request and response bodies that update the state of their connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, Incoming, SizeHint};

use crate::budget::Charge;
use crate::connection_state::{ActiveRequest, ConnectionState};
use crate::response::Body;

/// Response body; its request ends when the connection drops the body.
pub(crate) struct ResponseBody {
    body: Body,
    _request: ActiveRequest,
    _charge: Option<Charge>,
}

impl ResponseBody {
    /// Wraps a response body, so that the request and its charge end with it.
    pub(crate) const fn new(body: Body, request: ActiveRequest, charge: Option<Charge>) -> Self {
        Self { body, _request: request, _charge: charge }
    }
}

impl hyper::body::Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        hyper::body::Body::is_end_stream(&self.body)
    }

    fn size_hint(&self) -> SizeHint {
        hyper::body::Body::size_hint(&self.body)
    }
}

/// Request body; records in the connection state whether it was read to its end.
#[derive(Debug)]
pub struct RequestBody {
    body: Incoming,
    state: Arc<ConnectionState>,
}

impl RequestBody {
    /// Wraps a request body, and records in the connection state whether it is unread.
    pub(crate) fn new(body: Incoming, state: &Arc<ConnectionState>) -> Self {
        state.set_unread(!hyper::body::Body::is_end_stream(&body));
        Self { body, state: Arc::clone(state) }
    }
}

impl hyper::body::Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if matches!(frame, Poll::Ready(None)) || self.body.is_end_stream() {
            self.state.set_unread(false);
        }
        if let Poll::Ready(Some(Ok(frame))) = &frame {
            self.state.record_body(frame.data_ref().map_or(0, Bytes::len));
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
