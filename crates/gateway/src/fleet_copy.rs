//! Learns from other instances what the store does not tell this one: while it
//! is cut off from the store, they still hear of targets that turn cold, drain
//! or leave, of evacuated zones and of later catalogs.
//!
//! An instance that starts after the store came back from an older copy has only
//! that copy's catalog. The others tell it of a later one.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::catalog::CatalogCopy;
use chiverelay_decisions::catalog::LoadedCatalog;
use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_sibling::Link;
use chiverelay_sibling::Message;
use chiverelay_sibling::StoreCopy;
use chiverelay_sibling::Up;

use crate::Dialect;
use crate::Gateway;
use crate::StoreUpdate;

/// Time that the store has to tell this instance of overdue changes before
/// another instance is asked. It covers the pause between two watches.
const STORE_TIME: Duration = Duration::from_secs(1);

/// Shortest time between two questions.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Time limit for another instance to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Time since the first catalog in which others are asked for a later one.
const LATER_CATALOG_TIME: Duration = Duration::from_secs(10);

/// Pause between two looks for an instance to ask for a later catalog.
const LATER_CATALOG_INTERVAL: Duration = Duration::from_millis(50);

/// Number of instances that are asked for a later catalog, as some may have just
/// started themselves.
const LATER_CATALOG_ANSWERS: usize = 3;

/// Asks others for what this instance does not know, until it stops.
pub(crate) async fn run<D>(gateway: Arc<Gateway<D>>)
where
    D: Dialect,
{
    let following = async {
        loop {
            gateway.wait_until_others_know_more().await;
            gateway.ask_for_copy().await;
            tokio::time::sleep(ASK_INTERVAL).await;
        }
    };
    let asking = async { tokio::join!(gateway.ask_for_later_catalog(), following) };
    gateway.stop.run_until_cancelled(asking).await;
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Waits until other instances know of changes that the store has not told
    /// this one, though it had the time to.
    async fn wait_until_others_know_more(&self) {
        loop {
            let overdue_at = self.store_lag.wait_until_unknown().await;
            // A store that fails won't tell any sooner.
            if !self.tables.fleet.lock().is_store_failing() {
                let ask_at = overdue_at + STORE_TIME;
                tokio::time::sleep(ask_at.saturating_sub(self.clock.now())).await;
            }
            if self.store_lag.is_behind_since(overdue_at) {
                return;
            }
        }
    }

    /// Asks several instances for a later catalog than the first one that this
    /// instance has read, if the store may have lost it.
    async fn ask_for_later_catalog(self: &Arc<Self>) {
        let first = self.wait_for_first_catalog().await;
        // Era 0 is a store that never came back from an older copy.
        if first.revision.era == 0 {
            return;
        }
        let until = first.loaded_at + LATER_CATALOG_TIME;
        let mut answered = HashSet::new();
        while answered.len() < LATER_CATALOG_ANSWERS && self.clock.now() < until {
            self.ask_next_for_catalog(&mut answered).await;
            tokio::time::sleep(LATER_CATALOG_INTERVAL).await;
        }
    }

    /// Asks those of the linked instances that have not `answered` yet.
    async fn ask_next_for_catalog(self: &Arc<Self>, answered: &mut HashSet<Instance>) {
        for link in self.links.list_open() {
            let from = &link.peer().instance;
            if answered.contains(from) || answered.len() >= LATER_CATALOG_ANSWERS {
                continue;
            }
            let Some(copy) = ask(&link, self.catalog_version()).await else {
                continue;
            };
            answered.insert(from.clone());
            if let Some(catalog) = copy.catalog {
                self.apply_catalog_copy(catalog, from);
            }
        }
    }

    async fn wait_for_first_catalog(&self) -> LoadedCatalog {
        loop {
            let changed = self.catalog_changed.notified();
            if let Some(current) = self.tables.current_catalog() {
                return current;
            }
            changed.await;
        }
    }

    /// Asks one instance after another until one has answered.
    async fn ask_for_copy(self: &Arc<Self>) {
        for link in self.links_to_better_informed() {
            let Some(copy) = ask(&link, self.catalog_version()).await else {
                continue;
            };
            let from = &link.peer().instance;
            let StoreCopy { fleet, catalog } = copy;
            let revision = fleet.revision;
            log::info!(target: "fleet", from = from.as_str(), era = revision.era, revision = revision.number, targets = fleet.targets.len(); "targets learned from another instance");
            if let Some(catalog) = catalog {
                self.apply_catalog_copy(catalog, from);
            }
            self.tables
                .merge_fleet(fleet, &self.settings.region, self.clock.now());
            self.observe_software(self.clock.now());
            self.store_lag.record_told(revision);
            return;
        }
    }

    /// Lists links to the instances that know more of the store than this one,
    /// those in its region first.
    fn links_to_better_informed(&self) -> Vec<Link<Up>> {
        let mut links = self.links.list_open();
        links.retain(|link| self.store_lag.is_ahead(&link.peer().instance));
        links.sort_by_key(|link| link.peer().region != self.settings.region);
        links
    }

    fn catalog_version(&self) -> u64 {
        let current = self.tables.current_catalog();
        current.map_or(0, |current| current.catalog.version)
    }

    /// Puts the catalog of another instance in force, if it is later than this
    /// instance's, just as if the store had told of it.
    fn apply_catalog_copy(self: &Arc<Self>, copy: CatalogCopy, from: &Instance) {
        let (version, revision) = (copy.version, copy.revision);
        log::info!(target: "catalog", from = from.as_str(), version; "catalog learned from another instance");
        self.apply(StoreUpdate::Catalog(copy.into_catalog()), revision);
    }

    /// Returns what this instance knows of the targets of a region, with its
    /// catalog if that is of a later version than the one given. Of its own region
    /// it passes on what others told, as they may reach the store when neither
    /// this instance nor the one that asks does.
    pub(crate) fn copy_store(&self, region: &Region, catalog_version: u64) -> StoreCopy {
        let revision = match *region == self.settings.region {
            true => self.store_lag.known_revision(),
            false => self.store_lag.read_revision(),
        };
        let now = self.clock.now();
        StoreCopy {
            catalog: self.tables.catalog.copy_if_later(catalog_version),
            fleet: self.tables.fleet.lock().copy_of(region, revision, now),
        }
    }
}

async fn ask(link: &Link<Up>, catalog_version: u64) -> Option<StoreCopy> {
    let question = Message::AskStoreCopy { catalog_version };
    let asking = link.ask(Stamp::default(), question);
    let reply = tokio::time::timeout(ASK_TIMEOUT, asking).await;
    match reply.ok()?.ok()?.message {
        Message::StoreCopy(copy) => Some(copy),
        _ => None,
    }
}
