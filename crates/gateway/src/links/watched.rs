//! A link with the time of the last sign of life of the process that it leads
//! to.

use std::time::Duration;

use chiverelay_sibling::Connected;
use chiverelay_sibling::Draining;
use chiverelay_sibling::Link;
use chiverelay_sibling::Up;

use crate::MemberRecord;

/// A link in state `S`.
#[derive(Clone, Debug)]
pub(super) struct WatchedLink<S> {
    pub(super) link: Link<S>,
    /// Number of datagrams that had arrived at the last look.
    received_datagrams: u64,
    /// Time of the last look that found new datagrams.
    heard_at: Duration,
}

impl<S> WatchedLink<S>
where
    S: Connected,
{
    /// Tells whether datagrams have arrived since the last call.
    pub(super) fn take_contact(&mut self, now: Duration) -> bool {
        let received = self.link.received_datagrams();
        let is_heard = std::mem::replace(&mut self.received_datagrams, received) != received;
        if is_heard {
            self.heard_at = now;
        }
        is_heard
    }

    /// Tells whether nothing has arrived for `time`.
    pub(super) fn is_silent(&self, time: Duration, now: Duration) -> bool {
        !self.link.is_lost() && self.heard_at + time <= now
    }
}

impl WatchedLink<Up> {
    pub(super) fn new(link: Link<Up>, now: Duration) -> Self {
        Self {
            link,
            received_datagrams: 0,
            heard_at: now,
        }
    }

    pub(super) fn drain(self) -> WatchedLink<Draining> {
        WatchedLink {
            link: self.link.drain(),
            received_datagrams: self.received_datagrams,
            heard_at: self.heard_at,
        }
    }

    /// Tells whether the link is usable and leads to the process of a record.
    pub(super) fn leads_to(&self, record: &MemberRecord) -> bool {
        !self.link.is_lost() && **self.link.certificate() == *record.certificate
    }

    /// Logs why the link is dialed again under a record.
    pub(super) fn log_unusable(&self, record: &MemberRecord) {
        let reason = match self.link.is_lost() {
            true => "lost",
            false => "leads to another process",
        };
        log::info!(
            target: "links",
            dependency = "sibling",
            instance = record.instance.as_str(),
            incarnation = record.incarnation,
            expected = record.certificate.as_str(),
            certificate:% = self.link.certificate(),
            reason,
            open = self.link.open_answers();
            "link is given up"
        );
    }
}
