//! Each request is sent at most once, and the error tells whether it may have been.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use cornelpass_core::claim::Answer;
use cornelpass_core::refusal::Run;
use cornelpass_target::engine::{Engine, Http as EngineHttp, Piece};
use cornelpass_target::error::Error;
use cornelpass_target::service::{Call, Http, Service};
use cornelpass_target::whole::{self, Terms};

const PATIENCE: Duration = Duration::from_millis(300);

/// What a listener does with each connection.
#[derive(Clone, Copy)]
enum Manner {
    CloseAtAccept,
    ReadAndClose,
    Answer(&'static str),
    /// Pieces with pauses between them, then silence.
    Pieces(&'static [&'static str], Duration),
    Silence,
}

/// A listener that counts connections and requests.
struct Listener {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl Listener {
    fn start(manner: Manner) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (connections, requests) = (Arc::default(), Arc::default());
        let counts: (Arc<AtomicUsize>, Arc<AtomicUsize>) =
            (Arc::clone(&connections), Arc::clone(&requests));
        thread::spawn(move || {
            let mut kept = Vec::new();
            for stream in listener.incoming().map_while(Result::ok) {
                counts.0.fetch_add(1, Ordering::SeqCst);
                kept.extend(serve(stream, manner, &counts.1));
            }
        });
        Self { address, connections, requests }
    }

    fn counts(&self) -> (usize, usize) {
        (self.connections.load(Ordering::SeqCst), self.requests.load(Ordering::SeqCst))
    }
}

fn serve(mut stream: TcpStream, manner: Manner, requests: &AtomicUsize) -> Option<TcpStream> {
    if matches!(manner, Manner::CloseAtAccept) {
        return None;
    }
    let mut text = Vec::new();
    let mut buffer = [0; 1024];
    while !is_whole(&text) {
        match stream.read(&mut buffer).unwrap_or(0) {
            0 => return None,
            count => text.extend_from_slice(&buffer[..count]),
        }
    }
    requests.fetch_add(1, Ordering::SeqCst);
    match manner {
        Manner::Answer(answer) => {
            let _ = stream.write_all(answer.as_bytes());
            None
        }
        Manner::Pieces(pieces, pause) => {
            for piece in pieces {
                let _ = stream.write_all(piece.as_bytes());
                thread::sleep(pause);
            }
            Some(stream)
        }
        Manner::Silence => Some(stream),
        Manner::ReadAndClose | Manner::CloseAtAccept => None,
    }
}

/// Whether a request has arrived, given that each body is `{}`.
fn is_whole(text: &[u8]) -> bool {
    text.ends_with(b"{}") || (text.starts_with(b"GET") && text.ends_with(b"\r\n\r\n"))
}

const CALL: Call<'_> = Call {
    method: "POST",
    path: "/deposits",
    organisation: "org-1",
    content_type: "application/json",
    body: "{}",
    key: Some("deposit-1"),
};

fn call(address: SocketAddr) -> Result<Answer, Error> {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let connection = Http::new(address).open().await?;
        connection.call(&CALL, PATIENCE).await
    })
}

/// Makes a call to a listener that gives no whole answer; returns the connections and requests.
fn lost(manner: Manner) -> (usize, usize) {
    let listener = Listener::start(manner);
    let error = call(listener.address).unwrap_err();
    assert!(matches!(error, Error::Lost { .. }), "{error}");
    assert_eq!(error.run(), Run::Unknown);
    listener.counts()
}

#[test]
fn a_closed_port_is_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = call(address).unwrap_err();
    assert!(matches!(error, Error::Unsent { .. }), "{error}");
    assert_eq!(error.run(), Run::NotRun);
}

#[test]
fn a_close_at_accept_may_have_run_and_is_not_tried_again() {
    assert_eq!(lost(Manner::CloseAtAccept), (1, 0));
}

