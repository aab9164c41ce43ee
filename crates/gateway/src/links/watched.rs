//! A link with the time of the last sign of life of the process that it leads
//! to.

use std::time::Duration;

use chiverelay_decisions::unanswered::Unanswered;
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
    /// What the other end has left unanswered.
    unanswered: Unanswered,
    /// Number of datagrams that had arrived when an answer was overdue. Until
    /// more arrive the link takes no requests.
    given_up_at: Option<u64>,
}

impl<S> WatchedLink<S>
where
    S: Connected,
{
    /// Tells whether datagrams have arrived since the last call.
    pub(super) fn take_contact(&mut self, now: Duration) -> bool {
        let counts = self.link.packet_counts();
        self.unanswered.look(counts, now);
        let received = counts.arrived;
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
            unanswered: Unanswered::default(),
            given_up_at: None,
        }
    }

    /// Tells whether the other end owes an answer for longer than a process that
    /// runs would take.
    pub(super) fn is_overdue(&mut self, now: Duration) -> bool {
        self.unanswered.look(self.link.packet_counts(), now);
        self.unanswered.is_overdue(self.link.round_trip(), now)
    }

    /// Notes that a request is sent now.
    pub(super) fn record_sent(&mut self, now: Duration) {
        self.unanswered.record_sent(now);
    }

    /// Has the link take no requests until something arrives on it. Returns
    /// whether it took any before.
    pub(super) fn give_up(&mut self) -> bool {
        let arrived = Some(self.unanswered.arrived());
        std::mem::replace(&mut self.given_up_at, arrived) != arrived
    }

    /// Tells whether the link takes requests.
    pub(super) fn takes_requests(&self) -> bool {
        let has_arrived = |before| self.link.packet_counts().arrived != before;
        !self.link.is_lost() && self.given_up_at.is_none_or(has_arrived)
    }

    pub(super) fn drain(self) -> WatchedLink<Draining> {
        WatchedLink {
            link: self.link.drain(),
            received_datagrams: self.received_datagrams,
            heard_at: self.heard_at,
            unanswered: self.unanswered,
            given_up_at: self.given_up_at,
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
