//! The client of the platform's store, and following a prefix through its
//! faults.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chiverelay_gateway::Metrics;
use chiverelay_platform::store::Entry;
use chiverelay_platform::store::Error;
use chiverelay_platform::store::PrefixEvent;
use chiverelay_platform::store::Put;
use chiverelay_platform::store::StoreClient;
use chiverelay_platform::store::WatchPacing;
use chiverelay_platform::store::follow_prefix;
use hyper::StatusCode;
use serde_json::json;
use support::block_on;
use support::node::PlatformStore;
use support::node::proxy::Harm;
use support::node::proxy::Proxy;
use support::node::site::until;

/// Time between a watch that returned changes and the next.
const PAUSE: Duration = Duration::from_millis(50);

fn client(store: &PlatformStore) -> StoreClient {
    StoreClient::new(store.address, Arc::new(Metrics::new()))
}

#[test]
fn a_listing_has_all_pages_and_the_first_ones_revision() {
    block_on(async {
        let store = PlatformStore::start().await;
        for n in 0..11 {
            store.put(&format!("servers/i-{n:02}"), &json!({"n": n}));
        }
        store.put("op/config", &json!({}));
        let listing = client(&store).list("servers/").await.expect("a listing");
        assert_eq!(listing.entries.len(), 11);
        assert_eq!(listing.revision.number, 12);
        assert_eq!(listing.entries[10].key, "servers/i-10");
    });
}

#[test]
fn a_lost_lease_is_told_from_a_refusal() {
    block_on(async {
        let store = PlatformStore::start().await;
        let client = client(&store);
        let lease = client
            .grant_lease(Duration::from_secs(4))
            .await
            .expect("a lease");
        let put = Put {
            key: "chiverelay/x".to_owned(),
            value: b"v".to_vec(),
            lease,
        };
        client.put(put.clone(), 0).await.expect("written");
        store.end_all_leases();
        assert!(store.keys("chiverelay/").is_empty());
        assert!(matches!(
            client.renew_lease(lease).await,
            Err(Error::LeaseEnded)
        ));
        assert!(matches!(client.put(put, 0).await, Err(Error::LeaseEnded)));
        store.refuse(Some(StatusCode::TOO_MANY_REQUESTS));
        assert!(matches!(
            client.renew_lease(lease).await,
            Err(Error::Refused(429))
        ));
    });
}

/// Follows a prefix and notes what is told.
fn follow_into(store: &PlatformStore, prefix: &'static str) -> Arc<Mutex<Vec<String>>> {
    follow_with(client(store), prefix)
}

fn follow_with(client: StoreClient, prefix: &'static str) -> Arc<Mutex<Vec<String>>> {
    follow_paced(client, prefix, |_: &[Entry]| PAUSE)
}

