//! Daemons as processes before stand-ins that run in the test.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chiverelay_operator::Client;
use chiverelay_operator::api::Apply;
use chiverelay_operator::api::GrantKey;
use chiverelay_operator::api::GrantedKey;
use chiverelay_standin::engine::Engine;
use chiverelay_standin::link::Switch;
use chiverelay_standin::link::UdpLink;
use chiverelay_standin::service::Service;
use chiverelay_standin::store::Store;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::process;
use crate::process::Process;

/// The operators' token of every site.
pub const TOKEN: &str = "operator-token";

/// Time in which a condition must come true.
const PATIENCE: Duration = Duration::from_secs(40);

/// A daemon.
#[derive(Debug)]
pub struct Daemon {
    /// Its process.
    pub process: Process,
    /// Its address for callers.
    pub caller: SocketAddr,
    /// Its address for operators.
    pub operator: SocketAddr,
    /// Its address for siblings.
    pub sibling: SocketAddr,
    /// Where its endpoint for siblings listens, behind any link.
    pub listening: SocketAddr,
}

impl Daemon {
    /// Returns an operator's client of it.
    pub fn client(&self) -> Client {
        Client::new(
            self.operator,
            Duration::from_secs(10),
            Some(TOKEN.to_owned()),
        )
    }
}

/// The links between a daemon and everything but its callers and targets.
#[derive(Debug)]
struct Links {
    sibling: Arc<UdpLink>,
    store_address: SocketAddr,
    store: Switch,
}

/// Daemons, a store and targets.
#[derive(Debug)]
pub struct Site {
    /// The store.
    pub store: Arc<Store>,
    /// The store's address.
    pub store_address: SocketAddr,
    /// The daemons by name.
    pub daemons: BTreeMap<String, Daemon>,
    links: BTreeMap<String, Links>,
    logged: bool,
    dir: TempDir,
    cancel: CancellationToken,
    _guard: DropGuard,
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    (listener, address)
}

impl Site {
    /// Starts a store, and a daemon for each name and region; waits until they
    /// hear each other.
    pub async fn start(daemons: &[(&str, &str)]) -> Self {
        let mut site = Self::empty().await;
        for (name, region) in daemons {
            site.start_daemon(name, region, &json!({}));
        }
        site.joined().await;
        site
    }

    /// Like [`Site::start`], with links that [`Site::cut`] can cut.
    pub async fn start_linked(daemons: &[(&str, &str)]) -> Self {
        let mut site = Self::empty().await;
        for (name, region) in daemons {
            site.link(name).await;
            site.start_daemon(name, region, &json!({}));
        }
        site.joined().await;
        site
    }

    /// Starts a store and no daemon.
    pub async fn empty() -> Self {
        let store = Arc::new(Store::default());
        let (listener, store_address) = listener().await;
        let cancel = CancellationToken::new();
        tokio::spawn(chiverelay_standin::store::serve(
            Arc::clone(&store),
            listener,
            cancel.clone(),
        ));
        let dir = TempDir::new().expect("a folder");
        let path = dir.path().to_str().expect("a plain path").to_owned();
        let made = process::output("chiverelay", &["certs", "--dir", &path]);
        assert!(made.status.success(), "{made:?}");
        Self {
            store,
            store_address,
            daemons: BTreeMap::new(),
            links: BTreeMap::new(),
            logged: false,
            dir,
            _guard: cancel.clone().drop_guard(),
            cancel,
        }
    }

    /// Like [`Site::start`], with daemons that log all that they can.
    pub async fn start_logged(daemons: &[(&str, &str)]) -> Self {
        let mut site = Self::empty().await;
        site.logged = true;
        for (name, region) in daemons {
            site.start_daemon(name, region, &json!({}));
        }
        site.joined().await;
        site
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.dir.path().join(format!("{name}.log"))
    }

