//! Streams that callers resume before targets of several software versions.

mod doubts;
mod out_of_step;

use std::time::Duration;

use support::block_on;
use support::cases;
use support::node::Got;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The last event of each stream, and the pause before each event.
const LONG: Mode = Mode::Paced(200, Duration::from_millis(20));

/// The last event that a caller has when it leaves a stream.
const LAST_EVENT: u64 = 2;

/// What targets send when a stream is resumed.
const SHORT: Mode = Mode::Paced(LAST_EVENT + 2, Duration::from_millis(10));

/// Streams that are begun and resumed.
const STREAMS: usize = 6;

/// Two targets of different software, and the instances before them.
struct World {
    site: Site,
    targets: [PlatformTarget; 2],
    nodes: Vec<Node>,
}

impl World {
    /// Starts an instance in each of these zones.
    async fn start(zones: &[(&'static str, &'static str)]) -> Self {
        let site = Site::start().await;
        let targets = [
            PlatformTarget::start("a").await,
            PlatformTarget::start("b").await,
        ];
        for target in &targets {
            target.set(LONG);
            site.register_software(target, "model", "north-a", &target.name);
        }
        let mut nodes = Vec::new();
        for (n, (zone, region)) in zones.iter().enumerate() {
            nodes.push(site.instance(&format!("n-{n}"), zone, region).await);
        }
        let others = zones.len() - 1;
        for node in &nodes {
            until("the links are up", async || {
                node.logged().matches("link is up").count() >= others
            })
            .await;
        }
        Self {
            site,
            targets,
            nodes,
        }
    }

    /// Begins a stream at the first instance and leaves it.
    async fn begin(&self, id: &str) {
        self.leave(&self.nodes[0], id, "").await;
    }

    /// Reads a stream up to the event after the last one that the caller has,
    /// and closes the connection.
    async fn leave(&self, node: &Node, id: &str, resuming: &str) {
        let head = format!(
            "POST /quote/1 HTTP/1.1\r\nhost: desk.example\r\nrequest-id: {id}\r\n\
             request-deadline: 6000\r\nauthorization: Bearer {KEY}\r\n\
             content-length: 0\r\n{resuming}\r\n"
        );
        let mut conn = TcpStream::connect(node.front).await.expect("a connection");
        conn.write_all(head.as_bytes()).await.expect("it is sent");
        let mut got = Vec::new();
        while !String::from_utf8_lossy(&got).contains("data: piece") {
            let read = conn.read_buf(&mut got).await.expect("the answer goes on");
            let text = String::from_utf8_lossy(&got);
            assert!(read > 0, "{text}: {}", node.logged());
        }
    }

    /// Resumes a stream at an instance.
    async fn resume(&self, node: &Node, id: &str, began_as: &str) -> Got {
        let call = Call::new(id, "/quote/1").key(KEY);
        let call = call.header("resumes", began_as);
        let call = call.header("last-event-id", &LAST_EVENT.to_string());
        call.send(node.front).await
    }

    /// Makes the targets end their streams soon.
    fn shorten(&self) {
        for target in &self.targets {
            target.set(SHORT);
        }
    }

    /// Lists the targets that had a request.
    fn asked(&self, id: &str) -> Vec<&str> {
        let has_request = |target: &&PlatformTarget| {
            let mut arrivals = target.arrivals().into_iter();
            arrivals.any(|arrival| arrival.header("request-id") == id)
        };
        let asked = self.targets.iter().filter(has_request);
        asked.map(|target| target.name.as_str()).collect()
    }

    fn kill(&mut self, index: usize) {
        self.nodes[index].process.kill();
    }
}

/// Whether the instance that began the streams still runs when they are resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum First {
    Runs,
    Killed,
}

const NORTH: (&str, &str) = ("north-a", "north");
const SOUTH: (&str, &str) = ("south-a", "south");

/// Failure: a caller took a broken stream up again, and got its rest from a
/// target of other software.
fn check_resumed(zones: &'static [(&str, &str)], at: usize, first: First) {
    block_on(async {
        let mut world = World::start(zones).await;
        for n in 0..STREAMS {
            world.begin(&format!("r-{n}")).await;
        }
        if first == First::Killed {
            world.kill(0);
        }
        world.shorten();
        let mut continued = 0;
        for n in 0..STREAMS {
            let (id, began_as) = (format!("s-{n}"), format!("r-{n}"));
            let got = world.resume(&world.nodes[at], &id, &began_as).await;
            let asked = world.asked(&id);
            if got.status.is_success() {
                assert_eq!(asked, world.asked(&began_as), "{id}: {got:?}");
                assert_eq!(got.event_ids(), [3, 4], "{id}");
                continued += 1;
            } else {
                assert!(asked.is_empty(), "{id}: {asked:?}");
            }
        }
        let log = world.nodes[at].logged();
        assert!(continued * 2 >= STREAMS, "{continued} of {STREAMS}: {log}");
    });
}

