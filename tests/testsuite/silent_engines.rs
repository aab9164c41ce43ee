//! Engines that are silent for a second or two and go on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use support::block_on;
use support::caller;
use support::site::Site;
use support::site::document;
use support::site::eventually;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// The longest silence of a sound engine.
const SILENCE: Duration = Duration::from_secs(2);

/// Time that an engine takes for a token.
const TOKEN_TIME: Duration = Duration::from_millis(10);

/// Requests that are sent at once, enough that each engine gets some.
const CHATS: usize = 24;

/// Pause between two looks whether requests are still held.
const LOOK: Duration = Duration::from_millis(5);

/// Time from the end of a poll until shortly before the next one.
const BEFORE_NEXT_POLL: Duration = Duration::from_millis(900);

/// The way to an engine.
#[derive(Debug, Default)]
struct Way {
    /// Whether what is sent to the engine is passed on later.
    is_held: AtomicBool,
    /// Number of requests that were passed on.
    passed: AtomicUsize,
}

/// Relays to an engine.
async fn relay_to(engine: SocketAddr, way: Arc<Way>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let way = Arc::clone(&way);
            // Either end may close first.
            tokio::spawn(async move { relay(stream, engine, &way).await.unwrap_or(()) });
        }
    });
    address
}

async fn relay(caller: TcpStream, engine: SocketAddr, way: &Way) -> std::io::Result<()> {
    let (mut requests, mut answers) = caller.into_split();
    let (mut from, mut to) = TcpStream::connect(engine).await?.into_split();
    tokio::spawn(async move { tokio::io::copy(&mut from, &mut answers).await });
    let mut buf = [0; 4096];
    loop {
        let len = requests.read(&mut buf).await?;
        if len == 0 {
            return Ok(());
        }
        while way.is_held.load(Ordering::Relaxed) {
            tokio::time::sleep(LOOK).await;
        }
        to.write_all(&buf[..len]).await?;
        way.passed.fetch_add(1, Ordering::Relaxed);
    }
}

/// Failure: an engine was ejected as it had not answered two polls of its load
/// within a silence of two seconds.
#[test]
fn an_engine_that_was_silent_for_two_seconds_stays_in_use() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let (engine, behind) = site.engine("engine-1", TOKEN_TIME).await;
        let (_two, two) = site.engine("engine-2", TOKEN_TIME).await;
        let (_three, three) = site.engine("engine-3", TOKEN_TIME).await;
        let way = Arc::new(Way::default());
        let one = relay_to(behind, Arc::clone(&way)).await;
        let engines = [
            ("engine-1", one, "lima"),
            ("engine-2", two, "lima"),
            ("engine-3", three, "lima"),
        ];
        site.apply("lima-1", document(&engines, &[])).await;
        let key = site.grant("lima-1", "encargos").await.key;
        let front = site.daemon("lima-1").caller;
        let ask = json!({"model": "taller-llm", "stream": true, "max_tokens": 20, "messages": []});
        let chats = async || {
            let chats = (0..CHATS).map(|_| caller::post(front, "/v1/chat/completions", &key, &ask));
            for answer in join_all(chats).await {
                assert_eq!(answer.expect("an answer").status, 200);
            }
        };
        chats().await;
        let before = engine.taken();
        assert!(before > 0);
        let passed = way.passed.load(Ordering::Relaxed);
        eventually("the engine is polled", async || {
            way.passed.load(Ordering::Relaxed) > passed
        })
        .await;
        tokio::time::sleep(BEFORE_NEXT_POLL).await;
        way.is_held.store(true, Ordering::Relaxed);
        tokio::time::sleep(SILENCE).await;
        way.is_held.store(false, Ordering::Relaxed);
        chats().await;
        assert!(engine.taken() > before);
    });
}
