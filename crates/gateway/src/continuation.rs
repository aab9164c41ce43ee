//! Streams that have begun and go on with the answer of another attempt: which
//! answer that may be, and the record of it.

use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::step::Peer;

use crate::Dialect;
use crate::Gateway;
use crate::Metrics;
use crate::place::PlacementContext;
use crate::remote_answer::RemoteAnswer;

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

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Binds a stream of unknown software to that of its pool's targets, if they
    /// have but one version. It is continued nowhere otherwise.
    pub(crate) fn bind_to_only_software(&self, cx: &mut PlacementContext) {
        if cx.software.is_none() {
            cx.software = self.only_software(cx);
        }
    }

    /// Tells whether an answer that another instance relays may be used: an
    /// answer that begins, an error, or the rest of a stream by the software that
    /// began it. Of a pool with one version, the instance need not state it.
    pub(crate) fn may_use_remote_answer(
        &self,
        cx: &PlacementContext,
        answer: &RemoteAnswer,
    ) -> bool {
        let is_only = answer.software.is_none()
            && !answer.is_software_uncertain
            && cx.software == self.only_software(cx);
        !answer.status.is_success() || cx.accepts_software(answer.software.as_ref()) || is_only
    }

    fn only_software(&self, cx: &PlacementContext) -> Option<SoftwareVersion> {
        let pool = &cx.pool.name;
        let only = self.tables.fleet.lock().only_software(pool).cloned()?;
        // Streams of software that has left may still go on.
        let streams = self.tables.streams.lock();
        let possible = streams.software.possible(pool, self.clock.now());
        possible
            .iter()
            .all(|software| *software == only)
            .then_some(only)
    }
}
