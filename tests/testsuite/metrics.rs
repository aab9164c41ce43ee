//! Metrics as a StatsD server receives them, and the counters of status.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use serde_json::json;
use support::block_on;
use support::caller;
use support::site::Site;
use support::site::document;
use support::site::eventually;

/// A StatsD server.
fn server() -> (UdpSocket, SocketAddr) {
    let server = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    server
        .set_read_timeout(Some(Duration::from_millis(50)))
        .expect("a time limit");
    let address = server.local_addr().expect("an address");
    (server, address)
}

/// Adds the metrics that have arrived.
fn receive(server: &UdpSocket, seen: &mut BTreeSet<String>) {
    let mut buf = [0; 2048];
    while let Ok(len) = server.recv(&mut buf) {
        let text = String::from_utf8_lossy(&buf[..len]).into_owned();
        seen.extend(text.lines().map(ToOwned::to_owned));
    }
}

#[test]
fn requests_and_refusals_reach_the_server() {
    block_on(async {
        let (server, address) = server();
        let mut site = Site::empty().await;
        site.start_daemon("lima-1", "lima", &json!({"metrics": address}));
        let (_, service) = site.service().await;
        site.apply("lima-1", document(&[], &[("orders-1", service, "lima")]))
            .await;
        let granted = site.grant("lima-1", "encargos").await;
        let caller = site.daemon("lima-1").caller;
        for key in [granted.key.as_str(), "ck_0.wrong"] {
            caller::post(caller, "/orders", key, &json!({}))
                .await
                .expect("an answer");
        }
        let want = [
            "chiverelay.requests:1|c",
            "chiverelay.refusals:1|c|#code:unauthenticated,outcome:not_run",
        ];
        let seen = std::sync::Mutex::new(BTreeSet::new());
        eventually("the metrics arrive", async || {
            let mut seen = seen.lock().expect("no other thread");
            receive(&server, &mut seen);
            want.iter().all(|w| seen.contains(*w))
        })
        .await;
        let names: BTreeSet<String> = seen
            .into_inner()
            .expect("no other thread")
            .iter()
            .filter_map(|line| Some(line.split_once(':')?.0.to_owned()))
            .collect();
        for name in ["first_token_ms", "queue_depth", "store_calls"] {
            assert!(
                names.contains(&format!("chiverelay.{name}")),
                "{name}: {names:?}"
            );
        }
        let status = site.daemon("lima-1").client().status().await;
        let counters = status.expect("a status").counters;
        assert_eq!(counters["requests"], 2);
        assert_eq!(counters["refusals code=unauthenticated outcome=not_run"], 1);
    });
}

/// The head of a stream comes at once and its first event after a pause.
#[test]
fn the_first_token_is_the_first_event() {
    block_on(async {
        let pause = Duration::from_millis(300);
        let (server, address) = server();
        let mut site = Site::empty().await;
        site.start_daemon("lima-1", "lima", &json!({"metrics": address}));
        let (_, engine) = site.engine("engine-1", pause).await;
        site.apply("lima-1", document(&[("engine-1", engine, "lima")], &[]))
            .await;
        let key = site.grant("lima-1", "encargos").await.key;
        let ask = json!({"model": "m", "stream": true, "max_tokens": 2, "messages": []});
        let address = site.daemon("lima-1").caller;
        let answer = caller::post(address, "/v1/chat/completions", &key, &ask).await;
        assert!(answer.expect("an answer").whole);
        let seen = std::sync::Mutex::new(BTreeSet::new());
        eventually("the time of the first event is told", async || {
            let mut seen = seen.lock().expect("no other thread");
            receive(&server, &mut seen);
            let time = |line: &String| {
                let rest = line.strip_prefix("chiverelay.first_token_ms:")?;
                rest.strip_suffix("|ms")?.parse().ok()
            };
            let times: Vec<u64> = seen.iter().filter_map(time).collect();
            times
                .iter()
                .all(|time| u128::from(*time) >= pause.as_millis())
                && times.len() == 1
        })
        .await;
    });
}
