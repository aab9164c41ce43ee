//! Whether the process at the other end of a link still acknowledges what is
//! sent to it.
//!
//! A process that was killed closes no connection. Its end shows in what it
//! leaves unacknowledged, long before the connection times out.

use std::time::Duration;

/// Round trips in which a packet is acknowledged though it was lost once: the
/// transport sends again after up to three, and that takes another.
const ROUND_TRIPS: u32 = 4;

/// Time by which the other end may acknowledge later: the transport's own delay
/// of acknowledgements, and a process that is busy.
const ANSWER_DELAY: Duration = Duration::from_millis(200);

/// What has passed on a link so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PacketCounts {
    /// Datagrams that have arrived.
    pub arrived: u64,
    /// Frames sent that the other end has to acknowledge.
    pub sent: u64,
}

/// What was sent on a link and is followed by nothing from the other end.
///
/// # Invariants
///
/// `since` is only set if something was sent, or was about to be, after the last
/// datagram in `seen` had arrived.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unanswered {
    /// The counts at the last look.
    seen: PacketCounts,
    /// Time of the first look that found something unanswered.
    since: Option<Duration>,
}

impl Unanswered {
    /// Takes a look at what has passed by `now`.
    pub fn look(&mut self, counts: PacketCounts, now: Duration) {
        if counts.arrived != self.seen.arrived {
            // What was sent since is repeated by the transport until something
            // arrives.
            self.since = None;
        } else if counts.sent != self.seen.sent {
            self.since.get_or_insert(now);
        }
        self.seen = counts;
    }

    /// Returns the number of datagrams that had arrived at the last look.
    pub fn arrived(&self) -> u64 {
        self.seen.arrived
    }

    /// Notes that something is sent now.
    pub fn record_sent(&mut self, now: Duration) {
        self.since.get_or_insert(now);
    }

    /// Tells whether a process that runs would have answered by `now` over a link
    /// with this round-trip time.
    pub fn is_overdue(&self, round_trip: Duration, now: Duration) -> bool {
        let allowed = ROUND_TRIPS * round_trip + ANSWER_DELAY;
        self.since.is_some_and(|since| since + allowed <= now)
    }
}
