//! HTTP client for streamed responses.
//!
//! The client distinguishes a body that ended properly from a truncated one: after the last chunk
//! it reports the end of the stream, and a connection that closes earlier is an error.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// Time limit for each read from the connection.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Field `id`, if the event has one.
    pub id: Option<String>,
    /// Field `event`; empty for an event without a type.
    pub kind: String,
    /// Contents of the `data` fields.
    pub data: String,
}

impl Event {
    /// Generated text in a chunk of a chat completion; empty if the event has none.
    #[must_use]
    pub fn text(&self) -> String {
        let chunk: Value = serde_json::from_str(&self.data).unwrap_or_default();
        chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
    }

    /// Whether the event marks the end of a complete response.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.data == "[DONE]"
    }
}

/// Response whose body is read event by event.
pub struct Stream {
    /// Status of the response.
    pub status: u16,
    /// Header lines, in lower case.
    pub headers: Vec<String>,
    reader: BufReader<TcpStream>,
    buffer: Vec<u8>,
}

impl Stream {
    /// Sends a chat request and reads the head of the response.
    ///
    /// # Errors
    ///
    /// If the connection fails or the head of the response is invalid.
    pub fn open(address: SocketAddr, headers: &[(&str, &str)], body: &str) -> io::Result<Self> {
        let mut connection = TcpStream::connect(address)?;
        connection.set_read_timeout(Some(READ_TIMEOUT))?;
        let mut head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: {address}\r\ncontent-length: {}\r\n",
            body.len(),
        );
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        connection.write_all(format!("{head}\r\n{body}").as_bytes())?;
        let mut reader = BufReader::new(connection);
        let status = read_line(&mut reader)?;
        let status = status.split(' ').nth(1).and_then(|text| text.parse().ok());
        let status = status.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut headers = Vec::new();
        loop {
            let header = read_line(&mut reader)?;
            if header.is_empty() {
                return Ok(Self { status, headers, reader, buffer: Vec::new() });
            }
            headers.push(header.to_lowercase());
        }
    }

    /// Reads the next event; none after a body that ended properly.
    ///
    /// # Errors
    ///
    /// If the body was truncated, or a read took longer than 30 seconds.
    pub fn next_event(&mut self) -> io::Result<Option<Event>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(Some(parse_event(&String::from_utf8_lossy(&event))));
            }
            if !self.read_chunk()? {
                return Ok(None);
            }
        }
    }

    /// Reads all remaining events.
    ///
    /// # Errors
    ///
    /// If the body was truncated, or a read took longer than 30 seconds.
    pub fn remaining_events(&mut self) -> io::Result<Vec<Event>> {
        let mut events = Vec::new();
        while let Some(event) = self.next_event()? {
            events.push(event);
        }
        Ok(events)
    }

    /// Reads the body of a response that has a `content-length` header.
    ///
    /// # Errors
    ///
    /// If the header is missing or invalid, or the body was truncated.
    pub fn read_body(&mut self) -> io::Result<String> {
        let length = self.headers.iter().find_map(|line| line.strip_prefix("content-length: "));
        let length = length.and_then(|text| text.parse().ok());
        let mut body = vec![0; length.ok_or(io::ErrorKind::InvalidData)?];
        self.reader.read_exact(&mut body)?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Reads one chunk of the body; false after the last one.
    fn read_chunk(&mut self) -> io::Result<bool> {
        let size = read_line(&mut self.reader)?;
        let size = usize::from_str_radix(&size, 16)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, size))?;
        let mut chunk = vec![0; size + 2];
        self.reader.read_exact(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..size]);
        Ok(size > 0)
    }
}

/// Reads a line without its line break.
///
/// Fails with `UnexpectedEof` if the connection closes before the end of the line.
fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let complete = line.strip_suffix("\r\n").map(str::to_owned);
    complete.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))
}

fn parse_event(text: &str) -> Event {
    let mut event = Event::default();
    for line in text.lines() {
        match line.split_once(": ") {
            Some(("id", value)) => event.id = Some(value.to_owned()),
            Some(("event", value)) => value.clone_into(&mut event.kind),
            Some(("data", value)) => event.data.push_str(value),
            _ => {}
        }
    }
    event
}
