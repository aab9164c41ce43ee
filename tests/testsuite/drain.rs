//! Instances and targets that leave cut no request.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::caller;
use support::caller::Answer;
use support::cases;
use support::process;
use support::site::Daemon;
use support::site::Site;
use support::site::TOKEN;
use support::site::document;
use support::site::eventually;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Callers of the steady load.
const CALLERS: usize = 12;

const THREE: [(&str, &str); 3] = [("lima-1", "lima"), ("lima-2", "lima"), ("cusco-1", "cusco")];

fn ask(words: u64) -> Value {
    json!({"model": "taller-llm", "stream": true, "max_tokens": words, "messages": []})
}

async fn chat(address: SocketAddr, key: &str, words: u64) -> Result<Answer, String> {
    caller::post(address, "/v1/chat/completions", key, &ask(words)).await
}

fn is_whole(answer: &Answer) -> bool {
    answer.whole && answer.status == 200 && answer.text().ends_with("data: [DONE]\n\n")
}

async fn instances(address: SocketAddr) -> Result<Value, String> {
    let answer = caller::get(address, "/v1/instances").await?;
    match answer.whole && answer.status == 200 {
        true => Ok(answer.json()),
        false => Err(format!("{answer:?}")),
    }
}

fn addresses(list: &Value) -> BTreeSet<SocketAddr> {
    let list = list["instances"].as_array().expect("a list of instances");
    list.iter()
        .filter_map(|i| i["address"].as_str()?.parse().ok())
        .collect()
}

/// What callers know and count together.
#[derive(Default)]
struct Callers {
    wire: Wire,
    known: Mutex<BTreeSet<SocketAddr>>,
    whole: Mutex<u64>,
    failed: Mutex<Vec<String>>,
}

impl Callers {
    fn pick(&self, turn: usize) -> SocketAddr {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let at = turn % known.len();
        *known.iter().nth(at).expect("a known instance")
    }

    /// Asks an instance which ones to use; true if it answered.
    async fn refresh(&self, address: SocketAddr) -> bool {
        let Ok(list) = instances(address).await else {
            return false;
        };
        let found = addresses(&list);
        if !found.is_empty() {
            *self.known.lock().unwrap_or_else(PoisonError::into_inner) = found;
        }
        true
    }

    /// Sends requests one after the other on a connection that is kept for as
    /// long as the instance lets it; elsewhere if a listener is closed.
    async fn run(&self, key: &str, seat: usize, stop: &CancellationToken) {
        let words = if seat == 0 { 150 } else { 10 };
        let mut turn = seat;
        while !stop.is_cancelled() {
            turn += 1;
            let address = self.pick(turn);
            let Ok(mut conn) = Connection::open(address, self.wire).await else {
                self.refresh(self.pick(turn + 1)).await;
                continue;
            };
            while !conn.closed && !stop.is_cancelled() {
                let end = conn.chat(key, words).await;
                self.count(address, end);
                // An idle connection is what a drain might cut unseen.
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
            self.refresh(address).await;
        }
    }

    fn count(&self, address: SocketAddr, end: Result<bool, String>) {
        match end {
            Ok(true) => *self.whole.lock().unwrap_or_else(PoisonError::into_inner) += 1,
            Ok(false) => {}
            Err(e) => {
                let mut failed = self.failed.lock().unwrap_or_else(PoisonError::into_inner);
                failed.push(format!("{address}: {e}"));
            }
        }
    }
}

/// The HTTP version that callers use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Wire {
    #[default]
    Http1,
    Http2,
}

enum Sender {
    Http1(http1::SendRequest<Full<Bytes>>),
    Http2(http2::SendRequest<Full<Bytes>>),
}

/// The answer to a request; `None` if the request was never sent.
type Sent = Result<Option<Response<Incoming>>, String>;

impl Sender {
    async fn send(&mut self, req: Request<Full<Bytes>>) -> Sent {
        match self {
            Self::Http1(sender) => {
                let resp = sender.send_request(req).await;
                resp.map(Some).map_err(|e| e.to_string())
            }
            // After a GOAWAY the client gives a request back as it was.
            Self::Http2(sender) => match sender.try_send_request(req).await {
                Ok(resp) => Ok(Some(resp)),
                Err(e) if e.message().is_some() => Ok(None),
                Err(e) => Err(format!("{:?}", e.into_error())),
            },
        }
    }
}

/// A connection that is kept between requests.
struct Connection {
    address: SocketAddr,
    sender: Sender,
    closed: bool,
}

