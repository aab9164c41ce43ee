//! How siblings pass the configuration on.

use serde::Deserialize;
use serde::Serialize;

/// Bytes of chunks in one answer, beyond which only one chunk goes.
pub const MAX_PARTS: usize = 2 * 1024 * 1024;

/// Asks for the root of the manifest in force, or for chunks and parts of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Digests of the chunks asked for; none to ask for the root.
    pub digests: Vec<String>,
}

/// Answer to [`ConfigRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigParts {
    /// The root, if it was asked for and there is one.
    pub manifest: Option<Vec<u8>>,
    /// The first of the chunks asked for.
    pub chunks: Vec<Vec<u8>>,
}
