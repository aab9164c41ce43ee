//! Routes, pools and client accounts, which an operator publishes as one
//! document.
//!
//! A [`Catalog`] is an immutable snapshot, which the gateway crate decodes from
//! the document. [`CurrentCatalog`] holds the newest snapshot and never returns
//! to an older one.

mod copy;
mod residency;
mod specs;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::config::Residency;
use crate::names::Account;
use crate::names::Pool;
use crate::names::Region;
use crate::names::Route;
use crate::revision::StoreRevision;
use crate::tables::LockRank;
use crate::tables::RankedMutex;

pub use copy::CatalogCopy;
pub use specs::AccountSpec;
pub use specs::Backend;
pub use specs::ClientLimits;
pub use specs::ColdLimit;
pub use specs::EngineSpec;
pub use specs::PoolSpec;
pub use specs::RouteKind;
pub use specs::RouteSpec;
pub use specs::TokenLimit;

/// The routes, pools and client accounts of one version.
///
/// # Invariants
///
/// The routes of a host are sorted by descending length of the path prefix, so
/// that the first match is a request's route.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version of the document, assigned by the operator.
    pub version: u64,
    /// Limits on the size of requests and on the time to receive them.
    pub limits: ClientLimits,
    routes_by_host: HashMap<Box<str>, Vec<Arc<RouteSpec>>>,
    pools: HashMap<Pool, Arc<PoolSpec>>,
    accounts_by_key: HashMap<Box<str>, Arc<AccountSpec>>,
    has_accounts: bool,
    /// Identifies the routes that are bound to regions, and the regions.
    bound_routes_digest: u64,
    /// Where the requests of each route may run.
    route_residencies: HashMap<Route, Residency>,
    /// All accounts, whether they have a key or not.
    accounts_by_name: HashMap<Account, Arc<AccountSpec>>,
    /// The most urgent priority of the routes of each pool.
    most_urgent: HashMap<Pool, u8>,
    /// Pools with routes whose streams callers may resume.
    resumable_pools: HashSet<Pool>,
}

/// Why the catalog has no route or account for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupError {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a key, and the request has none or an unknown one.
    NoAccount,
}

/// The route and the client account of a request.
#[derive(Clone, Debug)]
pub struct MatchedRoute {
    /// The matched route.
    pub route: Arc<RouteSpec>,
    /// The client account; `None` on a public route, and if the catalog has no
    /// accounts.
    pub account: Option<Arc<AccountSpec>>,
}

impl MatchedRoute {
    /// Tells whether the request may run in `region`, which both the route and
    /// the account must allow.
    pub fn allows(&self, region: &Region) -> bool {
        let account = self.account.as_ref();
        self.route.residency.allows(region) && account.is_none_or(|a| a.residency.allows(region))
    }

    /// Returns the request's priority, where 0 is the highest. The account's
    /// priority overrides the route's.
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|a| a.priority);
        account.unwrap_or(self.route.priority)
    }
}

impl Catalog {
    /// Builds a catalog from its parts.
    pub fn new(
        version: u64,
        routes: Vec<RouteSpec>,
        pools: Vec<PoolSpec>,
        accounts: Vec<AccountSpec>,
        limits: ClientLimits,
    ) -> Self {
        let mut most_urgent: HashMap<Pool, u8> = HashMap::new();
        for route in &routes {
            for backend in &route.backends {
                let known = most_urgent.entry(backend.pool.clone());
                let known = known.or_insert(route.priority);
                *known = route.priority.min(*known);
            }
        }
        let resumable = routes.iter().filter(|route| route.kind.is_resumable());
        let resumable = resumable.flat_map(|route| &route.backends);
        let resumable_pools = resumable.map(|backend| backend.pool.clone()).collect();
        let route_residencies = residency::by_route(&routes);
        let bound_routes_digest = residency::digest_bound_routes(&routes);
        let mut by_host: HashMap<Box<str>, Vec<Arc<RouteSpec>>> = HashMap::new();
        for route in routes {
            let host = route.host.as_ref().into();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let has_accounts = !accounts.is_empty();
        let mut by_key = HashMap::new();
        let mut by_name = HashMap::new();
        for account in accounts {
            let account = Arc::new(account);
            by_name.insert(account.name.clone(), Arc::clone(&account));
            for key in &account.keys {
                by_key.insert(key.clone(), Arc::clone(&account));
            }
        }
        let keyed_by_name = |pool: PoolSpec| (pool.name.clone(), Arc::new(pool));
        Self {
            version,
            limits,
            routes_by_host: by_host,
            pools: pools.into_iter().map(keyed_by_name).collect(),
            accounts_by_key: by_key,
            has_accounts,
            bound_routes_digest,
            route_residencies,
            accounts_by_name: by_name,
            most_urgent,
            resumable_pools,
        }
    }

    /// Returns the longest time that a stream which callers may resume takes.
    pub fn longest_resumable(&self) -> Duration {
        let routes = self.routes_by_host.values().flatten();
        let resumable = routes.filter(|route| route.kind.is_resumable());
        let longest = resumable.map(|route| route.timeout).max();
        longest.unwrap_or_default()
    }

    /// Tells whether a route of a pool has streams that callers may resume.
    pub fn has_resumable_streams(&self, pool: &Pool) -> bool {
        self.resumable_pools.contains(pool)
    }

    /// Tells whether no route of a pool is more urgent than a priority.
    pub fn is_most_urgent(&self, priority: u8, pool: &Pool) -> bool {
        let most_urgent = self.most_urgent.get(pool);
        most_urgent.is_none_or(|most_urgent| priority <= *most_urgent)
    }

    /// Finds the route and the client account of a request by its host, path
    /// and key.
    ///
    /// # Errors
    ///
    /// Fails if no route matches, or if the route requires a key and `key` is
    /// missing or unknown.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<MatchedRoute, LookupError> {
        let route = self.find_route(host, path).ok_or(LookupError::NoRoute)?;
        if !self.requires_account(&route) {
            return Ok(MatchedRoute {
                route,
                account: None,
            });
        }
        let account = key.and_then(|key| self.accounts_by_key.get(key));
        let account = account.ok_or(LookupError::NoAccount)?;
        Ok(MatchedRoute {
            route,
            account: Some(Arc::clone(account)),
        })
    }

