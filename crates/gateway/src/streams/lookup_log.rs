//! Logs how the software that may continue a stream was found.

use std::time::Duration;

use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::streams::StreamKey;
use chiverelay_decisions::streams::StreamKnowledge;
use chiverelay_decisions::streams::StreamRecord;
use chiverelay_decisions::streams::StreamSource;

use crate::Dialect;
use crate::Gateway;

/// Where it is known from what may continue a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BindingSource {
    /// The table of this instance.
    Own(StreamRecord),
    /// Another instance that was asked.
    Asked,
    /// The only version, by this instance's read of the marks.
    Store,
    /// The only version, by another instance's read of the marks.
    Others,
    /// It is not bound.
    None,
}

impl BindingSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Own(record) => match record.source {
                StreamSource::Own => "began here",
                StreamSource::Told => "told",
                StreamSource::Resumed => "resumed here",
            },
            Self::Asked => "asked",
            Self::Store => "store",
            Self::Others => "others",
            Self::None => "none",
        }
    }
}

/// What came of the lookup of a stream.
#[derive(Debug)]
pub(super) struct StreamLookup<'a> {
    pub(super) knowledge: &'a StreamKnowledge,
    /// Number of other instances that answered.
    pub(super) answers: usize,
    pub(super) source: BindingSource,
    pub(super) is_usable: bool,
    pub(super) took: Duration,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Logs what a stream was bound by, and how far this instance was in step
    /// with the store.
    pub(super) fn log_lookup(&self, key: &StreamKey, id: &RequestId, lookup: &StreamLookup<'_>) {
        let now = self.clock.now();
        let millis = |age: Duration| age.as_millis() as u64;
        let marks_read_at = self.tables.streams.lock().marks_read_at;
        let marks_age = now.saturating_sub(marks_read_at.unwrap_or_default());
        let source_age = match lookup.source {
            BindingSource::Own(record) => now.saturating_sub(record.recorded_at),
            BindingSource::Store => marks_age,
            BindingSource::Asked | BindingSource::Others | BindingSource::None => Duration::ZERO,
        };
        let began_by = lookup.knowledge.began_by.as_ref();
        log::info!(
            target: "streams",
            id = id.as_str(),
            began_as = key.id.as_str(),
            software = began_by.map_or("", |known| known.software.as_str()),
            possible = lookup.knowledge.possible_versions.len(),
            answers = lookup.answers,
            usable = lookup.is_usable,
            word = lookup.source.as_str(),
            word_age_ms = millis(source_age),
            store_age_ms = millis(self.tables.store_age(now)),
            behind_ms = millis(self.store_lag.read_behind_for(now)),
            marks_age_ms = millis(marks_age),
            took_ms = millis(lookup.took);
            "caller resumes a stream"
        );
    }
}
