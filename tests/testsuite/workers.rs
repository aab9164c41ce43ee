//! Workers with hardly any room in their queues.

use serde_json::json;
use support::block_on;
use support::caller;
use support::site::Site;
use support::site::document;
use tokio::task::JoinSet;

/// Callers at once, many more than the queue has room for.
const CALLERS: usize = 32;

/// Requests of each.
const REQUESTS: usize = 20;

/// A full queue refuses new work. A charge that is given back and a slot that
/// is freed get past it: afterwards all slots and nearly all tokens are there.
#[test]
fn a_full_queue_loses_no_end() {
    block_on(async {
        let mut site = Site::empty().await;
        site.start_daemon("lima-1", "lima", &json!({"workers": 1, "queue-depth": 1}));
        let (_, service) = site.service().await;
        let mut document = document(&[], &[("orders-1", service, "lima")]);
        document["pools"]["orders"]["slots"] = json!(4);
        document["routes"]["status"]["max-answer-tokens"] = json!(100_000);
        document["accounts"]["encargos"] = json!({"rate": 1, "burst": 1_000_000});
        site.apply("lima-1", document).await;
        let key = site.grant("lima-1", "encargos").await.key;
        let address = site.daemon("lima-1").caller;
        let mut callers = JoinSet::new();
        for _ in 0..CALLERS {
            let key = key.clone();
            callers.spawn(async move {
                for _ in 0..REQUESTS {
                    let answer = caller::post(address, "/orders", &key, &json!({})).await;
                    let status = answer.expect("an answer").status.as_u16();
                    assert!([200, 429, 503].contains(&status), "{status}");
                }
            });
        }
        callers.join_all().await;
        for _ in 0..8 {
            let answer = caller::post(address, "/orders", &key, &json!({})).await;
            let answer = answer.expect("an answer");
            assert!(answer.status.is_success(), "{}", answer.text());
        }
    });
}
