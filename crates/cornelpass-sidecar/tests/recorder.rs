//! Outcomes of claimed calls are written until the table takes them, from bounded memory.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cornelpass_core::claim::Answer;
use cornelpass_platform::claims::{Claim, Claims, FinishOutcome, StartOutcome, VoidOutcome};
use cornelpass_sidecar::recorder::{BYTES_LIMIT, PLACES, Recorder};

/// A table that is away until it is told to come back.
#[derive(Default)]
struct Table {
    up: AtomicBool,
    tries: AtomicUsize,
    finished: Mutex<Vec<(String, String)>>,
    released: Mutex<Vec<String>>,
}

impl Claims for Table {
    fn start(&self, _claim: &Claim, _remaining: Duration) -> StartOutcome {
        StartOutcome::Run
    }

    fn finish(&self, claim: &Claim, answer: &Answer, _remaining: Duration) -> FinishOutcome {
        self.tries.fetch_add(1, Ordering::SeqCst);
        if !self.up.load(Ordering::SeqCst) {
            return FinishOutcome::Unavailable;
        }
        self.finished.lock().unwrap().push((claim.row_key(), answer.body.clone()));
        FinishOutcome::Recorded
    }

    fn void(&self, _claim: &Claim, _remaining: Duration) -> VoidOutcome {
        VoidOutcome::Unavailable
    }

    fn release(&self, claim: &Claim, _remaining: Duration) -> VoidOutcome {
        if !self.up.load(Ordering::SeqCst) {
            return VoidOutcome::Unavailable;
        }
        self.released.lock().unwrap().push(claim.row_key());
        VoidOutcome::Void
    }
}

fn recorder() -> (Arc<Table>, Recorder) {
    let table = Arc::new(Table::default());
    let claims: Arc<dyn Claims> = table.clone();
    (table, Recorder::start(&claims))
}

fn claim(key: &str) -> Claim {
    Claim::new("org-1", key, 7, "request.1")
}

fn answer(body: &str) -> Answer {
    Answer { status: 201, content_type: "text/plain".to_owned(), body: body.to_owned() }
}

#[test]
fn an_outcome_is_written_when_the_table_comes_back() {
    let (table, recorder) = recorder();
    let done = recorder.finish(recorder.reserve().unwrap(), claim("a"), answer("paid"));
    let released = recorder.release(recorder.reserve().unwrap(), claim("b"));
    while table.tries.load(Ordering::SeqCst) < 2 {
        std::thread::yield_now();
    }
    assert_eq!(recorder.pending(), 2);
    assert_eq!(done.try_recv(), Err(flume::TryRecvError::Empty));
    table.up.store(true, Ordering::SeqCst);
    let patience = Duration::from_secs(10);
    assert_eq!(done.recv_timeout(patience), Err(flume::RecvTimeoutError::Disconnected));
    assert_eq!(released.recv_timeout(patience), Err(flume::RecvTimeoutError::Disconnected));
    assert_eq!(*table.finished.lock().unwrap(), [(claim("a").row_key(), "paid".to_owned())]);
    assert_eq!(*table.released.lock().unwrap(), [claim("b").row_key()]);
}

#[test]
fn places_and_bytes_are_bounded() {
    let (_table, recorder) = recorder();
    let places: Vec<_> = (0..PLACES).map(|_| recorder.reserve().unwrap()).collect();
    assert!(recorder.reserve().is_none());
    assert_eq!(recorder.pending(), PLACES);
    drop(places);
    assert_eq!(recorder.pending(), 0);
    let place = recorder.reserve().unwrap();
    let _done = recorder.finish(place, claim("large"), answer(&"x".repeat(BYTES_LIMIT)));
    assert!(recorder.reserve().is_none());
}
