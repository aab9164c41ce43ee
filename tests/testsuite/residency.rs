//! No request runs outside the regions that its residency allows, and none is
//! forwarded twice.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::Config;
use chiverelay_decisions::Refusal;
use chiverelay_decisions::Request;
use chiverelay_decisions::config::Residency;
use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::gateway;
use chiverelay_decisions::gateway::ForwardedPlacement;
use chiverelay_decisions::gateway::Placement;
use chiverelay_decisions::gateway::QueueStatus;
use chiverelay_decisions::gateway::Sibling;
use chiverelay_decisions::gateway::Tables;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Route;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Outcome;
use chiverelay_decisions::request::Grant;
use chiverelay_decisions::request::RequestMeta;
use chiverelay_sibling::Certificates;
use chiverelay_sibling::Endpoint;
use chiverelay_sibling::Forward;
use chiverelay_sibling::Frame;
use chiverelay_standin::faults::Faults;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::caller;
use support::cases;
use support::process;
use support::site::Site;
use support::site::document;
use support::site::eventually;

const REGIONS: [&str; 3] = ["lima", "arequipa", "cusco"];

fn some_regions(rng: &mut SmallRng) -> Option<Vec<Region>> {
    if rng.random_bool(0.4) {
        return None;
    }
    let some = REGIONS.iter().filter(|_| rng.random_bool(0.5));
    Some(some.map(|r| Region::from(*r)).collect())
}

/// Makes a configuration of one pool, with any residency of route and account.
fn some_config(version: u64, rng: &mut SmallRng) -> Config {
    let targets: BTreeMap<String, Value> = (0..rng.random_range(0..5))
        .map(|i| {
            let region = REGIONS[rng.random_range(0..3)];
            let target = json!({"address": "127.0.0.1:1", "region": region, "zone": "a"});
            (format!("t{i}"), target)
        })
        .collect();
    let mut config: Config = serde_json::from_value(json!({
        "version": version,
        "routes": {"chat": {"path": "/", "pool": "p", "accounts": ["encargos"]}},
        "pools": {"p": {"kind": "engine", "targets": targets, "slots": 2}},
        "accounts": {"encargos": {"rate": 1, "burst": 1}},
    }))
    .expect("a configuration");
    let residency = |r: Option<Vec<Region>>| r.map_or(Residency::anywhere(), Residency::only);
    for route in config.routes.values_mut() {
        route.residency = residency(some_regions(rng));
    }
    for account in config.accounts.values_mut() {
        account.residency = residency(some_regions(rng));
    }
    config
}

fn grant(config: &Config) -> Grant {
    let (route, account) = (Route::from("chat"), Account::from("encargos"));
    Grant {
        residency: config.routes[&route]
            .residency
            .and(&config.accounts[&account].residency),
        account: Some(account),
        route,
        pool: "p".into(),
        repeatable: true,
        charged_tokens: 100,
        receipt: None,
    }
}

fn head(id: u64) -> RequestMeta {
    RequestMeta {
        received: Duration::ZERO,
        id: id.to_string().into(),
        deadline: Duration::from_secs(60),
        model: None,
        prompt_tokens: 100,
        max_answer_tokens: Some(10),
        prefix: vec![id % 7],
    }
}

fn tables(rng: &mut SmallRng) -> Tables {
    let tables = Tables::new();
    for region in REGIONS {
        let sibling = Sibling {
            region: region.into(),
            last_heard: Duration::ZERO,
            serving: rng.random_bool(0.8),
            summaries: Vec::new(),
        };
        tables
            .siblings
            .insert(format!("{region}-1").as_str().into(), sibling);
    }
    tables
}

/// Tells whether both the grant and the configuration in force allow a region.
fn allowed(grant: &Grant, config: &Config, region: &Region) -> bool {
    let now = self::grant(config).residency;
    grant.residency.allows(region) && now.allows(region)
}

