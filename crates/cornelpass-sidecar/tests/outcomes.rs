//! Outcomes of claimed calls are written until the table accepts them, and use bounded memory.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cornelpass_core::claim::Answer;
use cornelpass_platform::claims::{Claim, Claims, FinishOutcome, StartOutcome, VoidOutcome};
use cornelpass_sidecar::outcomes::{PENDING_LIMIT_BYTES, SLOT_LIMIT, Writer};

/// A table that is unavailable until the test makes it available.
#[derive(Default)]
struct FakeTable {
    available: AtomicBool,
    finish_tries: AtomicUsize,
    finished: Mutex<Vec<(String, String)>>,
    released: Mutex<Vec<String>>,
}

impl Claims for FakeTable {
    fn start(&self, _claim: &Claim, _remaining: Duration) -> StartOutcome {
        StartOutcome::Run
    }

    fn finish(&self, claim: &Claim, answer: &Answer, _remaining: Duration) -> FinishOutcome {
        self.finish_tries.fetch_add(1, Ordering::SeqCst);
        if !self.available.load(Ordering::SeqCst) {
            return FinishOutcome::Unavailable;
        }
        self.finished.lock().unwrap().push((claim.row_key(), answer.body.clone()));
        FinishOutcome::Recorded
    }

    fn void(&self, _claim: &Claim, _remaining: Duration) -> VoidOutcome {
        VoidOutcome::Unavailable
    }

    fn release(&self, claim: &Claim, _remaining: Duration) -> VoidOutcome {
        if !self.available.load(Ordering::SeqCst) {
            return VoidOutcome::Unavailable;
        }
        self.released.lock().unwrap().push(claim.row_key());
        VoidOutcome::Void
    }
}

fn writer() -> (Arc<FakeTable>, Writer) {
    let table = Arc::new(FakeTable::default());
    let claims: Arc<dyn Claims> = table.clone();
    (table, Writer::start(&claims))
}

fn claim(key: &str) -> Claim {
    Claim::new("org-1", key, 7, "request.1")
}

fn answer(body: &str) -> Answer {
    Answer { status: 201, content_type: "text/plain".to_owned(), body: body.to_owned() }
}

#[test]
fn an_outcome_is_written_when_the_table_is_available_again() {
    let (table, writer) = writer();
    let done = writer.finish(writer.reserve().unwrap(), claim("a"), answer("paid"));
    let released = writer.release(writer.reserve().unwrap(), claim("b"));
    while table.finish_tries.load(Ordering::SeqCst) < 2 {
        std::thread::yield_now();
    }
    assert_eq!(writer.pending_count(), 2);
    assert_eq!(done.try_recv(), Err(flume::TryRecvError::Empty));
    table.available.store(true, Ordering::SeqCst);
    let timeout = Duration::from_secs(10);
    assert_eq!(done.recv_timeout(timeout), Err(flume::RecvTimeoutError::Disconnected));
    assert_eq!(released.recv_timeout(timeout), Err(flume::RecvTimeoutError::Disconnected));
    assert_eq!(*table.finished.lock().unwrap(), [(claim("a").row_key(), "paid".to_owned())]);
    assert_eq!(*table.released.lock().unwrap(), [claim("b").row_key()]);
}

#[test]
fn slots_and_bytes_are_bounded() {
    let (_table, writer) = writer();
    let slots: Vec<_> = (0..SLOT_LIMIT).map(|_| writer.reserve().unwrap()).collect();
    assert!(writer.reserve().is_none());
    assert_eq!(writer.pending_count(), SLOT_LIMIT);
    drop(slots);
    assert_eq!(writer.pending_count(), 0);
    let slot = writer.reserve().unwrap();
    let _done = writer.finish(slot, claim("large"), answer(&"x".repeat(PENDING_LIMIT_BYTES)));
    assert!(writer.reserve().is_none());
}