impl Connection {
    async fn open(address: SocketAddr, wire: Wire) -> std::io::Result<Self> {
        let stream = TokioIo::new(TcpStream::connect(address).await?);
        let sender = match wire {
            Wire::Http1 => {
                let (sender, conn) = http1::handshake(stream).await.expect("a handshake");
                tokio::spawn(conn);
                Sender::Http1(sender)
            }
            Wire::Http2 => {
                let made = http2::handshake(TokioExecutor::new(), stream).await;
                let (sender, conn) = made.expect("a handshake");
                tokio::spawn(conn);
                Sender::Http2(sender)
            }
        };
        Ok(Self {
            address,
            sender,
            closed: false,
        })
    }

    /// Returns whether the request was sent, and so answered.
    async fn chat(&mut self, key: &str, words: u64) -> Result<bool, String> {
        let path = "/v1/chat/completions";
        let req = match self.sender {
            Sender::Http1(_) => Request::post(path).header("host", self.address.to_string()),
            Sender::Http2(_) => Request::post(format!("http://{}{path}", self.address)),
        };
        let req = req
            .header("authorization", format!("Bearer {key}"))
            .body(Full::new(Bytes::from(ask(words).to_string())))
            .expect("a request");
        self.closed = true;
        let Some(resp) = self.sender.send(req).await? else {
            return Ok(false);
        };
        let (status, close) = (resp.status(), resp.headers().contains_key("connection"));
        let body = resp
            .into_body()
            .collect()
            .await
            .map_err(|e| e.to_string())?;
        let body = body.to_bytes();
        if status != 200 || !body.ends_with(b"data: [DONE]\n\n") {
            return Err(String::from_utf8_lossy(&body).into_owned());
        }
        self.closed = match &self.sender {
            Sender::Http1(_) => close,
            // The GOAWAY has closed it, if one came.
            Sender::Http2(sender) => sender.is_closed(),
        };
        Ok(true)
    }
}

/// How an instance is told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    Signal,
    Operator,
}

impl Stop {
    fn tell(self, site: &Site, daemon: &Daemon) {
        if self == Self::Signal {
            return daemon.process.terminate();
        }
        let (address, token) = (daemon.operator.to_string(), site.path("token"));
        std::fs::write(&token, TOKEN).expect("a token file can be written");
        let args = ["drain", "--instance", &address, "--token-file", &token];
        let told = process::output("chiverelay", &args);
        assert!(told.status.success(), "{told:?}");
    }
}

fn check_rolling_restarts(wire: Wire, how: Stop) {
    block_on(async {
        let mut site = Site::start(&THREE).await;
        let (_, lima) = site.engine("engine-lima", Duration::from_millis(15)).await;
        let (_, cusco) = site.engine("engine-cusco", Duration::from_millis(15)).await;
        let engines = [
            ("engine-lima", lima, "lima"),
            ("engine-cusco", cusco, "cusco"),
        ];
        site.apply("lima-1", document(&engines, &[])).await;
        let key = site.grant("lima-1", "encargos").await.key;
        let callers = Arc::new(Callers {
            wire,
            ..Callers::default()
        });
        assert!(callers.refresh(site.daemon("lima-1").caller).await);
        let stop = CancellationToken::new();
        let running: Vec<_> = (0..CALLERS)
            .map(|seat| {
                let (callers, key, stop) = (Arc::clone(&callers), key.clone(), stop.clone());
                tokio::spawn(async move { callers.run(&key, seat, &stop).await })
            })
            .collect();
        for (name, region) in THREE {
            let mut old = site.daemons.remove(name).expect("a daemon");
            how.tell(&site, &old);
            let ended = tokio::task::spawn_blocking(move || old.process.wait());
            assert!(ended.await.expect("the process ends"), "{name} ended badly");
            site.start_daemon(name, region, &json!({}));
            site.joined().await;
            site.in_force(2).await;
        }
        stop.cancel();
        for caller in running {
            caller.await.expect("a caller ends");
        }
        let failed = callers.failed.lock().expect("a count");
        let whole = *callers.whole.lock().expect("a count");
        assert!(
            failed.is_empty(),
            "{} of {whole} failed: {failed:#?}",
            failed.len()
        );
        assert!(whole > 20, "only {whole} requests");
        println!("rolling restarts: {wire:?} {how:?}: {whole} whole, 0 failed");
    });
}

cases! {
    check_rolling_restarts:
    rolling_restarts_fail_no_request(Wire::Http1, Stop::Signal);
    rolling_restarts_fail_no_request_over_http2(Wire::Http2, Stop::Signal);
    drains_by_an_operator_fail_no_request(Wire::Http1, Stop::Operator);
}

