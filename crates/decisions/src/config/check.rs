//! Checks of a configuration, with the location of each error.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::AccountEntry;
use super::Config;
use super::Residency;
use super::RouteEntry;
use crate::names::Account;
use crate::names::check_name;

/// An error in a configuration, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFault {
    /// Path of field and entry names to the faulty value.
    pub path: Vec<String>,
    /// Description of the error.
    pub reason: String,
}

/// Names of the entries that routes may refer to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DefinedNames {
    /// Names of pools.
    pub pools: BTreeSet<String>,
    /// Names of accounts.
    pub accounts: BTreeSet<String>,
}

pub(super) struct ConfigFaults(Vec<ConfigFault>);

impl ConfigFaults {
    pub(super) fn push(&mut self, path: &[&str], reason: impl Into<String>) {
        self.0.push(ConfigFault {
            path: path.iter().map(|&s| s.to_owned()).collect(),
            reason: reason.into(),
        });
    }

    pub(super) fn check_name(&mut self, path: &[&str], name: &str) {
        if let Err(reason) = check_name(name) {
            self.push(path, reason);
        }
    }
}

impl Config {
    /// Returns all errors in the configuration.
    pub fn check(&self) -> Vec<ConfigFault> {
        self.check_with(&DefinedNames {
            pools: self.pools.keys().map(ToString::to_string).collect(),
            accounts: self.accounts.keys().map(ToString::to_string).collect(),
        })
    }

    /// Like [`Config::check`], but checks references from routes against
    /// `defined`. That set also contains the names of entries that could not be
    /// parsed, so that references to them are not reported.
    pub fn check_with(&self, defined: &DefinedNames) -> Vec<ConfigFault> {
        let mut faults = ConfigFaults(Vec::new());
        for (name, route) in &self.routes {
            let at = ["routes", name.as_str()];
            faults.check_name(&at, name.as_str());
            self.check_route(&at, route, defined, &mut faults);
        }
        self.check_duplicate_routes(&mut faults);
        for (name, pool) in &self.pools {
            pool.check(name, &mut faults);
        }
        for (name, account) in &self.accounts {
            check_account(name, account, &mut faults);
        }
        for (name, entry) in self.keys.iter().filter(|(_, key)| !key.withdrawn) {
            if !self.accounts.contains_key(&entry.account) {
                let reason = format!("no account {}; withdraw the key first", entry.account);
                faults.push(&["keys", name.as_str(), "account"], reason);
            }
        }
        faults.0
    }

    fn check_route(
        &self,
        at: &[&str; 2],
        route: &RouteEntry,
        defined: &DefinedNames,
        faults: &mut ConfigFaults,
    ) {
        if !route.path.starts_with('/') {
            faults.push(&[at[0], at[1], "path"], "a path starts with /");
        }
        if !defined.pools.contains(route.pool.as_str()) {
            faults.push(&[at[0], at[1], "pool"], format!("no pool {}", route.pool));
        }
        if route.open && !route.accounts.is_empty() {
            let reason = "an open route lists no accounts";
            faults.push(&[at[0], at[1], "accounts"], reason);
        }
        for account in &route.accounts {
            if !defined.accounts.contains(account.as_str()) {
                let reason = format!("no account {account}");
                faults.push(&[at[0], at[1], "accounts"], reason);
            }
        }
        if route.deadline_ms == 0 {
            faults.push(&[at[0], at[1], "deadline-ms"], "a deadline is at least 1");
        }
    }

    /// Returns an error for each route whose residency leaves no target to run
    /// on. A published snapshot may contain such routes, as targets are added
    /// and removed; a configuration file should not.
    pub fn check_reachability(&self) -> Vec<ConfigFault> {
        let mut faults = ConfigFaults(Vec::new());
        for (name, route) in &self.routes {
            self.check_route_reachability(&["routes", name.as_str()], route, &mut faults);
        }
        faults.0
    }

    fn check_route_reachability(
        &self,
        at: &[&str; 2],
        route: &RouteEntry,
        faults: &mut ConfigFaults,
    ) {
        let Some(pool) = self.pools.get(&route.pool) else {
            return;
        };
        let has_target_in = |residency: &Residency| {
            let mut regions = pool.targets.values().map(|t| &t.region);
            regions.any(|region| residency.allows(region))
        };
        if pool.targets.is_empty() {
            return;
        }
        if !has_target_in(&route.residency) {
            let reason = format!("pool {} has no target in these regions", route.pool);
            faults.push(&[at[0], at[1], "residency"], reason);
            return;
        }
        for name in &route.accounts {
            let Some(account) = self.accounts.get(name) else {
                continue;
            };
            if !has_target_in(&route.residency.and(&account.residency)) {
                let reason = format!(
                    "pool {} has no target where account {name} may run",
                    route.pool
                );
                faults.push(&[at[0], at[1], "accounts"], reason);
            }
        }
    }

    /// Checks that no two routes have the same path and model.
    fn check_duplicate_routes(&self, faults: &mut ConfigFaults) {
        let mut seen = BTreeMap::new();
        for (name, route) in &self.routes {
            let path_and_model = (&route.path, &route.model);
            if let Some(other) = seen.insert(path_and_model, name) {
                let reason = format!("route {other} has the same path and model");
                faults.push(&["routes", name.as_str(), "path"], reason);
            }
        }
    }
}

fn check_account(name: &Account, account: &AccountEntry, faults: &mut ConfigFaults) {
    let at = ["accounts", name.as_str()];
    faults.check_name(&at, name.as_str());
    if account.rate == 0 {
        faults.push(&[at[0], at[1], "rate"], "a rate is at least 1");
    }
    if account.burst == 0 {
        faults.push(&[at[0], at[1], "burst"], "a burst is at least 1");
    }
}
