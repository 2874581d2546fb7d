//! Writes the outcomes of claimed calls to the platform's table, in the background.
//!
//! While the table is unavailable, a write is repeated; an answer that the table refuses is logged
//! and dropped. A call reserves a slot before it claims its key. The slots bound the number of
//! outcomes that wait while the table is unavailable: without a free slot no further call is
//! claimed, and the call is refused as not run.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use cornelpass_core::claim::Answer;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_platform::claims::{Claim, Claims, FinishOutcome, VoidOutcome};
use flume::{Receiver, Sender};

/// Maximum number of calls that are claimed or whose outcome waits to be written.
pub const SLOT_LIMIT: usize = 1024;

/// No further call is claimed while the answers that wait to be written have this size or more, in
/// bytes.
pub const PENDING_LIMIT_BYTES: usize = 32 * 1024 * 1024;

/// Number of threads that write outcomes.
const WORKER_THREADS: usize = 8;

/// Time limit of one try to write an outcome.
const TRY_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after the first failed try; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Longest pause between two tries to write an outcome.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Slots and memory in use by all calls.
#[derive(Debug, Default)]
struct Usage {
    slots: AtomicUsize,
    bytes: AtomicUsize,
}

/// Reserved slot for the outcome of one call; dropping it frees the slot.
#[derive(Debug)]
pub struct Slot {
    usage: Arc<Usage>,
    bytes: usize,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.usage.bytes.fetch_sub(self.bytes, Ordering::SeqCst);
        self.usage.slots.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Outcome to be written.
enum Record {
    /// The service responded to the call.
    Finish(Answer),
    /// The call was not sent and never will be; its claim is released.
    Release,
}

/// Outcome that waits to be written; dropping the job closes the channel of the waiting call.
struct Job {
    claim: Claim,
    record: Record,
    _slot: Slot,
    _done: Sender<()>,
}

/// Writes outcomes on its own threads.
///
/// The threads end after the writer is dropped and all outcomes are written.
pub struct Writer {
    job_sender: Sender<Job>,
    usage: Arc<Usage>,
}

impl Writer {
    /// Starts the writer with its threads.
    #[must_use]
    pub fn start(claims: &Arc<dyn Claims>) -> Self {
        let (job_sender, job_receiver) = flume::bounded(SLOT_LIMIT);
        for _ in 0..WORKER_THREADS {
            let (claims, job_receiver) = (Arc::clone(claims), job_receiver.clone());
            thread::spawn(move || run_worker(claims.as_ref(), &job_receiver));
        }
        Self { job_sender, usage: Arc::default() }
    }

    /// Reserves a slot; none if no slot is free or too many bytes wait to be written.
    #[must_use]
    pub fn reserve(&self) -> Option<Slot> {
        let slot = Slot { usage: Arc::clone(&self.usage), bytes: 0 };
        let slots = self.usage.slots.fetch_add(1, Ordering::SeqCst);
        let bytes = self.usage.bytes.load(Ordering::SeqCst);
        (slots < SLOT_LIMIT && bytes < PENDING_LIMIT_BYTES).then_some(slot)
    }

    /// Writes the answer of a call.
    ///
    /// The returned channel closes when the answer is written, or refused by the table.
    pub fn finish(&self, mut slot: Slot, claim: Claim, answer: Answer) -> Receiver<()> {
        slot.bytes = answer.body.len();
        self.usage.bytes.fetch_add(slot.bytes, Ordering::SeqCst);
        self.push(slot, claim, Record::Finish(answer))
    }

    /// Releases the claim of a call that was not sent and never will be.
    ///
    /// The returned channel closes when the claim is released.
    pub fn release(&self, slot: Slot, claim: Claim) -> Receiver<()> {
        self.push(slot, claim, Record::Release)
    }

    /// Number of calls that are claimed or whose outcome waits to be written.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.usage.slots.load(Ordering::SeqCst)
    }

    fn push(&self, slot: Slot, claim: Claim, record: Record) -> Receiver<()> {
        let (done, receiver) = flume::bounded(0);
        // The queue holds one job for each slot, so it is never full.
        let _ = self.job_sender.try_send(Job { claim, record, _slot: slot, _done: done });
        receiver
    }
}

fn run_worker(claims: &dyn Claims, job_receiver: &Receiver<Job>) {
    for job in job_receiver {
        let mut backoff = MIN_BACKOFF;
        while !try_write(claims, &job) {
            if backoff == MIN_BACKOFF {
                log!(Code::ClaimPending, claim = job.claim.row_key());
            }
            thread::sleep(backoff);
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Tries once to write an outcome; returns whether no further try is needed.
fn try_write(claims: &dyn Claims, job: &Job) -> bool {
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
