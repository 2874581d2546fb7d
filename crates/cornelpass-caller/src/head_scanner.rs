//! Detects request heads that two HTTP parsers could read differently (request smuggling, RFC 9112,
//! section 11.2).
//!
//! The HTTP library accepts a line feed without a carriage return, and prefers chunked encoding
//! when a request also has a length. A target or a proxy may parse such a head differently, so that
//! it treats a part of a body as a request. The scanner finds these heads in the received bytes,
//! before the HTTP library has normalised them. It reports bare line feeds and carriage returns
//! (section 2.2), folded lines (section 5.2), and more than one `content-length` or
//! `transfer-encoding` header in total (section 6.3).

/// Bytes of a header name to compare: the length of `transfer-encoding`, and one more so that a
/// longer name with that prefix differs.
const NAME_LIMIT_BYTES: usize = 18;

/// Scanner for one request head.
#[derive(Debug, Default)]
pub(crate) struct HeadScanner {
    /// Start of the current line, in lower case, up to its colon.
    name: Vec<u8>,
    /// Whether the colon of the current line has been read.
    name_ended: bool,
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
    /// Scans the next bytes of a head.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> Scan {
        for byte in bytes {
            match self.scan_byte(*byte) {
                Scan::Incomplete => {}
                scan => return scan,
            }
        }
        Scan::Incomplete
    }

    fn scan_byte(&mut self, byte: u8) -> Scan {
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
        if byte == b':' {
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
            b"content-length" => self.content_lengths += 1,
            b"transfer-encoding" => self.transfer_encodings += 1,
            _ => {}
        }
        self.lines += 1;
        self.line_bytes = 0;
        self.name_ended = false;
        self.name.clear();
        if self.content_lengths + self.transfer_encodings > 1 {
            Scan::Ambiguous
        } else if empty {
            Scan::Complete
        } else {
            Scan::Incomplete
        }
    }
}
