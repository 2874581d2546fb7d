//! Stand-ins for the clients, the servers and the platform, with the standard library only.
//!
//! Each case of the review is a program in `src/bin` that starts the router of the deploy file as a
//! separate process on loopback addresses, plays its events on the real clock, and checks one rule.

pub mod caller;
pub mod config;
pub mod http;
pub mod proxy;
pub mod record;
pub mod router;
pub mod store;
pub mod target;

use std::time::{Duration, Instant};

/// Whether the case plays its disruption; false with `TROUBLE=0`.
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Waits until a condition holds; returns false after the time limit.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    condition()
}

/// Exit status of a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
#[must_use]
pub fn exit(held: std::io::Result<bool>) -> std::process::ExitCode {
    match held {
        Ok(true) => std::process::ExitCode::SUCCESS,
        Ok(false) => std::process::ExitCode::from(1),
        Err(error) => {
            println!("could not run: {error}");
            std::process::ExitCode::from(2)
        }
    }
}
