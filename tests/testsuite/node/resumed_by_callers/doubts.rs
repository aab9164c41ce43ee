//! Streams of which an instance doesn't know, or not for sure, what began them.

use serde_json::json;
use support::block_on;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::proxy::Harm;
use support::node::proxy::Proxy;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

use super::LONG;
use super::NORTH;
use super::STREAMS;
use super::World;

/// Failure: instances that the store didn't tell of new software continued a
/// stream that another region's target of that software had begun for them.
#[test]
fn a_stream_of_software_that_the_store_did_not_tell_of_is_not_continued_by_other() {
    block_on(async {
        let site = Site::start().await;
        let targets = [
            PlatformTarget::start("a").await,
            PlatformTarget::start("b").await,
        ];
        for target in &targets {
            target.set(LONG);
        }
        site.register_software(&targets[0], "model", "south-a", "a");
        let store = Proxy::start(site.store.address).await;
        let nodes = vec![
            site.spawn_before("n-0", "north-a", "north", store.address),
            site.spawn("n-1", "south-a", "south"),
            site.spawn_before("n-2", "north-a", "north", store.address),
        ];
        for node in &nodes {
            node.until_ready(true).await;
        }
        for node in &nodes {
            until("the links are up", async || {
                node.logged().matches("link is up").count() >= 2
            })
            .await;
        }
        let mut world = World {
            site,
            targets,
            nodes,
        };
        store.set(Harm::Silence);
        let targets = &world.targets;
        world
            .site
            .register_software(&targets[1], "model", "south-a", "b");
        until("the region has new software", async || {
            world.nodes[1]
                .logged()
                .matches("pool has new software")
                .count()
                >= 2
        })
        .await;
        for n in 0..STREAMS {
            world.begin(&format!("r-{n}")).await;
        }
        world.kill(0);
        world.shorten();
        for n in 0..STREAMS {
            let (id, began_as) = (format!("s-{n}"), format!("r-{n}"));
            let got = world.resume(&world.nodes[2], &id, &began_as).await;
            let asked = world.asked(&id);
            let is_same = asked.is_empty() || asked == world.asked(&began_as);
            assert!(is_same, "{id}: {asked:?}: {got:?}");
        }
    });
}

/// Failure: after all instances were killed and the store came back from an older
/// copy, a stream went on at the only software that the copy had.
#[test]
fn a_stream_of_software_that_a_restored_store_lacks_is_not_continued_by_other() {
    block_on(async {
        let site = Site::start().await;
        let targets = [
            PlatformTarget::start("a").await,
            PlatformTarget::start("b").await,
        ];
        for target in &targets {
            target.set(LONG);
        }
        site.register_software(&targets[0], "model", "north-a", "a");
        let nodes = vec![site.instance("n-0", "north-a", "north").await];
        let mut world = World {
            site,
            targets,
            nodes,
        };
        let copy = world.site.store.copy();
        world
            .site
            .register_software(&world.targets[1], "model", "north-a", "b");
        until("both are marked", async || {
            world.site.store.keys("chiverelay/software/").len() == 2
        })
        .await;
        for n in 0..STREAMS {
            world.begin(&format!("r-{n}")).await;
        }
        world.shorten();
        let mut node = world.nodes.remove(0);
        node.process.kill();
        world.site.store.restore(copy);
        world.site.restart(&mut node);
        node.until_ready(true).await;
        for n in 0..STREAMS {
            let (id, began_as) = (format!("s-{n}"), format!("r-{n}"));
            let got = world.resume(&node, &id, &began_as).await;
            let asked = world.asked(&id);
            let is_same = asked.is_empty() || asked == world.asked(&began_as);
            assert!(is_same, "{id}: {asked:?}: {got:?}");
        }
    });
}

/// Failure: the id of a request was used a second time, and the stream that it
/// began then was continued by the software that had begun the first one.
#[test]
fn a_stream_that_begins_anew_is_bound_to_its_new_software() {
    block_on(async {
        let world = World::start(&[NORTH]).await;
        let node = &world.nodes[0];
        world.begin("r-1").await;
        let first = world.asked("r-1").join(" ");
        world.site.store.remove(&format!("servers/{first}"));
        until("the record is gone", async || {
            node.logged().contains("target record removed")
        })
        .await;
        world.begin("r-1").await;
        assert_eq!(world.asked("r-1").len(), 2, "{}", node.logged());
        world.shorten();
        let got = world.resume(node, "r-2", "r-1").await;
        let second: Vec<&str> = ["a", "b"]
            .into_iter()
            .filter(|name| *name != first)
            .collect();
        assert_eq!(world.asked("r-2"), second, "{got:?}");
        assert!(got.status.is_success(), "{got:?}");
    });
}

