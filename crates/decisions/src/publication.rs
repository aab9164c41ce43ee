//! Publication of the configuration. It is stored as chunks, a list of them in
//! parts, and a root record that refers to the parts; root and list together
//! are the manifest. It is read from the store by a few watchers in each
//! region, and passed on from instance to instance.

mod chunks;
mod error;
mod manifest;
mod source;
mod sweep;

pub use chunks::Chunk;
pub use chunks::MAX_CHUNK_BYTES;
pub use chunks::split;
pub use error::PublicationError;
pub use manifest::ChunkRef;
pub use manifest::Manifest;
pub use manifest::Root;
pub use manifest::WriteId;
pub use manifest::WritePlan;
pub use source::FetchSource;
pub use source::SiblingVersion;
pub use source::WATCHERS_PER_REGION;
pub use source::choose_source;
pub use source::is_watcher;
pub use sweep::is_sweep_due;