    /// Tells whether the requests of a route run for a client account.
    pub fn requires_account(&self, route: &RouteSpec) -> bool {
        self.has_accounts && !route.public
    }

    /// Finds the route of a host whose path prefix is the longest that matches
    /// `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<Arc<RouteSpec>> {
        let mut routes = self.routes_by_host.get(host)?.iter();
        let found = routes.find(|route| path.starts_with(route.path_prefix.as_ref()));
        found.map(Arc::clone)
    }

    fn routes_of(&self, host: &str) -> &[Arc<RouteSpec>] {
        self.routes_by_host.get(host).map_or(&[], Vec::as_slice)
    }

    /// Tells whether a host has a route.
    pub fn has_host(&self, host: &str) -> bool {
        self.routes_by_host.contains_key(host)
    }

    /// Returns a pool by its name.
    pub fn pool(&self, name: &Pool) -> Option<&Arc<PoolSpec>> {
        self.pools.get(name)
    }

    /// Returns a client account by its name, if it has a key.
    pub fn account(&self, name: &Account) -> Option<&Arc<AccountSpec>> {
        let account = self.accounts_by_name.get(name);
        account.filter(|account| !account.keys.is_empty())
    }

    /// Lists the client accounts. An account with several keys appears once per
    /// key.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountSpec> {
        self.accounts_by_key.values().map(Arc::as_ref)
    }

    /// Counts the routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.routes_by_host.values().map(Vec::len).sum()
    }

    /// Tells whether the catalog has no route.
    pub fn has_no_routes(&self) -> bool {
        self.routes_by_host.is_empty()
    }
}

impl RouteSpec {
    /// Tells whether the route's requests may go to a pool.
    pub fn has_pool(&self, pool: &Pool) -> bool {
        self.backends.iter().any(|backend| backend.pool == *pool)
    }

    /// Chooses the pool of a request in proportion to the backends' weights.
    /// The same request id always gets the same pool.
    pub fn choose_pool(&self, request_id: &str) -> Option<&Pool> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        if total == 0 {
            return self.backends.first().map(|b| &b.pool);
        }
        let mut offset = xxh3_64(request_id.as_bytes()) % total;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if offset < weight {
                return Some(&backend.pool);
            }
            offset -= weight;
        }
        None
    }
}

/// The newest catalog that this instance has read.
///
/// # Invariants
///
/// The version never shrinks, so that neither a delayed message from the store
/// nor an older copy of the store's data replaces the catalog by an older one.
#[derive(Debug)]
pub struct CurrentCatalog {
    state: RankedMutex<Option<LoadedCatalog>>,
}

/// A catalog with the store's revision and the time at which it was read.
#[derive(Clone, Debug)]
pub struct LoadedCatalog {
    /// The catalog.
    pub catalog: Arc<Catalog>,
    /// The store's revision of the catalog.
    pub revision: StoreRevision,
    /// When the catalog was read, on the local monotonic clock.
    pub loaded_at: Duration,
}

/// What reading a catalog changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatalogChange {
    /// The catalog is in force now.
    Replaced,
    /// The catalog was in force before.
    Same,
    /// The catalog is older than the one in force, and was ignored.
    Outdated,
}

impl Default for CurrentCatalog {
    fn default() -> Self {
        Self {
            state: RankedMutex::new(LockRank::Config, None),
        }
    }
}

impl CurrentCatalog {
    /// Returns the newest catalog; `None` until the first one was read.
    pub fn get(&self) -> Option<LoadedCatalog> {
        self.state.lock().clone()
    }

    /// Replaces the catalog by one of a higher version, or by one of the same
    /// version that was written later.
    pub fn replace_if_newer(
        &self,
        catalog: Arc<Catalog>,
        revision: StoreRevision,
        now: Duration,
    ) -> CatalogChange {
        let mut state = self.state.lock();
        if let Some(known) = state.as_ref() {
            if known.revision == revision {
                return CatalogChange::Same;
            }
            if (catalog.version, revision) < (known.catalog.version, known.revision) {
                return CatalogChange::Outdated;
            }
        }
        *state = Some(LoadedCatalog {
            catalog,
            revision,
            loaded_at: now,
        });
        CatalogChange::Replaced
    }
}
