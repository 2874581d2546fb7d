//! Server with a fake handler whose response depends on the requested model.

#![allow(clippy::unwrap_used, dead_code, unreachable_pub, reason = "helpers of several tests")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, SystemTime};

use async_trait::async_trait;
use cornelpass_caller::event::{Event, Id};
use cornelpass_caller::handler::{Handler, Response, Stream};
use cornelpass_caller::problem::Problem;
use cornelpass_caller::request::{Call, Chat, Resume};
use cornelpass_caller::server::{Limits, Server, Stage};
use cornelpass_core::chat::{Finish, TokenUsage};
use cornelpass_core::claim::Answer;
use cornelpass_core::refusal::Reason;
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Model whose stream of events closes after one piece, without an end.
pub const ABORTED: &str = "cut";

/// Model whose response never ends.
pub const ENDLESS: &str = "endless";

/// Counters of the fake handler.
#[derive(Default)]
pub struct Counters {
    /// Chat requests and calls.
    pub handled: AtomicUsize,
    pub refused: AtomicUsize,
    /// Streams whose receiver was dropped before their end.
    pub cancelled: AtomicUsize,
}

struct FakeHandler(Arc<Counters>);

fn piece(offset: u32, text: &str) -> Event {
    let id = Id { target: "t".to_owned(), stream: "s".to_owned(), offset };
    Event::Piece { id, text: text.to_owned() }
}

#[async_trait]
impl Handler for FakeHandler {
    fn chat(&self, chat: Chat) -> Stream {
        self.0.handled.fetch_add(1, Ordering::SeqCst);
        let (sender, events) = flume::bounded(4);
        let counters = Arc::clone(&self.0);
        tokio::spawn(async move {
            let _ = sender.send_async(piece(0, "a")).await;
            let filler = "x".repeat(4096);
            if chat.model == ENDLESS {
                for offset in 1.. {
                    if sender.send_async(piece(offset, &filler)).await.is_err() {
                        counters.cancelled.fetch_add(1, Ordering::SeqCst);
                        return;
                    }
                }
            }
            if chat.model != ABORTED {
                let (finish, usage) = (Finish::Stop, TokenUsage::default());
                let _ = sender.send_async(Event::End { finish, usage }).await;
            }
        });
        Stream { request_id: "r".to_owned(), created: SystemTime::UNIX_EPOCH, events }
    }

    fn resume(&self, _resume: Resume) -> Stream {
        let (sender, events) = flume::bounded(1);
        let _ = sender.send(Event::Problem(Problem::refused(Reason::StreamGone)));
        Stream { request_id: "r".to_owned(), created: SystemTime::UNIX_EPOCH, events }
    }

    async fn call(&self, call: Call) -> Result<Response, Problem> {
        self.0.handled.fetch_add(1, Ordering::SeqCst);
        let content_type = "text/plain".to_owned();
        let answer = Answer { status: 201, content_type, body: call.path };
        Ok(Response { answer, replayed: false })
    }

    fn record_refusal(&self, _problem: &Problem) {
        self.0.refused.fetch_add(1, Ordering::SeqCst);
    }
}

/// Running server.
pub struct Fixture {
    pub address: SocketAddr,
    pub counters: Arc<Counters>,
    pub stage: watch::Sender<Stage>,
    pub serving: JoinHandle<()>,
    pub runtime: Runtime,
}

impl Fixture {
    pub fn new(limits: Limits) -> Self {
        let runtime = Runtime::new().unwrap();
        let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let counters = Arc::new(Counters::default());
        let (stage, stages) = watch::channel(Stage::Serving);
        let server = Server::new(Arc::new(FakeHandler(Arc::clone(&counters))), limits, stages);
        let serving = runtime.spawn(server.run(listener));
        Self { address, counters, stage, serving, runtime }
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream
    }

    /// Sends bytes on a new connection and reads until it closes.
    pub fn send(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        stream.write_all(bytes).unwrap();
        read(&mut stream)
    }

    pub fn chat(&self, headers: &str, body: &str) -> String {
        self.send(&request("POST", "/v1/chat/completions", headers, body.as_bytes()))
    }
}

/// Reads until the connection closes.
pub fn read(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

pub fn request(method: &str, path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: {}\r\n{headers}\r\n",
        body.len(),
    );
    [head.as_bytes(), body].concat()
}

/// Body of a chat request.
pub fn body(model: &str, stream: bool) -> String {
    format!(
        r#"{{"model":"{model}","stream":{stream},"messages":[{{"role":"user","content":"hi"}}]}}"#
    )
}
