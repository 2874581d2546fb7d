//! Resources of this process, as the operating system reports them in `/proc`.
//!
//! The functions return `None` on systems without `/proc`.

/// Size of a memory page, in bytes.
const PAGE_SIZE_BYTES: u64 = 4096;

/// Resident memory of this process, in bytes.
#[must_use]
pub fn resident_memory_bytes() -> Option<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE_SIZE_BYTES)
}

/// Number of open files and connections of this process.
#[must_use]
pub fn open_file_count() -> Option<u64> {
    Some(std::fs::read_dir("/proc/self/fd").ok()?.count() as u64)
}
