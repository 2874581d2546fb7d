//! Processor time and memory of a process, from the proc file system of Linux.

use std::fs;
use std::io;

/// Nanoseconds in a second.
const NANOS_PER_SECOND: f64 = 1e9;

/// Processor time that the threads of a process have used, in seconds.
///
/// # Errors
///
/// If the process has exited.
pub(crate) fn processor_seconds(id: u32) -> io::Result<f64> {
    let mut nanos = 0;
    for thread in fs::read_dir(format!("/proc/{id}/task"))? {
        let text = fs::read_to_string(thread?.path().join("schedstat"))?;
        let thread_nanos =
            text.split_whitespace().next().and_then(|field| field.parse::<u64>().ok());
        nanos += thread_nanos.unwrap_or_default();
    }
    Ok(nanos as f64 / NANOS_PER_SECOND)
}

/// Resident memory of a process, in MiB.
///
/// # Errors
///
/// If the process has exited.
pub(crate) fn resident_mib(id: u32) -> io::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    Ok(kib.unwrap_or_default() / 1024.0)
}
