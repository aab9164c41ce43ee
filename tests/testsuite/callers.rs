//! Callers' input: bounded, and refused clearly when it is not HTTP as asked.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_caller::Handler;
use chiverelay_caller::Inbound;
use chiverelay_caller::Limits;
use chiverelay_caller::Reply;
use chiverelay_caller::ReplyBody;
use chiverelay_caller::Server;
use chiverelay_caller::Shutdown;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_operator::api::GrantedKey;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use rcgen::CertificateParams;
use rcgen::KeyPair;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::pem::PemObject;
use serde_json::json;
use support::block_on;
use support::caller;
use support::cases;
use support::node::KeptConnection;
use support::node::call::Call;
use support::site::Site;
use support::site::document;
use support::site::eventually;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_util::sync::CancellationToken;

/// Time in which a refusal arrives whose caller sends no more of its body.
const REFUSED_WITHIN: Duration = Duration::from_secs(4);

/// Largest growth for a caller's connection that is idle, in bytes: a quarter
/// of 260 MB for 2,900 callers, as of an instance on the platform.
const MAX_IDLE_BYTES: u64 = 260_000_000 / 4 / 2900;

/// Callers before the first measurement, for what a process takes only once.
const FIRST_CALLERS: u64 = 60;

/// Callers between the two measurements.
const CALLERS: u64 = 400;

/// Settings of callers whose bounds are reached at once.
fn tight() -> serde_json::Value {
    json!({"caller": {
        "listen": "127.0.0.1:0", "max-body": 1000, "max-connections": 4,
        "header-timeout-ms": 500, "body-timeout-ms": 500,
    }})
}

/// Starts an instance whose account can pay for just one request.
async fn poor_site(settings: &serde_json::Value) -> (Site, GrantedKey) {
    let mut site = Site::empty().await;
    site.start_daemon("lima-1", "lima", settings);
    let (_, service) = site.service().await;
    let mut document = document(&[], &[("orders-1", service, "lima")]);
    document["routes"]["status"]["max-answer-tokens"] = json!(100);
    document["accounts"]["encargos"] = json!({"rate": 1, "burst": 150});
    site.apply("lima-1", document).await;
    let granted = site.grant("lima-1", "encargos").await;
    (site, granted)
}

/// Sends what `write` makes of a key and expects a status, or a closed
/// connection for 0. Afterwards the account must still be able to pay.
fn check_input(write: fn(&str) -> String, status: u16, code: &str) {
    block_on(async {
        let (site, granted) = poor_site(&tight()).await;
        let address = site.daemon("lima-1").caller;
        let request = write(&granted.key).replace('\n', "\r\n");
        let answer = caller::raw(address, request.as_bytes())
            .await
            .expect("the connection ends");
        match status {
            0 => assert_eq!(answer, ""),
            status => assert!(
                answer.starts_with(&format!("HTTP/1.1 {status} ")),
                "{answer}"
            ),
        }
        assert!(answer.contains(code), "{answer}");
        let answer = caller::post(address, "/orders", &granted.key, &json!({})).await;
        let answer = answer.expect("an answer");
        assert!(answer.status.is_success(), "{}", answer.text());
    });
}

fn head(key: &str, more: &str) -> String {
    format!("POST /orders HTTP/1.1\nhost: gateway\nauthorization: Bearer {key}\n{more}")
}

