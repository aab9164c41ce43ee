//! Sound targets that fall silent for a second or two and go on: each request
//! gets its whole answer.

use std::time::Duration;

use futures_util::future::join_all;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::node::Got;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::SilentAnswer;
use support::node::SilentTarget;
use support::node::Site;
use support::node::Stage;
use support::node::call::Call;
use support::node::silent::EVENTS;
use support::node::silent::PLAIN_PIECES;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

/// A silence of a second or so.
const SHORT: Duration = Duration::from_millis(1100);

/// The longest silence of a sound target.
const LONG: Duration = Duration::from_secs(2);

/// A silence after which a stream may move, and that ends soon after.
const BEYOND: Duration = Duration::from_millis(2600);

/// Time after the start of a silence at which a neighbour joins late.
const LATE: Duration = Duration::from_millis(600);

/// Time in which each request has to end.
const PATIENCE: Duration = Duration::from_secs(15);

/// Targets that may run one request, as the routes state it.
const MAX_ATTEMPTS: usize = 2;

/// Another target of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Neighbour {
    /// There is none.
    None,
    /// It answers at once.
    Willing,
    /// It refuses every request as not run.
    Full,
    /// It is full, and becomes known during the silence.
    FullLate,
}

/// What happens while the target is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    Nothing,
    ShortIdleLimit,
    LongerTimeout,
    OtherWeights,
    HangUp,
    Stop,
}

/// Where the target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// In the region of the instance that the caller asks.
    Near,
    /// In another region.
    Far,
}

impl Beside {
    /// Returns the next version of the configuration, if it changes.
    fn document(self) -> Option<Value> {
        let mut document = configuration(4);
        let routes = document["routes"].as_array_mut().expect("routes");
        match self {
            Self::Nothing | Self::HangUp | Self::Stop => return None,
            Self::ShortIdleLimit => document["limits"]["idle_timeout_ms"] = json!(600),
            Self::LongerTimeout => routes
                .iter_mut()
                .for_each(|route| route["timeout_ms"] = json!(5000)),
            Self::OtherWeights => routes.iter_mut().for_each(|route| {
                let service = route["service"].clone();
                route["weighted_backends"] = json!([{"service": service, "weight": 3.0}]);
            }),
        }
        Some(document)
    }

    fn happen(self, site: &Site, node: &Node) {
        if let Some(document) = self.document() {
            site.store.put("op/config", &document);
        }
        match self {
            Self::HangUp => node.process.hang_up(),
            Self::Stop => node.process.terminate(),
            _ => {}
        }
    }
}

/// The route of a request, by its name in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Route(&'static str);

/// A plain request that may be repeated.
const REPEATABLE: Route = Route("status");

/// A plain request that may run once.
const ONCE: Route = Route("deposit");

/// A stream that may go on at another target.
const RESUMABLE: Route = Route("quote");

/// A stream that may not.
const BOUND: Route = Route("chat");

impl Route {
    fn is_stream(self) -> bool {
        self == RESUMABLE || self == BOUND
    }

    fn service(self) -> &'static str {
        if self.is_stream() { "model" } else { "orders" }
    }

    fn answer(self) -> SilentAnswer {
        match self.is_stream() {
            true => SilentAnswer::Events,
            false => SilentAnswer::Plain,
        }
    }

    fn max_runs(self) -> usize {
        match self == REPEATABLE || self == RESUMABLE {
            true => MAX_ATTEMPTS,
            false => 1,
        }
    }

    /// Returns what is wrong with an answer, if anything is.
    fn fault(self, got: &Result<Got, String>) -> Option<String> {
        let got = match got {
            Err(e) => return Some(format!("neither an answer nor a refusal: {e}")),
            Ok(got) => got,
        };
        let is_content_whole = match self.is_stream() {
            true => got.event_ids() == (1..=EVENTS).collect::<Vec<_>>(),
            false => got.body == PLAIN_PIECES.concat(),
        };
        if got.status != StatusCode::OK {
            return Some(format!("refused with {}", got.status));
        }
        if !got.whole || !is_content_whole {
            return Some(format!("cut: {:?}", got.body));
        }
        None
    }
}