fn follow_paced<P>(client: StoreClient, prefix: &'static str, pacing: P) -> Arc<Mutex<Vec<String>>>
where
    P: WatchPacing + Send + Sync + 'static,
{
    let told = Arc::new(Mutex::new(Vec::new()));
    let notes = Arc::clone(&told);
    tokio::spawn(async move {
        let tell = |t: PrefixEvent| {
            let note = match t {
                PrefixEvent::Listed(listing) => format!("listed {}", listing.entries.len()),
                PrefixEvent::Changed(item) => {
                    format!("changed {} {}", item.key, item.value.is_some())
                }
                PrefixEvent::CaughtUp(_) => return,
                PrefixEvent::Unreachable => "lost".to_owned(),
            };
            notes.lock().expect("no panic").push(note);
        };
        follow_prefix(&client, prefix, pacing, tell).await;
    });
    told
}

fn has(told: &Arc<Mutex<Vec<String>>>, note: &str) -> usize {
    let told = told.lock().expect("no panic");
    told.iter().filter(|t| *t == note).count()
}

#[test]
fn changes_follow_a_listing() {
    block_on(async {
        let store = PlatformStore::start().await;
        store.put("op/config", &json!(1));
        let told = follow_into(&store, "op/");
        until("listed", async || has(&told, "listed 1") == 1).await;
        store.put("op/evacuate/a", &json!({}));
        until("changed", async || {
            has(&told, "changed op/evacuate/a true") == 1
        })
        .await;
        store.remove("op/evacuate/a");
        until("removed", async || {
            has(&told, "changed op/evacuate/a false") == 1
        })
        .await;
        store.put("servers/i", &json!(1));
        assert_eq!(has(&told, "listed 1"), 1);
    });
}

#[test]
fn a_cut_watch_is_followed_by_a_listing() {
    block_on(async {
        let store = PlatformStore::start().await;
        store.put("op/config", &json!(1));
        let told = follow_into(&store, "op/");
        until("listed", async || has(&told, "listed 1") == 1).await;
        store.mute(true);
        store.put("op/evacuate/a", &json!({}));
        store.forget();
        until("listed again", async || has(&told, "listed 2") == 1).await;
    });
}

#[test]
fn an_outage_is_told_and_its_end_too() {
    block_on(async {
        let store = PlatformStore::start().await;
        store.put("op/config", &json!(1));
        store.refuse(Some(StatusCode::SERVICE_UNAVAILABLE));
        let told = follow_into(&store, "op/");
        until("lost", async || has(&told, "lost") >= 2).await;
        store.refuse(None);
        until("listed", async || has(&told, "listed 1") == 1).await;
    });
}

/// Pattern: the store is away for all uses of an instance at once.
#[test]
fn uses_of_a_silent_store_share_one_pace_and_all_go_on_at_its_return() {
    block_on(async {
        let store = PlatformStore::start().await;
        store.refuse(Some(StatusCode::SERVICE_UNAVAILABLE));
        let client = client(&store);
        let told: Vec<_> = ["servers/", "op/", "chiverelay/"]
            .into_iter()
            .map(|prefix| follow_with(client.clone(), prefix))
            .collect();
        tokio::time::sleep(Duration::from_secs(3)).await;
        let calls = store.calls("/v1/kv-range");
        // One call of each use at the start, three within 350 ms, and then one
        // every 350 ms.
        assert!((5..=13).contains(&calls), "{calls} calls");
        store.refuse(None);
        until("all list again", async || {
            told.iter().all(|told| has(told, "listed 0") == 1)
        })
        .await;
    });
}

/// Pattern: what the store answers is lost for a while, to a watch too.
#[test]
fn a_watch_from_before_a_silence_is_begun_again() {
    block_on(async {
        let store = PlatformStore::start().await;
        let proxy = Proxy::start(store.address).await;
        let client = StoreClient::new(proxy.address, Arc::new(Metrics::new()));
        store.put("servers/i-1", &json!({}));
        let told = follow_with(client.clone(), "servers/");
        until("the first listing", async || has(&told, "listed 1") == 1).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        proxy.set(Harm::OneWay);
        store.put("servers/i-2", &json!({}));
        assert!(client.grant_lease(Duration::from_secs(4)).await.is_err());
        proxy.set(Harm::None);
        client
            .grant_lease(Duration::from_secs(4))
            .await
            .expect("a lease");
        let heard = async {
            while has(&told, "listed 2") == 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let heard = tokio::time::timeout(Duration::from_secs(3), heard).await;
        assert!(heard.is_ok(), "{told:?}");
    });
}

/// Paces watches that are told at once that they have missed a change.
struct Behind;

impl WatchPacing for Behind {
    fn pause_after(&self, _changes: &[Entry]) -> Duration {
        PAUSE
    }

    async fn wait_until_behind(&self) {}
}

/// Failure: a watch whose response was lost was waited for until it ended, though
/// others had read the change.
#[test]
fn a_watch_that_missed_a_change_is_followed_by_a_listing() {
    block_on(async {
        let store = PlatformStore::start().await;
        store.put("op/config", &json!(1));
        let told = follow_paced(client(&store), "op/", Behind);
        until("listed", async || has(&told, "listed 1") == 1).await;
        store.lose_next_watch("op/");
        store.put("op/evacuate/a", &json!({}));
        until("listed again", async || has(&told, "listed 2") >= 1).await;
        // Each listing is followed by a watch that has time to be answered.
        let calls = store.calls("/v1/kv-range");
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(store.calls("/v1/kv-range") - calls <= 3);
    });
}

/// Guards against a refusal of something before the store that is taken for a
/// late response of the store, and not for an outage.
#[test]
fn a_refusal_that_states_no_era_is_not_outdated() {
    block_on(async {
        let store = PlatformStore::start().await;
        store.restore(store.copy());
        let client = client(&store);
        client.list("op/").await.expect("a listing");
        store.refuse(Some(StatusCode::SERVICE_UNAVAILABLE));
        let refused = client.list("op/").await;
        assert!(matches!(refused, Err(Error::Refused(503))), "{refused:?}");
    });
}

/// Guards against a watch that waits for revisions of data that the store has
/// lost.
#[test]
fn a_waiting_watch_ends_when_a_call_shows_that_the_store_was_restored() {
    block_on(async {
        let store = PlatformStore::start().await;
        store.put("op/config", &json!(1));
        let copy = store.copy();
        store.put("op/evacuate/a", &json!({}));
        store.put("op/evacuate/b", &json!({}));
        let client = client(&store);
        let told = follow_with(client.clone(), "op/");
        until("listed", async || has(&told, "listed 3") == 1).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        store.restore(copy);
        client
            .grant_lease(Duration::from_secs(4))
            .await
            .expect("a lease");
        store.put("op/evacuate/c", &json!({}));
        let heard = async {
            while has(&told, "changed op/evacuate/c true") + has(&told, "listed 2") == 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let heard = tokio::time::timeout(Duration::from_secs(3), heard).await;
        assert!(heard.is_ok(), "{told:?}");
    });
}
