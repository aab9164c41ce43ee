//! Instances as processes: killed, paused, stopped, and started without the
//! store.

use std::time::Duration;

use chiverelay_registry::api::CRITICAL;
use chiverelay_standin::faults::Faults;
use serde_json::json;
use support::block_on;
use support::caller;
use support::cases;
use support::platform::RunningRegistry;
use support::site::Site;
use support::site::document;
use support::site::eventually;

/// Prefix of the instances' records in the store.
const RECORDS: &str = "chiverelay/instances/";

/// Returns the instances that a daemon names to callers.
async fn named(site: &Site, daemon: &str) -> Vec<String> {
    let address = site.daemon(daemon).caller;
    let Ok(answer) = caller::get(address, "/v1/instances").await else {
        return Vec::new();
    };
    let list = answer.json()["instances"].as_array().cloned();
    let name = |entry: serde_json::Value| Some(entry["instance"].as_str()?.to_owned());
    list.unwrap_or_default()
        .into_iter()
        .filter_map(name)
        .collect()
}

async fn until_named(site: &Site, daemon: &str, other: &str, want: bool) {
    let what = format!("{other} is named by {daemon}: {want}");
    eventually(&what, async || {
        let names = named(site, daemon).await;
        names.iter().any(|name| name == other) == want
    })
    .await;
}

/// Failure: an instance named those of other regions, which may not be homes of its
/// callers' requests, before others of its own region.
#[test]
fn instances_of_the_region_are_named_first() {
    block_on(async {
        let names = ["lima-1", "lima-2", "cusco-1", "cusco-2", "cusco-3"];
        let daemons = names.map(|name| (name, &name[..name.len() - 2]));
        let site = Site::start(&daemons).await;
        for (asked, region) in daemons {
            for other in names {
                until_named(&site, asked, other, true).await;
            }
            let names = named(&site, asked).await;
            let is_other = names.iter().map(|name| !name.starts_with(region));
            assert!(is_other.is_sorted(), "{asked}: {names:?}");
        }
    });
}

fn refuse() -> Faults {
    Faults {
        refuse: true,
        ..Faults::default()
    }
}

/// An instance that dies or stops is no longer named to callers.
fn check_gone(end: fn(&mut Site), store: Faults) {
    block_on(async {
        let daemons = [("lima-1", "lima"), ("lima-2", "lima"), ("cusco-1", "cusco")];
        let mut site = Site::start(&daemons).await;
        until_named(&site, "lima-1", "lima-2", true).await;
        site.store.script.set(store);
        end(&mut site);
        until_named(&site, "lima-1", "lima-2", false).await;
        until_named(&site, "cusco-1", "lima-2", false).await;
        assert!(named(&site, "lima-1").await.contains(&"cusco-1".to_owned()));
    });
}

fn kill(site: &mut Site) {
    site.daemon_mut("lima-2").process.kill();
}

fn freeze(site: &mut Site) {
    site.daemon("lima-2").process.freeze();
}

fn terminate(site: &mut Site) {
    site.daemon("lima-2").process.terminate();
}

cases! {
    check_gone:
    a_killed_instance_is_not_named(kill, Faults::default());
    a_frozen_instance_is_not_named(freeze, Faults::default());
    a_stopped_instance_is_not_named(terminate, Faults::default());
    a_killed_instance_is_not_named_without_the_store(kill, refuse());
}

#[test]
fn a_stopped_instance_takes_its_record_and_registration_away() {
    block_on(async {
        let registry = RunningRegistry::start(Duration::ZERO).await;
        let mut site = Site::empty().await;
        let settings = json!({"registry": {"address": registry.address}});
        site.start_daemon("lima-1", "lima", &settings);
        eventually("the instance is recorded", async || {
            registry.state.registered() == ["lima-1"] && site.store.keys(RECORDS).len() == 1
        })
        .await;
        site.daemon("lima-1").process.terminate();
        assert!(site.daemon_mut("lima-1").process.wait());
        assert_eq!(registry.state.registered(), Vec::<String>::new());
        assert_eq!(site.store.keys(RECORDS), Vec::<String>::new());
    });
}

