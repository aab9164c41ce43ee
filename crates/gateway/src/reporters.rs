//! The instances that report to this one as their hub.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_decisions::traffic::PartUseCursor;

/// Time without a report after which an instance no longer counts as reporting
/// here. It is several intervals of reports.
const REPORTER_TTL: Duration = Duration::from_millis(1500);

#[derive(Clone, Copy, Debug, Default)]
struct Reporter {
    /// When the last report arrived, on the local monotonic clock.
    reported_at: Duration,
    /// Up to where the instance was told the uses of prompt parts.
    cursor: PartUseCursor,
}

/// The instances that report to this one.
#[derive(Debug)]
pub(crate) struct Reporters {
    by_name: RankedMutex<HashMap<Instance, Reporter>>,
}

impl Default for Reporters {
    fn default() -> Self {
        Self {
            by_name: RankedMutex::new(LockRank::Reporters, HashMap::new()),
        }
    }
}

impl Reporters {
    /// Records a report, and returns up to where the instance was told the uses
    /// of prompt parts.
    pub(crate) fn record(&self, name: &Instance, now: Duration) -> PartUseCursor {
        let mut by_name = self.by_name.lock();
        let reporter = by_name.entry(name.clone()).or_default();
        reporter.reported_at = now;
        reporter.cursor
    }

    /// Sets up to where an instance was told the uses of prompt parts.
    pub(crate) fn set_cursor(&self, name: &Instance, cursor: PartUseCursor) {
        if let Some(reporter) = self.by_name.lock().get_mut(name) {
            reporter.cursor = cursor;
        }
    }

    /// Returns the names of the instances that report here.
    pub(crate) fn names(&self) -> HashSet<Instance> {
        self.by_name.lock().keys().cloned().collect()
    }

    /// Removes the instances that have stopped to report here, and returns
    /// their names.
    pub(crate) fn remove_expired(&self, now: Duration) -> Vec<Instance> {
        let mut by_name = self.by_name.lock();
        let expired = by_name.extract_if(|_, r| r.reported_at + REPORTER_TTL <= now);
        expired.map(|(name, _)| name).collect()
    }
}
