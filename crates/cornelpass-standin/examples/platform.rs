//! Runs the stand-in for the platform until the process is stopped.

use std::error::Error;
use std::net::TcpListener;
use std::thread;

use clap::{Arg, Command};
use cornelpass_standin::platform;

fn main() -> Result<(), Box<dyn Error>> {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .default_value("127.0.0.1:0")
        .help("IP address and port to listen on");
    let matches = Command::new("platform")
        .about("Stand-in for the platform: table, object store and instance list")
        .arg(listen)
        .get_matches();
    let address = matches.get_one::<String>("listen").map_or("127.0.0.1:0", String::as_str);
    let platform = platform::serve(TcpListener::bind(address)?);
    println!("listening on {}", platform.address());
    loop {
        thread::park();
    }
}
