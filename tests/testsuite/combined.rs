//! Two faults at once, over separate processes.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_operator::api::Apply;
use chiverelay_operator::api::Document;
use chiverelay_standin::engine::Engine;
use chiverelay_standin::faults::Faults;
use serde_json::json;
use support::block_on;
use support::caller;
use support::site::Site;
use support::site::document;
use support::site::eventually;

/// Requests in a row, which must all be answered.
const REQUESTS: usize = 20;

async fn ask(site: &Site, name: &str, key: &str) -> caller::Answer {
    let body = json!({"model": "taller-llm", "max_tokens": 2, "messages": []});
    let address = site.daemon(name).caller;
    caller::post(address, "/v1/chat/completions", key, &body)
        .await
        .expect("an answer")
}

fn assert_whole(answer: &caller::Answer) {
    assert!(
        answer.whole && answer.status.is_success(),
        "{} {}",
        answer.status,
        answer.text()
    );
}

/// One of two instances of the only region with targets dies or freezes, the
/// store being out: requests from another region still reach an answer.
fn check_sibling_gone(gone: fn(&mut Site)) {
    block_on(async {
        let daemons = [
            ("lima-1", "lima"),
            ("cusco-1", "cusco"),
            ("cusco-2", "cusco"),
        ];
        let mut site = Site::start(&daemons).await;
        let (_, engine) = site.engine("engine-1", Duration::from_millis(1)).await;
        site.apply("lima-1", document(&[("engine-1", engine, "cusco")], &[]))
            .await;
        let key = site.grant("lima-1", "encargos").await.key;
        assert_whole(&ask(&site, "lima-1", &key).await);
        site.store.script.set(Faults {
            refuse: true,
            ..Faults::default()
        });
        gone(&mut site);
        for _ in 0..REQUESTS {
            assert_whole(&ask(&site, "lima-1", &key).await);
        }
    });
}

support::cases! {
    check_sibling_gone:
    one_sibling_killed_and_store_out(|site| site.daemon_mut("cusco-1").process.kill());
    other_sibling_killed_and_store_out(|site| site.daemon_mut("cusco-2").process.kill());
    one_sibling_frozen_and_store_out(|site| site.daemon("cusco-1").process.freeze());
    other_sibling_frozen_and_store_out(|site| site.daemon("cusco-2").process.freeze());
}

/// A site of two regions, each with a target, and what can fail in it.
struct Pair {
    site: Site,
    here: Arc<Engine>,
}

impl Pair {
    fn store(&self, faults: Faults) {
        self.site.store.script.set(faults);
    }
}

fn refuse() -> Faults {
    Faults {
        refuse: true,
        ..Faults::default()
    }
}

fn lose_answers() -> Faults {
    Faults {
        lose_answer: true,
        ..Faults::default()
    }
}

/// Applies a change, again until it is accepted, and waits for it.
async fn change(site: &Site, burst: u64, doc: &serde_json::Value) {
    let client = site.daemon("lima-1").client();
    let mut doc = doc.clone();
    doc["accounts"]["encargos"]["burst"] = json!(burst);
    let document: Document = serde_json::from_value(doc).expect("a document");
    eventually("the change is accepted", async || {
        let Ok(config) = client.config().await else {
            return false;
        };
        let apply = Apply {
            expected: config.version,
            document: document.clone(),
        };
        client.apply(&apply).await.is_ok()
    })
    .await;
    let version = client.config().await.expect("a configuration").version;
    site.in_force(version).await;
}

/// Two faults strike at once: an instance that both leave alone goes on
/// answering its callers, from any target that is left, and after the faults
/// a change is in force everywhere.
fn check_pair(one: fn(&mut Pair), two: fn(&mut Pair), mend: fn(&mut Pair)) {
    block_on(async {
        let daemons = [("lima-1", "lima"), ("lima-2", "lima"), ("cusco-1", "cusco")];
        let site = Site::start_linked(&daemons).await;
        let (here, lima) = site.engine("engine-1", Duration::from_millis(1)).await;
        let (_, cusco) = site.engine("engine-2", Duration::from_millis(1)).await;
        let targets = [("engine-1", lima, "lima"), ("engine-2", cusco, "cusco")];
        let doc = document(&targets, &[]);
        site.apply("lima-1", doc.clone()).await;
        let key = site.grant("lima-1", "encargos").await.key;
        assert_whole(&ask(&site, "lima-1", &key).await);
        let mut pair = Pair { site, here };
        one(&mut pair);
        two(&mut pair);
        for _ in 0..REQUESTS {
            assert_whole(&ask(&pair.site, "lima-1", &key).await);
        }
        mend(&mut pair);
        change(&pair.site, 8888, &doc).await;
        assert_whole(&ask(&pair.site, "cusco-1", &key).await);
    });
}