/// One situation. Its stages are tried at once.
#[derive(Clone, Copy, Debug)]
struct Case {
    route: Route,
    silence: Duration,
    place: Place,
    neighbour: Neighbour,
    beside: Beside,
    stages: &'static [Stage],
}

impl Case {
    fn new(route: Route, silence: Duration) -> Self {
        Self {
            route,
            silence,
            place: Place::Near,
            neighbour: Neighbour::None,
            beside: Beside::Nothing,
            stages: &Stage::ALL,
        }
    }

    /// Leaves out the stages before the first event of a stream.
    fn once_begun(self) -> Self {
        Self {
            stages: &[Stage::WithinBody, Stage::BeforeEnd],
            ..self
        }
    }

    fn far(self) -> Self {
        Self {
            place: Place::Far,
            ..self
        }
    }

    fn neighbour(self, neighbour: Neighbour) -> Self {
        Self { neighbour, ..self }
    }

    fn beside(self, beside: Beside) -> Self {
        Self { beside, ..self }
    }

    fn zone(self) -> &'static str {
        match self.place {
            Place::Near => "north-a",
            Place::Far => "south-a",
        }
    }
}

/// Sends a request for each stage, and returns what came of it.
async fn send_each(case: Case, node: &Node) -> Vec<(Stage, Result<Got, String>)> {
    let calls = case.stages.iter().copied().map(|stage| async move {
        let path = format!("/{}/{}", case.route.0, stage.segment());
        let call = Call::new(stage.segment(), &path).key(KEY);
        let got = tokio::time::timeout(PATIENCE, call.exchange(node.front)).await;
        let got = got.unwrap_or_else(|_| Err("no end in time".to_owned()));
        (stage, got)
    });
    join_all(calls).await
}

/// The other targets of a case.
struct Others {
    willing: SilentTarget,
    full: PlatformTarget,
}

/// Has the neighbour join and the change happen once the target has the
/// requests.
async fn disturb(case: Case, site: &Site, node: &Node, silent: &SilentTarget, others: &Others) {
    until("the target has the requests", async || {
        silent.requests().len() >= case.stages.len()
    })
    .await;
    case.beside.happen(site, node);
    let service = case.route.service();
    match case.neighbour {
        Neighbour::None => {}
        Neighbour::Willing => {
            site.register_at("i-2", others.willing.address, service, case.zone());
        }
        Neighbour::Full => site.register(&others.full, service, case.zone()),
        Neighbour::FullLate => {
            tokio::time::sleep(LATE).await;
            site.register(&others.full, service, case.zone());
        }
    }
}

/// Waits until requests of the other region's pool are answered there.
async fn until_forwarded(route: Route, node: &Node) {
    until("forwards are answered", async || {
        let call = Call::new("first", &format!("/{}/at-once", route.0)).key(KEY);
        let got = call.exchange(node.front).await;
        got.is_ok_and(|got| got.status == StatusCode::OK)
    })
    .await;
}

fn check(case: Case) {
    block_on(async {
        let site = Site::start().await;
        let answer = case.route.answer();
        let silent = SilentTarget::start_by_path(answer, case.silence).await;
        let others = Others {
            willing: SilentTarget::start_by_path(answer, Duration::ZERO).await,
            full: PlatformTarget::start("i-3").await,
        };
        others.full.set(Mode::Full);
        site.register_at("i-1", silent.address, case.route.service(), case.zone());
        let node = site.instance("near", "north-a", "north").await;
        let far = match case.place {
            Place::Near => None,
            Place::Far => Some(site.instance("far", "south-a", "south").await),
        };
        if case.place == Place::Far {
            until_forwarded(case.route, &node).await;
        }
        let (got, ()) = tokio::join!(
            send_each(case, &node),
            disturb(case, &site, &node, &silent, &others)
        );
        let mut faults = Vec::new();
        for (stage, got) in &got {
            faults.extend(case.route.fault(got).map(|fault| (*stage, fault)));
            let runs =
                count(&silent.requests(), *stage) + count(&others.willing.requests(), *stage);
            if !(1..=case.route.max_runs()).contains(&runs) {
                faults.push((*stage, format!("{runs} runs")));
            }
        }
        let arrivals = others.full.arrivals();
        if arrivals.len() > case.stages.len() {
            faults.push((Stage::BeforeHead, format!("{} refusals", arrivals.len())));
        }
        let logs = node.logged() + &far.map_or(String::new(), |far| far.logged());
        assert!(faults.is_empty(), "{faults:#?}\n{logs}");
    });
}

