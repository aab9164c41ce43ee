//! How a configuration is published: in chunks under a manifest, read by a
//! few watchers in each region and passed on among siblings.

mod chunks;
mod fault;
mod manifest;
mod spread;
mod sweep;

pub use chunks::Chunk;
pub use chunks::MAX_CHUNK;
pub use chunks::split;
pub use fault::Fault;
pub use manifest::ChunkRef;
pub use manifest::Manifest;
pub use manifest::Plan;
pub use manifest::Root;
pub use manifest::Writer;
pub use spread::Heard;
pub use spread::Source;
pub use spread::WATCHERS;
pub use spread::is_watcher;
pub use spread::source;
pub use sweep::is_sweep_due;
