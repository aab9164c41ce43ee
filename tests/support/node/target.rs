//! A stand-in target of the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use chiverelay_http as http;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use super::room::Capacity;
use super::room::Entry;
use super::room::Room;
use super::room::RoomReport;

/// Pause before each event of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(10);

/// How the target treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    Answer,
    /// It answers after a while.
    Slow(Duration),
    /// It fails.
    Fail,
    /// It says that it did not run the request.
    Full,
    /// It says after a while that it did not run the request.
    FullAfter(Duration),
    /// It says that it did not run the request, and asks for a pause, in
    /// seconds.
    Pausing(&'static str),
    /// It answers and says that it is leaving.
    Leaving,
    /// It is full and says that it is leaving.
    FullAndLeaving,
    /// It breaks the connection off after it has run the request.
    Lose,
    /// It answers with another request's id.
    Foreign,
    /// It answers and names a limit, in requests a second.
    Limited(u32),
    /// It sends so many events of a stream.
    Events(u64),
    /// It sends so many events of a stream and breaks off.
    Cut(u64),
    /// It sends the events of a stream up to this one, with a pause before each.
    Paced(u64, Duration),
    /// It sends these events in parts that end anywhere, with comments between
    /// the events and a pause before each part.
    Torn(u64, Duration),
    /// It sends a stream of one event with so many bytes.
    LongEvent(usize),
    /// It answers with so many bytes.
    LongBody(usize),
    /// It sends a stream whose first event does not end.
    EndlessEvent,
}

impl Mode {
    /// Tells whether a target says that it didn't run a request.
    fn is_full(self) -> bool {
        matches!(
            self,
            Self::Full | Self::FullAfter(_) | Self::FullAndLeaving | Self::Pausing(_)
        )
    }
}

/// A request as it reached the target.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Method and path.
    pub line: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When it had arrived.
    pub at: Instant,
    /// Whether the target said that it doesn't run it.
    pub is_rejected: bool,
}

impl Arrival {
    /// Returns a header's value, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default()
    }
}

#[derive(Debug)]
struct State {
    mode: Mode,
    /// Software version that events name beside their run, if they name one.
    software: Option<String>,
    /// Number of streams that were begun.
    runs: u64,
    /// Whether arrivals are kept without their bodies.
    forgets_bodies: bool,
    /// Limited room, if it has one.
    room: Option<Arc<Room>>,
    arrivals: Vec<Arrival>,
}

/// A stand-in target.
#[derive(Debug)]
pub struct PlatformTarget {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    _guard: DropGuard,
}

impl PlatformTarget {
    /// Starts a target that answers.
    pub async fn start(name: &str) -> Self {
        let (listener, address) = crate::platform::listener().await;
        let state = Arc::new(Mutex::new(State {
            mode: Mode::Answer,
            software: None,
            runs: 0,
            forgets_bodies: false,
            room: None,
            arrivals: Vec::new(),
        }));
        let stop = CancellationToken::new();
        let (shared, own) = (Arc::clone(&state), name.to_owned());
        tokio::spawn(http::serve(listener, stop.clone(), move |req| {
            let (state, name) = (Arc::clone(&shared), own.clone());
            async move { answer(&state, &name, req).await }
        }));
        Self {
            name: name.to_owned(),
            address,
            state,
            _guard: stop.drop_guard(),
        }
    }

    /// Changes how the target treats requests.
    pub fn set(&self, mode: Mode) {
        self.state.lock().expect("no panic under the lock").mode = mode;
    }

    /// Has each event of a [`Mode::Events`], [`Mode::Cut`] or [`Mode::Paced`]
    /// stream name a software version, and its run: the request, the target, the
    /// number of the run there and the event after which it goes on.
    pub fn name_runs(&self, software: &str) {
        let mut state = self.state.lock().expect("no panic under the lock");
        state.software = Some(software.to_owned());
    }

    /// Keeps no bodies of the requests that arrive from now on.
    pub fn forget_bodies(&self) {
        let mut state = self.state.lock().expect("no panic under the lock");
        state.forgets_bodies = true;
    }

    /// Limits the room for requests, of which each is treated as its mode has
    /// it once it has a slot. The number of slots stays as it was first set.
    pub fn limit_room(&self, capacity: Capacity) {
        let mut state = self.state.lock().expect("no panic under the lock");
        match &state.room {
            Some(room) => room.change(capacity),
            None => state.room = Some(Arc::new(Room::new(capacity))),
        }
    }

    /// Returns what became of the target since its room was limited.
    pub fn room_report(&self) -> RoomReport {
        let state = self.state.lock().expect("no panic under the lock");
        let report = state.room.as_ref().map(|room| room.report());
        report.unwrap_or_default()
    }