/// Whatever the configurations before and after admission, the health and
/// the load, a request is placed where both allow it, or refused as not run.
fn stays_within(seed: u64) -> bool {
    let mut rng = SmallRng::seed_from_u64(seed);
    let tables = tables(&mut rng);
    let here = Region::from(REGIONS[rng.random_range(0..3)]);
    (1..40).all(|step| {
        let now = Duration::from_millis(step * 500);
        let before = some_config(step * 2, &mut rng);
        let grant = grant(&before);
        let after = some_config(step * 2 + 1, &mut rng);
        tables.config.replace_if_newer(Arc::new(after.clone()));
        let target = format!("t{}", rng.random_range(0..5)).as_str().into();
        match rng.random_range(0..3) {
            0 => gateway::mark_unreachable(&tables, &target, now),
            1 => gateway::request_started(&tables, &target),
            _ => gateway::request_finished(&tables, &target),
        }
        let turn = match rng.random_bool(0.5) {
            true => QueueStatus::New,
            false => QueueStatus::Woken,
        };
        let refused = |refusal: Refusal| refusal.outcome == Outcome::NotRun;
        if rng.random_bool(0.5) {
            let req = Request::from_caller(head(step)).admit(grant.clone());
            match gateway::place(&tables, req, &here, turn, now) {
                Ok(Placement::Local(req)) => {
                    *req.region() == here
                        && after.pools["p"].targets[req.target()].region == here
                        && allowed(&grant, &after, &here)
                }
                Ok(Placement::Remote(req)) => {
                    *req.region() != here && allowed(&grant, &after, req.region())
                }
                Ok(Placement::Wait(_)) => allowed(&grant, &after, &here),
                Err(refusal) => refused(refusal),
            }
        } else {
            let req = Request::from_sibling(head(step)).admit(grant.clone());
            match gateway::place_forwarded(&tables, req, &here, turn, now) {
                Ok(ForwardedPlacement::Local(req)) => {
                    *req.region() == here && allowed(&grant, &after, &here)
                }
                Ok(ForwardedPlacement::Wait(_)) => allowed(&grant, &after, &here),
                Err(refusal) => refused(refusal),
            }
        }
    })
}

#[test]
fn requests_stay_within_their_residency() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 4))
        .tests(500)
        .quickcheck(stays_within as fn(u64) -> bool);
}

/// Whatever becomes of the configuration while a stream runs, its attempt to
/// resume is placed where admission and the configuration then allow, at a
/// target that did not have it, or is refused as one that may have run.
fn resumes_within(seed: u64) -> bool {
    let mut rng = SmallRng::seed_from_u64(seed);
    let tables = tables(&mut rng);
    let here = Region::from(REGIONS[rng.random_range(0..3)]);
    (1..40).all(|step| {
        let now = Duration::from_millis(step * 500);
        let before = some_config(step * 2, &mut rng);
        tables.config.replace_if_newer(Arc::new(before.clone()));
        let grant = grant(&before);
        let req = Request::from_caller(head(step)).admit(grant.clone());
        let Ok(Placement::Local(req)) = gateway::place(&tables, req, &here, QueueStatus::New, now)
        else {
            return true;
        };
        let cut = req.target().clone();
        let Ok(again) = req.dispatch().retry() else {
            return false;
        };
        let after = some_config(step * 2 + 1, &mut rng);
        tables.config.replace_if_newer(Arc::new(after.clone()));
        match gateway::place(&tables, again, &here, QueueStatus::New, now) {
            Ok(Placement::Local(req)) => {
                *req.target() != cut
                    && after.pools["p"].targets[req.target()].region == here
                    && allowed(&grant, &after, &here)
            }
            Ok(Placement::Remote(req)) => allowed(&grant, &after, req.region()),
            Ok(Placement::Wait(_)) => allowed(&grant, &after, &here),
            Err(refusal) => refusal.outcome == Outcome::Unknown,
        }
    })
}

#[test]
fn resumed_streams_stay_within_their_residency() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 5))
        .tests(500)
        .quickcheck(resumes_within as fn(u64) -> bool);
}

/// Guards a request against a region that one of two configurations bars: the one
/// that admitted it, or the one in force.
fn is_placed_as_both_allow(admitted: &[&str], current: &[&str], is_placed: bool) {
    let only = |regions: &[&str]| Residency::only(regions.iter().map(|r| (*r).into()).collect());
    let grant = Grant {
        account: None,
        route: "chat".into(),
        pool: "p".into(),
        residency: only(admitted),
        repeatable: true,
        charged_tokens: 0,
        receipt: None,
    };
    let request = || Request::from_caller(head(1)).admit(grant.clone());
    let (lima, current) = (Region::from("lima"), only(current));
    let placed = request().place("engine-1".into(), lima.clone(), &current);
    assert_eq!(placed.is_ok(), is_placed);
    let placed = request().place_remote("lima-1".into(), lima, &current);
    assert_eq!(placed.is_ok(), is_placed);
}

cases! {
    is_placed_as_both_allow:
    by_both(&["lima", "cusco"], &["lima"], true);
    only_by_the_grant(&["lima"], &["cusco"], false);
    only_by_the_configuration_in_force(&["cusco"], &["lima"], false);
}

