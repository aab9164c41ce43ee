//! Streams that are resumed at an instance that has missed what others know.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::cases;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::proxy::Harm;
use support::node::proxy::Proxy;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

use super::LONG;
use super::STREAMS;
use super::World;

/// Keys of the marks of software.
const MARKS: &str = "chiverelay/software/";

/// Path of a listing of keys.
const LIST: &str = "/v1/kv-range";

/// Starts a site and two targets, of which the first one is registered.
async fn start_targets() -> (Site, [PlatformTarget; 2]) {
    let site = Site::start().await;
    let targets = [
        PlatformTarget::start("a").await,
        PlatformTarget::start("b").await,
    ];
    for target in &targets {
        target.set(LONG);
    }
    site.register_software(&targets[0], "model", "north-a", "a");
    (site, targets)
}

impl World {
    /// Has the second target take the place of the first one in the store.
    fn replace(&self) {
        let store = &self.site.store;
        self.site
            .register_software(&self.targets[1], "model", "north-a", "b");
        store.remove("servers/a");
    }

    /// Checks that a stream that is resumed goes on at its own software, if it
    /// does. Returns whether it goes on.
    async fn check_resumed(&self, node: &Node, id: &str, began_as: &str) -> bool {
        let got = self.resume(node, id, began_as).await;
        let (asked, began) = (self.asked(id), self.asked(began_as));
        let log = node.logged();
        assert!(
            asked.is_empty() || asked == began,
            "{id} at {asked:?}: {log}"
        );
        if !got.status.is_success() {
            assert!(got.body.contains("not_resumable"), "{got:?}: {log}");
        }
        got.status.is_success()
    }
}

/// Failure: all instances were killed within a second of their start, around a
/// release. Those that started next knew the new software alone and continued a
/// stream of the old one there.
fn check_killed_after_the_start(instances: usize) {
    block_on(async {
        let (site, targets) = start_targets().await;
        let mut nodes = Vec::new();
        for n in 0..instances {
            nodes.push(site.spawn(&format!("n-{n}"), "north-a", "north"));
        }
        let mut world = World {
            site,
            targets,
            nodes,
        };
        for node in &world.nodes {
            node.until_ready(true).await;
        }
        for n in 0..STREAMS {
            world.begin(&format!("r-{n}")).await;
        }
        for n in 0..instances {
            world.kill(n);
        }
        world.replace();
        world.shorten();
        let mut node = world.nodes.remove(0);
        world.site.restart(&mut node);
        node.until_ready(true).await;
        for n in 0..STREAMS {
            let (id, began_as) = (format!("s-{n}"), format!("r-{n}"));
            world.check_resumed(&node, &id, &began_as).await;
        }
        let new = Call::new("r-new", "/quote/1").key(KEY);
        let new = new.send(node.front).await;
        assert!(new.status.is_success(), "{new:?}: {}", node.logged());
    });
}

cases! {
    check_killed_after_the_start:
    one_instance_is_killed_right_after_its_start(1);
    all_instances_are_killed_right_after_their_start(2);
}

/// Failure: an instance stood still while a release replaced the only target,
/// and its watch told it nothing afterwards. It continued a stream of the new
/// software at the old one, as the store answered its other calls.
#[test]
fn a_stream_of_software_that_was_missed_is_not_continued_by_other() {
    block_on(async {
        let (site, targets) = start_targets().await;
        let late = site.instance("late", "north-a", "north").await;
        let mut world = World {
            site,
            targets,
            nodes: Vec::new(),
        };
        until("the software is marked", async || {
            world.site.store.keys(MARKS).len() == 1
        })
        .await;
        world.site.store.mute(true);
        late.process.freeze();
        world.replace();
        let first = world.site.instance("first", "north-a", "north").await;
        world.nodes.push(first);
        for n in 0..STREAMS {
            world.begin(&format!("r-{n}")).await;
        }
        world.kill(0);
        late.process.thaw();
        world.shorten();
        for n in 0..STREAMS {
            let (id, began_as) = (format!("s-{n}"), format!("r-{n}"));
            world.check_resumed(&late, &id, &began_as).await;
        }
    });
}

/// What an instance without news can still ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InTouch {
    /// The store, which tells it of no change.
    WithTheStore,
    /// Another instance, while the store answers it nothing.
    WithOthers,
}

/// Streams whose software can still be told go on: refusing all that an instance
/// doesn't know itself would be no answer.
fn check_goes_on(in_touch: InTouch) {
    block_on(async {
        let (site, targets) = start_targets().await;
        let store = Proxy::start(site.store.address).await;
        let nodes = vec![
            site.spawn("n-0", "north-a", "north"),
            site.spawn_before("n-1", "north-a", "north", store.address),
            site.spawn("n-2", "north-a", "north"),
        ];
        let mut world = World {
            site,
            targets,
            nodes,
        };
        for node in &world.nodes {
            node.until_ready(true).await;
            until("the links are up", async || {
                node.logged().matches("link is up").count() >= 2
            })
            .await;
        }
        for n in 0..STREAMS {
            world.begin(&format!("r-{n}")).await;
        }
        match in_touch {
            InTouch::WithTheStore => {
                world.site.store.mute(true);
                world.kill(2);
            }
            InTouch::WithOthers => store.set(Harm::Silence),
        }
        world.kill(0);
        world.shorten();
        for n in 0..STREAMS {
            let (id, began_as) = (format!("s-{n}"), format!("r-{n}"));
            let goes_on = world.check_resumed(&world.nodes[1], &id, &began_as).await;
            assert!(goes_on, "{id}: {}", world.nodes[1].logged());
        }
    });
}

