//! Routes, pools and accounts of a catalog.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::Catalog;
use chiverelay_decisions::catalog::AccountSpec;
use chiverelay_decisions::catalog::Backend;
use chiverelay_decisions::catalog::ClientLimits;
use chiverelay_decisions::catalog::CurrentCatalog;
use chiverelay_decisions::catalog::LookupError;
use chiverelay_decisions::catalog::RouteKind;
use chiverelay_decisions::catalog::RouteSpec;
use chiverelay_decisions::config::Residency;
use chiverelay_decisions::revision::StoreRevision;
use support::cases;

fn route(name: &str, path: &str) -> RouteSpec {
    RouteSpec {
        name: name.into(),
        host: "desk.example".into(),
        path_prefix: path.into(),
        kind: RouteKind::Idempotent,
        backends: vec![Backend {
            pool: "orders".into(),
            weight: 1,
        }],
        timeout: Duration::from_secs(4),
        target_latency: Duration::from_millis(500),
        target_event_gap: Duration::from_millis(200),
        max_attempts: 2,
        priority: 2,
        public: name == "open",
        residency: match name {
            "bound" => Residency::only(vec!["north".into()]),
            _ => Residency::anywhere(),
        },
    }
}

fn account(name: &str, key: &str) -> AccountSpec {
    AccountSpec {
        name: name.into(),
        keys: vec![key.into()],
        limit: None,
        priority: (name == "parish").then_some(0),
        residency: match name {
            "parish" => Residency::only(vec!["south".into()]),
            _ => Residency::anywhere(),
        },
    }
}

fn catalog(version: u64) -> Catalog {
    let routes = vec![
        route("short", "/a/"),
        route("long", "/a/b/"),
        route("open", "/open/"),
        route("bound", "/bound/"),
    ];
    let accounts = vec![account("parish", "k1"), account("shop", "k2")];
    Catalog::new(
        version,
        routes,
        Vec::new(),
        accounts,
        ClientLimits::default(),
    )
}

fn check_find(host: &str, path: &str, key: Option<&str>, want: Result<&str, LookupError>) {
    let found = catalog(1).find(host, path, key);
    let found = found.map(|terms| terms.route.name.to_string());
    assert_eq!(found, want.map(str::to_owned));
}

cases! {
    check_find:
    the_longest_prefix_wins("desk.example", "/a/b/c", Some("k1"), Ok("long"));
    a_shorter_prefix_takes_the_rest("desk.example", "/a/bc", Some("k1"), Ok("short"));
    another_host_has_no_route("other.example", "/a/b/c", Some("k1"), Err(LookupError::NoRoute));
    another_path_has_no_route("desk.example", "/b/", Some("k1"), Err(LookupError::NoRoute));
    a_route_is_looked_for_before_the_key("desk.example", "/b/", None, Err(LookupError::NoRoute));
    no_key("desk.example", "/a/", None, Err(LookupError::NoAccount));
    an_unknown_key("desk.example", "/a/", Some("k3"), Err(LookupError::NoAccount));
    a_public_route_needs_no_key("desk.example", "/open/", None, Ok("open"));
}

#[test]
fn route_and_account_bind_both() {
    let terms = |key| {
        catalog(1)
            .find("desk.example", "/bound/", Some(key))
            .expect("covered")
    };
    assert!(terms("k2").allows(&"north".into()));
    assert!(!terms("k2").allows(&"south".into()));
    assert!(!terms("k1").allows(&"north".into()));
    assert!(!terms("k1").allows(&"south".into()));
}

#[test]
fn an_accounts_priority_goes_before_its_routes() {
    let priority = |key| {
        let terms = catalog(1).find("desk.example", "/a/", Some(key));
        terms.expect("covered").priority()
    };
    assert_eq!((priority("k1"), priority("k2")), (0, 2));
}

#[test]
fn a_hosts_bound_routes_are_those_with_regions() {
    let catalog = catalog(1);
    let bound = catalog.bound_routes_of("desk.example");
    let names: Vec<_> = bound.map(|route| route.name.as_str()).collect();
    assert_eq!(names, ["bound"]);
    assert_eq!(catalog.bound_routes_of("other.example").count(), 0);
    assert!(catalog.has_host("desk.example"));
    assert!(!catalog.has_host("other.example"));
}

