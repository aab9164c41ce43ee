//! The decision where a request goes: tables and a configuration in, a
//! placement or a refusal out, on injected time.

mod leaving;
mod turns;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::Config;
use chiverelay_decisions::Refusal;
use chiverelay_decisions::Request;
use chiverelay_decisions::config::Residency;
use chiverelay_decisions::gateway;
use chiverelay_decisions::gateway::Placement;
use chiverelay_decisions::gateway::QueueStatus;
use chiverelay_decisions::gateway::QueueWaker;
use chiverelay_decisions::gateway::Sibling;
use chiverelay_decisions::gateway::Tables;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::placement::LinkSpec;
use chiverelay_decisions::placement::LoadReport;
use chiverelay_decisions::placement::Network;
use chiverelay_decisions::placement::PoolSummary;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Outcome;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Grant;
use chiverelay_decisions::request::RequestMeta;
use serde_json::Value;
use serde_json::json;
use support::cases;

const HERE: &str = "lima";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Makes a configuration of one pool with targets by name and region.
fn config(version: u64, targets: &[(&str, &str)], pool: Value) -> Config {
    let targets: BTreeMap<&str, Value> = targets
        .iter()
        .map(|(name, region)| {
            let at = json!({"address": "127.0.0.1:1", "region": region, "zone": "a"});
            (*name, at)
        })
        .collect();
    let mut entry = json!({"kind": "engine", "targets": targets});
    if let (Some(entry), Some(pool)) = (entry.as_object_mut(), pool.as_object()) {
        entry.extend(pool.clone());
    }
    serde_json::from_value(json!({
        "version": version,
        "routes": {"chat": {"path": "/", "pool": "p", "accounts": ["caja", "encargos"]}},
        "pools": {"p": entry},
        "accounts": {
            "caja": {"rate": 1, "burst": 1},
            "encargos": {"rate": 1, "burst": 1},
        },
    }))
    .expect("a configuration")
}

fn tables(config: Config, network: Network) -> Tables {
    let tables = Tables {
        network,
        ..Tables::new()
    };
    tables.config.replace_if_newer(Arc::new(config));
    tables
}

/// A request as the tests vary it.
#[derive(Clone, Copy)]
struct Ask {
    account: &'static str,
    prompt: u64,
    deadline: Duration,
}

const ASK: Ask = Ask {
    account: "encargos",
    prompt: 90,
    deadline: Duration::from_secs(60),
};

/// Tokens of every answer.
const ANSWER: u64 = 10;

impl Ask {
    fn admit(self) -> Request<Admitted, Direct> {
        let head = RequestMeta {
            received: Duration::ZERO,
            id: "r".into(),
            deadline: self.deadline,
            model: None,
            prompt_tokens: self.prompt,
            max_answer_tokens: Some(ANSWER),
            prefix: Vec::new(),
        };
        Request::from_caller(head).admit(Grant {
            account: Some(self.account.into()),
            route: "chat".into(),
            pool: "p".into(),
            residency: Residency::anywhere(),
            repeatable: true,
            charged_tokens: self.prompt + ANSWER,
            receipt: None,
        })
    }
}

/// Where a request went.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Went {
    Here(Target),
    Away(Region),
    Waits,
}

fn place(tables: &Tables, ask: Ask, now: Duration) -> Result<Went, Refusal> {
    let here = Region::from(HERE);
    let placed = gateway::place(tables, ask.admit(), &here, QueueStatus::New, now)?;
    Ok(match placed {
        Placement::Local(req) => {
            gateway::request_started(tables, req.target());
            Went::Here(req.target().clone())
        }
        Placement::Remote(req) => Went::Away(req.region().clone()),
        Placement::Wait(_) => Went::Waits,
    })
}

fn wait(tables: &Tables, ask: Ask, now: Duration) -> Result<(), Refusal> {
    gateway::enqueue(tables, ask.admit(), QueueWaker::new(|| true), now).map(|_| ())
}

/// Lets a sibling of another region say that it has room for the pool.
fn hear(tables: &Tables, region: &str) {
    let summary = PoolSummary {
        pool: "p".into(),
        slots: 64,
        running: 0,
        queued: 0,
        first_token_ms: 10,
        prefill_rate: 8000,
    };
    let sibling = Sibling {
        region: region.into(),
        last_heard: Duration::ZERO,
        serving: true,
        summaries: vec![summary],
    };
    tables
        .siblings
        .insert(format!("{region}-1").as_str().into(), sibling);
}

