//! Errors in reading or writing a published configuration.

use thiserror::Error as ThisError;

/// Reason for which a configuration is rejected. The last valid one stays in
/// force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum PublicationError {
    /// A chunk is missing.
    #[error("chunk {key} is missing")]
    Missing {
        /// Name of the chunk.
        key: String,
    },
    /// The data of a chunk does not match its digest.
    #[error("chunk {key} is corrupt")]
    Corrupt {
        /// Name of the chunk.
        key: String,
    },
    /// A chunk or the manifest cannot be decoded.
    #[error("{key}: {reason}")]
    Unreadable {
        /// Name of the chunk; empty for the manifest.
        key: String,
        /// Description of the error.
        reason: String,
    },
    /// An entry does not fit into a chunk.
    #[error("a chunk would have {len} bytes")]
    TooLarge {
        /// Size of the chunk in bytes.
        len: usize,
    },
    /// The assembled configuration is invalid.
    #[error("{}: {reason}", path.join("."))]
    InvalidConfig {
        /// Path of field and entry names to the faulty value.
        path: Vec<String>,
        /// Description of the error.
        reason: String,
    },
}
