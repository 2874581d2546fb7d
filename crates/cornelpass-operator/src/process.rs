//! What the operating system says of this process; nothing where it does not say.

/// Size of a page of memory, in bytes.
const PAGE: u64 = 4096;

/// Resident memory, in bytes.
#[must_use]
pub fn memory() -> Option<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE)
}

/// Open files and connections.
#[must_use]
pub fn open_files() -> Option<u64> {
    Some(std::fs::read_dir("/proc/self/fd").ok()?.count() as u64)
}
