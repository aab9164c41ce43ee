//! Random faults around real processes, from seeds, while callers check what
//! the pages promise.
//!
//! `SOAK_SEEDS=50 SOAK_FIRST=1000 cargo test --test testsuite soak::` plays
//! fifty seeds from a thousand on.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use support::block_on;
use support::cases;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformStore;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::proxy::Harm;
use support::node::proxy::Proxy;
use support::node::site::KEY;

/// Time in which faults begin.
const FAULTS: Duration = Duration::from_secs(8);

/// Time in which everything works again once the last fault has ended.
const RECOVERY: Duration = Duration::from_secs(15);

/// Time in which an instance that is told to stop has ended.
const GRACE: Duration = Duration::from_secs(8);

/// Slack of the test's own clock.
const SLACK: Duration = Duration::from_millis(1500);

/// Time that a caller grants a request, in ms.
const DEADLINE_MS: u64 = 3000;

/// Callers that send requests one after another.
const CALLERS: u64 = 8;

/// Time of a plain answer, so that faults meet requests at the targets.
const SERVICE: Duration = Duration::from_millis(60);

/// Events of a stream.
const EVENTS: u64 = 5;

/// Where instances run.
const PLACES: [(&str, &str, &str); 5] = [
    ("front-north-1", "north-a", "north"),
    ("front-north-2", "north-a", "north"),
    ("front-south-1", "south-a", "south"),
    ("front-south-2", "south-a", "south"),
    ("front-west-1", "west-a", "west"),
];

/// Targets with their service and zone.
const TARGETS: [(&str, &str, &str); 6] = [
    ("i-orders-1", "orders", "north-a"),
    ("i-orders-2", "orders", "south-a"),
    ("i-orders-3", "orders", "west-a"),
    ("i-model-1", "model", "north-a"),
    ("i-model-2", "model", "south-a"),
    ("i-model-3", "model", "west-a"),
];

/// What a caller saw of one attempt.
#[derive(Debug)]
struct Seen {
    id: String,
    path: &'static str,
    status: Option<StatusCode>,
    promised_not_run: bool,
    events: Option<Vec<u64>>,
}

struct Soak {
    site: Site,
    targets: Vec<(PlatformTarget, Proxy)>,
    store: Proxy,
    /// Locked by the fault that an instance suffers.
    nodes: Vec<Arc<tokio::sync::Mutex<Node>>>,
    fronts: Arc<Vec<Mutex<SocketAddr>>>,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Soak {
    async fn start() -> Self {
        let store = PlatformStore::start().await;
        let proxy = Proxy::start(store.address).await;
        let site = Site::before(store, proxy.address);
        let mut targets = Vec::new();
        for (name, service, zone) in TARGETS {
            let target = PlatformTarget::start(name).await;
            target.set(match service {
                "model" => Mode::Events(EVENTS),
                _ => Mode::Slow(SERVICE),
            });
            let proxy = Proxy::start(target.address).await;
            site.register_at(name, proxy.address, service, zone);
            targets.push((target, proxy));
        }
        let mut nodes = Vec::new();
        for (name, zone, region) in PLACES {
            nodes.push(site.spawn(name, zone, region));
        }
        for node in &nodes {
            node.until_ready(true).await;
        }
        let fronts = nodes.iter().map(|node| Mutex::new(node.front)).collect();
        Self {
            site,
            targets,
            store: proxy,
            nodes: nodes
                .into_iter()
                .map(|node| Arc::new(tokio::sync::Mutex::new(node)))
                .collect(),
            fronts: Arc::new(fronts),
            seen: Arc::default(),
        }
    }

    /// Does one fault and undoes it after `time`.
    async fn fault(&self, rng: &mut StdRng, time: Duration) {
        let at = rng.random_range(0..self.nodes.len());
        match rng.random_range(0..13) {
            0 => self.freeze(at, time).await,
            1 => self.replace(at, true, time).await,
            2 => self.replace(at, false, time).await,
            3 => harm(&self.store, rng, time).await,
            4..=8 => {
                let target = rng.random_range(0..self.targets.len());
                harm(&self.targets[target].1, rng, time).await;
            }
            9 => {
                self.site.store.forget();
                tokio::time::sleep(time).await;
            }
            10 => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                self.site.store.refuse(Some(status));
                tokio::time::sleep(time).await;
                self.site.store.refuse(None);
            }
            11 => {
                let copy = self.site.store.copy();
                tokio::time::sleep(time).await;
                self.site.store.restore_and_write_again(copy);
            }
            _ => {
                let (_, _, zone) = TARGETS[rng.random_range(0..TARGETS.len())];
                let key = format!("op/evacuate/{zone}");
                self.site.store.put(&key, &json!({}));
                tokio::time::sleep(time).await;
                self.site.store.remove(&key);
            }
        }
    }

    async fn freeze(&self, at: usize, time: Duration) {
        // Another fault may have the instance now.
        let Ok(node) = self.nodes[at].try_lock() else {
            return;
        };
        node.process.freeze();
        tokio::time::sleep(time).await;
        node.process.thaw();
    }

    /// Ends an instance and starts it again after `time`.
    async fn replace(&self, at: usize, kill: bool, time: Duration) {
        let Ok(mut node) = Arc::clone(&self.nodes[at]).try_lock_owned() else {
            return;
        };
        if kill {
            node.process.kill();
        } else {
            let told = Instant::now();
            node.process.terminate();
            let ending = tokio::task::spawn_blocking(move || {
                let well = node.process.wait();
                (node, well)
            });
            let (ended, well) = ending.await.expect("no panic");
            node = ended;
            let took = told.elapsed();
            assert!(well, "instance {at} did not stop well");
            assert!(took <= GRACE + SLACK, "instance {at} took {took:?} to stop");
        }
        tokio::time::sleep(time).await;
        let (name, zone, region) = PLACES[at];
        *node = self.site.spawn(name, zone, region);
        *self.fronts[at].lock().expect("no panic under the lock") = node.front;
    }

