//! The regions that a catalog allows to requests which another catalog may have
//! admitted.

use std::collections::HashMap;

use super::Catalog;
use super::RouteSpec;
use crate::config::Residency;
use crate::names::Account;
use crate::names::Route;

pub(super) fn by_route(routes: &[RouteSpec]) -> HashMap<Route, Residency> {
    let residency = |route: &RouteSpec| (route.name.clone(), route.residency.clone());
    routes.iter().map(residency).collect()
}

impl Catalog {
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

    /// Returns the regions in which all routes of a host may run, or `None` if it
    /// has no route.
    pub fn residency_of_host(&self, host: &str) -> Option<Residency> {
        let routes = self.routes_of(host).iter();
        let residencies = routes.map(|route| route.residency.clone());
        residencies.reduce(|all, one| all.and(&one))
    }
}
