//! Callers, each of which sends requests one after another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use rand::RngExt;
use rand::rngs::StdRng;
use support::node::Got;
use support::node::KeptConnection;
use support::node::NoAnswer;
use support::node::call::Call;
use support::node::site::KEY;

use super::DEADLINE;
use super::SLACK;
use super::changes::Changes;
use super::world::Soak;

/// A path of each route that is asked for.
pub(super) const PATHS: [&str; 4] = ["/status/1", "/deposit/1", "/quote/1", "/chat/1"];

/// Share of the idle limit up to which a kept connection is used again.
const IDLE_SHARE: f64 = 0.8;

/// Longest pause of a caller, in ms, as a run is short.
const MAX_PAUSE_MS: u64 = 2500;

/// Share of the requests after which a caller pauses.
const PAUSE_SHARE: f64 = 0.06;

/// Share of the requests with a long head.
const LONG_HEAD_SHARE: f64 = 0.1;

/// Size of a header that makes a head long, within the smallest limit.
const LONG_HEADER_BYTES: usize = 6000;

/// How a request ended for its caller.
#[derive(Debug)]
pub(super) enum End {
    /// The connection was refused, or closed before the request was sent.
    NotSent,
    /// The connection was neither opened nor refused in time.
    Unopened,
    /// The connection ended before the head of an answer.
    Unanswered,
    /// The caller's patience was over.
    Late,
    /// There was an answer, or a part of one.
    Answered(Got),
}

/// What a caller saw of one request.
#[derive(Debug)]
pub(super) struct Seen {
    pub(super) id: String,
    pub(super) path: &'static str,
    /// Index of the instance.
    pub(super) at: usize,
    pub(super) is_kept: bool,
    pub(super) sent: Instant,
    pub(super) ended: Instant,
    pub(super) end: End,
}

impl Seen {
    /// Returns the answer, if there is one.
    pub(super) fn answer(&self) -> Option<&Got> {
        match &self.end {
            End::Answered(got) => Some(got),
            _ => None,
        }
    }

    /// Tells whether the whole answer of a target came.
    pub(super) fn is_success(&self) -> bool {
        let is_success = |got: &Got| got.whole && got.status == StatusCode::OK;
        self.answer().is_some_and(is_success)
    }
}

/// A caller.
pub(super) struct Caller {
    number: usize,
    rng: StdRng,
    fronts: Arc<Vec<Mutex<SocketAddr>>>,
    changes: Arc<Changes>,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Caller {
    pub(super) fn new(soak: &Soak, number: usize, rng: StdRng) -> Self {
        Self {
            number,
            rng,
            fronts: Arc::clone(&soak.fronts),
            changes: Arc::clone(&soak.changes),
            seen: Arc::clone(&soak.seen),
        }
    }

    fn keeps_connections(&self) -> bool {
        self.number.is_multiple_of(2)
    }

    /// Sends requests one after another until a time.
    pub(super) async fn run(mut self, until: Instant) {
        let mut kept = None;
        let mut n = 0;
        while Instant::now() < until {
            n += 1;
            let call_id = format!("r-{}-{n}", self.number);
            kept = self.send_one(&call_id, kept).await;
            tokio::time::sleep(self.pause()).await;
        }
    }

    /// Sends a request and returns its connection if it may be used again.
    async fn send_one(
        &mut self,
        id: &str,
        kept: Option<(usize, KeptConnection)>,
    ) -> Option<(usize, KeptConnection)> {
        let path = PATHS[self.rng.random_range(0..PATHS.len())];
        let is_long = self.rng.random_bool(LONG_HEAD_SHARE);
        let is_kept = kept.is_some();
        let (at, mut conn) = match kept {
            Some(kept) => kept,
            None => self.connect().await?,
        };
        let sent = Instant::now();
        let end = exchange(&mut conn, &request(id, path, is_long)).await;
        let one = Seen {
            id: id.to_owned(),
            path,
            at,
            is_kept,
            sent,
            ended: Instant::now(),
            end,
        };
        let is_reusable = self.keeps_connections() && one.allows_reuse() && !conn.is_closed();
        self.seen.lock().expect("no panic under the lock").push(one);
        is_reusable.then_some((at, conn))
    }

    async fn connect(&mut self) -> Option<(usize, KeptConnection)> {
        let at = self.rng.random_range(0..self.fronts.len());
        let front = *self.fronts[at].lock().expect("no panic under the lock");
        let opening = tokio::time::timeout(SLACK, KeptConnection::try_open(front));
        let conn = opening.await.ok()?.ok()?;
        Some((at, conn))
    }

    fn pause(&mut self) -> Duration {
        if self.keeps_connections() && self.rng.random_bool(PAUSE_SHARE) {
            let share = self.rng.random_range(0.0..IDLE_SHARE);
            let pause = self.changes.idle_limit().mul_f64(share);
            return pause.min(Duration::from_millis(MAX_PAUSE_MS));
        }
        Duration::from_millis(self.rng.random_range(5..40))
    }
}

impl Seen {
    /// Returns how long the caller is asked to wait.
    pub(super) fn retry_after(&self) -> Option<Duration> {
        let seconds: f64 = self.answer()?.header("retry-after").parse().ok()?;
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Tells whether the connection may carry another request.
    fn allows_reuse(&self) -> bool {
        self.answer().is_some_and(|got| {
            let is_closing = got.header("connection").eq_ignore_ascii_case("close");
            got.whole && !is_closing
        })
    }
}

fn request(id: &str, path: &str, is_long: bool) -> Call {
    let call = Call::new(id, path).key(KEY);
    let call = call.header("request-deadline", &DEADLINE.as_millis().to_string());
    match is_long {
        true => call.header("x-long", &"a".repeat(LONG_HEADER_BYTES)),
        false => call,
    }
}

/// Sends a request and waits for as long as its caller does.
async fn exchange(conn: &mut KeptConnection, call: &Call) -> End {
    let got = tokio::time::timeout(DEADLINE + SLACK, conn.exchange(call)).await;
    match got {
        Ok(Ok(got)) => End::Answered(got),
        Ok(Err(NoAnswer::NotSent(_))) => End::NotSent,
        Ok(Err(NoAnswer::Unanswered(_))) => End::Unanswered,
        Err(_) => End::Late,
    }
}

/// Sends a request on a connection of its own.
pub(super) async fn attempt_once(
    at: usize,
    front: SocketAddr,
    id: &str,
    path: &'static str,
) -> Seen {
    ask_on_new_connection(at, front, id, path).await.0
}

/// Sends a request on a new connection, and returns the connection as well if
/// it was opened.
pub(super) async fn ask_on_new_connection(
    at: usize,
    front: SocketAddr,
    id: &str,
    path: &'static str,
) -> (Seen, Option<KeptConnection>) {
    let sent = Instant::now();
    let opening = tokio::time::timeout(SLACK, KeptConnection::try_open(front)).await;
    let (end, conn) = match opening {
        Ok(Ok(mut conn)) => {
            let end = exchange(&mut conn, &request(id, path, false)).await;
            (end, Some(conn))
        }
        Ok(Err(_)) => (End::NotSent, None),
        Err(_) => (End::Unopened, None),
    };
    let seen = Seen {
        id: id.to_owned(),
        path,
        at,
        is_kept: false,
        sent,
        ended: Instant::now(),
        end,
    };
    (seen, conn)
}
