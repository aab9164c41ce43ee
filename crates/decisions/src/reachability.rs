//! Whether this instance reaches the targets of its region.
//!
//! One target that refuses connections or sends nothing may have failed itself.
//! An instance that reaches none of several is cut off from them. Failures of
//! requests only say when to look: what decides is a round of probes, which open
//! connections to several targets. A target whose process stands still or is
//! busy accepts connections and keeps them, and so do the other targets when one
//! has crashed.
//!
//! If all targets of a region have failed, all its instances count as cut off,
//! and none is better than the others.

use std::time::Duration;

/// Time without any sign of life of the targets after which they are probed,
/// while requests wait and answers usually come sooner.
const MIN_SILENCE: Duration = Duration::from_millis(400);

/// Longest time without a sign of life before the targets are probed.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// Multiple of the longest usual wait for a sign of life after which silence is
/// unusual.
const UNUSUAL_WAIT_FACTOR: f64 = 1.5;

/// Part of the longest wait that remains with each further wait.
const WAIT_DECAY: f64 = 0.98;

/// Shortest time between two rounds of probes.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Number of targets that have to be out of reach at once to take a crash of one
/// of them for a cut.
const MANY_TARGETS: usize = 3;

/// What connections to targets are worth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetReach {
    /// New connections can be opened, as far as is known.
    #[default]
    Reached,
    /// No connection can be opened. Open ones may go on.
    NoNewConnections,
    /// No connection can be opened, and nothing arrives on open ones.
    Silent,
}

impl TargetReach {
    /// Tells whether no connection can be opened.
    pub fn is_cut_off(self) -> bool {
        self != Self::Reached
    }
}

/// A round of probes that runs. It is ended by
/// [`Reachability::finish_round`].
#[derive(Debug)]
#[must_use]
pub struct ProbeRound {
    began: Duration,
}

/// The first round of probes that begins after something happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextRound(u64);

/// What a round of probes has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundResult {
    /// A target has accepted a connection and kept it open.
    Reached,
    /// So many targets have been tried, and none has done so.
    Failed(usize),
}

/// The evidence on whether targets can be reached.
///
/// # Invariants
///
/// `cut_off_since` is set exactly while the last round has failed. At most one
/// round runs at a time, so `settled_rounds` is `begun_rounds` or one less.
#[derive(Debug, Default)]
pub struct Reachability {
    /// When the first request was sent since the last sign of life.
    waiting_since: Option<Duration>,
    /// Longest wait for a sign of life, which decays.
    longest_wait: Duration,
    /// Whether a connection has failed since the last round began.
    has_failure: bool,
    /// When the last connection was opened on which something has arrived.
    connected_at: Option<Duration>,
    /// When the last round began, or ended if it failed.
    last_round: Option<Duration>,
    begun_rounds: u64,
    /// Rounds that tell whether a cut explains refused connections.
    settled_rounds: u64,
    cut_off_since: Option<Duration>,
    /// Targets that the last round has not reached.
    unreached: usize,
}

impl Reachability {
    /// Records that a request was sent to a target.
    pub fn record_sent(&mut self, now: Duration) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that something has arrived from a target.
    pub fn record_contact(&mut self, now: Duration) {
        if let Some(since) = self.waiting_since.take() {
            let wait = now.saturating_sub(since);
            self.longest_wait = self.longest_wait.mul_f64(WAIT_DECAY).max(wait);
        }
    }

    /// Records that something has arrived on a connection that was opened at a
    /// time. An open connection alone shows nothing: it may be reset at once.
    pub fn record_connected(&mut self, opened: Duration) {
        self.connected_at = self.connected_at.max(Some(opened));
    }

    /// Records that a connection to a target could not be opened or was lost.
    /// Returns the round that tells whether a cut explains it.
    pub fn record_failure(&mut self) -> NextRound {
        self.has_failure = true;
        NextRound(self.begun_rounds + 1)
    }

    /// Tells whether a round shows if a cut explains refused connections.
    pub fn is_settled(&self, round: NextRound) -> bool {
        self.settled_rounds >= round.0
    }

    /// Records that a target has accepted a connection of the round that runs. No
    /// cut explains a refused one then, whether or not this one is kept.
    pub fn record_accepted(&mut self) {
        self.settled_rounds = self.begun_rounds;
        self.unreached = 0;
    }

    /// Returns when the targets are to be probed; `None` while nothing calls for
    /// that.
    pub fn next_round(&self) -> Option<Duration> {
        let silent_at = self.waiting_since.map(|since| since + self.silence_limit());
        let is_due_at_once = self.has_failure || self.cut_off_since.is_some();
        let due = match is_due_at_once {
            true => Duration::ZERO,
            false => silent_at?,
        };
        let earliest = self.last_round.map(|last| last + ROUND_INTERVAL);
        Some(due.max(earliest.unwrap_or_default()))
    }

    /// Begins a round of probes if one is due.
    pub fn begin_round(&mut self, now: Duration) -> Option<ProbeRound> {
        self.next_round().filter(|due| *due <= now)?;
        self.has_failure = false;
        self.begun_rounds += 1;
        self.last_round = Some(now);
        Some(ProbeRound { began: now })
    }

    /// Ends a round of probes. A connection that was opened for a request
    /// meanwhile, and on which something has arrived, counts as one of its own.
    pub fn finish_round(&mut self, round: ProbeRound, result: RoundResult, now: Duration) {
        self.settled_rounds = self.begun_rounds;
        let has_connected = self.connected_at.is_some_and(|at| at >= round.began);
        match result {
            RoundResult::Failed(tried) if tried > 0 && !has_connected => {
                self.last_round = Some(now);
                self.cut_off_since.get_or_insert(now);
                self.unreached = tried;
            }
            RoundResult::Failed(_) | RoundResult::Reached => {
                self.cut_off_since = None;
                self.unreached = 0;
                // The targets are slow and no more.
                self.waiting_since = self.waiting_since.map(|_| now);
            }
        }
    }

    /// Returns what connections are worth now.
    pub fn reach(&self, now: Duration) -> TargetReach {
        let is_silent = |since: Duration| since + self.silence_limit() <= now;
        match self.cut_off_since {
            None => TargetReach::Reached,
            Some(_) if self.waiting_since.is_some_and(is_silent) => TargetReach::Silent,
            Some(_) => TargetReach::NoNewConnections,
        }
    }

    /// Returns since when no target has been reached.
    pub fn cut_off_since(&self) -> Option<Duration> {
        self.cut_off_since
    }

    /// Tells whether so many targets are out of reach that a refused connection
    /// to one of them says nothing about its process.
    pub fn explains_refused_connections(&self) -> bool {
        self.unreached >= MANY_TARGETS
    }

    /// Returns the time without a sign of life that is unusual.
    fn silence_limit(&self) -> Duration {
        let unusual = self.longest_wait.mul_f64(UNUSUAL_WAIT_FACTOR);
        unusual.clamp(MIN_SILENCE, MAX_SILENCE)
    }
}

/// Returns those of the ready instances of a region that callers are to be sent
/// to, given whether each is cut off from its targets.
///
/// An instance that is cut off passes its requests on. So it is left out only
/// while the others are at least as many: a few are not to take the connections
/// of all.
pub fn prefer_reaching<T, F>(ready: Vec<T>, is_cut_off: F) -> Vec<T>
where
    F: Fn(&T) -> bool,
{
    let cut_off = ready.iter().filter(|instance| is_cut_off(instance)).count();
    if cut_off == 0 || cut_off * 2 > ready.len() {
        return ready;
    }
    ready.into_iter().filter(|i| !is_cut_off(i)).collect()
}