    /// Returns the requests that reached the target.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let state = self.state.lock().expect("no panic under the lock");
        state.arrivals.clone()
    }
}

async fn answer(state: &Mutex<State>, name: &str, req: Request<Incoming>) -> Response<http::Body> {
    let room = state.lock().expect("no panic under the lock").room.clone();
    let Some(room) = room else {
        return respond(state, name, req, None).await;
    };
    let entry = room.enter().await;
    let max_rejections = room.max_rejections();
    let mut resp = match entry {
        Entry::Down => return reset(),
        Entry::Full => respond(state, name, req, Some(Mode::Full)).await,
        Entry::Admitted(place) => {
            let resp = respond(state, name, req, None).await;
            // The slot is free when the answer has been sent or dropped.
            resp.map(|body| {
                let held = body.map_frame(move |frame| {
                    let _place = &place;
                    frame
                });
                BodyExt::boxed(held)
            })
        }
    };
    if let Some(max) = max_rejections {
        let value = HeaderValue::from(max);
        resp.headers_mut().insert("server-brittle", value);
    }
    resp
}

/// Resets the connection.
fn reset() -> Response<http::Body> {
    let mut resp = http::empty_response(StatusCode::OK);
    resp.extensions_mut().insert(http::ResetConnection);
    resp
}

/// Responds as the target's mode has it, or as `instead` has it.
async fn respond(
    state: &Mutex<State>,
    name: &str,
    req: Request<Incoming>,
    instead: Option<Mode>,
) -> Response<http::Body> {
    let (parts, body) = req.into_parts();
    let body = body
        .collect()
        .await
        .map(|b| b.to_bytes())
        .unwrap_or_default();
    let mut arrival = Arrival {
        line: format!("{} {}", parts.method, parts.uri),
        headers: parts.headers,
        body,
        at: Instant::now(),
        is_rejected: false,
    };
    let id = arrival.header("request-id").to_owned();
    let meant = arrival.header("target-instance").to_owned();
    let after: u64 = arrival.header("last-event-id").parse().unwrap_or_default();
    let (mode, origin) = {
        let mut state = state.lock().expect("no panic under the lock");
        if state.forgets_bodies {
            arrival.body = Bytes::new();
        }
        let mode = instead.unwrap_or(state.mode);
        arrival.is_rejected = mode.is_full();
        state.arrivals.push(arrival);
        state.runs += 1;
        let run = format!("{id}/{name}/{}", state.runs);
        let software = state.software.as_ref();
        let origin = software.map(|software| format!("of run {run} after {after} of {software}"));
        (mode, origin)
    };
    if meant != name {
        return http::empty_response(StatusCode::MISDIRECTED_REQUEST);
    }
    if let Mode::Slow(time) | Mode::FullAfter(time) = mode {
        tokio::time::sleep(time).await;
    }
    let mut resp = match mode {
        Mode::Answer | Mode::Slow(_) | Mode::Foreign | Mode::Limited(_) | Mode::Leaving => {
            text(StatusCode::OK, name)
        }
        Mode::Fail => text(StatusCode::INTERNAL_SERVER_ERROR, name),
        Mode::Full | Mode::FullAfter(_) | Mode::FullAndLeaving => full(),
        Mode::Pausing(seconds) => {
            let mut resp = full();
            let value = HeaderValue::from_static(seconds);
            resp.headers_mut().insert("retry-after", value);
            resp
        }
        Mode::Lose => return reset(),
        Mode::Events(count) => {
            let pieces = Pieces::new(after, after + count, origin);
            events(pieces, false, EVENT_PAUSE)
        }
        Mode::Cut(count) => {
            let pieces = Pieces::new(after, after + count, origin);
            events(pieces, true, EVENT_PAUSE)
        }
        Mode::Paced(last, pause) => events(Pieces::new(after, last, origin), false, pause),
        Mode::Torn(last, pause) => torn(&Pieces::new(after, last, origin), pause),
        Mode::LongEvent(bytes) => long_event(bytes),
        Mode::EndlessEvent => endless_event(after + 1),
        Mode::LongBody(bytes) => Response::new(http::full_body("a".repeat(bytes))),
    };
    let id = if mode == Mode::Foreign {
        "another"
    } else {
        &id
    };
    let has_run = resp.status() != StatusCode::SERVICE_UNAVAILABLE;
    let headers = resp.headers_mut();
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert("request-id", value);
    }
    if matches!(mode, Mode::Leaving | Mode::FullAndLeaving) {
        headers.insert("server-leaving", HeaderValue::from_static("1"));
    }
    if let Mode::Limited(per_s) = mode {
        headers.insert("server-limit", HeaderValue::from(per_s));
    }
    if has_run {
        let stamp = HeaderValue::from_str(&format!("stamp-of-{name}")).expect("a plain name");
        headers.insert("server-stamp", stamp);
    }
    resp
}