#[test]
fn a_close_after_the_request_is_lost_and_is_not_tried_again() {
    assert_eq!(lost(Manner::ReadAndClose), (1, 1));
}

#[test]
fn half_a_head_is_lost() {
    assert_eq!(lost(Manner::Answer("HTTP/1.1 201 Cre")), (1, 1));
}

#[test]
fn half_a_body_is_lost() {
    let answer = "HTTP/1.1 201 Created\r\ncontent-length: 100\r\n\r\n{\"confirmation\":";
    assert_eq!(lost(Manner::Answer(answer)), (1, 1));
}

#[test]
fn half_a_chunked_body_is_lost() {
    let answer = "HTTP/1.1 201 Created\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
    assert_eq!(lost(Manner::Answer(answer)), (1, 1));
}

#[test]
fn silence_is_lost() {
    assert_eq!(lost(Manner::Silence), (1, 1));
}

#[test]
fn an_error_status_is_an_answer() {
    for status in [400, 409, 500, 503] {
        let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 4\r\n\r\nbusy");
        let listener = Listener::start(Manner::Answer(Box::leak(answer.into_boxed_str())));
        let answer = call(listener.address).unwrap();
        assert_eq!((answer.status, answer.body.as_str()), (status, "busy"));
        assert_eq!(listener.counts(), (1, 1));
    }
}

#[test]
fn a_call_that_cannot_be_written_is_unsent() {
    let listener = Listener::start(Manner::Silence);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let error = runtime.block_on(async {
        let connection = Http::new(listener.address).open().await.unwrap();
        connection.call(&Call { path: "not a path", ..CALL }, PATIENCE).await.unwrap_err()
    });
    assert!(matches!(error, Error::Unsent { .. }), "{error}");
    assert_eq!(listener.requests.load(Ordering::SeqCst), 0);
}

#[test]
fn a_stream_that_closes_early_is_broken_and_never_ended() {
    let piece = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n";
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 9999\r\n\r\n";
    let answer: &'static str = Box::leak(format!("{head}{piece}").into_boxed_str());
    let listener = Listener::start(Manner::Answer(answer));
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let pieces = runtime.block_on(async {
        let engine = EngineHttp::new(listener.address).idle_timeout(PATIENCE);
        let generation = engine.resume("s", 0).await.unwrap();
        generation.pieces.into_iter().collect::<Vec<_>>()
    });
    assert_eq!(pieces[0], Piece::Text("a".to_owned()));
    assert!(matches!(pieces[1], Piece::Broken(Error::Lost { .. })), "{pieces:?}");
    assert_eq!(pieces.len(), 2);
}

const SLOW: &[&str] = &["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "s", "l", "o", "w", "!"];
const TERMS: Terms = Terms { head: PATIENCE, quiet: PATIENCE, limit: 1024 };

fn ask(listener: &Listener, terms: Terms) -> Result<(hyper::StatusCode, bytes::Bytes), Error> {
    let request = hyper::Request::get("/").body(http_body_util::Full::default()).unwrap();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(whole::ask(listener.address, request, terms))
}

#[test]
fn an_answer_that_keeps_coming_may_take_longer_than_the_patience() {
    let listener = Listener::start(Manner::Pieces(SLOW, PATIENCE / 3));
    let (status, body) = ask(&listener, TERMS).unwrap();
    assert_eq!((status.as_u16(), &body[..]), (200, &b"slow!"[..]));
}

#[test]
fn an_answer_that_falls_silent_is_lost() {
    let listener = Listener::start(Manner::Pieces(&SLOW[..3], Duration::ZERO));
    assert_eq!(ask(&listener, TERMS).unwrap_err().run(), Run::Unknown);
}

#[test]
fn an_answer_that_is_too_large_is_lost() {
    let listener = Listener::start(Manner::Pieces(SLOW, Duration::ZERO));
    assert_eq!(ask(&listener, Terms { limit: 4, ..TERMS }).unwrap_err().run(), Run::Unknown);
}
