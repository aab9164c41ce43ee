//! Metrics as a StatsD server receives them, and the counters of status.

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::time::Duration;

use serde_json::json;
use support::block_on;
use support::caller;
use support::site::Site;
use support::site::document;
use support::site::eventually;

#[test]
fn requests_and_refusals_reach_the_server() {
    block_on(async {
        let server = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        server
            .set_read_timeout(Some(Duration::from_millis(50)))
            .expect("a time limit");
        let address = server.local_addr().expect("an address");
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
            let mut buf = [0; 2048];
            let mut seen = seen.lock().expect("no other thread");
            while let Ok(len) = server.recv(&mut buf) {
                let text = String::from_utf8_lossy(&buf[..len]).into_owned();
                seen.extend(text.lines().map(ToOwned::to_owned));
            }
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