/// Tells where a request goes that only two other regions may answer, by what
/// the settings say of the links to them.
fn check_links(arequipa: (u64, u64), cusco: (u64, u64), want: &str) {
    let spec = |(mbits, round_trip): (u64, u64)| LinkSpec {
        mbits,
        share_percent: 50,
        round_trip: ms(round_trip),
    };
    let network = Network {
        links: [("arequipa", arequipa), ("cusco", cusco)]
            .map(|(region, link)| (region.into(), spec(link)))
            .into(),
        ..Network::default()
    };
    let targets = [("t1", "arequipa"), ("t2", "cusco")];
    let tables = tables(config(1, &targets, json!({})), network);
    hear(&tables, "arequipa");
    hear(&tables, "cusco");
    let ask = Ask {
        prompt: 100_000,
        ..ASK
    };
    assert_eq!(place(&tables, ask, ms(0)), Ok(Went::Away(want.into())));
}

cases! {
    check_links:
    nearer_arequipa((140, 20), (140, 110), "arequipa");
    nearer_cusco((140, 110), (140, 20), "cusco");
    faster_arequipa((2000, 110), (20, 110), "arequipa");
    faster_cusco((20, 110), (2000, 110), "cusco");
    faster_though_farther((20, 20), (2000, 110), "cusco");
}

/// A network whose links carry 12,500 bytes a second for this instance, and
/// 25,000 at once.
fn narrow() -> Network {
    let link = LinkSpec {
        mbits: 1,
        share_percent: 10,
        round_trip: ms(110),
    };
    Network {
        default_link: link,
        ..Network::default()
    }
}

/// Tells which requests of a row go away over a narrow link.
fn check_link_budget(prompt: u64, at: &[u64], want: &[Result<(), Option<u64>>]) {
    let tables = tables(config(1, &[("t1", "cusco")], json!({})), narrow());
    hear(&tables, "cusco");
    let ask = Ask { prompt, ..ASK };
    for (at, want) in at.iter().zip(want) {
        match (place(&tables, ask, ms(*at)), want) {
            (Ok(went), Ok(())) => assert_eq!(went, Went::Away("cusco".into())),
            (Err(refusal), Err(delay)) => {
                assert_eq!(refusal.outcome, Outcome::NotRun);
                assert_eq!(refusal.code, Code::Overloaded);
                assert_eq!(refusal.retry_after, delay.map(ms));
            }
            (found, _) => panic!("at {at} ms: {found:?} instead of {want:?}"),
        }
    }
}

cases! {
    check_link_budget:
    // Each takes 4,000 bytes for its prompt and 1,600 for its answer.
    a_budget_used_up(1000, &[0, 0, 0, 0, 0], &[Ok(()), Ok(()), Ok(()), Ok(()), Err(Some(240))]);
    room_after_the_time_named(
        1000, &[0, 0, 0, 0, 0, 239, 240],
        &[Ok(()), Ok(()), Ok(()), Ok(()), Err(Some(240)), Err(Some(1)), Ok(())],
    );
    larger_than_the_budget_ever_is(7000, &[0, 60_000], &[Err(None), Err(None)]);
}

#[test]
fn a_used_up_link_keeps_requests_in_their_region() {
    let targets = [("t1", HERE), ("t2", "cusco")];
    let tables = tables(config(1, &targets, json!({"slots": 1})), narrow());
    hear(&tables, "cusco");
    let ask = Ask {
        prompt: 1000,
        ..ASK
    };
    assert_eq!(place(&tables, ask, ms(0)), Ok(Went::Here("t1".into())));
    for _ in 0..4 {
        assert_eq!(place(&tables, ask, ms(0)), Ok(Went::Away("cusco".into())));
    }
    assert_eq!(place(&tables, ask, ms(0)), Ok(Went::Waits));
}

/// Tells whether another request may start at a target that restarted.
fn check_ramp(ramp_ms: u64, elapsed: u64, running: usize, want: Went) {
    let pool = json!({"slots": 10, "ramp-ms": ramp_ms});
    let tables = tables(config(1, &[("t1", HERE)], pool), Network::default());
    let target = Target::from("t1");
    for incarnation in [1, 2] {
        let report = LoadReport {
            incarnation,
            ..LoadReport::default()
        };
        gateway::apply_load_report(&tables, &target, report, ms(1000));
    }
    for _ in 0..running {
        gateway::request_started(&tables, &target);
    }
    assert_eq!(place(&tables, ASK, ms(1000 + elapsed)), Ok(want));
}

cases! {
    check_ramp:
    first_of_a_ramp(20_000, 0, 0, Went::Here("t1".into()));
    second_of_a_ramp(20_000, 0, 1, Went::Waits);
    half_of_a_ramp(20_000, 10_000, 5, Went::Here("t1".into()));
    over_half_of_a_ramp(20_000, 10_000, 6, Went::Waits);
    after_a_short_ramp(5_000, 10_000, 9, Went::Here("t1".into()));
    no_ramp(0, 0, 9, Went::Here("t1".into()));
}

