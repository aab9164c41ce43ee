//! The record of an instance in the store is replaced by another process's.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::node::Site;
use support::node::call;
use support::node::site::until;

const KEY: &str = "chiverelay/instances/near";

/// Time of each write of the other process, which goes on.
const WRITING: Duration = Duration::from_millis(3500);

fn read(site: &Site) -> Value {
    let value = site.store.value(KEY).unwrap_or_default();
    serde_json::from_slice(&value).unwrap_or_default()
}

/// Returns the record that an earlier process of the same name would have written.
fn of_earlier_process(own: &Value) -> Value {
    let mut record = own.clone();
    record["incarnation"] = json!(7);
    record["certificate"] = json!("0".repeat(64));
    record
}

/// Failure: the store did the write of a killed process late, over the record of
/// its successor, which was never written again. The others took the successor for
/// ended and had no link to it.
#[test]
fn it_is_written_again_and_the_others_follow() {
    block_on(async {
        let site = Site::start().await;
        let near = site.instance("near", "north-a", "north").await;
        let far = site.instance("far", "south-a", "south").await;
        let is_named = async || {
            let path = "/v1/resolve?name=desk.example&region=north&zone=north-a";
            let got = call::get(far.directory, path).await.expect("an answer");
            got.body.contains(&near.front.to_string())
        };
        until("it is named", is_named).await;
        let own = read(&site);
        site.store.put(KEY, &of_earlier_process(&own));
        until("its record is written again", async || {
            read(&site)["certificate"] == own["certificate"]
        })
        .await;
        // Long enough for the silence of an instance to show.
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert!(is_named().await, "{}", far.logged());
        assert_eq!(read(&site)["certificate"], own["certificate"]);
    });
}

/// Two processes that use one name by mistake don't write without a pause.
#[test]
fn it_is_written_once_a_renewal_at_most() {
    block_on(async {
        let site = Site::start().await;
        let _near = site.instance("near", "north-a", "north").await;
        until("it has a record", async || !read(&site).is_null()).await;
        let other = of_earlier_process(&read(&site));
        let before = site.store.calls("/v1/kv-txn");
        let ended = tokio::time::Instant::now() + WRITING;
        while tokio::time::Instant::now() < ended {
            if read(&site)["incarnation"] != other["incarnation"] {
                site.store.put(KEY, &other);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let writes = site.store.calls("/v1/kv-txn") - before;
        assert!((2..=4).contains(&writes), "{writes} writes");
    });
}