cases! {
    check_input:
    not_http(|_| "hello\n\n".to_owned(), 400, "");
    broken_request_line(|_| "GET\n\n".to_owned(), 400, "");
    unknown_http_version(|_| "GET / HTTP/7.0\n\n".to_owned(), 400, "");
    header_without_colon(|k| head(k, "what is this\n\n"), 400, "");
    header_name_with_space(|k| head(k, "a b: c\n\n"), 400, "");
    too_many_headers(|k| head(k, &("x: y\n".repeat(200) + "\n")), 431, "");
    huge_header(|k| head(k, &format!("x: {}\n\n", "y".repeat(1 << 20))), 431, "");
    long_path(|_| format!("GET /{} HTTP/1.1\n\n", "y".repeat(70_000)), 414, "");
    huge_path(|_| format!("GET /{} HTTP/1.1\n\n", "y".repeat(1 << 20)), 431, "");
    slow_headers(
        |k| head(k, "x: y\n"),
        408,
        "\"receive_timeout\",\"outcome\":\"unknown\""
    );
    slow_request_line(|_| "GET /orde".to_owned(), 408, "\"receive_timeout\"");
    slow_headers_after_an_answer(
        |_| "GET /healthz HTTP/1.1\nhost: gateway\n\nGET /healthz HTTP/1.1\nhost".to_owned(),
        200,
        "\"receive_timeout\""
    );
    slow_first_bytes(|_| "PRI".to_owned(), 0, "");
    silent_after_an_answer(|_| "GET /healthz HTTP/1.1\nhost: gateway\n\n".to_owned(), 200, "");
    silent_connection(|_| String::new(), 0, "");
    body_too_large(
        |k| head(k, &format!("content-length: 2000\nconnection: close\n\n{}", "y".repeat(2000))),
        413,
        "\"too_large\",\"outcome\":\"not_run\""
    );
    announced_too_large(
        |k| head(k, "content-length: 99999999\nconnection: close\n\nx"),
        413,
        "\"too_large\",\"outcome\":\"not_run\""
    );
    chunked_too_large(
        |k| head(
            k,
            &format!("transfer-encoding: chunked\nconnection: close\n\n7d0\n{}\n0\n\n", "y".repeat(2000))
        ),
        413,
        "\"too_large\",\"outcome\":\"not_run\""
    );
    slow_body(
        |k| head(k, "content-length: 10\nconnection: close\n\nabc"),
        408,
        "\"receive_timeout\",\"outcome\":\"not_run\""
    );
    broken_chunk(
        |k| head(k, "transfer-encoding: chunked\nconnection: close\n\nzz\nabc\n0\n\n"),
        400,
        "\"malformed\",\"outcome\":\"not_run\""
    );
    length_and_chunks(
        |k| head(k, "content-length: 3\ntransfer-encoding: chunked\n\n1\na\n0\n\n"),
        400,
        "\"malformed\",\"outcome\":\"not_run\""
    );
    length_not_a_number(|k| head(k, "content-length: ten\n\nabc"), 400, "");
    negative_length(|k| head(k, "content-length: -1\n\nabc"), 400, "");
    two_lengths(|k| head(k, "content-length: 3\ncontent-length: 4\n\nabcd"), 400, "");
    unknown_transfer_encoding(|k| head(k, "transfer-encoding: gzip\n\nabc"), 400, "");
    chat_without_json(
        |k| format!(
            "POST /v1/chat/completions HTTP/1.1\nhost: gateway\nauthorization: Bearer {k}\n\
             content-length: 3\nconnection: close\n\nabc"
        ),
        400,
        "\"malformed\",\"outcome\":\"not_run\""
    );
    chat_without_model(
        |k| format!(
            "POST /v1/chat/completions HTTP/1.1\nhost: gateway\nauthorization: Bearer {k}\n\
             content-length: 2\nconnection: close\n\n{{}}"
        ),
        400,
        "\"malformed\",\"outcome\":\"not_run\""
    );
}

/// Sends requests at once over one connection and expects these statuses.
fn check_pipelined(requests: &str, want: &[u16]) {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let requests = requests.replace('\n', "\r\n");
        let address = site.daemon("lima-1").caller;
        let answer = caller::raw(address, requests.as_bytes()).await;
        let answer = answer.expect("the connection ends");
        let status = |part: &str| part.get(..3)?.parse::<u16>().ok();
        let seen: Vec<u16> = answer.split("HTTP/1.1 ").filter_map(status).collect();
        assert_eq!(seen, want, "{answer}");
    });
}

const GET: &str = "GET /healthz HTTP/1.1\nhost: gateway\n\n";
const LAST: &str = "GET /healthz HTTP/1.1\nhost: gateway\nconnection: close\n\n";
const POST: &str = "POST /healthz HTTP/1.1\nhost: gateway\n";

cases! {
    check_pipelined:
    pipelined_whole(&format!("{GET}{GET}{LAST}"), &[200, 200, 200]);
    pipelined_bodies(
        &format!("{POST}content-length: 3\n\nabc{POST}transfer-encoding: chunked\n\n3\nabc\n0\n\n{LAST}"),
        &[200, 200, 200]
    );
    pipelined_conflict(
        &format!("{GET}{POST}transfer-encoding: chunked\ncontent-length: 3\n\n1\na\n0\n\n{LAST}"),
        &[200, 400]
    );
    conflict_after_chunks(
        &format!(
            "{POST}transfer-encoding: chunked\n\n3\nabc\n0\nx: y\n\n\
             {POST}Content-Length:3\nTransfer-Encoding:chunked\n\n1\na\n0\n\n"
        ),
        &[200, 400]
    );
    conflict_in_a_body_only(
        &format!(
            "{POST}content-length: 94\n\n\
             {POST}content-length: 3\ntransfer-encoding: chunked\n\n1\na\n{LAST}"
        ),
        &[200, 200]
    );
}

