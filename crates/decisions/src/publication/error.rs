//! Why a configuration is refused.

use thiserror::Error as ThisError;

/// Why a configuration is refused. The last good one stays in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum PublicationError {
    /// A chunk is missing.
    #[error("chunk {key} is missing")]
    Missing {
        /// The chunk's name.
        key: String,
    },
    /// A chunk is not the one that was written.
    #[error("chunk {key} is corrupt")]
    Corrupt {
        /// The chunk's name.
        key: String,
    },
    /// A chunk or the manifest can't be read.
    #[error("{key}: {reason}")]
    Unreadable {
        /// The chunk's name; empty for the manifest.
        key: String,
        /// What is wrong.
        reason: String,
    },
    /// An entry is too large.
    #[error("a chunk would have {len} bytes")]
    TooLarge {
        /// Size of the chunk in bytes.
        len: usize,
    },
    /// The tables taken together are faulty.
    #[error("{}: {reason}", path.join("."))]
    Tables {
        /// Path of keys to the faulty value.
        path: Vec<String>,
        /// What is wrong.
        reason: String,
    },
}