cases! {
    check_resumed:
    at_the_same_instance(&[NORTH], 0, First::Runs);
    at_another_instance(&[NORTH, NORTH], 1, First::Runs);
    at_another_instance_after_a_kill(&[NORTH, NORTH], 1, First::Killed);
    in_another_region(&[NORTH, SOUTH, NORTH], 1, First::Runs);
    in_another_region_after_a_kill(&[NORTH, SOUTH, NORTH], 1, First::Killed);
}

/// Failure: a stream that was resumed twice went on at other software the second
/// time.
#[test]
fn a_resumed_stream_is_resumed_again() {
    block_on(async {
        let world = World::start(&[NORTH, NORTH]).await;
        world.begin("r-1").await;
        let began = world.asked("r-1").join(" ");
        let resuming = "resumes: r-1\r\nlast-event-id: 1\r\n";
        world.leave(&world.nodes[1], "r-2", resuming).await;
        world.shorten();
        let got = world.resume(&world.nodes[0], "r-3", "r-1").await;
        assert!(got.status.is_success(), "{got:?}");
        assert_eq!(world.asked("r-2"), [began.as_str()]);
        assert_eq!(world.asked("r-3"), [began.as_str()]);
    });
}

/// What the store has of the first target after all instances were killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Record {
    Kept,
    Removed,
}

/// Failure: after all instances were killed, a stream went on at whichever
/// software there was.
fn check_after_all_were_killed(of_first_target: Record) {
    block_on(async {
        let mut world = World::start(&[NORTH]).await;
        world.begin("r-1").await;
        until("both are marked", async || {
            let marks = world.site.store.keys("chiverelay/software/");
            marks.len() == 2
        })
        .await;
        world.shorten();
        let began = world.asked("r-1").join(" ");
        if of_first_target == Record::Removed {
            world.site.store.remove(&format!("servers/{began}"));
        }
        let mut node = world.nodes.remove(0);
        world.site.restart(&mut node);
        node.until_ready(true).await;
        let got = world.resume(&node, "r-2", "r-1").await;
        assert_eq!(got.status.as_u16(), 503, "{got:?}");
        assert!(got.body.contains("not_resumable"), "{got:?}");
        assert_eq!(got.header("retry-after"), "");
        assert!(world.asked("r-2").is_empty());
        let new = Call::new("r-3", "/quote/1").key(KEY).send(node.front).await;
        assert!(new.status.is_success(), "{new:?}");
    });
}

cases! {
    check_after_all_were_killed:
    a_stream_of_unknown_software_is_refused(Record::Kept);
    a_stream_of_software_that_has_left_is_refused(Record::Removed);
}

/// Only with several versions there is anything to know.
#[test]
fn before_one_version_a_stream_goes_on_after_all_were_killed() {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("a").await;
        target.set(SHORT);
        site.register(&target, "model", "north-a");
        let node = site.instance("near", "north-a", "north").await;
        let call = Call::new("r-2", "/quote/1").key(KEY);
        let call = call.header("resumes", "r-1").header("last-event-id", "2");
        let got = call.send(node.front).await;
        assert_eq!(got.event_ids(), [3, 4], "{got:?}");
    });
}

/// Failure: a stream whose software had no target left waited for one.
#[test]
fn a_stream_without_a_target_of_its_software_is_refused_at_once() {
    block_on(async {
        let world = World::start(&[NORTH]).await;
        world.begin("r-1").await;
        world.shorten();
        let began = world.asked("r-1").join(" ");
        world.site.store.remove(&format!("servers/{began}"));
        let node = &world.nodes[0];
        until("the record is gone", async || {
            node.logged().contains("target record removed")
        })
        .await;
        let got = world.resume(node, "r-2", "r-1").await;
        assert_eq!(got.status.as_u16(), 503, "{got:?}");
        assert!(got.body.contains("not_resumable"), "{got:?}");
        assert!(world.asked("r-2").is_empty());
    });
}
