//! Callers that resume a stream which broke off.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::StdRng;
use support::node::call::Call;

use super::Profile;
use super::callers::Ask;
use super::callers::Seen;
use super::lines::Lines;
use super::pieces::pieces;
use super::targets::EVENTS;

/// The path whose streams may be resumed.
pub(super) const RESUMABLE: &str = "/quote/1";

/// Share of those streams that their callers' network breaks off.
const LOSS_SHARE: f64 = 0.25;

/// Share of the broken streams that are resumed at the same instance.
const SAME_INSTANCE_SHARE: f64 = 0.3;

/// Most requests with which a caller resumes one stream.
const MAX_RESUMES: usize = 3;

/// Longest pause before a stream is resumed, in ms.
const MAX_PAUSE_MS: u64 = 150;

/// Least time to the deadline in which a caller resumes a stream.
const LEAST_TIME: Duration = Duration::from_millis(600);

/// What a request that resumes a stream states.
#[derive(Clone, Debug)]
pub(super) struct Resumption {
    /// Id of the request that brought the first event.
    pub(super) first: String,
    /// Id of the event after which the stream is to go on.
    pub(super) after: u64,
    /// Whether it names the first request: some callers state an event alone.
    pub(super) is_named: bool,
}

impl Resumption {
    /// Adds what it states to a request.
    pub(super) fn state(&self, call: Call) -> Call {
        let call = call.header("last-event-id", &self.after.to_string());
        match self.is_named {
            true => call.header("resumes", &self.first),
            false => call,
        }
    }
}

/// A stream that its caller doesn't have to its end.
#[derive(Debug)]
pub(super) struct BrokenStream {
    pub(super) path: &'static str,
    /// Index of the instance that was asked last.
    pub(super) at: usize,
    pub(super) resumption: Resumption,
    pub(super) deadline: Instant,
}

impl BrokenStream {
    /// Returns the stream that a request left broken off, if it may be resumed.
    pub(super) fn of(one: &Seen) -> Option<Self> {
        let got = one.answer()?;
        let last = pieces(&got.body).last()?.id;
        if one.path != RESUMABLE || got.whole || last >= EVENTS {
            return None;
        }
        Some(Self {
            path: one.path,
            at: one.at,
            resumption: Resumption {
                first: one.id.clone(),
                after: last,
                is_named: true,
            },
            deadline: one.sent + one.deadline,
        })
    }

    /// Adds what a request that resumes the stream brought, and tells whether
    /// the stream is still broken off.
    fn add(&mut self, one: &Seen) -> bool {
        self.at = one.at;
        let Some(got) = one.answer() else {
            return true;
        };
        if let Some(last) = pieces(&got.body).last() {
            self.resumption.after = last.id;
        }
        !one.is_success() && self.resumption.after < EVENTS
    }

    /// Asks an instance to go on with the stream, by a request whose id ends with
    /// `name`. Returns whether the stream is still broken off, or nothing if the
    /// instance wasn't asked.
    pub(super) async fn ask_again(
        &mut self,
        lines: &Lines,
        at: usize,
        name: &str,
        events_before_loss: Option<usize>,
    ) -> Option<bool> {
        let mut conn = lines.connect_to(at).await?;
        let id = format!("{}-{name}", self.resumption.first);
        let ask = Ask {
            deadline: self.time_left()?,
            events_before_loss,
            resumption: Some(self.resumption.clone()),
            ..Ask::new(&id, self.path)
        };
        let one = ask.send(at, &mut conn).await;
        let is_broken = self.add(&one);
        lines.note(one);
        Some(is_broken)
    }

    /// Returns the time left, if it is enough to resume the stream.
    pub(super) fn time_left(&self) -> Option<Duration> {
        let left = self.deadline.checked_duration_since(Instant::now())?;
        (left >= LEAST_TIME).then_some(left)
    }
}

/// Paths with long bodies, where there are any.
const UPLOADS: [&str; 2] = ["/status/1", "/deposit/1"];

/// Share of those requests that have one.
const UPLOAD_SHARE: f64 = 0.2;

/// What a caller does besides sending one request after another.
#[derive(Debug)]
pub(super) struct Habits {
    rng: StdRng,
    /// Whether some of its requests have long bodies.
    is_uploading: bool,
    /// Whether some of its requests have many header fields: not where an older
    /// build may answer, which refuses them.
    sends_many_fields: bool,
}

impl Habits {
    pub(super) fn new(rng: StdRng, profile: Profile) -> Self {
        Self {
            rng,
            is_uploading: profile == Profile::Broken,
            sends_many_fields: profile.first_program().is_none(),
        }
    }

    pub(super) fn sends_many_fields(&self) -> bool {
        self.sends_many_fields
    }

    pub(super) fn is_upload(&mut self, path: &str) -> bool {
        self.is_uploading && UPLOADS.contains(&path) && self.rng.random_bool(UPLOAD_SHARE)
    }

    /// Returns the number of events after which the caller's network loses the
    /// connection, if it does.
    pub(super) fn events_before_loss(&mut self, path: &str) -> Option<usize> {
        let is_lost = path == RESUMABLE && self.rng.random_bool(LOSS_SHARE);
        is_lost.then(|| self.rng.random_range(1..EVENTS as usize))
    }

    pub(super) fn resumes(&mut self) -> usize {
        self.rng.random_range(0..=MAX_RESUMES)
    }

    /// Chooses the instance that is asked to go on with a stream.
    pub(super) fn instance(&mut self, last: usize, instances: usize) -> usize {
        if self.rng.random_bool(SAME_INSTANCE_SHARE) {
            return last;
        }
        (last + self.rng.random_range(1..instances.max(2))) % instances
    }

    pub(super) fn pause(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(0..MAX_PAUSE_MS))
    }
}
