//! Keeps the newest configuration in force: watches the store, if this
//! instance is to, and fetches what siblings have.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chiverelay_decisions::backoff::Backoff;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::publication::FetchSource;
use chiverelay_decisions::publication::Root;
use chiverelay_decisions::publication::SiblingVersion;
use chiverelay_decisions::publication::choose_source;
use chiverelay_decisions::publication::is_watcher;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_store::Change;
use chiverelay_store::Entry;
use chiverelay_store::Update;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use super::Edition;
use super::MANIFEST_KEY;
use super::fetch;
use super::install;
use super::sweep::Sweeper;
use crate::context::Context;

/// Time between two looks at what siblings have.
const INTERVAL: Duration = Duration::from_millis(500);

/// Delays before an edition that was not read or was refused is read again.
const RETRIES: Backoff = Backoff {
    base: Duration::from_millis(500),
    cap: Duration::from_secs(8),
};

/// Updates of the store's manifest that wait for this instance.
const UPDATES: usize = 8;

/// Keeps the newest configuration in force until the instance stops.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut keeper = Keeper::new(Arc::clone(&cx));
    loop {
        keeper.choose_role();
        tokio::select! {
            () = cx.stop.cancelled() => return,
            update = keeper.update() => keeper.hear(update).await,
            () = tokio::time::sleep(INTERVAL) => keeper.look().await,
        }
    }
}

/// The store's manifest as it changes, told until it is dropped.
struct Following {
    rx: mpsc::Receiver<Update>,
    _guard: DropGuard,
}

/// # Invariants
///
/// `pending` is newer than the version in force when it is set, and is read
/// again no sooner than `retry_at`. `failures` counts the reads that failed
/// since the last that did not.
struct Keeper {
    cx: Arc<Context>,
    following: Option<Following>,
    sweeper: Sweeper,
    pending: Option<Root>,
    failures: u32,
    retry_at: Duration,
}

impl Keeper {
    fn new(cx: Arc<Context>) -> Self {
        Self {
            cx,
            following: None,
            sweeper: Sweeper::default(),
            pending: None,
            failures: 0,
            retry_at: Duration::ZERO,
        }
    }

    fn choose_role(&mut self) {
        let cx = &self.cx;
        let mut live: Vec<Instance> = Vec::new();
        cx.tables.siblings.for_each(|name, sibling| {
            if sibling.region == cx.settings.region {
                live.push(name.clone());
            }
        });
        let watches = is_watcher(&cx.settings.instance, &live);
        if watches && self.following.is_none() {
            self.following = Some(self.follow());
        }
        // The highest version is known before the watch may end.
        if !watches && cx.synced.load(Ordering::Acquire) {
            self.following = None;
        }
    }

    fn follow(&self) -> Following {
        let (tx, rx) = mpsc::channel(UPDATES);
        let cancel = CancellationToken::new();
        let mut follower = self.cx.store.follow(MANIFEST_KEY);
        let told = async move { while tx.send(follower.next().await).await.is_ok() {} };
        tokio::spawn(cancel.clone().run_until_cancelled_owned(told));
        Following {
            rx,
            _guard: cancel.drop_guard(),
        }
    }

    async fn update(&mut self) -> Update {
        if let Some(following) = &mut self.following
            && let Some(update) = following.rx.recv().await
        {
            return update;
        }
        std::future::pending().await
    }

    async fn hear(&mut self, update: Update) {
        match update {
            Update::All(entries) => match entries.first() {
                Some(entry) => self.hear_entry(entry).await,
                None => self.cx.synced.store(true, Ordering::Release),
            },
            Update::One(Change::Put(entry)) => self.hear_entry(&entry).await,
            Update::One(Change::Delete { .. }) => {
                log::error!("publish: the store's manifest was deleted");
            }
        }
    }

    async fn hear_entry(&mut self, entry: &Entry) {
        match Root::parse(&entry.value) {
            Ok(root) => self.hear_root(root).await,
            Err(fault) => self.fail(&fetch::Error::refused(Peer::Store, fault)),
        }
    }

    async fn hear_root(&mut self, root: Root) {
        let own = self.cx.tables.config.get().version;
        if root.version < own {
            let older = root.version;
            log::error!("publish: the store holds version {older}, older than {own}");
        }
        if root.version > own {
            self.pending = Some(root);
            self.read_pending().await;
        }
    }

    async fn read_pending(&mut self) {
        let Some(root) = self.pending.clone() else {
            return;
        };
        match fetch::from_store(&self.cx, root).await {
            Ok(edition) => self.install(edition, Peer::Store),
            Err(e) => self.fail(&e),
        }
    }

    fn install(&mut self, edition: Edition, from: Peer) {
        match install(&self.cx, edition, from.clone()) {
            Ok(()) => {
                self.pending = None;
                self.failures = 0;
                self.cx.synced.store(true, Ordering::Release);
            }
            Err(fault) => self.fail(&fetch::Error::refused(from, fault)),
        }
    }

    fn fail(&mut self, e: &fetch::Error) {
        log::warn!("publish: {e}");
        if let fetch::Error::Refused { peer, .. } = e
            && self.failures == 0
        {
            self.cx.note(Step::Configure, peer.clone(), e.to_string());
        }
        let delay = RETRIES.delay(self.failures, rand::random());
        self.retry_at = self.cx.clock.now() + delay;
        self.failures = self.failures.saturating_add(1);
    }

    /// Fetches what siblings have, or what could not be read before.
    async fn look(&mut self) {
        self.sweeper.step(&self.cx).await;
        if self.cx.clock.now() < self.retry_at {
            return;
        }
        let own = self.cx.tables.config.get().version;
        if self
            .pending
            .as_ref()
            .is_some_and(|root| root.version <= own)
        {
            self.pending = None;
        }
        let heard = self.heard();
        match choose_source(own, &heard, self.failures, rand::random()) {
            FetchSource::UpToDate => self.read_pending().await,
            FetchSource::Store => self.read_store().await,
            FetchSource::Sibling(instance) => {
                match fetch::from_sibling(&self.cx, &instance).await {
                    Ok(edition) => self.install(edition, Peer::Sibling(instance)),
                    Err(e) => self.fail(&e),
                }
            }
        }
    }

    fn heard(&self) -> Vec<SiblingVersion> {
        let cx = &self.cx;
        let mut heard = Vec::new();
        cx.members.for_each(|name, member| {
            heard.push(SiblingVersion {
                instance: name.clone(),
                version: member.config_version,
                is_in_own_region: member.profile.region == cx.settings.region,
            });
        });
        heard.retain(|h| cx.tables.siblings.with(&h.instance, |s| s.is_some()));
        heard
    }

    async fn read_store(&mut self) {
        match fetch::root(&self.cx).await {
            Ok(Some((_, root))) => self.hear_root(root).await,
            Ok(None) => self.failures = self.failures.saturating_add(1),
            Err(e) => self.fail(&e),
        }
    }
}
