//! A process of cornelpass, started by a demonstration or a test.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use serde_json::Value;

/// Number of the event that tells a process's addresses.
const STARTED: u64 = 100;

/// Longest wait for a state of a process.
pub const PATIENCE: Duration = Duration::from_secs(30);

#[derive(Default)]
struct Journal {
    lines: Mutex<Vec<Value>>,
    grown: Condvar,
}

impl Journal {
    fn lines(&self) -> MutexGuard<'_, Vec<Value>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: Value) {
        self.lines().push(line);
        self.grown.notify_all();
    }
}

/// A running process; it is killed when dropped.
pub struct Process {
    child: Child,
    journal: Arc<Journal>,
}

impl Process {
    /// Starts a program with its settings.
    ///
    /// # Errors
    ///
    /// Fails if the program can not be started.
    pub fn start(program: &Path, settings: &Path) -> io::Result<Self> {
        let mut command = Command::new(program);
        command.arg("run").arg("--settings").arg(settings);
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let journal = Arc::new(Journal::default());
        if let Some(stdout) = child.stdout.take() {
            let journal = Arc::clone(&journal);
            thread::spawn(move || {
                for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                    let line = serde_json::from_str(&line).unwrap_or(Value::String(line));
                    journal.push(line);
                }
            });
        }
        Ok(Self { child, journal })
    }

    /// Number of the process in the operating system.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Lines that it has logged.
    #[must_use]
    pub fn lines(&self) -> Vec<Value> {
        self.journal.lines().clone()
    }

    /// Waits until a line meets a condition, and returns it.
    ///
    /// # Errors
    ///
    /// With all lines, if none comes within [`PATIENCE`].
    pub fn wait_for(&self, wanted: impl Fn(&Value) -> bool) -> io::Result<Value> {
        let until = Instant::now() + PATIENCE;
        let mut lines = self.journal.lines();
        loop {
            if let Some(line) = lines.iter().find(|line| wanted(line)) {
                return Ok(line.clone());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::Error::other(format!("no such event in {:#?}", *lines)));
            }
            let waited = self.journal.grown.wait_timeout(lines, left);
            lines = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits for an event of the catalogue, by number.
    ///
    /// # Errors
    ///
    /// If it does not come within [`PATIENCE`].
    pub fn event(&self, number: u64) -> io::Result<Value> {
        self.wait_for(|line| line["event"] == number)
    }

    /// Address that it told when it started.
    ///
    /// # Errors
    ///
    /// If it does not start within [`PATIENCE`].
    pub fn address(&self, name: &str) -> io::Result<SocketAddr> {
        let started = self.event(STARTED)?;
        let address = started[name].as_str().and_then(|text| text.parse().ok());
        address.ok_or_else(|| io::Error::other(format!("no address {name} in {started}")))
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends it a signal by name, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// If the process does not exist any more.
    pub fn signal(&self, signal: rustix::process::Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.id()).ok().and_then(rustix::process::Pid::from_raw);
        let id = id.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        rustix::process::kill_process(id, signal)?;
        Ok(())
    }

    /// Waits until it has ended; true if it ended well.
    ///
    /// # Errors
    ///
    /// If it can not be waited for.
    pub fn wait(&mut self) -> io::Result<bool> {
        Ok(self.child.wait()?.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Builds the programs in the profile of this one, which cargo does not do for an example of another
/// package.
///
/// # Errors
///
/// If cargo fails.
pub fn build() -> io::Result<()> {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let packages = ["--package", "cornelpass-router", "--package", "cornelpass-sidecar"];
    let mut command = Command::new(cargo);
    command.arg("build").arg("--quiet").args(packages);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    let built = command.status()?.success();
    if built { Ok(()) } else { Err(io::Error::other("cargo build failed")) }
}

/// Packages that both programs are made of.
const SHARED: [&str; 4] = ["core", "wire", "operator", "platform"];

/// Path of a program that the workspace builds.
///
/// # Errors
///
/// With the command to build it, if it is not there or older than its sources.
pub fn program(name: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let program = own.ancestors().map(|folder| folder.join(name)).find(|path| path.is_file());
    let program = program.ok_or_else(|| unbuilt(name, "is not built"))?;
    if newest_source(name)? > Some(program.metadata()?.modified()?) {
        return Err(unbuilt(name, "is older than its sources"));
    }
    Ok(program)
}

fn unbuilt(name: &str, problem: &str) -> io::Error {
    let message = format!("{name} {problem}: run cargo build --workspace");
    io::Error::new(io::ErrorKind::NotFound, message)
}

/// Time of the last change to a program's sources; none where they are not at hand.
fn newest_source(name: &str) -> io::Result<Option<SystemTime>> {
    let peer = if name == "cornelpass-router" { "caller" } else { "target" };
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let packages = SHARED.iter().chain([&peer]).map(|package| format!("cornelpass-{package}"));
    let mut newest = None;
    for package in packages.chain([name.to_owned()]) {
        let sources = crates.join(package).join("src");
        if sources.is_dir() {
            newest = newest.max(newest_file(&sources)?);
        }
    }
    Ok(newest)
}

fn newest_file(folder: &Path) -> io::Result<Option<SystemTime>> {
    let mut newest = None;
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        let found = match entry.file_type()?.is_dir() {
            true => newest_file(&entry.path())?,
            false => Some(entry.metadata()?.modified()?),
        };
        newest = newest.max(found);
    }
    Ok(newest)
}