#[test]
fn weights_share_the_requests_out() {
    let mut split = route("split", "/s/");
    let backend = |pool: &str, weight| Backend {
        pool: pool.into(),
        weight,
    };
    split.backends = vec![backend("old", 90), backend("new", 10), backend("none", 0)];
    let pool = |id: &str| split.choose_pool(id).expect("a pool").to_string();
    let ids: Vec<String> = (0..2000).map(|n| format!("request-{n}")).collect();
    let new = ids.iter().filter(|id| pool(id) == "new").count();
    assert!((120..280).contains(&new), "{new} of 2000");
    assert!(ids.iter().all(|id| pool(id) != "none"));
    assert!(ids.iter().all(|id| pool(id) == pool(id)));
}

/// Reads catalogs of these revisions and expects the versions in force.
fn check_current(revisions: &[((u64, u64), u64)], in_force: &[u64]) {
    let current = CurrentCatalog::default();
    let mut seen = Vec::new();
    for ((era, number), version) in revisions.iter().copied() {
        let revision = StoreRevision { era, number };
        current.replace_if_newer(Arc::new(catalog(version)), revision, Duration::ZERO);
        seen.push(current.get().expect("a catalog").catalog.version);
    }
    assert_eq!(seen, in_force);
}

cases! {
    check_current:
    newer_ones_replace_older(&[((1, 1), 10), ((1, 2), 14)], &[10, 14]);
    a_late_one_changes_nothing(&[((1, 5), 10), ((1, 3), 8)], &[10, 10]);
    the_same_revision_changes_nothing(&[((1, 5), 10), ((1, 5), 11)], &[10, 10]);
    an_older_copys_version_changes_nothing(&[((1, 5), 10), ((2, 3), 8)], &[10, 10]);
    versions_written_again_replace_only_older_ones(
        &[((1, 5), 10), ((2, 3), 8), ((2, 4), 9), ((2, 5), 11)], &[10, 10, 10, 11]);
    a_number_given_out_again_is_another_revision(&[((1, 5), 10), ((2, 5), 11)], &[10, 11]);
}

/// Guards requests against regions that a later catalog bars, also where an
/// account has no key for a moment: it is found by its name.
fn a_later_catalog_binds_what_it_names(
    route_name: &str,
    account_name: Option<&str>,
    region: &'static str,
    is_allowed: bool,
) {
    let mut keyless = account("keyless", "k3");
    keyless.keys.clear();
    keyless.residency = Residency::only(vec!["north".into()]);
    let routes = vec![route("short", "/a/"), route("bound", "/bound/")];
    let accounts = vec![account("parish", "k1"), keyless];
    let catalog = Catalog::new(1, routes, Vec::new(), accounts, ClientLimits::default());
    let name = account_name.map(Into::into);
    let residency = catalog.residency_of(&route_name.into(), name.as_ref());
    assert_eq!(residency.allows(&region.into()), is_allowed);
}

cases! {
    a_later_catalog_binds_what_it_names:
    by_its_route("bound", None, "south", false);
    by_its_route_where_it_may_run("bound", None, "north", true);
    by_its_account("short", Some("parish"), "north", false);
    by_its_account_on_a_route_that_is_gone("gone", Some("parish"), "north", false);
    by_its_account_without_a_key("short", Some("keyless"), "south", false);
    by_its_route_with_an_account_that_is_gone("bound", Some("gone"), "south", false);
    by_both_of_which_no_region_is_left("bound", Some("parish"), "north", false);
    and_nothing_else("gone", Some("gone"), "south", true);
}

/// Guards an instance that the store does not answer against a copy that lacks
/// something, and against one of a version that it has.
#[test]
fn a_copy_is_the_catalog_for_one_that_has_an_earlier_version() {
    let current = CurrentCatalog::default();
    assert_eq!(current.copy_if_later(0), None);
    let mut keyless = account("keyless", "k3");
    keyless.keys.clear();
    let routes = vec![route("short", "/a/"), route("bound", "/bound/")];
    let accounts = vec![account("parish", "k1"), keyless];
    let catalog = Catalog::new(4, routes, Vec::new(), accounts, ClientLimits::default());
    let revision = StoreRevision { era: 1, number: 7 };
    current.replace_if_newer(Arc::new(catalog), revision, Duration::ZERO);
    assert_eq!(current.copy_if_later(4), None);
    let copy = current.copy_if_later(3).expect("a later version");
    assert_eq!(copy.revision, revision);
    let other = CurrentCatalog::default();
    other.replace_if_newer(copy.clone().into_catalog(), copy.revision, Duration::ZERO);
    let mut again = other.copy_if_later(0).expect("a catalog");
    let mut copy = copy;
    for copy in [&mut again, &mut copy] {
        copy.accounts.sort_by_key(|account| account.name.clone());
    }
    assert_eq!(again, copy);
    assert_eq!(again.accounts.len(), 2, "also the one without a key");
}