/// Tells for every number of ejected targets whether one of them is used.
fn check_panic(targets: usize, percent: u64, far: bool) {
    let names: Vec<String> = (0..targets).map(|t| format!("t{t:02}")).collect();
    let mut list: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), HERE)).collect();
    list.push(("far", "cusco"));
    let pool = json!({"panic-percent": percent});
    for ejected in 0..=targets {
        let tables = tables(config(1, &list, pool.clone()), Network::default());
        if far {
            hear(&tables, "cusco");
        }
        for (i, name) in names.iter().enumerate() {
            let target = Target::from(name.as_str());
            match i < ejected {
                true => gateway::mark_unreachable(&tables, &target, ms(0)),
                false => (0..3).for_each(|_| gateway::request_started(&tables, &target)),
            }
        }
        let usable = targets - ejected;
        let panics = !far && (usable as u64) * 100 < targets as u64 * percent;
        match place(&tables, ASK, ms(1)) {
            Ok(Went::Here(target)) => {
                let down = names[..ejected].iter().any(|n| *n == *target.as_str());
                assert_eq!(down, panics, "{target} with {usable} usable");
            }
            Ok(Went::Away(_)) => assert!(far && usable == 0, "away with {usable} usable"),
            Err(refusal) => {
                assert!(!far && usable == 0 && percent == 0, "{refusal:?}");
                assert_eq!(refusal.outcome, Outcome::NotRun);
            }
            Ok(Went::Waits) => panic!("waits with {usable} usable"),
        }
    }
}

cases! {
    check_panic:
    panic_of_one(1, 30, false);
    panic_of_three(3, 30, false);
    panic_of_ten(10, 30, false);
    panic_of_sixteen(16, 30, false);
    /// More than are scored for one request.
    panic_of_sixty(60, 30, false);
    panic_at_another_threshold(10, 70, false);
    never_a_panic(10, 0, false);
    no_panic_while_another_region_answers(10, 30, true);
    no_panic_of_sixty_while_another_region_answers(60, 30, true);
}

/// A queue of 60 requests of 100 tokens, of which one was served each 100 ms
/// for two seconds: 40 wait, and 1,000 tokens a second are expected.
fn busy_queue(queue: usize) -> Tables {
    let pool = json!({"slots": 1, "queue": queue});
    let tables = tables(config(1, &[("t1", HERE)], pool), Network::default());
    assert_eq!(place(&tables, ASK, ms(0)), Ok(Went::Here("t1".into())));
    for _ in 0..60 {
        wait(&tables, ASK, ms(0)).expect("room");
    }
    serve(&tables, 20);
    tables
}

fn serve(tables: &Tables, requests: usize) {
    for _ in 0..requests {
        gateway::request_finished(tables, &"t1".into());
        gateway::request_started(tables, &"t1".into());
    }
}

/// Tells whether a request is refused before it waits in vain, and when it is
/// told to come back; then it has to be taken.
fn check_early_refusal(account: &'static str, left: u64, want: Result<(), u64>) {
    let tables = busy_queue(1000);
    let now = ms(2000);
    let ask = |now| Ask {
        account,
        deadline: now + ms(left),
        ..ASK
    };
    let found = wait(&tables, ask(now), now);
    let Err(delay) = want else {
        return assert_eq!(found, Ok(()));
    };
    let refusal = found.expect_err("a refusal");
    assert_eq!(refusal.code, Code::DeadlineExceeded);
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert_eq!(refusal.retry_after, Some(ms(delay)));
    serve(&tables, delay.div_ceil(100) as usize);
    let later = now + ms(delay);
    assert_eq!(wait(&tables, ask(later), later), Ok(()));
}

cases! {
    check_early_refusal:
    waits_if_its_turn_comes_in_time("encargos", 4000, Ok(()));
    refused_if_it_comes_a_little_late("encargos", 3500, Err(1000));
    refused_if_it_comes_late("encargos", 1000, Err(3000));
    another_account_waits_for_its_share("caja", 1000, Ok(()));
    /// Its share takes 100 ms until the other account has next to nothing left.
    another_account_in_a_hurry("caja", 50, Err(3950));
}

/// A bound that the configuration lowers counts from the next request on.
fn check_queue_bound(before: usize, after: usize, want: Option<Code>) {
    let tables = busy_queue(before);
    let pool = json!({"slots": 1, "queue": after});
    tables
        .config
        .replace_if_newer(Arc::new(config(2, &[("t1", HERE)], pool)));
    let refusal = wait(&tables, ASK, ms(2000)).err();
    assert_eq!(refusal.as_ref().map(|r| r.code), want);
    if let Some(refusal) = refusal {
        assert_eq!(refusal.outcome, Outcome::NotRun);
        // The 40 that wait are served in 4 s.
        assert_eq!(refusal.retry_after, Some(ms(4000)));
    }
}

cases! {
    check_queue_bound:
    a_full_queue(60, 40, Some(Code::Overloaded));
    a_raised_bound(60, 41, None);
}
