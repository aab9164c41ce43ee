//! The store cuts watches that wait, one time after another, and answers every
//! other call at once.

use std::time::Duration;
use std::time::Instant;

use support::block_on;
use support::cases;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;

/// Time in which a target that left has to be passed over.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Time after its end in which a process has to be left out of look-ups, but for the
/// way of its last status message: less than a record's lease and that time.
const NAMED_LIMIT: Duration = Duration::from_secs(5);

/// Look-ups after that time.
const LOOK_UPS: usize = 20;

/// Requests that are sent after that time.
const REQUESTS: usize = 20;

async fn request(site: &Site, front: std::net::SocketAddr, id: &str) {
    let got = Call::new(id, "/status/1").key(KEY).send(front).await;
    assert!(got.status.is_success(), "{got:?}");
    assert!(!site.store.keys("servers/").is_empty());
}

/// Failure: each cut of a watch began a time anew in which a target whose record
/// was gone was held, so that it got requests until it ended with them.
fn a_target_without_a_record_gets_nothing(interval: Duration) {
    block_on(async {
        let site = Site::start().await;
        let leaver = PlatformTarget::start("i-leaver").await;
        let stays = PlatformTarget::start("i-stays").await;
        for target in [&leaver, &stays] {
            site.register(target, "orders", "north-a");
        }
        let node = site.instance("one", "north-a", "north").await;
        until("both targets are used", async || {
            request(&site, node.front, "warm").await;
            !leaver.arrivals().is_empty() && !stays.arrivals().is_empty()
        })
        .await;
        let cutting = async {
            loop {
                site.store.cut_watches();
                tokio::time::sleep(interval).await;
            }
        };
        let leaving = async {
            tokio::time::sleep(interval / 2).await;
            site.store.remove("servers/i-leaver");
            tokio::time::sleep(DRAIN_LIMIT).await;
            let before = leaver.arrivals().len();
            for n in 0..REQUESTS {
                request(&site, node.front, &format!("r-{n}")).await;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            assert_eq!(leaver.arrivals().len(), before, "{}", node.logged());
        };
        tokio::select! {
            () = cutting => {}
            () = leaving => {}
        }
    });
}

cases! {
    a_target_without_a_record_gets_nothing:
    while_watches_are_cut_in_quick_succession(Duration::from_millis(300));
    while_watches_are_cut_now_and_then(Duration::from_millis(1800));
}

/// Failure: each listing after a cut of a watch counted as a sign of life, so that
/// an instance was named for as long as its record was listed, and 3 s more.
#[test]
fn an_instance_that_ended_is_not_named() {
    block_on(async {
        let site = Site::start().await;
        let mut near = site.instance("near", "north-a", "north").await;
        let far = site.instance("far", "south-a", "south").await;
        let named = async || {
            let path = "/v1/resolve?name=desk.example&region=north&zone=north-a";
            call::get(far.directory, path)
                .await
                .expect("an answer")
                .body
        };
        let address = near.front.to_string();
        until("it is named", async || named().await.contains(&address)).await;
        near.process.kill();
        let killed = Instant::now();
        while killed.elapsed() < NAMED_LIMIT {
            site.store.cut_watches();
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        for _ in 0..LOOK_UPS {
            site.store.cut_watches();
            let body = named().await;
            assert!(!body.contains(&address), "{:?}: {body}", killed.elapsed());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}
