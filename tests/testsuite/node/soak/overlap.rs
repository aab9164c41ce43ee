//! Callers that resume a stream while its first answer still comes.

use std::time::Instant;

use futures_util::future::join_all;
use rand::RngExt;
use rand::rngs::StdRng;
use support::node::KeptConnection;
use tokio::sync::watch;

use super::callers::Ask;
use super::callers::Seen;
use super::lines::Lines;
use super::resume::BrokenStream;
use super::resume::RESUMABLE;
use super::resume::Resumption;
use super::targets::EVENTS;

/// Share of the streams that are resumed so early.
const OVERLAP_SHARE: f64 = 0.3;

/// Share of these that are resumed by two requests at once.
const TWICE_SHARE: f64 = 0.4;

/// Share of the requests that state an earlier event than the last that came.
const EARLIER_SHARE: f64 = 0.3;

/// Share of the requests that don't name the one that they resume.
const UNNAMED_SHARE: f64 = 0.1;

/// Share of the requests that lose their connection, after which their stream is
/// resumed in its turn.
const LOSS_SHARE: f64 = 0.5;

/// Most of such losses in a row.
const MAX_LOSSES: usize = 2;

/// Share of the streams that are resumed at an instance that is out of step, if
/// there is one.
const OUT_OF_STEP_SHARE: f64 = 0.6;

/// Draws what callers do so early, and at instances that are out of step.
#[derive(Debug)]
pub(super) struct Overlaps {
    rng: StdRng,
    is_on: bool,
}

/// What a caller does while the first answer of a stream comes.
#[derive(Debug)]
pub(super) struct Overlap {
    /// Number of events after which it resumes the stream.
    after_events: u64,
    resumers: Vec<Resumer>,
}

/// A series of requests, each of which goes on where the one before it was lost.
#[derive(Debug)]
struct Resumer {
    /// Index of the first instance that is asked.
    at: usize,
    /// Difference between the indices of an instance and the next.
    step: usize,
    /// Event that the first request states.
    after: u64,
    is_named: bool,
    /// Events after which the connection is lost, of each request but the last.
    losses: Vec<usize>,
}

impl Overlaps {
    pub(super) fn new(rng: StdRng, is_on: bool) -> Self {
        Self { rng, is_on }
    }

    /// Draws whether a request for a path at an instance is resumed before its
    /// answer has ended, and how.
    pub(super) fn plan(&mut self, path: &str, at: usize, instances: usize) -> Option<Overlap> {
        let is_early = self.rng.random_bool(OVERLAP_SHARE);
        if !self.is_on || path != RESUMABLE || !is_early {
            return None;
        }
        let after_events = self.rng.random_range(1..EVENTS);
        let count = 1 + usize::from(self.rng.random_bool(TWICE_SHARE));
        let resumers = (0..count).map(|_| self.resumer(after_events, at, instances));
        Some(Overlap {
            after_events,
            resumers: resumers.collect(),
        })
    }

    /// Chooses the instance that is asked to go on with a stream, in place of
    /// another one.
    pub(super) fn instance(&mut self, at: usize, lines: &Lines) -> usize {
        let out_of_step = lines.out_of_step();
        if out_of_step.is_empty() || !self.rng.random_bool(OUT_OF_STEP_SHARE) {
            return at;
        }
        out_of_step[self.rng.random_range(0..out_of_step.len())]
    }

    fn resumer(&mut self, after_events: u64, at: usize, instances: usize) -> Resumer {
        let rng = &mut self.rng;
        let after = match rng.random_bool(EARLIER_SHARE) {
            true => rng.random_range(1..=after_events),
            false => after_events,
        };
        let mut losses = Vec::new();
        while losses.len() < MAX_LOSSES && rng.random_bool(LOSS_SHARE) {
            losses.push(rng.random_range(1..EVENTS as usize));
        }
        Resumer {
            at: (at + rng.random_range(0..instances)) % instances,
            step: rng.random_range(0..instances),
            after,
            is_named: !rng.random_bool(UNNAMED_SHARE),
            losses,
        }
    }
}

impl Overlap {
    /// Sends the first request, and the others once it has brought enough.
    pub(super) async fn send(
        self,
        ask: Ask<'_>,
        at: usize,
        conn: &mut KeptConnection,
        lines: &Lines,
    ) -> Seen {
        let (progress, came) = watch::channel(0);
        let deadline = Instant::now() + ask.deadline;
        let resuming = self.resumers.iter().enumerate().map(|(n, resumer)| {
            let stream = resumer.stream(ask.id, ask.path, deadline);
            let mut came = came.clone();
            async move {
                // The first answer may end before.
                let enough = |events: &u64| *events >= self.after_events;
                if came.wait_for(enough).await.is_ok() {
                    resumer.run(n, stream, lines).await;
                }
            }
        });
        let resuming = join_all(resuming);
        let first = async move {
            let tell = |events| {
                progress.send_replace(events as u64);
            };
            ask.send_telling(at, conn, tell).await
        };
        let (first, _) = tokio::join!(first, resuming);
        first
    }
}

impl Resumer {
    /// Returns the stream that it resumes.
    fn stream(&self, first: &str, path: &'static str, deadline: Instant) -> BrokenStream {
        BrokenStream {
            path,
            at: self.at,
            resumption: Resumption {
                first: first.to_owned(),
                after: self.after,
                is_named: self.is_named,
            },
            deadline,
        }
    }

    async fn run(&self, number: usize, mut stream: BrokenStream, lines: &Lines) {
        let losses = self.losses.iter().copied().map(Some).chain([None]);
        let mut at = self.at;
        for (n, loss) in losses.enumerate() {
            let name = format!("early-{number}-{n}");
            let is_broken = stream.ask_again(lines, at, &name, loss).await;
            if is_broken != Some(true) {
                return;
            }
            at = (at + self.step) % lines.instances();
        }
    }
}
