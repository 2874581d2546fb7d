//! The log's way to the standard output, which never holds the process up.
//!
//! Lines go through a bounded queue to a thread that writes them. If nobody reads the output, the
//! queue fills up and further lines are dropped; the first line that finds room again is preceded by
//! their number.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use flume::{Receiver, Sender};
use tracing_subscriber::fmt::MakeWriter;

/// Most lines that wait for the output.
const QUEUE: usize = 1_024;

/// Stack of the thread that writes, in bytes.
const STACK: usize = 64 * 1024;

/// Time at the end of the process for the lines that wait.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which lines are gathered, so that one call writes several of them.
const GATHER_TIME: Duration = Duration::from_millis(250);

/// Bytes at which they are written earlier.
const GATHER_BYTES: usize = 32 * 1024;

/// What the thread is asked to do.
enum Job {
    Line(Vec<u8>),
    /// Answer when all lines before have been written.
    Flush(Sender<()>),
}

/// A queue of lines towards an output.
#[derive(Clone)]
pub struct Queue {
    jobs: Sender<Job>,
    dropped: Arc<AtomicU64>,
}

impl Queue {
    /// Starts a thread that writes lines to an output.
    ///
    /// # Errors
    ///
    /// If the thread can not be started.
    pub fn open(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (jobs, queued) = flume::bounded(QUEUE);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK)
            .spawn(move || drain(&queued, &counted, output))?;
        Ok(Self { jobs, dropped })
    }

    /// Waits until the lines so far have been written, for a short time at most.
    pub fn flush(&self) {
        let (done, answer) = flume::bounded(1);
        if self.jobs.send_timeout(Job::Flush(done), FLUSH_TIMEOUT).is_ok() {
            // Without an answer nobody reads the output, and the lines are lost anyway.
            let _ = answer.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn drain(queued: &Receiver<Job>, dropped: &AtomicU64, mut output: impl Write) {
    let mut lines = Vec::new();
    // An output that is closed has no reader to be told, so that its errors are not.
    let mut write = |lines: &mut Vec<u8>| {
        let _ = output.write_all(lines);
        let _ = output.flush();
        lines.clear();
    };
    while let Ok(first) = queued.recv() {
        // Waiting for each further line would wake the thread for each of them.
        thread::sleep(GATHER_TIME);
        for job in std::iter::once(first).chain(queued.try_iter()) {
            let count = dropped.swap(0, Ordering::Relaxed);
            if count > 0 {
                let note = format!("{{\"level\":\"WARN\",\"dropped_lines\":{count}}}\n");
                lines.extend_from_slice(note.as_bytes());
            }
            match job {
                Job::Line(line) => lines.extend_from_slice(&line),
                Job::Flush(done) => {
                    write(&mut lines);
                    // Whoever asked may have given up.
                    let _ = done.send(());
                }
            }
            if lines.len() >= GATHER_BYTES {
                write(&mut lines);
            }
        }
        write(&mut lines);
    }
}

/// One line, which is queued when it is complete.
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
