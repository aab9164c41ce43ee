//! An instance that reaches no target, beside another one of its region that
//! does.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use support::block_on;
use support::cases;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call;
use support::node::call::Call;
use support::node::path::Cut;
use support::node::path::TargetPath;
use support::node::site::KEY;
use support::node::site::until;
use support::node::store_view::StoreView;

/// Time from the beginning of a cut on after which callers are served as well as
/// those of other instances.
const KNOWN_WITHIN: Duration = Duration::from_secs(2);

/// Time in which a request that is not stuck is answered.
const PROMPT: Duration = Duration::from_millis(500);

/// Targets of each pool.
const TARGETS: usize = 3;

/// Two instances of a region, one of which reaches the targets by paths that can
/// be cut.
struct World {
    _site: Site,
    _view: StoreView,
    targets: Vec<PlatformTarget>,
    paths: Vec<TargetPath>,
    cut_off: Node,
    in_touch: Node,
}

impl World {
    async fn start() -> Self {
        let site = Site::start().await;
        let (mut targets, mut paths, mut replaced) = (Vec::new(), Vec::new(), Vec::new());
        for n in 0..TARGETS {
            for pool in ["orders", "model"] {
                let target = PlatformTarget::start(&format!("i-{pool}-{n}")).await;
                if pool == "model" {
                    target.set(Mode::Events(2));
                }
                let path = TargetPath::start(target.address).await;
                replaced.push((target.address, path.address));
                site.register(&target, pool, "north-a");
                targets.push(target);
                paths.push(path);
            }
        }
        let view = StoreView::start(site.store.address, replaced).await;
        let cut_off = site.spawn_before("cut-off", "north-a", "north", view.address);
        let in_touch = site.spawn("in-touch", "north-a", "north");
        for node in [&cut_off, &in_touch] {
            node.until_ready(true).await;
            until("the instances are linked", async || {
                node.logged().contains("link is up")
            })
            .await;
            until("requests are answered", async || {
                send(node.front, "first", "/status/1").await.0
            })
            .await;
        }
        Self {
            _site: site,
            _view: view,
            targets,
            paths,
            cut_off,
            in_touch,
        }
    }

    fn cut(&self, cut: Cut) {
        for path in &self.paths {
            path.set(cut);
        }
    }

    /// Sends requests to the instance that is cut off.
    async fn press(&self, requests: usize, path: &str) -> (usize, Duration) {
        press(self.cut_off.front, requests, path).await
    }
}

/// Sends requests to an instance at a constant rate, and returns how many were
/// served, and the longest time.
async fn press(front: SocketAddr, requests: usize, path: &str) -> (usize, Duration) {
    let calls = (0..requests).map(|n| async move {
        tokio::time::sleep(Duration::from_millis(20) * n as u32).await;
        send(front, &format!("p-{path}-{n}"), path).await
    });
    let got = futures_util::future::join_all(calls).await;
    let served = got.iter().filter(|(is_served, _)| *is_served).count();
    let longest = got.iter().map(|(_, took)| *took).max().unwrap_or_default();
    (served, longest)
}

/// Sends a request, and returns whether it was served and the time it took.
async fn send(front: SocketAddr, id: &str, path: &str) -> (bool, Duration) {
    let began = Instant::now();
    let got = Call::new(id, path).key(KEY).send(front).await;
    (got.status.is_success() && got.whole, began.elapsed())
}

/// Failure: callers of an instance that had lost its connections to all targets
/// got errors or waited for their deadlines until the cut was over, while those
/// of others were served.
fn callers_are_served_all_the_same(cut: Cut, path: &'static str) {
    block_on(async {
        let world = World::start().await;
        let began = Instant::now();
        world.cut(cut);
        // Callers go on meanwhile.
        world.press(40, "/status/1").await;
        tokio::time::sleep(KNOWN_WITHIN.saturating_sub(began.elapsed())).await;
        let (served, longest) = world.press(100, path).await;
        let log = world.cut_off.logged();
        assert_eq!(served, 100, "{log}");
        assert!(longest <= PROMPT, "{longest:?}");
        assert_eq!(log.matches("cut off from all targets").count(), 1, "{log}");
        world.cut(Cut::None);
        until("the cut is over", async || {
            world.cut_off.logged().contains("reached again")
        })
        .await;
        assert_eq!(world.press(20, path).await.0, 20);
        assert!(!world.in_touch.logged().contains("cut off from all targets"));
    });
}

cases! {
    callers_are_served_all_the_same:
    while_connections_hang(Cut::Hang, "/status/2");
    while_connections_are_reset(Cut::Reset, "/status/2");
    while_new_connections_are_refused(Cut::RefuseNew, "/status/2");
    while_new_connections_are_accepted_and_reset(Cut::ResetNew, "/status/2");
    with_streams_while_connections_hang(Cut::Hang, "/chat/2");
    with_deposits_while_connections_are_reset(Cut::Reset, "/deposit/2");
}

