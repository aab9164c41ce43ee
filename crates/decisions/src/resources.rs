//! The resources that a process has, which bound what it takes on.

/// Limits of the system on one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Memory, in bytes.
    pub memory: u64,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        Self {
            memory: 256 * 1024 * 1024,
            descriptors: 1024,
        }
    }
}