/// Failure: a connection was made while the configuration changed, and the request
/// went to a region that was barred by then.
fn is_sent_within(seed: u64) -> bool {
    let mut rng = SmallRng::seed_from_u64(seed);
    let tables = tables(&mut rng);
    let here = Region::from(REGIONS[rng.random_range(0..3)]);
    (1..40).all(|step| {
        let now = Duration::from_millis(step * 500);
        let before = some_config(step * 2, &mut rng);
        tables.config.replace_if_newer(Arc::new(before.clone()));
        let grant = grant(&before);
        let req = Request::from_caller(head(step)).admit(grant.clone());
        let placed = gateway::place(&tables, req, &here, QueueStatus::New, now);
        let after = some_config(step * 2 + 1, &mut rng);
        tables.config.replace_if_newer(Arc::new(after.clone()));
        let (region, may_run) = match placed {
            Ok(Placement::Local(req)) => {
                (here.clone(), gateway::may_still_run(&tables, &req, &here))
            }
            Ok(Placement::Remote(req)) => {
                let region = req.region().clone();
                (
                    region.clone(),
                    gateway::may_still_run(&tables, &req, &region),
                )
            }
            Ok(Placement::Wait(_)) | Err(_) => return true,
        };
        may_run == allowed(&grant, &after, &region)
    })
}

#[test]
fn requests_are_sent_within_their_residency() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 6))
        .tests(500)
        .quickcheck(is_sent_within as fn(u64) -> bool);
}

/// A stream that is cut has no other target in the regions that its route, or
/// its account, allows: it ends as cut, and the target elsewhere gets nothing.
fn check_cut(bound: fn(&mut Value)) {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima"), ("cusco-1", "cusco")]).await;
        let (one, first) = site.engine("engine-1", Duration::from_millis(1)).await;
        let (two, second) = site.engine("engine-2", Duration::from_millis(1)).await;
        let engines = [("engine-1", first, "lima"), ("engine-2", second, "cusco")];
        let mut doc = document(&engines, &[]);
        doc["pools"]["engines"]["resume"] = json!(true);
        bound(&mut doc);
        site.apply("lima-1", doc).await;
        let key = site.grant("lima-1", "encargos").await.key;
        one.script.set(Faults {
            cut_after: Some(10),
            ..Faults::default()
        });
        let body = json!({
            "model": "taller-llm", "stream": true, "max_tokens": 50,
            "messages": [{"role": "user", "content": "a quote"}],
        });
        let caller = site.daemon("lima-1").caller;
        let answer = caller::post(caller, "/v1/chat/completions", &key, &body).await;
        let text = answer.expect("an answer").text();
        assert!(
            text.contains("word9 ") && !text.contains("word10 "),
            "{text}"
        );
        assert!(!text.contains("[DONE]"), "{text}");
        assert_eq!((one.taken(), two.taken()), (1, 0));
    });
}

cases! {
    check_cut:
    a_cut_stream_bound_by_its_route(|d| d["routes"]["chat"]["residency"] = json!(["lima"]));
    a_cut_stream_bound_by_its_account(|d| d["accounts"]["encargos"]["residency"] = json!(["lima"]));
    /// It is resumed in the region or not at all.
    a_cut_stream_bound_by_nothing(|_| {});
}

/// Returns a request that a sibling might pass on, for a route.
fn forward(route: &str) -> Forward {
    let body = json!({"model": "taller-llm", "max_tokens": 2, "messages": []});
    Forward {
        id: "hand-made".into(),
        account: Some("encargos".into()),
        route: route.into(),
        pool: "model".into(),
        config_version: 1,
        remaining_ms: 20_000,
        is_resumed: false,
        prompt_tokens: 10,
        max_answer_tokens: Some(2),
        prefix: Vec::new(),
        parts: Vec::new(),
        attempts: 1,
        last_event_id: None,
        software: None,
        method: "POST".to_owned(),
        path_and_query: "/v1/chat/completions".to_owned(),
        headers: Vec::new(),
        body: body.to_string().into_bytes(),
    }
}

/// Connects as an instance of cusco that is not a daemon.
async fn connect(
    site: &Site,
    to: &str,
    region: &str,
) -> chiverelay_sibling::Link<chiverelay_sibling::Up> {
    let dir = site.path("");
    let args = [
        "certs",
        "--dir",
        &dir,
        "--instance",
        "cusco-9",
        "--region",
        "cusco",
    ];
    assert!(process::output("chiverelay", &args).status.success());
    let read = |name: &str| std::fs::read(site.path(name)).expect("a file");
    let certs = Certificates::from_pem(&read("ca.pem"), &read("cusco-9.pem"), &read("cusco-9.key"))
        .expect("certificates");
    let local: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let endpoint = Endpoint::bind(local, &certs).expect("an endpoint");
    endpoint
        .connect(&to.into(), &region.into(), site.daemon(to).sibling)
        .await
        .expect("a link")
}

