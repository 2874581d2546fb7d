//! Follows the requests of a connection in the received bytes, and scans the head of each one.
//!
//! A caller may send its next request before the response to the one before, so that a read may
//! contain the end of one request and the start of the next one. The scanner skips each body by its
//! framing (RFC 9112, section 6). It stops at the first head that is ambiguous, and at a body whose
//! end it cannot find: what follows may then be read in two ways.

use crate::head_scanner::{BodyFraming, HeadScanner, Scan};

/// Position in the stream of requests.
#[derive(Debug)]
enum Position {
    /// Within a head, or before it.
    Head(HeadScanner),
    /// Within a body of which this number of bytes is left.
    Body(u64),
    /// Within a body that is sent in chunks.
    Chunks(ChunkPosition),
    /// Behind a point that may be read in two ways.
    Stopped,
}

/// Position in a body that is sent in chunks (RFC 9112, section 7.1).
#[derive(Clone, Copy, Debug)]
enum ChunkPosition {
    /// Within the size of a chunk, with its value so far and whether it has a digit.
    Size(u64, bool),
    /// Within the extensions after the size.
    Extension(u64),
    /// After the carriage return of the line with the size.
    SizeEnd(u64),
    /// Within the data of a chunk of which this number of bytes is left.
    Data(u64),
    /// After the data of a chunk.
    DataEnd,
    /// After the carriage return that follows the data.
    DataLineEnd,
    /// Within a line of the trailers, and whether the line is empty so far.
    Trailer(bool),
    /// After the carriage return of such a line, and whether the line is empty.
    TrailerEnd(bool),
}

/// What follows a byte of a body that is sent in chunks.
enum ChunkStep {
    /// The body goes on.
    Continue(ChunkPosition),
    /// The body is complete.
    End,
    /// The framing is invalid.
    Invalid,
}

/// Scanner for the requests of one connection.
#[derive(Debug)]
pub(crate) struct RequestScanner {
    position: Position,
    /// Number of complete heads.
    heads: u32,
}

impl Default for RequestScanner {
    fn default() -> Self {
        Self { position: Position::Head(HeadScanner::default()), heads: 0 }
    }
}

impl RequestScanner {
    /// Scans the next bytes of the connection.
    pub(crate) fn scan(&mut self, mut bytes: &[u8]) {
        while let Some((first, rest)) = bytes.split_first() {
            let skipped = self.skip_data(bytes.len());
            if skipped > 0 {
                bytes = &bytes[skipped..];
                continue;
            }
            self.scan_byte(*first);
            bytes = rest;
        }
    }

    /// Number of complete heads so far, all of them unambiguous.
    pub(crate) const fn complete_heads(&self) -> u32 {
        self.heads
    }

    /// Whether the request after the complete heads, and all later ones, may be read in two ways.
    pub(crate) const fn is_stopped(&self) -> bool {
        matches!(self.position, Position::Stopped)
    }

    /// Whether a part of a head has been read.
    pub(crate) const fn is_within_head(&self) -> bool {
        matches!(&self.position, Position::Head(scanner) if scanner.has_started())
    }

    /// Skips data of a body; returns the number of bytes, at most `available`.
    fn skip_data(&mut self, available: usize) -> usize {
        let left = match &mut self.position {
            Position::Body(left) | Position::Chunks(ChunkPosition::Data(left)) => left,
            Position::Stopped => return available,
            Position::Head(_) | Position::Chunks(_) => return 0,
        };
        let skipped = usize::try_from(*left).unwrap_or(usize::MAX).min(available);
        *left -= skipped as u64;
        if *left == 0 {
            self.position = match self.position {
                Position::Chunks(_) => Position::Chunks(ChunkPosition::DataEnd),
                _ => Position::Head(HeadScanner::default()),
            };
        }
        skipped
    }

    fn scan_byte(&mut self, byte: u8) {
        let next = match &mut self.position {
            Position::Head(scanner) => match scanner.scan_byte(byte) {
                Scan::Incomplete => return,
                Scan::Ambiguous => Position::Stopped,
                Scan::Complete => {
                    self.heads += 1;
                    body_position(scanner.framing())
                }
            },
            Position::Chunks(position) => match next_in_chunks(*position, byte) {
                ChunkStep::Continue(position) => Position::Chunks(position),
                ChunkStep::End => Position::Head(HeadScanner::default()),
                ChunkStep::Invalid => Position::Stopped,
            },
            // Skipped by `skip_data`.
            Position::Body(_) | Position::Stopped => return,
        };
        self.position = next;
    }
}

/// Position after a complete head.
fn body_position(framing: BodyFraming) -> Position {
    match framing {
        BodyFraming::None | BodyFraming::Length(0) => Position::Head(HeadScanner::default()),
        BodyFraming::Length(length) => Position::Body(length),
        BodyFraming::Chunked => Position::Chunks(ChunkPosition::Size(0, false)),
        BodyFraming::Unknown => Position::Stopped,
    }
}

/// Position after a byte in a body that is sent in chunks.
fn next_in_chunks(position: ChunkPosition, byte: u8) -> ChunkStep {
    use ChunkPosition::{
        Data, DataEnd, DataLineEnd, Extension, Size, SizeEnd, Trailer, TrailerEnd,
    };
    let next = match (position, byte) {
        (Size(size, true) | Extension(size), b'\r') => SizeEnd(size),
        (Extension(_), b'\n') => return ChunkStep::Invalid,
        (Extension(size), _) | (Size(size, true), b';' | b' ' | b'\t') => Extension(size),
        (Size(size, _), digit) => {
            let digit = char::from(digit).to_digit(16).map(u64::from);
            let size = digit.and_then(|digit| size.checked_mul(16)?.checked_add(digit));
            match size {
                Some(size) => Size(size, true),
                None => return ChunkStep::Invalid,
            }
        }
        (SizeEnd(0), b'\n') => Trailer(true),
        (SizeEnd(size), b'\n') => Data(size),
        (DataEnd, b'\r') => DataLineEnd,
        (DataLineEnd, b'\n') => Size(0, false),
        (Trailer(is_empty), b'\r') => TrailerEnd(is_empty),
        (Trailer(_), b'\n') => return ChunkStep::Invalid,
        (Trailer(_), _) => Trailer(false),
        (TrailerEnd(true), b'\n') => return ChunkStep::End,
        (TrailerEnd(false), b'\n') => Trailer(true),
        _ => return ChunkStep::Invalid,
    };
    ChunkStep::Continue(next)
}
