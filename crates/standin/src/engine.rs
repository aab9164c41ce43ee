//! A model engine with an OpenAI-compatible interface, whose answers are
//! counted words.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_http::Body;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::faults::Flaw;
use crate::faults::ReceiverStream;
use crate::faults::Script;
use crate::reports::Reports;

/// Largest request in bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;

/// Words of an answer where the request states no limit.
const DEFAULT_WORDS: u64 = 8;

/// An engine's state.
#[derive(Debug)]
pub struct Engine {
    /// Scripted faults.
    pub script: Script,
    /// What the engine says of itself.
    pub reports: Reports,
    name: String,
    token_time: Duration,
    running: AtomicU64,
    peak: AtomicU64,
    cancelled: AtomicU64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Ask {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    #[serde(default)]
    messages: serde_json::Value,
}

/// Counts a request as running for as long as it lives.
struct Running {
    engine: Arc<Engine>,
    finished: bool,
}

impl Running {
    fn new(engine: &Arc<Engine>) -> Self {
        let running = engine.running.fetch_add(1, Ordering::Relaxed) + 1;
        engine.peak.fetch_max(running, Ordering::Relaxed);
        Self {
            engine: Arc::clone(engine),
            finished: false,
        }
    }

    fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.engine.running.fetch_sub(1, Ordering::Relaxed);
        if !self.finished {
            self.engine.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Engine {
    /// Returns the most requests that ran at once.
    pub fn peak(&self) -> u64 {
        self.peak.load(Ordering::Relaxed)
    }

    /// Returns the requests that run.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns the requests whose asker left before the end.
    pub fn cancelled(&self) -> u64 {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// Makes an engine that takes `token_time` for each word of an answer.
    pub fn new(name: &str, token_time: Duration) -> Self {
        Self {
            script: Script::default(),
            reports: Reports::new(),
            name: name.to_owned(),
            token_time,
            running: AtomicU64::new(0),
            peak: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
        }
    }

    /// Returns the number of requests taken.
    pub fn taken(&self) -> u64 {
        self.reports.taken()
    }

    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        if req.uri().path() == "/load" {
            let running = self.running.load(Ordering::Relaxed);
            let cancelled = self.cancelled.load(Ordering::Relaxed);
            let load = self.reports.load(running, cancelled);
            return chiverelay_http::json_response(StatusCode::OK, &load);
        }
        if req.uri().path() == "/cache/events" {
            let events = self.reports.cache_events(req.uri().query().unwrap_or(""));
            return chiverelay_http::json_response(StatusCode::OK, &events);
        }
        let req = match self.script.before(req).await {
            Ok(req) => req,
            Err(resp) => return resp,
        };
        let first = first_word(&req);
        let ask: Ask = match chiverelay_http::read_json(req, MAX_BODY).await {
            Ok(ask) => ask,
            Err(resp) => return *resp,
        };
        let words = ask.max_tokens.unwrap_or(DEFAULT_WORDS);
        self.reports.take(&ask.messages);
        let running = Running::new(&self);
        if ask.stream {
            return self.stream(&ask, first, running);
        }
        self.whole(&ask, words, running).await
    }

    async fn whole(&self, ask: &Ask, words: u64, running: Running) -> Response<Body> {
        self.work(words as u32).await;
        running.finish();
        let content: Vec<String> = (0..words).map(|i| format!("word{i}")).collect();
        let answer = json!({
            "object": "chat.completion",
            "model": ask.model,
            "system_fingerprint": self.name,
            "choices": [{"index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": content.join(" ")}}],
            "usage": {"completion_tokens": words},
        });
        self.script
            .after(chiverelay_http::json_response(StatusCode::OK, &answer))
    }

    fn stream(self: &Arc<Self>, ask: &Ask, first: u64, running: Running) -> Response<Body> {
        let words = ask.max_tokens.unwrap_or(DEFAULT_WORDS);
        let (tx, rx) = mpsc::channel(1);
        let engine = Arc::clone(self);
        let model = ask.model.clone();
        tokio::spawn(async move {
            if engine.send_words(&tx, &model, first, words).await {
                running.finish();
            }
        });
        let mut resp = Response::new(BodyExt::boxed(StreamBody::new(ReceiverStream(rx))));
        resp.headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        resp
    }

    /// Takes the time of so many words; a timer would round none up to a tick.
    async fn work(&self, words: u32) {
        if !self.token_time.is_zero() {
            tokio::time::sleep(self.token_time * words).await;
        }
    }

    /// Sends an answer word by word; true if all of it went out.
    async fn send_words(&self, tx: &Pieces, model: &str, first: u64, words: u64) -> bool {
        let flaw = self.script.get().flaw;
        for i in first..words {
            self.work(1).await;
            if self.script.get().cut_after == Some(i - first) {
                // The receiver may be gone already.
                let _ = tx.send(Err(std::io::Error::other("cut"))).await;
                return false;
            }
            let chunk = json!({
                "object": "chat.completion.chunk",
                "model": model,
                "system_fingerprint": self.name,
                "choices": [{"index": 0, "delta": {"content": format!("word{i} ")}}],
            });
            let event = format!("id: {i}\ndata: {chunk}\n\n");
            if flaw == Some(Flaw::CutEvent) && i + 1 == words {
                return send(tx, &event[..event.len() / 2]).await;
            }
            if flaw == Some(Flaw::Missing) && i + 2 == words {
                continue;
            }
            if flaw == Some(Flaw::Doubled) && !send(tx, &event).await {
                return false;
            }
            if !send(tx, &event).await {
                return false;
            }
        }
        let usage = json!({
            "object": "chat.completion.chunk", "choices": [],
            "usage": {"completion_tokens": words},
        });
        let mut end = String::new();
        if first <= words {
            end.push_str(&format!("id: {words}\ndata: {usage}\n\n"));
        }
        if flaw != Some(Flaw::NoDone) {
            end.push_str("data: [DONE]\n\n");
        }
        if flaw == Some(Flaw::AfterDone) {
            end.push_str("data: {}\n\n");
        }
        send(tx, &end).await
    }
}

/// Returns the word that follows the last event that the asker has.
fn first_word(req: &Request<Incoming>) -> u64 {
    let last = req.headers().get("last-event-id");
    last.and_then(|v| v.to_str().ok()?.parse::<u64>().ok())
        .map_or(0, |last| last + 1)
}

type Pieces = mpsc::Sender<std::io::Result<Frame<Bytes>>>;

async fn send(tx: &Pieces, text: &str) -> bool {
    let piece = Bytes::from(text.to_owned());
    tx.send(Ok(Frame::data(piece))).await.is_ok()
}

/// Serves until `cancel`. `GET /load` gives the load, `GET /cache/events` what
/// entered and left the prefix cache.
pub async fn serve(engine: Arc<Engine>, listener: TcpListener, cancel: CancellationToken) {
    chiverelay_http::serve(listener, cancel, move |req| Arc::clone(&engine).answer(req)).await;
}
