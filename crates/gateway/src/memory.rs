//! The memory of the process.

/// File in which the system states the memory of the process.
const STATUS_FILE: &str = "/proc/self/status";

/// Returns the memory that the process has in use, in bytes; 0 if the system
/// doesn't tell.
pub(crate) fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string(STATUS_FILE).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next());
    let kib: Option<u64> = kib.and_then(|n| n.parse().ok());
    kib.map_or(0, |n| n * 1024)
}