/// Sets where a route may run; `None` for anywhere.
fn with_residency(mut document: Value, route: Option<Value>, account: Option<Value>) -> Value {
    if let Some(route) = route {
        document["routes"]["chat"]["residency"] = route;
    }
    if let Some(account) = account {
        document["accounts"]["encargos"]["residency"] = account;
    }
    document
}

/// Sends a hand-made forward to lima, which has an engine, and compares the
/// refusal; `None` expects an answer.
fn check_forward(
    route: &str,
    residency: Option<Value>,
    account: Option<Value>,
    want: Option<Code>,
) {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let (engine, address) = site.engine("engine-1", Duration::from_millis(1)).await;
        // A configuration without any target for a route is refused, so there
        // is one in cusco, too.
        let document = document(
            &[("engine-1", address, "lima"), ("far", address, "cusco")],
            &[],
        );
        site.apply("lima-1", with_residency(document, residency, account))
            .await;
        let link = connect(&site, "lima-1", "lima").await;
        let mut answer = link
            .forward(Stamp::default(), forward(route))
            .await
            .expect("an answer");
        let found = match answer.next().await.expect("a frame") {
            Frame::Head { status: 200, .. } => None,
            Frame::Refused(refusal) => {
                assert_eq!(refusal.outcome, Outcome::NotRun);
                Some(refusal.code)
            }
            frame => panic!("{frame:?}"),
        };
        assert_eq!(found, want);
        assert_eq!(engine.taken() > 0, want.is_none());
    });
}

cases! {
    check_forward:
    a_forward_that_is_allowed("chat", Some(json!(["lima"])), None, None);
    a_forward_to_a_region_the_route_excludes(
        "chat", Some(json!(["cusco"])), None, Some(Code::Forbidden),
    );
    a_forward_to_a_region_the_account_excludes(
        "chat", None, Some(json!(["cusco"])), Some(Code::Forbidden),
    );
    a_forward_by_a_route_that_is_not_there("none", None, None, Some(Code::NoRoute));
}

#[test]
fn a_forward_is_not_forwarded_again() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima"), ("cusco-1", "cusco")]).await;
        let (engine, address) = site.engine("engine-1", Duration::from_millis(1)).await;
        site.apply("lima-1", document(&[("engine-1", address, "cusco")], &[]))
            .await;
        let link = connect(&site, "lima-1", "lima").await;
        let mut answer = link
            .forward(Stamp::default(), forward("chat"))
            .await
            .expect("an answer");
        let Frame::Refused(refusal) = answer.next().await.expect("a frame") else {
            panic!("not refused");
        };
        assert_eq!(
            (refusal.code, refusal.outcome),
            (Code::Unavailable, Outcome::NotRun)
        );
        assert_eq!(engine.taken(), 0);
    });
}

#[test]
fn an_unreachable_region_is_a_refusal_that_was_not_run() {
    block_on(async {
        let mut site = Site::start(&[("lima-1", "lima"), ("cusco-1", "cusco")]).await;
        let (there, cusco) = site.engine("engine-1", Duration::from_millis(1)).await;
        let (here, lima) = site.engine("engine-2", Duration::from_millis(1)).await;
        let document = document(
            &[("engine-1", cusco, "cusco"), ("engine-2", lima, "lima")],
            &[],
        );
        let document = with_residency(document, Some(json!(["cusco"])), None);
        site.apply("lima-1", document).await;
        let key = site.grant("lima-1", "encargos").await.key;
        site.daemon_mut("cusco-1").process.kill();
        let client = site.daemon("lima-1").client();
        eventually("cusco-1 is missed", async || {
            let status = client.status().await.expect("a status");
            status.siblings.iter().all(|s| s.state != "serving")
        })
        .await;
        let ask = json!({"model": "taller-llm", "max_tokens": 2, "messages": []});
        let address = site.daemon("lima-1").caller;
        let answer = caller::post(address, "/v1/chat/completions", &key, &ask)
            .await
            .expect("an answer");
        let want = ("unavailable".to_owned(), "not_run".to_owned());
        assert_eq!(answer.refusal(), want);
        assert_eq!((there.taken(), here.taken()), (0, 0));
    });
}
