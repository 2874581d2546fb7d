//! Stand-in for the platform's store: rows in tables, a feed of changes that waits, and
//! transactions that write rows. The history is never dropped.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{base64, read_body, read_head, response};

#[derive(Clone)]
struct Change {
    revision: u64,
    table: String,
    key: String,
    /// Value in base64; none if the row was removed.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    rows: BTreeMap<(String, String), Change>,
    history: Vec<Change>,
}

impl State {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) -> u64 {
        self.revision += 1;
        let change = Change {
            revision: self.revision,
            table: table.to_owned(),
            key: key.to_owned(),
            value: value.clone(),
        };
        let id = (table.to_owned(), key.to_owned());
        match value {
            Some(_) => self.rows.insert(id, change.clone()),
            None => self.rows.remove(&id),
        };
        self.history.push(change);
        self.revision
    }
}

/// The store; clones share its rows.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    started_at: Instant,
    address: SocketAddr,
}

fn encode(change: &Change) -> String {
    let Change { revision, table, key, value } = change;
    let value = match value {
        Some(value) => format!("\"Value\":\"{value}\""),
        None => "\"Tombstone\":true".to_owned(),
    };
    format!("{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",\"Ver\":{revision},{value}}}")
}

fn parameter(path: &str, name: &str) -> String {
    let query = path.split_once('?').map_or("", |(_, query)| query);
    let value = query.split('&').find_map(|pair| {
        pair.split_once('=').filter(|(other, _)| *other == name).map(|(_, value)| value)
    });
    let bytes = value.unwrap_or_default().as_bytes();
    let (mut text, mut index) = (Vec::new(), 0);
    while index < bytes.len() {
        let code = bytes.get(index + 1..index + 3).and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if bytes[index] == b'%' => {
                text.push(byte);
                index += 3;
            }
            _ => {
                text.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// Text value of a field in a JSON object without escapes, as the routers write them.
fn field<'a>(json: &'a str, name: &str) -> &'a str {
    let start = json.find(&format!("\"{name}\":\"")).map(|at| at + name.len() + 4);
    start.and_then(|start| json[start..].split('"').next()).unwrap_or_default()
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            shared: Arc::default(),
            started_at: Instant::now(),
            address: listener.local_addr()?,
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a row, as the operator and the servers do; returns the acknowledged revision.
    pub fn put(&self, table: &str, key: &str, json: &str) -> u64 {
        self.write(table, key, Some(base64(json.as_bytes())))
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) -> u64 {
        self.write(table, key, None)
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let (state, changed) = &*self.shared;
        let revision = state.lock().map_or(0, |mut state| state.write(table, key, value));
        changed.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request).is_err() {
                return;
            }
            let path = request.path().to_owned();
            let (status, body) = match path.split('?').next().unwrap_or_default() {
                "/rows-get" => ("200 OK", self.get(&path)),
                "/rows-feed" => self.feed(&path),
                "/rows-tx" => self.commit(&String::from_utf8_lossy(&request.body)),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let headers = "Content-Type: application/json\r\nStore-Era: 0\r\n";
            let bytes = response(status, headers, body.as_bytes());
            if reader.get_mut().write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn body(&self, rows: &[String], revision: u64, truncated: bool) -> String {
        let now = self.started_at.elapsed().as_millis();
        let rows = rows.join(",");
        format!(
            "{{\"Rows\":[{rows}],\"Ver\":{revision},\"NowMs\":{now},\"Truncated\":{truncated}}}"
        )
    }

    fn get(&self, path: &str) -> String {
        let (table, from) = (parameter(path, "Table"), parameter(path, "From"));
        let limit = parameter(path, "Limit").parse().unwrap_or(500_usize).min(500);
        let Ok(state) = self.shared.0.lock() else { return String::new() };
        let rows: Vec<String> = state
            .rows
            .iter()
            .filter(|((other, key), _)| *other == table && *key >= from)
            .map(|(_, change)| encode(change))
            .collect();
        let truncated = rows.len() > limit;
        self.body(&rows[..rows.len().min(limit)], state.revision, truncated)
    }

    fn feed(&self, path: &str) -> (&'static str, String) {
        let table = parameter(path, "Table");
        let since: u64 = parameter(path, "SinceRev").parse().unwrap_or(0);
        let wait = Duration::from_millis(parameter(path, "WaitMs").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let (state, changed) = &*self.shared;
        let Ok(mut state) = state.lock() else { return ("500 Error", String::new()) };
        loop {
            if since > state.revision {
                return ("410 Gone", "{}".to_owned());
            }
            let rows: Vec<String> = state
                .history
                .iter()
                .filter(|change| change.revision > since && change.table == table)
                .map(encode)
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return ("200 OK", self.body(&rows, state.revision, false));
            }
            let Ok((next, _)) = changed.wait_timeout(state, left) else {
                return ("500 Error", String::new());
            };
            state = next;
        }
    }

    fn commit(&self, body: &str) -> (&'static str, String) {
        let puts = body.split_once("\"Puts\":[").map_or("", |(_, puts)| puts);
        let mut revision = 0;
        for put in puts.split('{').skip(1) {
            let table = field(put, "Table");
            if ["op", "servers"].contains(&table) {
                return ("403 Forbidden", "{}".to_owned());
            }
            revision = self.write(table, field(put, "Key"), Some(field(put, "Value").to_owned()));
        }
        ("200 OK", format!("{{\"Ver\":{revision}}}"))
    }
}