#[test]
fn a_draining_instance_names_others() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima"), ("lima-2", "lima")]).await;
        let (_, engine) = site.engine("engine-1", Duration::from_millis(1)).await;
        site.apply("lima-1", document(&[("engine-1", engine, "lima")], &[]))
            .await;
        let key = site.grant("lima-1", "encargos").await.key;
        let (leaving, other) = (site.daemon("lima-1"), site.daemon("lima-2"));
        leaving.process.terminate();
        eventually("the instance leaves its own list", async || {
            let list = instances(leaving.caller).await.expect("a list");
            !addresses(&list).contains(&leaving.caller)
        })
        .await;
        let list = instances(leaving.caller).await.expect("a list");
        assert_eq!(addresses(&list), BTreeSet::from([other.caller]));
        assert_eq!(list["tickets"], json!([]));
        let answer = chat(leaving.caller, &key, 3).await.expect("an answer");
        assert!(is_whole(&answer), "{}", answer.text());
        assert_eq!(answer.headers["connection"], "close");
        eventually("siblings list it no more", async || {
            let list = instances(other.caller).await.expect("a list");
            !addresses(&list).contains(&leaving.caller)
        })
        .await;
    });
}

#[test]
fn a_stream_over_http2_ends_whole() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let (engine, address) = site.engine("engine-1", Duration::from_millis(20)).await;
        site.apply("lima-1", document(&[("engine-1", address, "lima")], &[]))
            .await;
        let key = site.grant("lima-1", "encargos").await.key;
        let daemon = site.daemon("lima-1");
        let stream = TcpStream::connect(daemon.caller)
            .await
            .expect("a connection");
        let (mut sender, conn) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
            .await
            .expect("a handshake");
        tokio::spawn(conn);
        let req = Request::post(format!("http://{}/v1/chat/completions", daemon.caller))
            .header("authorization", format!("Bearer {key}"))
            .body(Full::new(Bytes::from(ask(100).to_string())))
            .expect("a request");
        let resp = sender
            .send_request(req)
            .await
            .expect("the head of an answer");
        eventually("the stream runs", async || engine.running() == 1).await;
        daemon.process.terminate();
        let body = resp.into_body().collect().await.expect("a whole body");
        assert!(body.to_bytes().ends_with(b"data: [DONE]\n\n"));
        eventually("no new request is taken", async || sender.is_closed()).await;
    });
}

#[test]
fn a_forwarded_stream_ends_whole() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima"), ("cusco-1", "cusco")]).await;
        let (engine, address) = site.engine("engine-1", Duration::from_millis(20)).await;
        site.apply("lima-1", document(&[("engine-1", address, "cusco")], &[]))
            .await;
        let key = site.grant("lima-1", "encargos").await.key;
        let stream = chat(site.daemon("lima-1").caller, &key, 200);
        let leave = async {
            eventually("the stream runs", async || engine.running() == 1).await;
            site.daemon("cusco-1").process.terminate();
        };
        let (answer, ()) = tokio::join!(stream, leave);
        assert!(is_whole(&answer.expect("an answer")));
    });
}

#[test]
fn the_drain_timeout_ends_streams_in_an_error() {
    block_on(async {
        let mut site = Site::start(&[("lima-1", "lima")]).await;
        let more = json!({"drain-timeout-ms": 300, "drain-notice-ms": 100});
        site.start_daemon("lima-1", "lima", &more);
        let (engine, address) = site.engine("engine-1", Duration::from_millis(20)).await;
        site.apply("lima-1", document(&[("engine-1", address, "lima")], &[]))
            .await;
        let key = site.grant("lima-1", "encargos").await.key;
        let stream = chat(site.daemon("lima-1").caller, &key, 100_000);
        let leave = async {
            eventually("the stream runs", async || engine.running() == 1).await;
            site.daemon("lima-1").process.terminate();
        };
        let (answer, ()) = tokio::join!(stream, leave);
        let answer = answer.expect("an answer");
        assert!(!answer.whole);
        let text = answer.text();
        let error = text
            .rsplit_once("event: error\ndata: ")
            .expect("an error event")
            .1;
        let error: Value = serde_json::from_str(error.trim()).expect("JSON");
        assert_eq!(error["error"]["code"], "draining");
        assert_eq!(error["error"]["outcome"], "unknown");
    });
}

#[test]
fn a_removed_target_ends_its_stream() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let (old, old_address) = site.engine("engine-1", Duration::from_millis(20)).await;
        let (_, new_address) = site.engine("engine-2", Duration::from_millis(1)).await;
        site.apply(
            "lima-1",
            document(&[("engine-1", old_address, "lima")], &[]),
        )
        .await;
        let key = site.grant("lima-1", "encargos").await.key;
        let caller = site.daemon("lima-1").caller;
        let stream = chat(caller, &key, 150);
        let leave = async {
            eventually("the stream runs", async || old.running() == 1).await;
            site.apply(
                "lima-1",
                document(&[("engine-2", new_address, "lima")], &[]),
            )
            .await;
            let answer = chat(caller, &key, 2).await.expect("an answer");
            assert!(answer.text().contains("engine-2"), "{}", answer.text());
            assert_eq!(old.running(), 1);
        };
        let (answer, ()) = tokio::join!(stream, leave);
        assert!(is_whole(&answer.expect("an answer")));
    });
}
