//! Detects request heads that two HTTP parsers could read differently (request smuggling, RFC 9112,
//! section 11.2).
//!
//! The HTTP library accepts a line feed without a carriage return, and prefers chunked encoding
//! when a request also has a length. A target or a proxy may parse such a head differently, so that
//! it treats a part of a body as a request. The scanner finds these heads in the received bytes,
//! before the HTTP library has normalised them. It reports bare line feeds and carriage returns
//! (section 2.2), folded lines (section 5.2), and more than one `content-length` or
//! `transfer-encoding` header in total (section 6.3).

/// Bytes of a header value that are kept, more than a content length or a usual list of encodings
/// has.
const VALUE_LIMIT_BYTES: usize = 64;

/// Bytes of a header name to compare: the length of `transfer-encoding`, and one more so that a
/// longer name with that prefix differs.
const NAME_LIMIT_BYTES: usize = 18;

/// Framing of the body that follows a head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// There is no body.
    #[default]
    None,
    /// The body has a length, in bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The header that states the framing cannot be read.
    Unknown,
}

/// Scanner for one request head.
#[derive(Debug, Default)]
pub(crate) struct HeadScanner {
    /// Start of the current line, in lower case, up to its colon.
    name: Vec<u8>,
    /// Whether the colon of the current line has been read.
    name_ended: bool,
    /// Value of the current line, in lower case and without white space, up to one byte more than
    /// [`VALUE_LIMIT_BYTES`].
    value: Vec<u8>,
    framing: BodyFraming,
    /// Bytes in the current line so far.
    line_bytes: usize,
    /// Lines of the head so far.
    lines: usize,
    after_carriage_return: bool,
    content_lengths: u32,
    transfer_encodings: u32,
}

/// Result of scanning the bytes received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scan {
    /// More bytes of the head are expected.
    Incomplete,
    /// The head is complete.
    Complete,
    /// The head is ambiguous.
    Ambiguous,
}

impl HeadScanner {
    /// Framing of the body, once the head is complete.
    pub(crate) const fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Whether a part of the head has been read; empty lines before it do not count.
    pub(crate) const fn has_started(&self) -> bool {
        self.lines > 0 || self.line_bytes > 0
    }

    /// Scans the next byte of a head.
    pub(crate) fn scan_byte(&mut self, byte: u8) -> Scan {
        if byte == b'\n' {
            return self.end_line();
        }
        if self.after_carriage_return {
            return Scan::Ambiguous;
        }
        if byte == b'\r' {
            self.after_carriage_return = true;
            return Scan::Incomplete;
        }
        let folded = self.line_bytes == 0 && self.lines > 0 && matches!(byte, b' ' | b'\t');
        self.line_bytes += 1;
        if self.name_ended {
            if self.value.len() <= VALUE_LIMIT_BYTES && !byte.is_ascii_whitespace() {
                self.value.push(byte.to_ascii_lowercase());
            }
        } else if byte == b':' {
            self.name_ended = true;
        } else if !self.name_ended && self.name.len() < NAME_LIMIT_BYTES {
            self.name.push(byte.to_ascii_lowercase());
        }
        if folded { Scan::Ambiguous } else { Scan::Incomplete }
    }

    fn end_line(&mut self) -> Scan {
        if !self.after_carriage_return {
            return Scan::Ambiguous;
        }
        self.after_carriage_return = false;
        let empty = self.line_bytes == 0;
        if empty && self.lines == 0 {
            // RFC 9112, section 2.2, allows an empty line before a request.
            return Scan::Incomplete;
        }
        match self.name.as_slice() {
            b"content-length" => {
                self.content_lengths += 1;
                let length =
                    std::str::from_utf8(&self.value).ok().and_then(|text| text.parse().ok());
                self.framing = length.map_or(BodyFraming::Unknown, BodyFraming::Length);
            }
            b"transfer-encoding" => {
                self.transfer_encodings += 1;
                let last_encoding = self.value.rsplit(|byte| *byte == b',').next();
                let is_chunked = last_encoding == Some(b"chunked");
                self.framing = if is_chunked { BodyFraming::Chunked } else { BodyFraming::Unknown };
            }
            _ => {}
        }
        self.lines += 1;
        self.line_bytes = 0;
        self.name_ended = false;
        self.name.clear();
        self.value.clear();
        if self.content_lengths + self.transfer_encodings > 1 {
            Scan::Ambiguous
        } else if empty {
            Scan::Complete
        } else {
            Scan::Incomplete
        }
    }
}