    /// Sends requests one after another until `stop`.
    fn call(&self, caller: u64, mut rng: StdRng, until: Instant) -> tokio::task::JoinHandle<()> {
        let (fronts, seen) = (Arc::clone(&self.fronts), Arc::clone(&self.seen));
        tokio::spawn(async move {
            let mut n = 0;
            while Instant::now() < until {
                n += 1;
                let at = rng.random_range(0..fronts.len());
                let front = *fronts[at].lock().expect("no panic under the lock");
                let path = ["/status/1", "/deposit/1", "/quote/1"][rng.random_range(0..3)];
                let one = attempt(front, &format!("r-{caller}-{n}"), path).await;
                seen.lock().expect("no panic under the lock").push(one);
                tokio::time::sleep(Duration::from_millis(rng.random_range(5..40))).await;
            }
        })
    }

    /// Counts for each request the targets that ran it.
    fn runs(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for (target, _) in &self.targets {
            for arrival in target.arrivals() {
                if arrival.header("target-instance") == target.name {
                    let id = arrival.header("request-id").to_owned();
                    *runs.entry(id).or_default() += 1;
                }
            }
        }
        runs
    }

    fn check(&self) {
        let runs = self.runs();
        let seen = self.seen.lock().expect("no panic under the lock");
        for one in seen.iter() {
            let ran = runs.get(&one.id).copied().unwrap_or_default();
            if one.path.starts_with("/deposit") {
                assert!(ran <= 1, "ran {ran} times: {one:?}");
            }
            if one.promised_not_run {
                assert_eq!(ran, 0, "said not run: {one:?}");
            }
            if one.status.is_some_and(|status| status.is_success()) {
                assert!(ran >= 1, "answered by nobody: {one:?}");
            }
            if let Some(events) = &one.events {
                let whole: Vec<u64> = (1..=EVENTS).collect();
                assert!(whole.starts_with(events), "events out of order: {one:?}");
            }
        }
    }

    /// Waits until every instance answers each kind of request.
    async fn recover(&self) {
        let until = Instant::now() + RECOVERY;
        for (at, front) in self.fronts.iter().enumerate() {
            let front = *front.lock().expect("no panic under the lock");
            for path in ["/status/1", "/deposit/1", "/quote/1"] {
                let mut n = 0;
                loop {
                    n += 1;
                    let id = format!("end-{at}-{path}-{n}");
                    let one = attempt(front, &id, path).await;
                    if one.status == Some(StatusCode::OK) {
                        break;
                    }
                    assert!(
                        Instant::now() < until,
                        "no answer at {}: {one:?}",
                        PLACES[at].0
                    );
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }
}

async fn harm(proxy: &Proxy, rng: &mut StdRng, time: Duration) {
    proxy.set(match rng.random_range(0..6) {
        0 => Harm::Delay(Duration::from_millis(rng.random_range(20..400))),
        1 => Harm::Silence,
        2 | 3 => Harm::OneWay,
        _ => Harm::Reset,
    });
    tokio::time::sleep(time).await;
    proxy.set(Harm::None);
}

async fn attempt(front: SocketAddr, id: &str, path: &'static str) -> Seen {
    let call = Call::new(id, path).key(KEY);
    let call = call.header("request-deadline", &DEADLINE_MS.to_string());
    let patience = Duration::from_millis(DEADLINE_MS) + SLACK;
    let got = tokio::time::timeout(patience, call.exchange(front)).await;
    let got = got.ok().and_then(Result::ok);
    let is_stream = path.starts_with("/quote");
    Seen {
        id: id.to_owned(),
        path,
        status: got.as_ref().map(|got| got.status),
        promised_not_run: got.as_ref().is_some_and(|got| {
            let refused = [400, 401, 404, 408, 413, 421, 429, 431, 503];
            refused.contains(&got.status.as_u16())
        }),
        events: got
            .filter(|got| is_stream && got.status == StatusCode::OK)
            .map(|got| got.event_ids()),
    }
}

/// Plays the faults of a seed.
fn play(seed: u64) {
    block_on(async {
        let soak = Soak::start().await;
        let mut rng = StdRng::seed_from_u64(seed);
        let until = Instant::now() + FAULTS;
        let callers: Vec<_> = (0..CALLERS)
            .map(|n| soak.call(n, StdRng::seed_from_u64(rng.next_u64()), until))
            .collect();
        // Three series of faults overlap.
        let series = (0..3).map(|_| {
            let mut rng = StdRng::seed_from_u64(rng.next_u64());
            let soak = &soak;
            async move {
                while Instant::now() < until {
                    let pause = Duration::from_millis(rng.random_range(0..900));
                    tokio::time::sleep(pause).await;
                    let time = Duration::from_millis(rng.random_range(200..2500));
                    soak.fault(&mut rng, time).await;
                }
            }
        });
        futures_util::future::join_all(series).await;
        for caller in callers {
            caller.await.expect("no panic");
        }
        soak.recover().await;
        soak.check();
        let seen = soak.seen.lock().expect("no panic under the lock").len();
        assert!(seen > 50, "only {seen} requests");
    });
}

fn check_seed(seed: u64) {
    play(seed);
}

cases! {
    check_seed:
    seed_1(1);
    seed_2(2);
}

/// Plays the seeds that the environment asks for.
#[test]
fn seeds_by_hand() {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let first = number("SOAK_FIRST").unwrap_or(100);
    for seed in first..first + number("SOAK_SEEDS").unwrap_or_default() {
        println!("seed {seed}");
        play(seed);
    }
}
