//! The store executes writes seconds after they were sent, or tells late of what
//! stands under an instance's name.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use support::block_on;
use support::cases;
use support::node::Node;
use support::node::Site;
use support::node::call;
use support::node::site::until;

const KEY: &str = "chiverelay/instances/near";

/// Time after its end in which a process has to be left out of look-ups.
const NAMED_LIMIT: Duration = Duration::from_secs(5);

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
