//! Reassembles one response from the frames of several attempts.
//!
//! The input is the frames of all attempts, which may arrive late, repeatedly or not at all. The
//! caller receives the pieces of the response in order, each exactly once, and only from the
//! current attempt. Each frame carries the number of its attempt. A piece carries its offset in the
//! response, counted in pieces, and the end frame carries the total number of pieces, so late,
//! repeated and missing frames are detected. A response is complete only if the end frame of the
//! current attempt states exactly the number of pieces that the caller has received.

use crate::chat::{Finish, TokenUsage};

/// What to do with a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the text of the frame to the caller.
    Deliver,
    /// Drop the frame: it is a repetition or belongs to an earlier attempt.
    Drop,
    /// Frames are missing: resume the attempt from the offset.
    Resume {
        /// Offset of the first missing piece.
        from: u32,
    },
    /// The response is complete.
    Finish {
        /// Why the response ended.
        finish: Finish,
        /// Number of tokens used.
        usage: TokenUsage,
    },
    /// The attempt has ended without a complete response.
    Fail,
}

/// Reassembles the frames of several attempts into one response.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    attempt: u32,
    next_offset: u32,
    is_finished: bool,
}

impl Assembler {
    /// Creates the assembler of a response of which the caller already has all pieces before
    /// `next_offset`.
    #[must_use]
    pub const fn new(next_offset: u32) -> Self {
        Self { attempt: 0, next_offset, is_finished: false }
    }

    /// Offset of the next piece, which is the number of pieces that the caller has.
    #[must_use]
    pub const fn next_offset(&self) -> u32 {
        self.next_offset
    }

    /// Whether the caller has the complete response.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Starts an attempt with a higher number; from now on, frames of earlier attempts are dropped.
    pub fn start_attempt(&mut self, attempt: u32) {
        self.attempt = self.attempt.max(attempt);
    }

    /// Handles a piece of text at an offset in the response, counted in pieces.
    pub const fn on_piece(&mut self, attempt: u32, offset: u32) -> Action {
        if !self.is_current(attempt) || offset < self.next_offset {
            return Action::Drop;
        }
        if offset > self.next_offset {
            return Action::Resume { from: self.next_offset };
        }
        self.next_offset += 1;
        Action::Deliver
    }

    /// Handles the end of the response, with the total number of its pieces.
    ///
    /// A total lower than the number of pieces that the caller has contradicts them and fails the
    /// attempt.
    pub const fn on_end(
        &mut self,
        attempt: u32,
        total: u32,
        finish: Finish,
        usage: TokenUsage,
    ) -> Action {
        if !self.is_current(attempt) {
            return Action::Drop;
        }
        if total > self.next_offset {
            return Action::Resume { from: self.next_offset };
        }
        if total < self.next_offset {
            return Action::Fail;
        }
        self.is_finished = true;
        Action::Finish { finish, usage }
    }

    /// Handles a refusal or a failure of an attempt.
    #[must_use]
    pub const fn on_failure(&self, attempt: u32) -> Action {
        if self.is_current(attempt) { Action::Fail } else { Action::Drop }
    }

    const fn is_current(&self, attempt: u32) -> bool {
        !self.is_finished && attempt == self.attempt
    }
}