#[test]
fn an_instance_paused_past_its_lease_comes_back_as_another_incarnation() {
    block_on(async {
        let mut site = Site::empty().await;
        site.start_daemon("lima-1", "lima", &json!({}));
        let store = json!({"address": site.store_address, "lease-seconds": 2});
        site.start_daemon("lima-2", "lima", &json!({"store": store}));
        site.joined().await;
        let record = format!("{RECORDS}lima-2");
        let incarnation = || {
            let value = site.store.value(&record)?;
            let value: serde_json::Value = serde_json::from_slice(&value).ok()?;
            value["incarnation"].as_u64()
        };
        let before = incarnation().expect("a record");
        site.daemon("lima-2").process.freeze();
        eventually("the lease lapses", async || incarnation().is_none()).await;
        until_named(&site, "lima-1", "lima-2", false).await;
        site.daemon("lima-2").process.thaw();
        eventually("a new incarnation is recorded", async || {
            incarnation().is_some_and(|new| new > before)
        })
        .await;
        until_named(&site, "lima-1", "lima-2", true).await;
        let events = site.daemon("lima-2").client().events().await;
        let events = events.expect("events").events;
        let lapsed = events.iter().filter(|e| e.what.starts_with("lease lapsed"));
        assert_eq!(lapsed.count(), 1);
    });
}

#[test]
fn what_the_platform_calls_leaving_gets_no_new_work() {
    block_on(async {
        let registry = RunningRegistry::start(Duration::ZERO).await;
        let mut site = Site::empty().await;
        let settings = json!({"registry": {"address": registry.address}});
        site.start_daemon("lima-1", "lima", &settings);
        site.start_daemon("lima-2", "lima", &settings);
        site.joined().await;
        until_named(&site, "lima-1", "lima-2", true).await;
        registry.state.set_status("lima-2", CRITICAL);
        until_named(&site, "lima-1", "lima-2", false).await;
    });
}

/// With the store out, a new instance finds its siblings in another way and
/// takes the configuration from them; before that it is not ready.
fn check_started_without_the_store(settings: fn(&Site, &RunningRegistry) -> serde_json::Value) {
    block_on(async {
        let registry = RunningRegistry::start(Duration::ZERO).await;
        let mut site = Site::empty().await;
        site.start_daemon("lima-1", "lima", &in_registry(&site, &registry));
        site.joined().await;
        let (_, engine) = site.engine("engine-1", Duration::from_millis(1)).await;
        site.apply("lima-1", document(&[("engine-1", engine, "lima")], &[]))
            .await;
        let key = site.grant("lima-1", "encargos").await;
        site.store.script.set(refuse());
        let calls = site.store.calls();
        site.start_daemon("lima-2", "lima", &settings(&site, &registry));
        site.in_force(key.version).await;
        let address = site.daemon("lima-2").caller;
        let ready = caller::get(address, "/readyz").await.expect("an answer");
        assert!(ready.status.is_success());
        let body = json!({"model": "taller-llm", "max_tokens": 2, "messages": []});
        let answer = caller::post(address, "/v1/chat/completions", &key.key, &body).await;
        assert!(answer.expect("an answer").whole);
        assert_eq!(site.store.calls(), calls, "the store answered nothing");
    });
}

fn in_registry(_: &Site, registry: &RunningRegistry) -> serde_json::Value {
    json!({"registry": {"address": registry.address}})
}

/// Names a seed that is gone and one that answers.
fn by_seeds(site: &Site, _: &RunningRegistry) -> serde_json::Value {
    let gone = json!({"instance": "lima-9", "region": "lima", "address": "127.0.0.1:9"});
    let address = site.daemon("lima-1").sibling;
    let seed = json!({"instance": "lima-1", "region": "lima", "address": address});
    json!({"seeds": [gone, seed]})
}

cases! {
    check_started_without_the_store:
    an_instance_started_without_the_store_serves_what_its_siblings_have(in_registry);
    an_instance_started_with_nothing_but_seeds_serves_what_its_siblings_have(by_seeds);
}