/// Failure: while all instances of a region were cut off, requests were placed at
/// their targets again and again to see whether those were back, and waited for
/// connections, though another region had room.
#[test]
fn callers_are_served_by_another_region_if_nobody_of_theirs_reaches_targets() {
    block_on(async {
        let site = Site::start().await;
        let (mut targets, mut paths, mut replaced) = (Vec::new(), Vec::new(), Vec::new());
        for n in 0..TARGETS {
            let target = PlatformTarget::start(&format!("i-north-{n}")).await;
            let path = TargetPath::start(target.address).await;
            replaced.push((target.address, path.address));
            site.register(&target, "orders", "north-a");
            targets.push(target);
            paths.push(path);
        }
        let view = StoreView::start(site.store.address, replaced).await;
        let far_target = PlatformTarget::start("i-south").await;
        site.register(&far_target, "orders", "south-a");
        let near = site.spawn_before("near", "north-a", "north", view.address);
        near.until_ready(true).await;
        let _far = site.instance("far", "south-a", "south").await;
        until("the other region is linked", async || {
            near.logged().contains("link is up")
        })
        .await;
        let began = Instant::now();
        for path in &paths {
            path.set(Cut::Hang);
        }
        press(near.front, 40, "/status/1").await;
        tokio::time::sleep(KNOWN_WITHIN.saturating_sub(began.elapsed())).await;
        for n in 0..80 {
            let (is_served, took) = send(near.front, &format!("r-{n}"), "/status/2").await;
            assert!(is_served, "{n}: {}", near.logged());
            assert!(took <= PROMPT, "{n}: {took:?}");
            tokio::time::sleep(Duration::from_millis(80)).await;
        }
    });
}

/// Failure: requests whose answers had not begun waited on connections of an
/// instance that was cut off until their deadlines, though others could have run
/// them.
#[test]
fn a_request_that_may_be_repeated_leaves_a_connection_that_hangs() {
    block_on(async {
        let world = World::start().await;
        for target in &world.targets {
            target.set(Mode::Slow(Duration::from_millis(300)));
        }
        let stuck = send(world.cut_off.front, "stuck", "/status/3");
        let cutting = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            world.cut(Cut::Hang);
        };
        let ((is_served, took), ()) = tokio::join!(stuck, cutting);
        assert!(is_served, "{took:?}");
        assert!(took <= KNOWN_WITHIN, "{took:?}");
    });
}

/// Failure: an instance that was cut off took the refused connections for crashes
/// of the targets, and had the requests that it lost refused everywhere.
#[test]
fn requests_that_a_cut_has_lost_are_not_suspended() {
    block_on(async {
        let world = World::start().await;
        for target in &world.targets {
            target.set(Mode::Slow(Duration::from_millis(300)));
        }
        let front = world.cut_off.front;
        let lost = (0..10).map(|n| async move {
            let call = Call::new(&format!("lost-{n}"), "/deposit/3").key(KEY);
            call.send(front).await.status
        });
        let cutting = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            world.cut(Cut::Reset);
        };
        let (statuses, ()) = tokio::join!(futures_util::future::join_all(lost), cutting);
        assert!(statuses.contains(&StatusCode::BAD_GATEWAY), "{statuses:?}");
        until("the targets were checked", async || {
            let log = world.cut_off.logged();
            log.contains("target checked after lost requests")
        })
        .await;
        let log = world.cut_off.logged();
        assert!(!log.contains(r#""crashed":true"#), "{log}");
    });
}

#[test]
fn callers_are_told_of_the_instance_that_reaches_targets() {
    block_on(async {
        let world = World::start().await;
        let path = "/v1/resolve?name=desk.example&region=north&zone=north-a";
        let named = async |node: &Node| {
            let asked = [&world.cut_off, &world.in_touch];
            let answers = asked.map(|asked| call::get(asked.directory, path));
            let answers = futures_util::future::join_all(answers).await;
            let mut bodies = answers.into_iter().map(|got| got.expect("an answer").body);
            bodies.all(|body| body.contains(&node.front.to_string()))
        };
        until("both are named", async || {
            named(&world.cut_off).await && named(&world.in_touch).await
        })
        .await;
        world.cut(Cut::RefuseNew);
        world.press(50, "/status/1").await;
        until("one is named", async || {
            !named(&world.cut_off).await && named(&world.in_touch).await
        })
        .await;
        world.cut(Cut::None);
        until("both are named again", async || named(&world.cut_off).await).await;
    });
}

/// Guards against an instance that takes itself for cut off as one target of
/// several can't be reached or stands still.
fn one_target_is_no_cut(cut: Cut) {
    block_on(async {
        let world = World::start().await;
        world.paths[0].set(cut);
        world.press(100, "/status/1").await;
        let log = world.cut_off.logged();
        assert!(!log.contains("cut off from all targets"), "{log}");
        let (served, _) = world.press(20, "/status/1").await;
        assert_eq!(served, 20, "{log}");
    });
}

cases! {
    one_target_is_no_cut:
    that_hangs(Cut::Hang);
    that_is_reset(Cut::Reset);
}

/// Guards against forwards for a pool whose targets are all down, which no other
/// instance reaches either.
#[test]
fn a_pool_that_is_down_is_no_cut() {
    block_on(async {
        let world = World::start().await;
        for path in world.paths.iter().step_by(2) {
            path.set(Cut::Reset);
        }
        let (served, _) = world.press(50, "/status/1").await;
        assert_eq!(served, 0, "no target is up");
        let log = world.cut_off.logged();
        assert!(!log.contains("cut off from all targets"), "{log}");
        assert_eq!(world.press(20, "/chat/1").await.0, 20);
    });
}
