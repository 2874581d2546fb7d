//! Stand-ins as child processes: the demonstration starts its own program with a subcommand for
//! each.

use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};

use clap::{Arg, ArgMatches, value_parser};
use cornelpass_standin::engine::{Engine, Options};
use cornelpass_standin::platform;
use cornelpass_standin::service::Service;

/// Outside system that a stand-in replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The platform.
    Platform,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

impl Kind {
    /// All kinds.
    pub(crate) const ALL: [Self; 3] = [Self::Platform, Self::Engine, Self::Service];

    const fn name(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Engine => "engine",
            Self::Service => "service",
        }
    }

    const fn about(self) -> &'static str {
        match self {
            Self::Platform => "Run a stand-in for the platform: table, objects, instance list",
            Self::Engine => "Run a stand-in for a model engine",
            Self::Service => "Run a stand-in for a plain service",
        }
    }
}

/// Subcommand that runs a stand-in.
pub(crate) fn command(kind: Kind) -> clap::Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
        .help("IP address and port to listen on");
    clap::Command::new(kind.name())
        .about(kind.about())
        .long_about(format!("{}, until the standard input closes.", kind.about()))
        .arg(listen)
}

/// Runs a stand-in until the standard input closes, and prints the address that it listens on.
pub(crate) fn run(name: &str, matches: &ArgMatches) -> io::Result<()> {
    let kind = Kind::ALL.into_iter().find(|kind| kind.name() == name);
    let address = matches.get_one::<SocketAddr>("listen").copied();
    let (Some(kind), Some(address)) = (kind, address) else {
        return Err(io::Error::from(io::ErrorKind::InvalidInput));
    };
    let listener = TcpListener::bind(address)?;
    println!("{}", listener.local_addr()?);
    match kind {
        Kind::Platform => serve_until_stdin_closes(platform::serve(listener)),
        Kind::Engine => serve_until_stdin_closes(Engine::start(listener, Options::default())?),
        Kind::Service => serve_until_stdin_closes(Service::start(listener)?),
    }
}

/// Keeps a server until the standard input closes.
fn serve_until_stdin_closes<T>(server: T) -> io::Result<()> {
    io::copy(&mut io::stdin().lock(), &mut io::sink())?;
    drop(server);
    Ok(())
}

/// A stand-in in a child process. Dropping it closes the standard input of the process, which then
/// exits.
pub(crate) struct Standin {
    /// Address that the stand-in listens on.
    pub(crate) address: SocketAddr,
    child: Child,
}

impl Standin {
    /// Starts a stand-in and waits until it listens.
    pub(crate) fn start(kind: Kind) -> io::Result<Self> {
        let mut command = Command::new(std::env::current_exe()?);
        command.arg(kind.name()).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.as_mut() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let address = line.trim().parse().map_err(io::Error::other)?;
        Ok(Self { address, child })
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        let _ = self.child.wait();
    }
}