#[test]
fn an_instance_that_reaches_neither_store_nor_siblings_is_not_ready() {
    block_on(async {
        let mut site = Site::empty().await;
        site.store.script.set(refuse());
        site.start_daemon("lima-1", "lima", &json!({}));
        let address = site.daemon("lima-1").caller;
        let ready = caller::get(address, "/readyz").await.expect("an answer");
        assert!(!ready.status.is_success());
        site.store.script.set(Faults::default());
        // Until the instance has tried again it refuses changes.
        eventually("the store is back", async || {
            let status = site.daemon("lima-1").client().status().await;
            status.is_ok_and(|status| status.store == "up")
        })
        .await;
        site.apply("lima-1", document(&[], &[])).await;
        eventually("the instance is ready", async || {
            let ready = caller::get(address, "/readyz").await;
            ready.is_ok_and(|ready| ready.status.is_success())
        })
        .await;
    });
}

async fn has_event(site: &Site, daemon: &str, start: &str) -> bool {
    let events = site.daemon(daemon).client().events().await;
    let events = events.expect("events").events;
    events.iter().any(|e| e.what.starts_with(start))
}

/// Checks that each daemon serves a request, names the others and takes none
/// of them for gone.
async fn check_whole(site: &Site, key: &str) {
    let body = json!({"model": "taller-llm", "max_tokens": 2, "messages": []});
    for (name, daemon) in &site.daemons {
        let answer = caller::post(daemon.caller, "/v1/chat/completions", key, &body).await;
        let answer = answer.expect("an answer");
        assert!(
            answer.whole && answer.status.is_success(),
            "{name}: {answer:?}"
        );
        let status = daemon.client().status().await.expect("a status");
        let serving = status.siblings.iter().filter(|s| s.state == "serving");
        assert_eq!(
            serving.count(),
            site.daemons.len() - 1,
            "{name}: {status:?}"
        );
        assert_eq!(named(site, name).await.len(), site.daemons.len(), "{name}");
    }
}

/// The store is out for longer than the leases of the instances' records: all
/// go on, what was withdrawn meanwhile stays so, and nothing reverts after.
#[test]
fn a_store_out_for_longer_than_the_leases_marks_nothing_dead() {
    block_on(async {
        let mut site = Site::empty().await;
        let store = json!({"address": site.store_address, "lease-seconds": 2});
        let names = [("lima-1", "lima"), ("lima-2", "lima"), ("cusco-1", "cusco")];
        for (name, region) in names {
            site.start_daemon(name, region, &json!({"store": store}));
        }
        site.joined().await;
        let (_, engine) = site.engine("engine-1", Duration::from_millis(1)).await;
        site.apply("lima-1", document(&[("engine-1", engine, "lima")], &[]))
            .await;
        let key = site.grant("lima-1", "encargos").await;
        let other = site.grant("lima-1", "encargos").await;
        check_whole(&site, &key.key).await;

        site.store.script.set(refuse());
        for (name, _) in names {
            eventually("the lease lapses", async || {
                check_whole(&site, &key.key).await;
                has_event(&site, name, "lease lapsed").await
            })
            .await;
        }
        eventually("the records are gone", async || {
            site.store.keys(RECORDS).is_empty()
        })
        .await;
        let withdrawn = site.daemon("cusco-1").client().withdraw(&other.id).await;
        assert!(!withdrawn.expect("a withdrawal").durable);
        check_whole(&site, &key.key).await;

        site.store.script.set(Faults::default());
        eventually("the records are back", async || {
            check_whole(&site, &key.key).await;
            site.store.keys(RECORDS).len() == names.len()
        })
        .await;
        site.in_force(other.version + 1).await;
        check_whole(&site, &key.key).await;
        let body = json!({"model": "taller-llm", "max_tokens": 2, "messages": []});
        for daemon in site.daemons.values() {
            let answer =
                caller::post(daemon.caller, "/v1/chat/completions", &other.key, &body).await;
            assert!(!answer.expect("an answer").status.is_success());
        }
    });
}
