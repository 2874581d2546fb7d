//! Records what became of claimed calls, in the background, until the table has taken it.
//!
//! A call reserves its place before it claims its key, so that what waits for a table that is away
//! is bounded: without a free place no further call is claimed, and it is refused as not run.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use cornelpass_core::claim::Answer;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_platform::claims::{Claim, Claims, FinishOutcome, VoidOutcome};
use flume::{Receiver, Sender};

/// Most calls that are claimed or wait for their record at once.
pub const PLACES: usize = 1024;

/// Bytes of answers that wait for their record, above which no further call is claimed.
pub const BYTES_LIMIT: usize = 32 * 1024 * 1024;

/// Threads that write records.
const WORKERS: usize = 8;

/// Time for one try at a record.
const TRY_TIMEOUT: Duration = Duration::from_secs(5);

/// First pause after a failed try.
const BACKOFF: Duration = Duration::from_millis(50);

/// Longest pause between two tries.
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);

/// What is in use.
#[derive(Debug, Default)]
struct Usage {
    places: AtomicUsize,
    bytes: AtomicUsize,
}

/// A place for one record; free again when it is dropped.
#[derive(Debug)]
pub struct Place {
    usage: Arc<Usage>,
    bytes: usize,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.usage.bytes.fetch_sub(self.bytes, Ordering::SeqCst);
        self.usage.places.fetch_sub(1, Ordering::SeqCst);
    }
}

/// What is to be recorded.
enum Record {
    /// The call's answer.
    Finish(Answer),
    /// The call was not sent and never will be.
    Release,
}

/// A record that waits; dropping it tells whoever waits for it.
struct Job {
    claim: Claim,
    record: Record,
    _place: Place,
    _done: Sender<()>,
}

/// Writes records on threads of its own, which end when it is dropped and all is written.
pub struct Recorder {
    jobs: Sender<Job>,
    usage: Arc<Usage>,
}

impl Recorder {
    /// Starts the threads.
    #[must_use]
    pub fn start(claims: &Arc<dyn Claims>) -> Self {
        let (jobs, queue) = flume::bounded(PLACES);
        for _ in 0..WORKERS {
            let (claims, queue) = (Arc::clone(claims), queue.clone());
            thread::spawn(move || work(claims.as_ref(), &queue));
        }
        Self { jobs, usage: Arc::default() }
    }

    /// Reserves a place, if one is free.
    #[must_use]
    pub fn reserve(&self) -> Option<Place> {
        let place = Place { usage: Arc::clone(&self.usage), bytes: 0 };
        let places = self.usage.places.fetch_add(1, Ordering::SeqCst);
        let bytes = self.usage.bytes.load(Ordering::SeqCst);
        (places < PLACES && bytes < BYTES_LIMIT).then_some(place)
    }

    /// Records the answer of a call; the channel closes when that is done.
    pub fn finish(&self, mut place: Place, claim: Claim, answer: Answer) -> Receiver<()> {
        place.bytes = answer.body.len();
        self.usage.bytes.fetch_add(place.bytes, Ordering::SeqCst);
        self.push(place, claim, Record::Finish(answer))
    }

    /// Records that a call was not sent and never will be; the channel closes when that is done.
    pub fn release(&self, place: Place, claim: Claim) -> Receiver<()> {
        self.push(place, claim, Record::Release)
    }

    /// Calls that are claimed or wait for their record.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.usage.places.load(Ordering::SeqCst)
    }

    fn push(&self, place: Place, claim: Claim, record: Record) -> Receiver<()> {
        let (done, receiver) = flume::bounded(0);
        // The queue has room for each place.
        let _ = self.jobs.try_send(Job { claim, record, _place: place, _done: done });
        receiver
    }
}

fn work(claims: &dyn Claims, queue: &Receiver<Job>) {
    for job in queue {
        let mut pause = BACKOFF;
        while !settled(claims, &job) {
            if pause == BACKOFF {
                log!(Code::ClaimPending, claim = job.claim.row_key());
            }
            thread::sleep(pause);
            pause = (pause * 2).min(BACKOFF_LIMIT);
        }
    }
}

/// Tries once; true if the record needs no further try.
fn settled(claims: &dyn Claims, job: &Job) -> bool {
    match &job.record {
        Record::Finish(answer) => match claims.finish(&job.claim, answer, TRY_TIMEOUT) {
            FinishOutcome::Recorded => true,
            FinishOutcome::Unavailable => false,
            FinishOutcome::Refused => {
                log!(Code::OutcomeUnknown, claim = job.claim.row_key(), "row is another's");
                true
            }
        },
        Record::Release => claims.release(&job.claim, TRY_TIMEOUT) != VoidOutcome::Unavailable,
    }
}