fn count(requests: &[String], stage: Stage) -> usize {
    requests.iter().filter(|id| *id == stage.segment()).count()
}

// Failure: a request whose sound target fell silent got a part of its answer, a
// refusal, or nothing at all.
support::cases! {
    check:
    repeatable_for_a_second(Case::new(REPEATABLE, SHORT));
    repeatable_for_two_seconds(Case::new(REPEATABLE, LONG));
    repeatable_beside_a_willing_target(Case::new(REPEATABLE, LONG).neighbour(Neighbour::Willing));
    repeatable_beside_a_full_target(Case::new(REPEATABLE, LONG).neighbour(Neighbour::Full));
    repeatable_beside_a_late_full_target(
        Case::new(REPEATABLE, LONG).neighbour(Neighbour::FullLate)
    );
    repeatable_beside_a_short_idle_limit(Case::new(REPEATABLE, LONG).beside(Beside::ShortIdleLimit));
    repeatable_beside_a_stop(Case::new(REPEATABLE, LONG).beside(Beside::Stop));
    repeatable_in_another_region(Case::new(REPEATABLE, LONG).far());
    once_for_a_second(Case::new(ONCE, SHORT));
    once_for_two_seconds(Case::new(ONCE, LONG));
    once_beside_a_willing_target(Case::new(ONCE, LONG).neighbour(Neighbour::Willing));
    once_beside_a_longer_timeout(Case::new(ONCE, LONG).beside(Beside::LongerTimeout));
    once_beside_a_stop(Case::new(ONCE, LONG).beside(Beside::Stop));
    once_in_another_region(Case::new(ONCE, LONG).far());
    resumable_for_a_second(Case::new(RESUMABLE, SHORT));
    resumable_for_two_seconds(Case::new(RESUMABLE, LONG));
    resumable_beside_a_willing_target(Case::new(RESUMABLE, LONG).neighbour(Neighbour::Willing));
    resumable_beside_a_full_target(Case::new(RESUMABLE, LONG).neighbour(Neighbour::Full));
    resumable_beside_a_late_full_target(Case::new(RESUMABLE, LONG).neighbour(Neighbour::FullLate));
    resumable_beside_a_short_idle_limit(Case::new(RESUMABLE, LONG).beside(Beside::ShortIdleLimit));
    resumable_beside_a_longer_timeout(Case::new(RESUMABLE, LONG).beside(Beside::LongerTimeout));
    resumable_beside_other_weights(
        Case::new(RESUMABLE, LONG).neighbour(Neighbour::Full).beside(Beside::OtherWeights)
    );
    resumable_beside_a_hang_up(
        Case::new(RESUMABLE, LONG).neighbour(Neighbour::Full).beside(Beside::HangUp)
    );
    resumable_beside_a_stop(
        Case::new(RESUMABLE, LONG).neighbour(Neighbour::Full).beside(Beside::Stop)
    );
    resumable_in_another_region(Case::new(RESUMABLE, LONG).far());
    resumable_in_another_region_beside_a_full_target(
        Case::new(RESUMABLE, LONG).far().neighbour(Neighbour::Full)
    );
    resumable_beyond_two_seconds_beside_a_willing_target(
        Case::new(RESUMABLE, BEYOND).neighbour(Neighbour::Willing)
    );
    resumable_beyond_two_seconds_beside_a_full_target(
        Case::new(RESUMABLE, BEYOND).neighbour(Neighbour::Full).once_begun()
    );
    bound_stream_for_a_second(Case::new(BOUND, SHORT));
    bound_stream_for_two_seconds(Case::new(BOUND, LONG));
    bound_stream_beside_a_willing_target(Case::new(BOUND, LONG).neighbour(Neighbour::Willing));
    bound_stream_beside_other_weights(Case::new(BOUND, LONG).beside(Beside::OtherWeights));
    bound_stream_beside_a_hang_up(Case::new(BOUND, LONG).beside(Beside::HangUp));
    bound_stream_beside_a_stop(Case::new(BOUND, LONG).beside(Beside::Stop));
    bound_stream_in_another_region(Case::new(BOUND, LONG).far());
}
