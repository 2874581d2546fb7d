//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Headers with names in lower case.
pub type Headers = Vec<(String, String)>;

/// Value of a header.
#[must_use]
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
}

/// Message with its first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub complete: bool,
}

impl Message {
    /// Status of a response; 0 if there is none.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Method of a request.
    #[must_use]
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    #[must_use]
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads the first line and the headers; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if message.first_line.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.first_line.is_empty() {
            line.clone_into(&mut message.first_line);
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that the headers announce, by its length or in chunks.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if header(&message.headers, "transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else {
        let length = header(&message.headers, "content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    message.complete = true;
    Ok(())
}

/// Client connection.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection; `timeout` limits the opening and each read.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads a response with its body. An error carries what has arrived of the response.
    pub fn read(&mut self) -> Result<Message, (io::Error, Message)> {
        let head = read_head(&mut self.reader).map_err(|error| (error, Message::default()))?;
        let Some(mut message) = head else {
            return Err((io::ErrorKind::UnexpectedEof.into(), Message::default()));
        };
        match read_body(&mut self.reader, &mut message) {
            Ok(()) => Ok(message),
            Err(error) => Err((error, message)),
        }
    }
}

/// Sends a request without a body on a new connection, and reads the response.
pub fn get(address: SocketAddr, path: &str) -> io::Result<Message> {
    let mut connection = Connection::open(address, Duration::from_secs(2))?;
    connection.write(
        format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n").as_bytes(),
    )?;
    connection.read().map_err(|(error, _)| error)
}

/// Encodes a response with a body.
#[must_use]
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
        .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Standard base64 with padding.
#[must_use]
pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |group, byte| group << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let index = (group >> (18 - 6 * place) & 63) as usize;
            text.push(if place <= chunk.len() { char::from(ALPHABET[index]) } else { '=' });
        }
    }
    text
}

/// Reads everything that a stream still sends, up to its end or a time-out.
pub fn read_rest(stream: &mut impl Read) -> Vec<u8> {
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
    rest
}
