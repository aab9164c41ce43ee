//! Targets that survive few rejections in a second, before running instances.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use support::block_on;
use support::node::Capacity;
use support::node::Got;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;

/// Rejections in a second that the targets survive.
const MAX_REJECTIONS: u32 = 3;

/// Requests that a target runs at once, as it is registered.
const SLOTS: usize = 6;

/// Time that a request takes.
const SERVICE_TIME: Duration = Duration::from_millis(200);

/// Length of the burst.
const BURST: Duration = Duration::from_secs(4);

/// Time after which targets that state a limit hold fewer requests.
const SHORTER_QUEUE_AFTER: Duration = Duration::from_secs(5);

/// Time between two requests at each instance: two targets serve 60 requests a
/// second, and two instances get 180.
const PAUSE: Duration = Duration::from_millis(11);

fn call(id: &str) -> Call {
    Call::new(id, "/status/1").key(KEY)
}

fn capacity(max_rejections: Option<u32>) -> Capacity {
    Capacity {
        slots: SLOTS,
        queue: 2,
        service_time: SERVICE_TIME,
        max_rejections,
    }
}

/// Waits until an instance serves requests.
async fn until_served(node: &Node) {
    until("requests are served", async || {
        let got = call("warm").exchange(node.front).await;
        got.is_ok_and(|got| got.status.is_success())
    })
    .await;
}

/// Sends requests to an instance, each without waiting for the ones before.
async fn burst(node: &Node, name: &str, time: Duration) -> Vec<Got> {
    let began = Instant::now();
    let mut calls = Vec::new();
    while began.elapsed() < time {
        let (front, call) = (node.front, call(&format!("{name}-{}", calls.len())));
        calls.push(tokio::spawn(async move { call.send(front).await }));
        tokio::time::sleep(PAUSE).await;
    }
    let answers = join_all(calls).await;
    answers
        .into_iter()
        .map(|got| got.expect("a call"))
        .collect()
}

/// Targets rejected what found no room, said in all their answers how few
/// rejections they survive, and fell over.
#[test]
fn a_burst_does_not_fell_targets_that_survive_few_rejections() {
    block_on(async {
        let site = Site::start().await;
        let targets = [
            PlatformTarget::start("i-1").await,
            PlatformTarget::start("i-2").await,
        ];
        for target in &targets {
            target.limit_room(capacity(Some(MAX_REJECTIONS)));
            site.register(target, "orders", "north-a");
        }
        let one = site.instance("one", "north-a", "north").await;
        let two = site.instance("two", "north-a", "north").await;
        until_served(&one).await;
        // The other instance has heard of the limit from this one only.
        tokio::time::sleep(Duration::from_secs(1)).await;

        let (mut got, more) = tokio::join!(burst(&one, "a", BURST), burst(&two, "b", BURST));
        got.extend(more);
        let reports = targets.each_ref().map(|target| target.room_report());
        let falls: usize = reports.iter().map(|report| report.falls).sum();
        let served = got.iter().filter(|got| got.status.is_success()).count();
        let refused: Vec<_> = got.iter().filter(|got| got.status == 503).collect();
        println!("{} sent, {served} served, {reports:?}", got.len());
        assert_eq!(falls, 0, "{served} served, {reports:?}");
        assert_eq!(served + refused.len(), got.len());
        // Two thirds of what the targets can serve.
        let least = 2 * SLOTS * BURST.as_millis() as usize / SERVICE_TIME.as_millis() as usize;
        assert!(served >= least * 2 / 3, "{served} of {least} served");
        let delays: HashSet<_> = refused
            .iter()
            .map(|got| got.header("retry-after"))
            .collect();
        assert!(!delays.contains(""));
        assert!(delays.len() > 10, "callers come back at once: {delays:?}");
    });
}

/// Targets with requests in their queues begin to state the limit under load, and
/// hold fewer some time later.
#[test]
fn targets_whose_queues_become_shorter_under_load_do_not_fail() {
    block_on(async {
        let site = Site::start().await;
        let targets = [
            PlatformTarget::start("i-1").await,
            PlatformTarget::start("i-2").await,
        ];
        for target in &targets {
            target.limit_room(capacity(None));
            site.register(target, "orders", "north-a");
        }
        let one = site.instance("one", "north-a", "north").await;
        let two = site.instance("two", "north-a", "north").await;
        until_served(&one).await;
        until_served(&two).await;
        let changes = async {
            tokio::time::sleep(Duration::from_secs(1)).await;
            for target in &targets {
                // More than comes until the limit is known.
                let many = Capacity {
                    queue: 400,
                    ..capacity(Some(MAX_REJECTIONS))
                };
                target.limit_room(many);
            }
            tokio::time::sleep(SHORTER_QUEUE_AFTER).await;
            for target in &targets {
                let none = Capacity {
                    queue: 0,
                    ..capacity(Some(MAX_REJECTIONS))
                };
                target.limit_room(none);
            }
        };
        let time = Duration::from_secs(1) + SHORTER_QUEUE_AFTER + BURST;
        let (got, more, ()) = tokio::join!(burst(&one, "a", time), burst(&two, "b", time), changes);
        let served = got
            .iter()
            .chain(&more)
            .filter(|got| got.status.is_success());
        let reports = targets.each_ref().map(|target| target.room_report());
        println!("{} served, {reports:?}", served.count());
        assert_eq!(reports.map(|report| report.falls), [0, 0], "{reports:?}");
    });
}

/// Targets that state nothing may hold requests in their queues as before.
#[test]
fn requests_wait_at_targets_that_state_no_number_of_rejections() {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-1").await;
        target.limit_room(capacity(None));
        site.register(&target, "orders", "north-a");
        let node = site.instance("one", "north-a", "north").await;
        until_served(&node).await;
        let calls = (0..SLOTS + 2).map(|n| call(&format!("r-{n}")));
        let got = join_all(calls.map(|call| {
            let front = node.front;
            async move { call.send(front).await }
        }))
        .await;
        assert!(got.iter().all(|got| got.status.is_success()));
        assert!(!node.logged().contains("rejections"));
    });
}