/// A caller that leaves in the middle of its body is not charged.
#[test]
fn a_truncated_body_costs_nothing() {
    block_on(async {
        let (site, granted) = poor_site(&json!({})).await;
        let address = site.daemon("lima-1").caller;
        let request = head(&granted.key, "content-length: 10\n\nabc").replace('\n', "\r\n");
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream.write_all(request.as_bytes()).await.expect("sent");
        drop(stream);
        eventually("the refusal is counted", async || {
            let status = site.daemon("lima-1").client().status().await;
            let counters = status.expect("a status").counters;
            counters.contains_key("refusals code=malformed outcome=not_run")
        })
        .await;
        let answer = caller::post(address, "/orders", &granted.key, &json!({})).await;
        assert!(answer.expect("an answer").status.is_success());
    });
}

#[test]
fn silent_connections_give_way_to_others() {
    block_on(async {
        let (site, granted) = poor_site(&tight()).await;
        let address = site.daemon("lima-1").caller;
        let mut silent = Vec::new();
        for _ in 0..8 {
            silent.push(TcpStream::connect(address).await.expect("a connection"));
        }
        let answer = caller::post(address, "/orders", &granted.key, &json!({})).await;
        assert!(answer.expect("an answer").status.is_success());
    });
}

async fn http2<S>(stream: S, key: &str, body: Bytes) -> (u16, String)
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + Send + 'static,
{
    let handshake =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, conn) = handshake.await.expect("a connection");
    tokio::spawn(conn);
    let req = Request::post("http://gateway/orders")
        .header("authorization", format!("Bearer {key}"))
        .body(Full::new(body))
        .expect("a request");
    let resp = sender.send_request(req).await.expect("an answer");
    let status = resp.status().as_u16();
    let body = resp.into_body().collect().await.expect("a body").to_bytes();
    (status, String::from_utf8_lossy(&body).into_owned())
}

fn check_http2(size: usize, status: u16, part: &str) {
    block_on(async {
        let (site, granted) = poor_site(&tight()).await;
        let stream = TcpStream::connect(site.daemon("lima-1").caller).await;
        let body = Bytes::from(vec![b'y'; size]);
        let (found, text) = http2(stream.expect("a connection"), &granted.key, body).await;
        assert_eq!(found, status, "{text}");
        assert!(text.contains(part), "{text}");
    });
}

cases! {
    check_http2:
    http2_runs(10, 200, "\"runs\":1");
    http2_too_large(2000, 413, "\"too_large\",\"outcome\":\"not_run\"");
}