/// Failure: a caller resumed a stream that nobody knew, by the id of a later
/// request of another caller, whose stream was then continued by other software.
#[test]
fn a_stream_is_not_bound_by_a_request_that_resumed_it_before_it_began() {
    block_on(async {
        let site = Site::start().await;
        let targets = [
            PlatformTarget::start("a").await,
            PlatformTarget::start("b").await,
        ];
        site.register_software(&targets[0], "model", "north-a", "a");
        let nodes = vec![site.instance("n-0", "north-a", "north").await];
        let world = World {
            site,
            targets,
            nodes,
        };
        let node = &world.nodes[0];
        world.shorten();
        let got = world.resume(node, "r-1", "r-2").await;
        assert!(got.status.is_success(), "{got:?}");
        let targets = &world.targets;
        world
            .site
            .register_software(&targets[1], "model", "north-a", "b");
        world.site.store.remove("servers/a");
        until("the record is gone", async || {
            node.logged().contains("target record removed")
        })
        .await;
        targets[1].set(LONG);
        world.begin("r-2").await;
        assert_eq!(world.asked("r-2"), ["b"]);
        world
            .site
            .register_software(&targets[0], "model", "north-a", "a");
        until("the record is back", async || {
            node.logged().matches("target record received").count() >= 3
        })
        .await;
        world.shorten();
        let got = world.resume(node, "r-3", "r-2").await;
        assert_eq!(world.asked("r-3"), ["b"], "{got:?}: {}", node.logged());
    });
}

/// Failure: a stream whose route had moved to another pool was continued there,
/// by other software than that which had begun it.
#[test]
fn a_stream_does_not_go_on_in_another_pool() {
    block_on(async {
        let site = Site::start().await;
        let targets = [
            PlatformTarget::start("a").await,
            PlatformTarget::start("b").await,
        ];
        for target in &targets {
            target.set(LONG);
        }
        site.register_software(&targets[0], "model", "north-a", "a");
        site.register_software(&targets[1], "new-model", "north-a", "b");
        let nodes = vec![site.instance("n-0", "north-a", "north").await];
        let world = World {
            site,
            targets,
            nodes,
        };
        let node = &world.nodes[0];
        world.begin("r-1").await;
        let mut config = configuration(9);
        let mut service = config["services"][1].clone();
        service["name"] = json!("new-model");
        config["services"]
            .as_array_mut()
            .expect("a list of services")
            .push(service);
        config["routes"][2]["service"] = json!("new-model");
        world.site.store.put("op/config", &config);
        until("the version is in force", async || {
            node.logged().contains(r#""version":9"#)
        })
        .await;
        world.shorten();
        let got = world.resume(node, "r-2", "r-1").await;
        assert!(world.asked("r-2").is_empty(), "{got:?}");
        assert_eq!(got.status.as_u16(), 503, "{got:?}");
    });
}

/// Failure: an instance that had just started refused streams that the others
/// knew, as it had no link to them yet.
#[test]
fn a_stream_is_resumed_at_an_instance_that_has_just_started() {
    block_on(async {
        let mut world = World::start(&[NORTH, NORTH]).await;
        for n in 0..STREAMS {
            world.begin(&format!("r-{n}")).await;
        }
        world.shorten();
        let mut node = world.nodes.remove(1);
        world.site.restart(&mut node);
        node.until_ready(true).await;
        for n in 0..STREAMS {
            let (id, began_as) = (format!("s-{n}"), format!("r-{n}"));
            let got = world.resume(&node, &id, &began_as).await;
            assert!(got.status.is_success(), "{got:?}: {}", node.logged());
        }
    });
}

/// Failure: a request that stated its last event in a way that wasn't read was
/// taken for a new one, and its target continued the stream.
#[test]
fn a_last_event_that_is_not_read_is_not_passed_on() {
    block_on(async {
        let world = World::start(&[NORTH]).await;
        world.shorten();
        let call = Call::new("r-1", "/quote/1").key(KEY);
        let call = call.header("last-event-id", "2, 2");
        call.send(world.nodes[0].front).await;
        for target in &world.targets {
            for arrival in target.arrivals() {
                assert_eq!(arrival.header("last-event-id"), "");
            }
        }
    });
}
