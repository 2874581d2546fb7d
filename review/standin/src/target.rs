//! Stand-in for a server: runs requests that name it, and records what it ran.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Message, header, read_body, read_head, response};
use crate::record::Record;

/// A request that the server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub id: String,
    pub method: String,
    pub path: String,
    pub body_bytes: usize,
    pub tenant: String,
}

/// The server; clones share its runs.
#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    born_ms: u128,
    /// Time from the arrival of a request to its answer.
    work: Duration,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Target {
    /// Starts a server on a free port.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let target = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            born_ms: since_epoch.as_millis(),
            work,
            runs: Arc::default(),
            record: record.clone(),
        };
        let server = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(target)
    }

    /// Row of the server in the store.
    #[must_use]
    pub fn row(&self, state: &str) -> String {
        let Self { service, zone, address, born_ms, .. } = self;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":64,\"State\":\"{state}\",\"ColdLeftMs\":0,\"Sequence\":1,\
             \"born\":{born_ms}}}"
        )
    }

    /// Requests that the server ran so far.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().map(|runs| runs.clone()).unwrap_or_default()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request).is_err() {
                return;
            }
            let bytes = self.answer(&request);
            if reader.get_mut().write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let text = |name| header(&request.headers, name).unwrap_or_default().to_owned();
        let id = text("attempt-id");
        if id.is_empty() {
            return response("400 Bad Request", "Not-Executed: 1\r\n", b"");
        }
        let expected = text("expect-instance");
        if !expected.is_empty() && expected != self.id {
            let headers = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n");
            return response("421 Misdirected Request", &headers, b"");
        }
        let run = Run {
            at: self.record.now(),
            id: id.clone(),
            method: request.method().to_owned(),
            path: request.path().to_owned(),
            body_bytes: request.body.len(),
            tenant: text("tenant"),
        };
        self.record.line(&format!(
            "server {} ({}, {}) runs {} {} id {} body {} B tenant {}",
            self.id,
            self.service,
            self.zone,
            run.method,
            run.path,
            run.id,
            run.body_bytes,
            run.tenant
        ));
        if let Ok(mut runs) = self.runs.lock() {
            runs.push(run);
        }
        thread::sleep(self.work);
        let headers = format!(
            "Attempt-Id: {id}\r\nResponse-Signature: {}.{id}\r\nContent-Type: text/event-stream\r\n",
            self.id
        );
        response(
            "200 OK",
            &headers,
            format!("id: 1\ndata: answer of {} to {id}\n\n", self.id).as_bytes(),
        )
    }
}