fn full() -> Response<http::Body> {
    let mut resp = http::empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let value = HeaderValue::from_static("1");
    resp.headers_mut().insert("not-executed", value);
    resp
}

fn text(status: StatusCode, name: &str) -> Response<http::Body> {
    let mut resp = Response::new(http::full_body(format!("answer of {name}")));
    *resp.status_mut() = status;
    resp
}

/// Pause after each block of an event that does not end.
const BLOCK_PAUSE: Duration = Duration::from_millis(5);

/// Size of such a block, in bytes.
const BLOCK_BYTES: usize = 16 * 1024;

fn endless_event(id: u64) -> Response<http::Body> {
    let block = Bytes::from("a".repeat(BLOCK_BYTES));
    let start = Bytes::from(format!("id: {id}\ndata: "));
    let blocks = futures_util::stream::unfold(true, move |is_first| {
        let (start, block) = (start.clone(), block.clone());
        async move {
            tokio::time::sleep(BLOCK_PAUSE).await;
            let data = match is_first {
                true => start,
                false => block,
            };
            Some((Ok::<_, std::io::Error>(Frame::data(data)), false))
        }
    });
    let mut resp = Response::new(BodyExt::boxed(StreamBody::new(Box::pin(blocks))));
    let kind = HeaderValue::from_static("text/event-stream");
    resp.headers_mut().insert("content-type", kind);
    resp
}

fn long_event(bytes: usize) -> Response<http::Body> {
    let event = format!("id: 1\ndata: {}\n\n", "a".repeat(bytes));
    let mut resp = Response::new(http::full_body(event));
    let kind = HeaderValue::from_static("text/event-stream");
    resp.headers_mut().insert("content-type", kind);
    resp
}

/// The events of a stream that a target sends.
struct Pieces {
    ids: std::ops::RangeInclusive<u64>,
    /// What each says of its run.
    origin: Option<String>,
}

impl Pieces {
    /// Names the events after `after` up to `last`.
    fn new(after: u64, last: u64, origin: Option<String>) -> Self {
        Self {
            ids: after + 1..=last,
            origin,
        }
    }

    fn event(&self, n: u64) -> Bytes {
        let text = match &self.origin {
            Some(origin) => format!("id: {n}\ndata: piece {n} {origin}\n\n"),
            None => format!("id: {n}\ndata: piece {n}\n\n"),
        };
        Bytes::from(text)
    }
}

/// Sends the events of a stream, with half of one more at the end if it breaks
/// off.
fn events(pieces: Pieces, cut: bool, pause: Duration) -> Response<http::Body> {
    let ids = pieces.ids.clone();
    let mut pieces: Vec<Result<Bytes, std::io::Error>> = ids.map(|n| Ok(pieces.event(n))).collect();
    if cut {
        pieces.push(Ok(Bytes::from("id: 99\nda")));
        pieces.push(Err(std::io::Error::other("cut")));
    }
    paced(pieces, pause)
}

/// Sizes of the parts of a torn stream, in bytes, in turn.
const PART_BYTES: [usize; 5] = [23, 97, 4, 61, 150];

/// Sends the events of a stream in parts.
fn torn(pieces: &Pieces, pause: Duration) -> Response<http::Body> {
    let events = pieces.ids.clone().map(|n| pieces.event(n));
    let commented = events.flat_map(|event| [event, Bytes::from_static(b": alive\n\n")]);
    let mut rest = Bytes::from(commented.collect::<Vec<_>>().concat());
    let mut parts = Vec::new();
    for bytes in PART_BYTES.into_iter().cycle() {
        if rest.is_empty() {
            break;
        }
        parts.push(Ok(rest.split_to(bytes.min(rest.len()))));
    }
    paced(parts, pause)
}

/// Sends the parts of a stream.
fn paced(parts: Vec<Result<Bytes, std::io::Error>>, pause: Duration) -> Response<http::Body> {
    let parts = futures_util::stream::iter(parts);
    // Each part goes out by itself, so that a cut comes after what was sent.
    let parts = futures_util::StreamExt::then(parts, move |part| async move {
        tokio::time::sleep(pause).await;
        part.map(Frame::data)
    });
    let mut resp = Response::new(BodyExt::boxed(StreamBody::new(parts)));
    let kind = HeaderValue::from_static("text/event-stream");
    resp.headers_mut().insert("content-type", kind);
    resp
}
