//! The store executes writes seconds after they were sent, or tells late of what
//! stands under an instance's name.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::cases;
use support::node::Node;
use support::node::Site;
use support::node::call;
use support::node::site::until;

const KEY: &str = "chiverelay/instances/near";

/// Time after its end in which a process has to be left out of look-ups.
const NAMED_LIMIT: Duration = Duration::from_secs(5);

/// Time in which a wrong record is written again: a lease's renewal and the
/// watches' pauses.
const MEND_LIMIT: Duration = Duration::from_secs(4);

/// Time that the store takes to grant a lease.
const LEASE_TIME: Duration = Duration::from_millis(700);

fn read(site: &Site) -> Value {
    let value = site.store.value(KEY).unwrap_or_default();
    serde_json::from_slice(&value).unwrap_or_default()
}

async fn is_named(by: &Node, node: &Node) -> bool {
    let path = "/v1/resolve?name=desk.example&region=north&zone=north-a";
    let got = call::get(by.directory, path).await.expect("an answer");
    got.body.contains(&node.front.to_string())
}

/// Starts the instances `near` and `far`, which names it.
async fn pair() -> (Site, Node, Node) {
    let site = Site::start().await;
    let near = site.instance("near", "north-a", "north").await;
    let far = site.instance("far", "south-a", "south").await;
    until("it is named", async || is_named(&far, &near).await).await;
    (site, near, far)
}

/// How a write of an ended process comes to be read after its end.
#[derive(Clone, Copy)]
enum Late {
    /// Its writes are executed late, one after another.
    Writes,
    /// The same after the store came back from an older copy.
    AfterRestore,
}

/// Failure: a write of an ended process that was executed late, or in a later era
/// of the store, counted as a sign of life, and the process was named 3 s more.
fn an_ended_process_is_not_named(late: Late) {
    block_on(async {
        let (site, mut near, far) = pair().await;
        let own = read(&site);
        near.process.kill();
        let killed = Instant::now();
        if let Late::AfterRestore = late {
            site.store.restore(site.store.copy());
        }
        while killed.elapsed() < NAMED_LIMIT {
            site.store.put(KEY, &own);
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
        for _ in 0..20 {
            assert!(!is_named(&far, &near).await, "{:?}", killed.elapsed());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}

cases! {
    an_ended_process_is_not_named:
    by_its_late_writes(Late::Writes);
    by_its_late_writes_after_a_restore(Late::AfterRestore);
}

/// What stands under the name of an instance in place of its record.
#[derive(Clone, Copy)]
enum Found {
    /// Nothing, and the watch didn't tell.
    NothingUntold,
    /// Nothing, and the watch told.
    Nothing,
    /// Its own record in another state.
    OtherState(&'static str),
    /// The record of another process, and then nothing, of which no watch told.
    OtherThenNothing,
}

/// Failure: an instance whose record was removed, or replaced by an earlier write
/// of its own, didn't write it again until its next restart. The others took it
/// for stopped or refused its links.
fn its_record_is_written_again(found: Found) {
    block_on(async {
        let (site, near, far) = pair().await;
        let own = read(&site);
        site.store.mute(matches!(
            found,
            Found::NothingUntold | Found::OtherThenNothing
        ));
        let mut other = own.clone();
        match found {
            Found::Nothing | Found::NothingUntold => site.store.remove(KEY),
            Found::OtherState(state) => {
                other["state"] = json!(state);
                site.store.put(KEY, &other);
            }
            Found::OtherThenNothing => {
                other["incarnation"] = json!(7);
                site.store.put(KEY, &other);
                site.store.remove(KEY);
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.store.mute(false);
        site.store.forget();
        let since = Instant::now();
        until("its record is written again", async || {
            read(&site)["state"] == own["state"] && read(&site)["certificate"] == own["certificate"]
        })
        .await;
        assert!(since.elapsed() < MEND_LIMIT, "{:?}", since.elapsed());
        // Long enough for the silence of an instance to show.
        tokio::time::sleep(NAMED_LIMIT).await;
        assert!(is_named(&far, &near).await, "{}", far.logged());
    });
}

cases! {
    its_record_is_written_again:
    after_it_was_removed(Found::Nothing);
    after_it_was_removed_while_watches_heard_nothing(Found::NothingUntold);
    after_a_late_write_that_says_starting(Found::OtherState("starting"));
    after_a_late_write_that_says_leaving(Found::OtherState("leaving"));
    after_another_record_came_and_went_while_watches_heard_nothing(Found::OtherThenNothing);
}

/// Failure: a write without a condition that was executed late replaced the record
/// of a process that had started since under the same name.
#[test]
fn a_late_write_does_not_replace_the_record_of_a_successor() {
    block_on(async {
        let site = Site::start().await;
        // Within the time that the lease of the killed process lasts.
        site.store.execute_late(KEY, Duration::from_millis(2500));
        let mut near = site.instance("near", "north-a", "north").await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.restart(&mut near);
        near.until_ready(true).await;
        until("the successor has a record", async || {
            !read(&site).is_null()
        })
        .await;
        let successor = read(&site);
        tokio::time::sleep(Duration::from_secs(4)).await;
        assert_eq!(read(&site), successor, "{}", near.logged());
    });
}

/// Failure: a listing that was on its way while an instance wrote its record
/// showed its predecessor's, which was taken for a later one: the instance took a
/// new incarnation, and the others dropped its statuses until they had read it.
#[test]
fn an_old_reading_of_its_record_changes_nothing() {
    block_on(async {
        let site = Site::start().await;
        let near = site.instance("near", "north-a", "north").await;
        until("it has a record", async || !read(&site).is_null()).await;
        let mut earlier = read(&site);
        earlier["incarnation"] = json!(7);
        drop(near);
        site.store.put(KEY, &earlier);
        // The listing that begins while the lease is granted comes after the write.
        site.store.delay_responses("/v1/kv-lease", LEASE_TIME);
        let near = site.spawn("near", "north-a", "north");
        near.until_ready(true).await;
        site.store.delay_responses("/v1/kv-range", LEASE_TIME * 2);
        site.store.cut_watches();
        until("its record is written", async || {
            read(&site)["incarnation"] != earlier["incarnation"]
        })
        .await;
        let written = read(&site);
        tokio::time::sleep(MEND_LIMIT).await;
        assert_eq!(read(&site), written, "{}", near.logged());
    });
}
