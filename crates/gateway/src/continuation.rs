//! Records that a stream that has begun goes on with the answer of another
//! attempt.

use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::step::Peer;

use crate::Metrics;

/// Whether the software that continues a stream is that which began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SoftwareMatch {
    Same,
    Other,
    Unknown,
}

impl SoftwareMatch {
    /// Compares the version that began a stream, if it is known, with the one
    /// that continues it.
    fn between(began: Option<&SoftwareVersion>, next: Option<&SoftwareVersion>) -> Self {
        match (began, next) {
            (Some(began), Some(next)) if began == next => Self::Same,
            (Some(_), Some(_)) => Self::Other,
            _ => Self::Unknown,
        }
    }

    /// Returns the name in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Other => "other",
            Self::Unknown => "unknown",
        }
    }
}

/// A stream that goes on with the answer of another attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Continuation<'a> {
    pub(crate) id: &'a RequestId,
    /// Who continues it.
    pub(crate) peer: &'a Peer,
    /// The last event that was sent before.
    pub(crate) last_event_id: Option<u64>,
    /// Software that began the stream.
    pub(crate) began: Option<&'a SoftwareVersion>,
    /// Software that continues it.
    pub(crate) next: Option<&'a SoftwareVersion>,
}

impl Continuation<'_> {
    /// Records the continuation in metrics and log.
    pub(crate) fn record(self, metrics: &Metrics) {
        let software = SoftwareMatch::between(self.began, self.next);
        metrics.count_continuation(software);
        log::info!(
            target: "relay",
            id = self.id.as_str(),
            peer:% = self.peer,
            last_event = self.last_event_id.unwrap_or_default(),
            began = self.began.map_or("", SoftwareVersion::as_str),
            software = self.next.map_or("", SoftwareVersion::as_str);
            "stream goes on at another target"
        );
    }
}
