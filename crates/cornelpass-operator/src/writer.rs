//! Writes the log to the standard output without blocking the process.
//!
//! Lines go through a bounded queue to a thread that writes them. If the output is not read, the
//! queue fills up and further lines are dropped. The next line that is written is preceded by a
//! line that states the number of dropped lines.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use flume::{Receiver, Sender};
use tracing_subscriber::fmt::MakeWriter;

/// Maximum number of lines in the queue.
const QUEUE_LENGTH: usize = 1_024;

/// Stack size of the writing thread, in bytes.
const STACK_SIZE_BYTES: usize = 64 * 1024;

/// Time limit on each of the two steps of a flush at the end of the process: to queue the request,
/// and to write the lines that are queued before it.
///
/// Must be longer than [`BATCH_TIME`], for which the thread sleeps before it handles the request.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which lines are collected, so that one system call writes several of them.
const BATCH_TIME: Duration = Duration::from_millis(250);

/// Size of a batch, in bytes, at which it is written although more lines are queued.
const MAX_BATCH_BYTES: usize = 32 * 1024;

/// Job for the writing thread.
enum Job {
    /// Write this line.
    Line(Vec<u8>),
    /// Send a message when all lines queued before have been written.
    Flush(Sender<()>),
}

/// Queue of log lines for an output.
#[derive(Clone)]
pub struct Queue {
    jobs: Sender<Job>,
    /// Number of dropped lines that have not been reported yet.
    dropped: Arc<AtomicU64>,
}

impl Queue {
    /// Creates a queue, and starts the thread that writes its lines to an output.
    ///
    /// # Errors
    ///
    /// If the thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (jobs, receiver) = flume::bounded(QUEUE_LENGTH);
        let dropped = Arc::new(AtomicU64::new(0));
        let thread_dropped = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_SIZE_BYTES)
            .spawn(move || write_lines(&receiver, &thread_dropped, output))?;
        Ok(Self { jobs, dropped })
    }

    /// Waits until the lines queued so far have been written, for a short time at most.
    pub fn flush(&self) {
        let (done, written) = flume::bounded(1);
        if self.jobs.send_timeout(Job::Flush(done), FLUSH_TIMEOUT).is_ok() {
            // A time-out means that the output is not read; the lines are lost in any case.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Writes the queued lines in batches, until all senders of the queue are dropped.
fn write_lines(receiver: &Receiver<Job>, dropped: &AtomicU64, mut output: impl Write) {
    let mut lines = Vec::new();
    // Errors are ignored: if the output is closed, there is no other place to report them.
    let mut write = |lines: &mut Vec<u8>| {
        let _ = output.write_all(lines);
        let _ = output.flush();
        lines.clear();
    };
    while let Ok(first) = receiver.recv() {
        // A fixed pause collects several lines; to wait for each line would wake the thread for
        // each of them.
        thread::sleep(BATCH_TIME);
        for job in std::iter::once(first).chain(receiver.try_iter()) {
            let count = dropped.swap(0, Ordering::Relaxed);
            if count > 0 {
                let note = format!("{{\"level\":\"WARN\",\"dropped_lines\":{count}}}\n");
                lines.extend_from_slice(note.as_bytes());
            }
            match job {
                Job::Line(line) => lines.extend_from_slice(&line),
                Job::Flush(done) => {
                    write(&mut lines);
                    // Fails if the flush has timed out.
                    let _ = done.send(());
                }
            }
            if lines.len() >= MAX_BATCH_BYTES {
                write(&mut lines);
            }
        }
        write(&mut lines);
    }
}

/// Writer of one line; the line is queued when the writer is dropped.
pub struct Line<'a> {
    queue: &'a Queue,
    bytes: Vec<u8>,
}

impl Write for Line<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.bytes);
        if !line.is_empty() && self.queue.jobs.try_send(Job::Line(line)).is_err() {
            self.queue.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl<'a> MakeWriter<'a> for Queue {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Line<'a> {
        Line { queue: self, bytes: Vec::new() }
    }
}
