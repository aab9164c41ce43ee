//! Copies of the catalog for an instance that the store does not answer.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::AccountSpec;
use super::Catalog;
use super::ClientLimits;
use super::CurrentCatalog;
use super::LoadedCatalog;
use super::PoolSpec;
use super::RouteSpec;
use crate::revision::StoreRevision;

/// The catalog that is in force at another instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CatalogCopy {
    /// The store's revision of the catalog.
    pub revision: StoreRevision,
    /// Version of the catalog.
    pub version: u64,
    /// Limits on callers' requests.
    pub limits: ClientLimits,
    /// The routes of all hosts.
    pub routes: Vec<RouteSpec>,
    /// The pools.
    pub pools: Vec<PoolSpec>,
    /// The client accounts, also those without a key.
    pub accounts: Vec<AccountSpec>,
}

impl CatalogCopy {
    fn of(loaded: &LoadedCatalog) -> Self {
        let catalog = &loaded.catalog;
        let routes = catalog.routes_by_host.values().flatten();
        let accounts = catalog.accounts_by_name.values();
        Self {
            revision: loaded.revision,
            version: catalog.version,
            limits: catalog.limits,
            routes: routes.map(|route| RouteSpec::clone(route)).collect(),
            pools: catalog.pools.values().map(|p| PoolSpec::clone(p)).collect(),
            accounts: accounts.map(|a| AccountSpec::clone(a)).collect(),
        }
    }

    /// Returns the catalog.
    pub fn into_catalog(self) -> Arc<Catalog> {
        let Self {
            revision: _,
            version,
            limits,
            routes,
            pools,
            accounts,
        } = self;
        Arc::new(Catalog::new(version, routes, pools, accounts, limits))
    }
}

impl CurrentCatalog {
    /// Copies the catalog in force for an instance that has the catalog of a
    /// version, 0 for none. `None` if this instance has no later one.
    pub fn copy_if_later(&self, version: u64) -> Option<CatalogCopy> {
        let loaded = self.get()?;
        (loaded.catalog.version > version).then(|| CatalogCopy::of(&loaded))
    }
}
