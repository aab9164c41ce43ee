//! The regions that a catalog allows to requests which another catalog may have
//! admitted.

use std::collections::HashMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::Catalog;
use super::RouteSpec;
use crate::config::Residency;
use crate::names::Account;
use crate::names::Route;

pub(super) fn by_route(routes: &[RouteSpec]) -> HashMap<Route, Residency> {
    let residency = |route: &RouteSpec| (route.name.clone(), route.residency.clone());
    routes.iter().map(residency).collect()
}

pub(super) fn digest_bound_routes(routes: &[RouteSpec]) -> u64 {
    let bound = routes.iter().filter(|route| !route.residency.is_anywhere());
    let text = |route: &RouteSpec| {
        let (host, path, name) = (&route.host, &route.path_prefix, route.name.as_str());
        format!("{host} {path} {name} {}", route.residency)
    };
    let mut texts: Vec<_> = bound.map(text).collect();
    texts.sort_unstable();
    xxh3_64(texts.join("\n").as_bytes())
}

impl Catalog {
    /// Returns the regions in which a request that another catalog admitted may
    /// run: those of the route that its host and path match here, or of `former`,
    /// its route by the other catalog, if they match none; and those of its
    /// account.
    pub fn residency_of_request(
        &self,
        host: &str,
        path: &str,
        former: &Route,
        account: Option<&Account>,
    ) -> Residency {
        let route = self.find_route(host, path);
        let route = route.as_ref().map_or(former, |route| &route.name);
        self.residency_of(route, account)
    }

    /// Returns the regions in which the requests of a route and an account may
    /// run. A route or an account that the catalog lacks allows any region.
    pub fn residency_of(&self, route: &Route, account: Option<&Account>) -> Residency {
        let route = self.route_residencies.get(route);
        let account = account.and_then(|name| self.accounts_by_name.get(name));
        match (route, account.map(|account| &account.residency)) {
            (Some(route), Some(account)) => route.and(account),
            (Some(only), None) | (None, Some(only)) => only.clone(),
            (None, None) => Residency::anywhere(),
        }
    }

    /// Lists the routes of a host that are bound to regions.
    pub fn bound_routes_of(&self, host: &str) -> impl Iterator<Item = &RouteSpec> {
        let routes = self.routes_of(host).iter().map(Arc::as_ref);
        routes.filter(|route| !route.residency.is_anywhere())
    }

    /// Returns a number that changes with the routes that are bound to regions,
    /// and with these regions.
    pub fn bound_routes_digest(&self) -> u64 {
        self.bound_routes_digest
    }
}