support::cases! {
    check_pair:
    target_out_and_sibling_frozen(
        |pair| pair.here.script.set(refuse()),
        |pair| pair.site.daemon("lima-2").process.freeze(),
        |pair| pair.site.daemon("lima-2").process.thaw(),
    );
    target_out_and_store_out(
        |pair| pair.here.script.set(refuse()),
        |pair| pair.store(refuse()),
        |pair| pair.store(Faults::default()),
    );
    region_cut_and_sibling_frozen(
        |pair| pair.site.cut_between(&["lima-1", "lima-2"], &["cusco-1"]),
        |pair| pair.site.daemon("lima-2").process.freeze(),
        |pair| {
            pair.site.mend("cusco-1");
            pair.site.daemon("lima-2").process.thaw();
        },
    );
    region_cut_and_store_out(
        |pair| pair.site.cut_between(&["lima-1", "lima-2"], &["cusco-1"]),
        |pair| pair.store(refuse()),
        |pair| {
            pair.site.mend("cusco-1");
            pair.store(Faults::default());
        },
    );
    region_cut_and_answers_lost(
        |pair| pair.site.cut_between(&["lima-1", "lima-2"], &["cusco-1"]),
        |pair| pair.store(lose_answers()),
        |pair| {
            pair.site.mend("cusco-1");
            pair.store(Faults::default());
        },
    );
    sibling_frozen_and_answers_lost(
        |pair| pair.site.daemon("lima-2").process.freeze(),
        |pair| pair.store(lose_answers()),
        |pair| {
            pair.site.daemon("lima-2").process.thaw();
            pair.store(Faults::default());
        },
    );
}

fn with_burst(engine: std::net::SocketAddr, burst: u64) -> Document {
    let mut doc = document(&[("engine-1", engine, "lima")], &[]);
    doc["accounts"]["encargos"]["burst"] = json!(burst);
    serde_json::from_value(doc).expect("a document")
}

/// Two operators race at two instances while the store loses its answers: at
/// most one change is accepted for a version, and no accepted one reverts.
#[test]
fn racing_operators_while_answers_are_lost() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima"), ("cusco-1", "cusco")]).await;
        let (_, engine) = site.engine("engine-1", Duration::from_millis(1)).await;
        site.apply("lima-1", document(&[("engine-1", engine, "lima")], &[]))
            .await;
        let (one, two) = (
            site.daemon("lima-1").client(),
            site.daemon("cusco-1").client(),
        );
        let expected = one.config().await.expect("a configuration").version;
        site.store.script.set(Faults {
            lose_answer: true,
            ..Faults::default()
        });
        let apply = |burst| Apply {
            expected,
            document: with_burst(engine, burst),
        };
        let (first, second) = (apply(1111), apply(2222));
        let (first, second) = tokio::join!(one.apply(&first), two.apply(&second));
        site.store.script.set(Faults::default());
        assert!(
            first.is_err() || second.is_err(),
            "both were accepted: {first:?} {second:?}"
        );
        let accepted = [first.ok(), second.ok()].into_iter().flatten().next();
        let next = accepted.as_ref().map_or(expected, |a| a.version);
        site.in_force(next).await;
        eventually("both instances have one document", async || {
            let (a, b) = (one.config().await, two.config().await);
            matches!((a, b), (Ok(a), Ok(b)) if a == b)
        })
        .await;
        if let Some(accepted) = accepted {
            assert_eq!(one.config().await.expect("a configuration"), accepted);
        }
    });
}

/// A region is cut off while one of its instances is frozen: a withdrawal at
/// the other one holds at both, and is not undone when the links come back.
#[test]
fn withdrawal_in_a_region_cut_off_with_a_frozen_instance() {
    block_on(async {
        let daemons = [("lima-1", "lima"), ("lima-2", "lima"), ("cusco-1", "cusco")];
        let site = Site::start_linked(&daemons).await;
        let (_, engine) = site.engine("engine-1", Duration::from_millis(1)).await;
        site.apply("lima-1", document(&[("engine-1", engine, "lima")], &[]))
            .await;
        let granted = site.grant("lima-1", "encargos").await;
        site.cut_between(&["lima-1", "lima-2"], &["cusco-1"]);
        site.cut_store("lima-1");
        site.cut_store("lima-2");
        site.daemon("lima-2").process.freeze();
        // The withdrawal counts at once, though it can't be stored yet.
        let _ = site.daemon("lima-1").client().withdraw(&granted.id).await;
        eventually("lima-1 refuses the key", async || {
            ask(&site, "lima-1", &granted.key).await.status == 401
        })
        .await;
        site.daemon("lima-2").process.thaw();
        eventually("lima-2 refuses the key", async || {
            ask(&site, "lima-2", &granted.key).await.status == 401
        })
        .await;
        for name in ["lima-1", "lima-2"] {
            site.mend(name);
            site.mend_store(name);
        }
        eventually("cusco-1 refuses the key", async || {
            ask(&site, "cusco-1", &granted.key).await.status == 401
        })
        .await;
        assert_eq!(ask(&site, "lima-1", &granted.key).await.status, 401);
    });
}
