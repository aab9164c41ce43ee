//! Callers, each of which sends requests one after another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
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
use super::lines::Lines;
use super::overlap::Overlaps;
use super::pieces;
use super::resume::BrokenStream;
use super::resume::Habits;
use super::resume::Resumption;
use super::trouble::UPLOAD_BYTES;
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

/// Further header fields of a request that has many: more than HTTP libraries read
/// without being told.
const MANY_FIELDS: usize = 250;

/// One in so many requests of a caller has many header fields.
const MANY_FIELDS_EVERY: usize = 8;

/// How a request ended for its caller.
#[derive(Debug)]
pub(super) enum End {
    /// The connection was refused, or closed before the request was sent.
    NotSent,
    /// The connection was neither opened nor refused in time.
    Unopened,
    /// The connection ended before the head of an answer.
    Unanswered,
    /// What came is no answer of HTTP.
    Malformed,
    /// The caller's patience was over.
    Late,
    /// There was an answer, or a part of one.
    Answered(Got),
    /// The caller lost its connection within the answer.
    Lost(Got),
}

/// What a caller saw of one request.
#[derive(Debug)]
pub(super) struct Seen {
    pub(super) id: String,
    pub(super) path: &'static str,
    /// Index of the instance.
    pub(super) at: usize,
    pub(super) is_kept: bool,
    /// Whether its body is long.
    pub(super) is_upload: bool,
    /// What it states if it resumes a stream.
    pub(super) resumption: Option<Resumption>,
    /// Time that the caller grants.
    pub(super) deadline: Duration,
    pub(super) sent: Instant,
    pub(super) ended: Instant,
    pub(super) end: End,
}

impl Seen {
    /// Returns the answer, if there is one.
    pub(super) fn answer(&self) -> Option<&Got> {
        match &self.end {
            End::Answered(got) | End::Lost(got) => Some(got),
            _ => None,
        }
    }

    /// Tells whether the whole answer of a target came.
    pub(super) fn is_success(&self) -> bool {
        let is_success = |got: &Got| got.whole && got.status == StatusCode::OK;
        self.answer().is_some_and(is_success)
    }

    /// Returns the id of the request that began the stream which this one
    /// resumes, or its own.
    pub(super) fn stream(&self) -> &str {
        let first = self.resumption.as_ref().map(|r| r.first.as_str());
        first.unwrap_or(&self.id)
    }

    /// Returns the id of the event after which the answer is to begin.
    pub(super) fn after(&self) -> u64 {
        self.resumption.as_ref().map_or(0, |r| r.after)
    }
}

/// A caller.
pub(super) struct Caller {
    number: usize,
    rng: StdRng,
    habits: Habits,
    overlaps: Overlaps,
    lines: Lines,
    changes: Arc<Changes>,
}

impl Caller {
    pub(super) fn new(
        soak: &Soak,
        number: usize,
        rng: StdRng,
        habits: Habits,
        overlaps: Overlaps,
    ) -> Self {
        Self {
            number,
            rng,
            habits,
            overlaps,
            lines: Lines::of(soak),
            changes: Arc::clone(&soak.changes),
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
            let has_many_fields = self.habits.sends_many_fields()
                && (n + self.number).is_multiple_of(MANY_FIELDS_EVERY);
            kept = self.send_one(&call_id, has_many_fields, kept).await;
            tokio::time::sleep(self.pause()).await;
        }
    }

    /// Sends a request and returns its connection if it may be used again.
    async fn send_one(
        &mut self,
        id: &str,
        has_many_fields: bool,
        kept: Option<(usize, KeptConnection)>,
    ) -> Option<(usize, KeptConnection)> {
        let path = PATHS[self.rng.random_range(0..PATHS.len())];
        let is_long = self.rng.random_bool(LONG_HEAD_SHARE);
        let is_kept = kept.is_some();
        let (at, mut conn) = match kept {
            Some(kept) => kept,
            None => self.connect(id, path).await?,
        };
        let ask = Ask {
            is_long,
            has_many_fields: has_many_fields && !is_long,
            is_kept,
            is_upload: self.habits.is_upload(path),
            events_before_loss: self.habits.events_before_loss(path),
            ..Ask::new(id, path)
        };
        let overlap = self.overlaps.plan(path, at, self.lines.instances());
        let one = match overlap {
            Some(overlap) => overlap.send(ask, at, &mut conn, &self.lines).await,
            None => ask.send(at, &mut conn).await,
        };
        let is_reusable = self.keeps_connections() && one.allows_reuse() && !conn.is_closed();
        let broken = BrokenStream::of(&one);
        self.lines.note(one);
        if let Some(stream) = broken {
            drop(conn);
            self.resume(stream).await;
            return None;
        }
        is_reusable.then_some((at, conn))
    }