cases! {
    check_goes_on:
    a_stream_goes_on_if_the_store_can_tell(InTouch::WithTheStore);
    a_stream_goes_on_if_another_instance_can_tell(InTouch::WithOthers);
}

/// Failure: while the store answered nobody, streams of a pool with one version
/// were refused after a kill, as nothing could tell that there was no other.
#[test]
fn a_stream_goes_on_while_the_store_answers_nobody() {
    block_on(async {
        let (site, targets) = start_targets().await;
        let mut nodes = Vec::new();
        for n in 0..3 {
            nodes.push(site.instance(&format!("n-{n}"), "north-a", "north").await);
        }
        let mut world = World {
            site,
            targets,
            nodes,
        };
        for node in &world.nodes {
            until("the links are up", async || {
                node.logged().matches("link is up").count() >= 2
            })
            .await;
        }
        world.begin("r-0").await;
        world
            .site
            .store
            .refuse(Some(StatusCode::SERVICE_UNAVAILABLE));
        world.site.store.cut_watches();
        until("the outage is noticed", async || {
            world.nodes[0]
                .logged()
                .contains("the store does not answer")
        })
        .await;
        for n in 1..STREAMS {
            world.begin(&format!("r-{n}")).await;
        }
        world.kill(0);
        world.shorten();
        let mut continued = 0;
        for n in 0..STREAMS {
            let (id, began_as) = (format!("s-{n}"), format!("r-{n}"));
            let goes_on = world.check_resumed(&world.nodes[1], &id, &began_as).await;
            continued += usize::from(goes_on);
        }
        // The kill may come before the last one is told.
        let log = world.nodes[1].logged();
        assert!(continued + 1 >= STREAMS, "{continued} of {STREAMS}: {log}");
    });
}

/// Returns a configuration without streams that callers may resume.
fn without_resumable_routes() -> Value {
    let mut config = configuration(4);
    config["routes"][2]["resumable"] = json!(false);
    config
}

/// Nothing is marked, asked or read where no stream may be resumed.
#[test]
fn without_resumable_routes_nothing_is_asked() {
    block_on(async {
        let site = Site::start().await;
        site.store.put("op/config", &without_resumable_routes());
        let target = PlatformTarget::start("a").await;
        target.set(super::SHORT);
        site.register(&target, "model", "north-a");
        let node = site.instance("one", "north-a", "north").await;
        let listings = site.store.calls(LIST);
        for n in 0..STREAMS {
            let call = Call::new(&format!("s-{n}"), "/quote/1").key(KEY);
            let call = call.header("resumes", &format!("r-{n}"));
            call.header("last-event-id", "2").send(node.front).await;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(site.store.calls(LIST), listings);
        assert!(site.store.keys(MARKS).is_empty());
        assert!(!node.logged().contains("caller resumes a stream"));
    });
}

/// Streams that begin, and those that the instance knows, need no reading.
#[test]
fn a_known_stream_is_resumed_without_a_read() {
    block_on(async {
        let (site, targets) = start_targets().await;
        let node = site.instance("one", "north-a", "north").await;
        let world = World {
            site,
            targets,
            nodes: vec![node],
        };
        let listings = world.site.store.calls(LIST);
        for n in 0..STREAMS {
            world.begin(&format!("r-{n}")).await;
        }
        world.shorten();
        for n in 0..STREAMS {
            let (id, began_as) = (format!("s-{n}"), format!("r-{n}"));
            let goes_on = world.check_resumed(&world.nodes[0], &id, &began_as).await;
            assert!(goes_on, "{id}");
        }
        assert_eq!(world.site.store.calls(LIST), listings);
    });
}

/// Guards against an instance that takes the marks of a store that has come back
/// from an older copy for complete, as it hasn't read the records anew yet.
fn marks_of_a_restored_store_show_no_only_software(age: Duration) {
    block_on(async {
        let (site, targets) = start_targets().await;
        let late = site.instance("late", "north-a", "north").await;
        tokio::time::sleep(age).await;
        let mut world = World {
            site,
            targets,
            nodes: Vec::new(),
        };
        until("the software is marked", async || {
            world.site.store.keys(MARKS).len() == 1
        })
        .await;
        let copy = world.site.store.copy();
        world.site.store.mute(true);
        late.process.freeze();
        world.replace();
        let first = world.site.instance("first", "north-a", "north").await;
        world.nodes.push(first);
        for n in 0..STREAMS {
            world.begin(&format!("r-{n}")).await;
        }
        world.kill(0);
        world.site.store.restore_and_write_again(copy);
        late.process.thaw();
        world.shorten();
        for n in 0..STREAMS {
            let (id, began_as) = (format!("s-{n}"), format!("r-{n}"));
            world.check_resumed(&late, &id, &began_as).await;
        }
    });
}

cases! {
    marks_of_a_restored_store_show_no_only_software:
    to_an_instance_that_has_just_started(Duration::ZERO);
    to_an_instance_that_runs_for_longer_than_streams_last(Duration::from_secs(32));
}