    /// Returns what a daemon has logged.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.log_path(name)).expect("a log")
    }

    async fn link(&mut self, name: &str) {
        let sibling = UdpLink::bind().await.expect("a free port");
        tokio::spawn(Arc::clone(&sibling).run(self.cancel.clone()));
        let (listener, store_address) = listener().await;
        let store = Switch::default();
        tokio::spawn(chiverelay_standin::link::run_tcp(
            listener,
            self.store_address,
            store.clone(),
            self.cancel.clone(),
        ));
        let links = Links {
            sibling,
            store_address,
            store,
        };
        self.links.insert(name.to_owned(), links);
    }

    /// Cuts a daemon's links to the store and to every sibling.
    pub fn cut(&self, name: &str) {
        self.links[name].sibling.switch.cut();
        self.links[name].store.cut();
        let own = self.daemons[name].listening;
        for links in self.links.values() {
            links.sibling.block(own);
        }
    }

    /// Mends what [`Site::cut`] cut.
    pub fn mend(&self, name: &str) {
        self.links[name].sibling.switch.mend();
        self.links[name].store.mend();
        let own = self.daemons[name].listening;
        for links in self.links.values() {
            links.sibling.unblock(&own);
        }
    }

    /// Cuts the links between two groups of daemons.
    pub fn cut_between(&self, some: &[&str], others: &[&str]) {
        for a in some {
            for b in others {
                let (a, b) = (*a, *b);
                self.links[a].sibling.block(self.daemons[b].listening);
                self.links[b].sibling.block(self.daemons[a].listening);
            }
        }
    }

    /// Mends what [`Site::cut_store`] cut.
    pub fn mend_store(&self, name: &str) {
        self.links[name].store.mend();
    }

    /// Cuts a daemon's link to the store alone.
    pub fn cut_store(&self, name: &str) {
        self.links[name].store.cut();
    }

    /// Returns the folder with certificates and settings.
    pub fn path(&self, name: &str) -> String {
        let path = self.dir.path().join(name);
        path.to_str().expect("a plain path").to_owned()
    }

    /// Starts a daemon with further settings, or starts it again.
    pub fn start_daemon(&mut self, name: &str, region: &str, more: &serde_json::Value) {
        let dir = self.path("");
        if !std::path::Path::new(&self.path(&format!("{name}.pem"))).exists() {
            let args = [
                "certs",
                "--dir",
                &dir,
                "--instance",
                name,
                "--region",
                region,
            ];
            let made = process::output("chiverelay", &args);
            assert!(made.status.success(), "{made:?}");
        }
        let mut settings = self.settings(name, region);
        if let (Some(settings), Some(more)) = (settings.as_object_mut(), more.as_object()) {
            settings.extend(more.clone());
        }
        let path = self.path(&format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string()).expect("settings can be written");
        let process = match self.logged {
            true => Process::start_logged("chiverelayd", &["run", &path], &self.log_path(name)),
            false => Process::start("chiverelayd", &["run", &path]),
        };
        let ready: BTreeMap<String, SocketAddr> =
            serde_json::from_str(&process.line("ready")).expect("the addresses");
        if let Some(links) = self.links.get(name) {
            links.sibling.set_upstream(ready["listening"]);
        }
        let daemon = Daemon {
            process,
            caller: ready["caller"],
            operator: ready["operator"],
            sibling: ready["sibling"],
            listening: ready["listening"],
        };
        self.daemons.insert(name.to_owned(), daemon);
    }

    /// Returns the settings of a daemon on free loopback ports.
    pub fn settings(&self, name: &str, region: &str) -> serde_json::Value {
        let digest: String = Sha256::digest(TOKEN)
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect();
        let links = self.links.get(name);
        let advertise = links.and_then(|l| l.sibling.address().ok());
        json!({
            "instance": name, "region": region, "zone": format!("{region}-a"),
            "caller": {"listen": "127.0.0.1:0"},
            "operator": {"listen": "127.0.0.1:0", "token-digest": digest},
            "sibling": {
                "listen": "127.0.0.1:0",
                "advertise": advertise,
                "ca": self.path("ca.pem"),
                "cert": self.path(&format!("{name}.pem")),
                "key": self.path(&format!("{name}.key")),
            },
            "store": {"address": links.map_or(self.store_address, |l| l.store_address)},
        })
    }

    /// Returns a daemon by name.
    pub fn daemon(&self, name: &str) -> &Daemon {
        &self.daemons[name]
    }

    /// Returns a daemon by name, to be signalled.
    pub fn daemon_mut(&mut self, name: &str) -> &mut Daemon {
        self.daemons.get_mut(name).expect("a daemon of the site")
    }

    /// Waits until every daemon hears every other one.
    pub async fn joined(&self) {
        let want = self.daemons.len() - 1;
        eventually("the daemons hear each other", async || {
            for daemon in self.daemons.values() {
                let Ok(status) = daemon.client().status().await else {
                    return false;
                };
                let serving = status.siblings.iter().filter(|s| s.state == "serving");
                if serving.count() < want {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Starts an engine.
    pub async fn engine(&self, name: &str, token_time: Duration) -> (Arc<Engine>, SocketAddr) {
        let engine = Arc::new(Engine::new(name, token_time));
        let (listener, address) = listener().await;
        let serve = chiverelay_standin::engine::serve(
            Arc::clone(&engine),
            listener,
            self.cancel.child_token(),
        );
        tokio::spawn(serve);
        (engine, address)
    }

    /// Starts a plain service.
    pub async fn service(&self) -> (Arc<Service>, SocketAddr) {
        let service = Arc::new(Service::default());
        let (listener, address) = listener().await;
        let serve = chiverelay_standin::service::serve(
            Arc::clone(&service),
            listener,
            self.cancel.child_token(),
        );
        tokio::spawn(serve);
        (service, address)
    }

    /// Applies a configuration at one daemon and waits until all have it.
    pub async fn apply(&self, name: &str, document: serde_json::Value) {
        let client = self.daemon(name).client();
        let expected = client.config().await.expect("a configuration").version;
        let document = serde_json::from_value(document).expect("a document");
        let applied = client
            .apply(&Apply { expected, document })
            .await
            .expect("an accepted configuration");
        self.in_force(applied.version).await;
    }

    /// Grants a key at one daemon and waits until all have it.
    pub async fn grant(&self, name: &str, account: &str) -> GrantedKey {
        let req = GrantKey {
            account: account.into(),
        };
        let granted = self
            .daemon(name)
            .client()
            .grant(&req)
            .await
            .expect("a granted key");
        self.in_force(granted.version).await;
        granted
    }

    /// Waits until every daemon has a configuration version.
    pub async fn in_force(&self, version: u64) {
        eventually("the version is in force everywhere", async || {
            for daemon in self.daemons.values() {
                match daemon.client().config().await {
                    Ok(config) if config.version >= version => {}
                    _ => return false,
                }
            }
            true
        })
        .await;
    }
}

/// Waits until a condition comes true.
///
/// # Panics
///
/// If it does not in time.
pub async fn eventually<F>(what: &str, condition: F)
where
    F: AsyncFn() -> bool,
{
    let start = Instant::now();
    loop {
        if condition().await {
            return;
        }
        assert!(start.elapsed() < PATIENCE, "never: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the configuration of one engine pool and one service pool.
pub fn document(
    engines: &[(&str, SocketAddr, &str)],
    services: &[(&str, SocketAddr, &str)],
) -> serde_json::Value {
    let targets = |list: &[(&str, SocketAddr, &str)]| {
        let entry = |(name, address, region): &(&str, SocketAddr, &str)| {
            let target =
                json!({"address": address, "region": region, "zone": format!("{region}-a")});
            ((*name).to_owned(), target)
        };
        list.iter()
            .map(entry)
            .collect::<serde_json::Map<String, serde_json::Value>>()
    };
    json!({
        "routes": {
            "chat": {"path": "/v1/chat/completions", "pool": "engines", "accounts": ["encargos"]},
            "deposits": {
                "path": "/deposits", "pool": "orders", "accounts": ["encargos"],
                "repeatable": false,
            },
            "status": {"path": "/orders", "pool": "orders", "accounts": ["encargos"]},
        },
        "pools": {
            "engines": {"kind": "engine", "targets": targets(engines)},
            "orders": {"kind": "service", "targets": targets(services)},
        },
        "accounts": {"encargos": {"rate": 100_000, "burst": 1_000_000}},
    })
}