async fn tls(address: SocketAddr, cert: &[u8], alpn: &[u8]) -> impl AsyncStream {
    let mut roots = RootCertStore::empty();
    let cert = CertificateDer::from_pem_slice(cert).expect("a certificate");
    roots.add(cert).expect("an authority");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut cfg = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("protocol versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    cfg.alpn_protocols = vec![alpn.to_vec()];
    let stream = TcpStream::connect(address).await.expect("a connection");
    let name = ServerName::try_from("gateway.example").expect("a name");
    TlsConnector::from(Arc::new(cfg))
        .connect(name, stream)
        .await
        .expect("a handshake")
}

trait AsyncStream: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + Send + 'static {}

impl<S> AsyncStream for S where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + Send + 'static
{
}

#[test]
fn tls_carries_both_versions_of_http() {
    block_on(async {
        let key = KeyPair::generate().expect("a key");
        let params = CertificateParams::new(vec!["gateway.example".to_owned()]).expect("a name");
        let cert = params.self_signed(&key).expect("a certificate");
        let dir = tempfile::TempDir::new().expect("a folder");
        let (cert_path, key_path) = (dir.path().join("c.pem"), dir.path().join("c.key"));
        std::fs::write(&cert_path, cert.pem()).expect("written");
        std::fs::write(&key_path, key.serialize_pem()).expect("written");
        let settings = json!({"caller": {
            "listen": "127.0.0.1:0", "tls": {"cert": cert_path, "key": key_path},
        }});
        let (site, granted) = poor_site(&settings).await;
        let address = site.daemon("lima-1").caller;
        let stream = tls(address, cert.pem().as_bytes(), b"h2").await;
        let (status, text) = http2(stream, &granted.key, Bytes::from_static(b"one")).await;
        assert_eq!(status, 200, "{text}");
        let mut stream = tls(address, cert.pem().as_bytes(), b"http/1.1").await;
        let request = "GET /healthz HTTP/1.1\r\nhost: gateway\r\nconnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.expect("sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        // Without TLS there is no answer.
        let answer = caller::raw(address, request.as_bytes())
            .await
            .expect("an end");
        assert!(!answer.contains("200"), "{answer}");
    });
}

/// Answers with one piece, and drops the sending end at once.
struct Stopping;

impl Handler for Stopping {
    async fn handle(&self, _: Inbound) -> Reply {
        let (tx, body) = chiverelay_caller::channel();
        assert!(tx.send(Bytes::from_static(b"piece")).await);
        Reply {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            body: ReplyBody::Stream(body),
        }
    }

    fn refused(&self, _: &Refusal) {}
}

/// Failure: the caller got a closed connection and no byte of an answer that had
/// begun, as the part that sent it ended.
#[test]
fn what_came_of_an_answer_goes_out_though_its_sender_stops() {
    block_on(async {
        let address = "127.0.0.1:0".parse().expect("an address");
        let server = Server::bind(address, Limits::default(), None).await;
        let server = server.expect("a listener");
        let address = server.address();
        let shutdown = Shutdown {
            notice: CancellationToken::new(),
            close: CancellationToken::new(),
        };
        tokio::spawn(server.run(Arc::new(Stopping), shutdown));
        let answer = caller::post(address, "/orders", "key", &json!({})).await;
        let answer = answer.expect("the head of an answer");
        assert_eq!(answer.text(), "piece");
        assert!(!answer.whole);
    });
}

/// Size of a body that is stated and not sent, the largest by default: 16 fit
/// into the memory for bodies.
const STATED_BYTES: usize = 4 * 1024 * 1024;

/// States a long body and sends none of it; returns the start of a refusal.
async fn state_body(to: SocketAddr, key: &str) -> (TcpStream, Option<String>) {
    let mut stream = TcpStream::connect(to).await.expect("connected");
    let head = head(key, &format!("content-length: {STATED_BYTES}\n\n"));
    let head = head.replace('\n', "\r\n");
    stream.write_all(head.as_bytes()).await.expect("written");
    let mut buf = vec![0; 2048];
    let answer = tokio::time::timeout(REFUSED_WITHIN, stream.read(&mut buf)).await;
    let text = |len| String::from_utf8_lossy(&buf[..len]).into_owned();
    let answer = answer.ok().map(|len| text(len.expect("an answer")));
    (stream, answer)
}

/// Failure: any number of bodies was read at once, and the memory that they took
/// had no bound.
#[test]
fn a_body_over_the_memory_is_refused_as_not_run() {
    block_on(async {
        let (site, granted) = poor_site(&json!({})).await;
        let address = site.daemon("lima-1").caller;
        let stating = (0..20).map(|_| state_body(address, &granted.key));
        let callers = futures_util::future::join_all(stating).await;
        let refusals: Vec<_> = callers.iter().filter_map(|c| c.1.as_deref()).collect();
        assert_eq!(refusals.len(), 4, "{refusals:?}");
        for refusal in refusals {
            assert!(refusal.starts_with("HTTP/1.1 503 "), "{refusal}");
            assert!(refusal.contains("retry-after"), "{refusal}");
            let body = "\"overloaded\",\"outcome\":\"not_run\"";
            assert!(refusal.contains(body), "{refusal}");
        }
        drop(callers);
        let answer = caller::post(address, "/orders", &granted.key, &json!({})).await;
        assert!(answer.expect("an answer").status.is_success());
    });
}

/// Failure: each idle connection kept room for all of a request.
#[test]
fn an_idle_connection_costs_little() {
    block_on(async {
        let (site, _) = poor_site(&json!({})).await;
        let daemon = site.daemon("lima-1");
        let mut held = Vec::new();
        let mut before = 0;
        for n in 0..FIRST_CALLERS + CALLERS {
            if n == FIRST_CALLERS {
                before = daemon.process.resident_bytes();
            }
            let mut conn = KeptConnection::open(daemon.caller).await;
            let answered = conn.send(&Call::new("r", "/orders")).await;
            assert!(answered.is_ok(), "{answered:?}");
            held.push(conn);
        }
        let each = (daemon.process.resident_bytes() - before) / CALLERS;
        println!("{each} bytes an idle connection");
        assert!(each <= MAX_IDLE_BYTES, "{each} bytes an idle connection");
    });
}