    /// Resumes a broken stream as often as the caller does, until it has come to
    /// its end or the time is over.
    async fn resume(&mut self, mut stream: BrokenStream) {
        let mut left = self.habits.resumes();
        let mut n = 0;
        while left > 0 {
            tokio::time::sleep(self.habits.pause()).await;
            if stream.time_left().is_none() {
                return;
            }
            let at = self.habits.instance(stream.at, self.lines.instances());
            let at = self.overlaps.instance(at, &self.lines);
            let loss = self.habits.events_before_loss(stream.path);
            let name = (n + 1).to_string();
            let Some(is_broken) = stream.ask_again(&self.lines, at, &name, loss).await else {
                continue;
            };
            left -= 1;
            n += 1;
            if !is_broken {
                return;
            }
        }
    }

    /// Connects to an instance. A request that finds none is noted.
    async fn connect(&mut self, id: &str, path: &'static str) -> Option<(usize, KeptConnection)> {
        let at = self.rng.random_range(0..self.lines.instances());
        let sent = Instant::now();
        let conn = self.lines.connect_to(at).await;
        if conn.is_none() {
            let ask = Ask::new(id, path);
            self.lines.note(ask.seen(at, sent, End::NotSent));
        }
        Some((at, conn?))
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

/// A request that is to be sent.
#[derive(Debug)]
pub(super) struct Ask<'a> {
    pub(super) id: &'a str,
    pub(super) path: &'static str,
    pub(super) is_long: bool,
    pub(super) has_many_fields: bool,
    pub(super) is_kept: bool,
    pub(super) is_upload: bool,
    pub(super) deadline: Duration,
    /// Events after which the caller loses its connection, if it does.
    pub(super) events_before_loss: Option<usize>,
    pub(super) resumption: Option<Resumption>,
}

impl<'a> Ask<'a> {
    pub(super) fn new(id: &'a str, path: &'static str) -> Self {
        Self {
            id,
            path,
            is_long: false,
            has_many_fields: false,
            is_kept: false,
            is_upload: false,
            deadline: DEADLINE,
            events_before_loss: None,
            resumption: None,
        }
    }

    fn call(&self) -> Call {
        let deadline = self.deadline.as_millis().to_string();
        let mut call = Call::new(self.id, self.path).key(KEY);
        call = call.header("request-deadline", &deadline);
        if self.is_long {
            call = call.header("x-long", &"a".repeat(LONG_HEADER_BYTES));
        }
        if self.has_many_fields {
            let names = (0..MANY_FIELDS).map(|n| format!("x-trace-{n:03}"));
            call = names.fold(call, |call, name| call.header(&name, "00"));
        }
        if self.is_upload {
            call = call.body(Bytes::from(vec![b'a'; UPLOAD_BYTES]));
        }
        match &self.resumption {
            Some(resumption) => resumption.state(call),
            None => call,
        }
    }

    /// Sends the request on a connection to an instance.
    pub(super) async fn send(self, at: usize, conn: &mut KeptConnection) -> Seen {
        self.send_telling(at, conn, |_| {}).await
    }

    /// Does the same, and tells how many events have come so far.
    pub(super) async fn send_telling<F>(self, at: usize, conn: &mut KeptConnection, tell: F) -> Seen
    where
        F: Fn(usize),
    {
        let sent = Instant::now();
        let end = self.exchange(conn, tell).await;
        self.seen(at, sent, end)
    }

    /// Sends the request and waits for as long as its caller does.
    async fn exchange<F>(&self, conn: &mut KeptConnection, tell: F) -> End
    where
        F: Fn(usize),
    {
        let call = self.call();
        let is_lost = |body: &[u8]| {
            let came = pieces::pieces(&String::from_utf8_lossy(body)).len();
            tell(came);
            self.events_before_loss.is_some_and(|n| came >= n)
        };
        let exchange = conn.exchange_until(&call, is_lost);
        match tokio::time::timeout(self.deadline + SLACK, exchange).await {
            Ok(Ok(got)) if is_lost(got.body.as_bytes()) => End::Lost(got),
            Ok(Ok(got)) => End::Answered(got),
            Ok(Err(NoAnswer::NotSent(_))) => End::NotSent,
            Ok(Err(NoAnswer::Unanswered(_))) => End::Unanswered,
            Ok(Err(NoAnswer::Malformed(_))) => End::Malformed,
            Err(_) => End::Late,
        }
    }

    fn seen(self, at: usize, sent: Instant, end: End) -> Seen {
        Seen {
            id: self.id.to_owned(),
            path: self.path,
            at,
            is_kept: self.is_kept,
            is_upload: self.is_upload,
            resumption: self.resumption,
            deadline: self.deadline,
            sent,
            ended: Instant::now(),
            end,
        }
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
    let ask = Ask::new(id, path);
    let sent = Instant::now();
    let opening = tokio::time::timeout(SLACK, KeptConnection::try_open(front)).await;
    match opening {
        Ok(Ok(mut conn)) => {
            let end = ask.exchange(&mut conn, |_| {}).await;
            (ask.seen(at, sent, end), Some(conn))
        }
        Ok(Err(_)) => (ask.seen(at, sent, End::NotSent), None),
        Err(_) => (ask.seen(at, sent, End::Unopened), None),
    }
}
