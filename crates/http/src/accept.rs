//! Errors of accepting and opening connections.

use std::time::Duration;

/// Pause before the next accept after one failed.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Tells whether the process or the system has no descriptor left.
pub fn is_out_of_descriptors(e: &std::io::Error) -> bool {
    let code = e.raw_os_error();
    let known = [rustix::io::Errno::MFILE, rustix::io::Errno::NFILE];
    known.iter().any(|errno| code == Some(errno.raw_os_error()))
}
