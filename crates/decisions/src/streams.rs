//! Streams that callers may resume, and the software of the targets that began
//! them. A stream can be continued only by targets of the same software.

mod began;
mod knowledge;
mod mark_reads;
mod software;

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::names::Account;
use crate::names::Pool;
use crate::names::RequestId;
use crate::names::SoftwareVersion;

pub use began::BeganStreams;
pub use began::MAX_ID_BYTES;
pub use began::MAX_STREAMS;
pub use began::StreamRecord;
pub use began::StreamSource;
pub use knowledge::Binding;
pub use knowledge::History;
pub use knowledge::StreamKnowledge;
pub use mark_reads::LOOKUP_TIMEOUT;
pub use mark_reads::MarkReads;
pub use software::MARK_INTERVAL;
pub use software::MARK_PATIENCE;
pub use software::MarkChange;
pub use software::MarkStep;
pub use software::MarkTurn;
pub use software::SoftwareHistory;

/// Shortest time for which streams and the software of pools are remembered. An
/// instance that is cut off from the store may begin streams at targets whose
/// records are gone.
pub const MIN_LIFETIME: Duration = Duration::from_secs(30);

/// Time beyond the longest answer for which they are remembered, in which a
/// caller may come back.
const RETURN_MARGIN: Duration = Duration::from_secs(10);

/// Returns the time for which streams are remembered whose answers take at most
/// `longest`.
pub fn lifetime_for(longest: Duration) -> Duration {
    MIN_LIFETIME.max(longest + RETURN_MARGIN)
}

/// What tells a stream from all others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StreamKey {
    /// The client account that it began for; `None` on open routes.
    pub account: Option<Account>,
    /// The caller's request that it began with.
    pub id: RequestId,
}

/// Software that targets of a pool have.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PoolSoftware {
    /// The pool.
    pub pool: Pool,
    /// Version of its targets' software.
    pub software: SoftwareVersion,
}
