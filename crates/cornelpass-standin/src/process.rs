//! Programs of the workspace as child processes of a demonstration or a test, with their log lines.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use serde_json::Value;

/// Code of the log event that states the addresses that a process listens on.
const STARTED_EVENT: u64 = 100;

/// Maximum number of log lines that a failed test prints for each process.
const MAX_PRINTED_LINES: usize = 300;

/// Time limit for a state of a process to be reached.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Default)]
struct Log {
    lines: Mutex<Vec<Value>>,
    appended: Condvar,
}

impl Log {
    fn lines(&self) -> MutexGuard<'_, Vec<Value>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: Value) {
        self.lines().push(line);
        self.appended.notify_all();
    }
}

/// A running program. Dropping it kills the process.
pub struct Process {
    child: Child,
    log: Arc<Log>,
}

impl Process {
    /// Starts a program with the path of its settings.
    ///
    /// # Errors
    ///
    /// If the program can not be started.
    pub fn start(program: &Path, settings: &Path) -> io::Result<Self> {
        let mut command = Command::new(program);
        command.arg("run").arg("--settings").arg(settings);
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let log = Arc::new(Log::default());
        if let Some(stdout) = child.stdout.take() {
            let log = Arc::clone(&log);
            thread::spawn(move || {
                for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                    let line = serde_json::from_str(&line).unwrap_or(Value::String(line));
                    log.push(line);
                }
            });
        }
        Ok(Self { child, log })
    }

    /// Process ID in the operating system.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Lines that the process has logged so far: JSON, or a string where a line is not JSON.
    #[must_use]
    pub fn log_lines(&self) -> Vec<Value> {
        self.log.lines().clone()
    }

    /// Waits until a log line meets a condition, and returns the first such line.
    ///
    /// # Errors
    ///
    /// If no line meets the condition within [`WAIT_TIMEOUT`]; the error contains all lines.
    pub fn wait_for_line(&self, condition: impl Fn(&Value) -> bool) -> io::Result<Value> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut lines = self.log.lines();
        loop {
            if let Some(line) = lines.iter().find(|line| condition(line)) {
                return Ok(line.clone());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::Error::other(format!(
                    "no matching log line within {WAIT_TIMEOUT:?}: {:#?}",
                    *lines
                )));
            }
            let waited = self.log.appended.wait_timeout(lines, left);
            lines = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits until the process logs an event with a code, and returns the log line.
    ///
    /// # Errors
    ///
    /// If the process does not log the event within [`WAIT_TIMEOUT`].
    pub fn wait_for_event(&self, number: u64) -> io::Result<Value> {
        self.wait_for_line(|line| line["event"] == number)
    }

    /// Address that the process listens on, by its field in the event of the start, such as
    /// `callers`.
    ///
    /// # Errors
    ///
    /// If the process does not start within [`WAIT_TIMEOUT`], or the event has no such address.
    pub fn address(&self, name: &str) -> io::Result<SocketAddr> {
        let started = self.wait_for_event(STARTED_EVENT)?;
        let address = started[name].as_str().and_then(|text| text.parse().ok());
        address
            .ok_or_else(|| io::Error::other(format!("field {name} is not an address: {started}")))
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal to the process, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// If the process no longer exists.
    pub fn signal(&self, signal: rustix::process::Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.id()).ok().and_then(rustix::process::Pid::from_raw);
        let id = id.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        rustix::process::kill_process(id, signal)?;
        Ok(())
    }

    /// Prints the last log lines to the standard error, so that the failure of a test can be traced
    /// from its output.
    fn print_log(&self) {
        let lines = self.log.lines();
        let skipped = lines.len().saturating_sub(MAX_PRINTED_LINES);
        eprintln!("log of process {}, without {skipped} earlier lines:", self.child.id());
        lines.iter().skip(skipped).for_each(|line| eprintln!("{line}"));
    }

    /// Waits until the process has exited; true if its exit status is 0.
    ///
    /// # Errors
    ///
    /// If the operating system can not wait for the process.
    pub fn wait_for_exit(&mut self) -> io::Result<bool> {
        Ok(self.child.wait()?.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if thread::panicking() {
            self.print_log();
        }
    }
}

/// Builds the router and the sidecar in the profile of the calling program. Cargo does not build
/// the programs of other packages for an example.
///
/// # Errors
///
/// If cargo can not be started or the build fails.
pub fn build_programs() -> io::Result<()> {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let packages = ["--package", "cornelpass-router", "--package", "cornelpass-sidecar"];
    let mut command = Command::new(cargo);
    command.arg("build").arg("--quiet").args(packages);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    let succeeded = command.status()?.success();
    if succeeded { Ok(()) } else { Err(io::Error::other("cargo build failed")) }
}

/// Packages whose sources both programs contain, without the prefix `cornelpass-`.
const SHARED_PACKAGES: [&str; 4] = ["core", "wire", "operator", "platform"];

/// Path of a program that the workspace builds, in the build directory of the calling program.
///
/// # Errors
///
/// If the program does not exist or is older than its sources; the error contains the build
/// command.
pub fn program_path(name: &str) -> io::Result<PathBuf> {
    let current = std::env::current_exe()?;
    let program = current.ancestors().map(|folder| folder.join(name)).find(|path| path.is_file());
    let program = program.ok_or_else(|| build_error(name, "is not built"))?;
    if newest_source(name)? > Some(program.metadata()?.modified()?) {
        return Err(build_error(name, "is older than its sources"));
    }
    Ok(program)
}

fn build_error(name: &str, problem: &str) -> io::Error {
    let message = format!("{name} {problem}: run cargo build --workspace");
    io::Error::new(io::ErrorKind::NotFound, message)
}

/// Time of the last change to the sources of a program; none if the sources do not exist here.
fn newest_source(name: &str) -> io::Result<Option<SystemTime>> {
    let own_package = if name == "cornelpass-router" { "caller" } else { "target" };
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let packages =
        SHARED_PACKAGES.iter().chain([&own_package]).map(|package| format!("cornelpass-{package}"));
    let mut newest = None;
    for package in packages.chain([name.to_owned()]) {
        let sources = crates.join(package).join("src");
        if sources.is_dir() {
            newest = newest.max(newest_change(&sources)?);
        }
    }
    Ok(newest)
}

fn newest_change(folder: &Path) -> io::Result<Option<SystemTime>> {
    let mut newest = None;
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        let changed = match entry.file_type()?.is_dir() {
            true => newest_change(&entry.path())?,
            false => Some(entry.metadata()?.modified()?),
        };
        newest = newest.max(changed);
    }
    Ok(newest)
}
