//! Error responses of targets, and whether the request or the target is at fault.

use std::time::Instant;

use super::Fleet;
use crate::contention::failures::{Verdict, Witness};

impl Fleet {
    /// Records an error response of a target to a request, by the digest of the request's content.
    ///
    /// Called before the end of the request is recorded.
    pub fn record_error_response(&mut self, now: Instant, target: &str, digest: u64) -> Verdict {
        let Some(record) = self.records.get(target) else { return Verdict::Unknown };
        let (target, is_sound) = (record.short_hash, record.health.is_mostly_answering(now));
        self.failures.record_error(now, digest, Witness { target, is_sound })
    }

    /// Records that a request with this content was answered without an error.
    pub fn record_answer(&mut self, digest: u64) {
        self.failures.record_answer(digest);
    }
}
