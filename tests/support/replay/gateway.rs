//! An instance of the gateway in a replay: its tables and its decisions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use chiverelay_decisions::Config;
use chiverelay_decisions::Refusal;
use chiverelay_decisions::Request;
use chiverelay_decisions::config::Residency;
use chiverelay_decisions::gateway;
use chiverelay_decisions::gateway::ForwardedPlacement;
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
use chiverelay_decisions::placement::Objective;
use chiverelay_decisions::placement::PoolSummary;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Forwarded;
use chiverelay_decisions::request::Grant;
use chiverelay_decisions::request::Placed;
use chiverelay_decisions::request::RequestMeta;
use serde_json::json;

use super::engine::CacheEvent;
use super::engine::PREFILL_RATE;
use super::engine::SLOTS;
use super::measure::DEADLINE;
use super::run::Action;
use super::run::Held;
use super::run::INSTANCES;
use super::trace::ACCOUNTS;
use super::trace::Ask;
use super::trace::User;

/// A sibling that was not heard for so long takes no new work.
const SILENCE: Duration = Duration::from_secs(3);

type Woken = Arc<Mutex<Vec<usize>>>;

/// An instance with its own view of the site.
pub(super) struct Gateway {
    pub(super) region: usize,
    tables: Tables,
    here: Region,
    names: Vec<&'static str>,
    woken: Woken,
}

fn config(user: User, weights: Objective, names: &[Target], regions: &[usize]) -> Config {
    let targets: BTreeMap<&str, serde_json::Value> = names
        .iter()
        .zip(regions)
        .map(|(name, region)| {
            let region = user.regions()[*region].0;
            let target = json!({"address": "127.0.0.1:1", "region": region, "zone": region});
            (name.as_str(), target)
        })
        .collect();
    let accounts: Vec<String> = (0..ACCOUNTS).map(|a| a.to_string()).collect();
    let limit = json!({"rate": 1, "burst": 1});
    let limits: BTreeMap<&str, &serde_json::Value> =
        accounts.iter().map(|a| (a.as_str(), &limit)).collect();
    serde_json::from_value(json!({
        "version": 1,
        "accounts": limits,
        "routes": {"chat": {"path": "/", "pool": "engines", "accounts": accounts}},
        "pools": {"engines": {
            "kind": "engine", "targets": targets,
            "slots": SLOTS, "prefill-rate": PREFILL_RATE, "weights": weights,
        }},
    }))
    .expect("a configuration")
}

fn number(target: &Target) -> usize {
    let digits = target.as_str().trim_start_matches("engine-");
    digits.parse().expect("the number of an engine")
}

impl Gateway {
    pub(super) fn new(
        user: User,
        weights: Objective,
        index: usize,
        names: &[Target],
        regions: &[usize],
        woken: &Woken,
    ) -> Self {
        let region = index / INSTANCES;
        let tables = Tables {
            network: Network {
                default_link: LinkSpec {
                    mbits: user.link_mbits(),
                    ..LinkSpec::default()
                },
                ..Network::default()
            },
            ..Tables::new()
        };
        tables
            .config
            .replace_if_newer(Arc::new(config(user, weights, names, regions)));
        Self {
            region,
            tables,
            here: user.regions()[region].0.into(),
            names: user.regions().iter().map(|r| r.0).collect(),
            woken: Arc::clone(woken),
        }
    }

    fn head(ask: &Ask, id: usize) -> RequestMeta {
        RequestMeta {
            received: Duration::ZERO,
            id: id.to_string().into(),
            deadline: ask.at + DEADLINE,
            model: None,
            prompt_tokens: ask.prompt,
            max_answer_tokens: Some(ask.answer),
            prefix: ask.chain.clone(),
        }
    }

    fn grant(ask: &Ask) -> Grant {
        Grant {
            account: Some(ask.account.to_string().into()),
            route: "chat".into(),
            pool: "engines".into(),
            residency: Residency::anywhere(),
            repeatable: true,
            charged_tokens: ask.prompt + ask.answer,
            receipt: None,
        }
    }

    /// Places a caller's request that is new, was woken or failed.
    pub(super) fn place(&self, ask: &Ask, id: usize, held: Held, now: Duration) -> Action {
        match held {
            Held::Nothing => {
                let req = Request::from_caller(Self::head(ask, id)).admit(Self::grant(ask));
                self.place_direct(req, QueueStatus::New, id, now)
            }
            Held::Waiting(req) => self.place_direct(req, QueueStatus::Woken, id, now),
            Held::WaitingForwarded(req) => self.place_forwarded(req, QueueStatus::Woken, id, now),
            Held::Sent(req) => match req.retry() {
                Ok(req) => self.place_direct(req, QueueStatus::New, id, now),
                Err(_) => Action::Refuse,
            },
            Held::SentForwarded(req) => match req.retry() {
                Ok(req) => self.place_forwarded(req, QueueStatus::New, id, now),
                Err(_) => Action::Refuse,
            },
        }
    }

    /// Takes a request that a sibling passed on.
    pub(super) fn take_forwarded(&self, ask: &Ask, id: usize, now: Duration) -> Action {
        let req = Request::from_sibling(Self::head(ask, id)).admit(Self::grant(ask));
        self.place_forwarded(req, QueueStatus::New, id, now)
    }

    fn waker(&self, id: usize) -> QueueWaker {
        let woken = Arc::clone(&self.woken);
        QueueWaker::new(move || {
            woken
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(id);
            true
        })
    }

    fn place_direct(
        &self,
        req: Request<Admitted, Direct>,
        turn: QueueStatus,
        id: usize,
        now: Duration,
    ) -> Action {
        let placement = gateway::place(&self.tables, req, &self.here, turn, now);
        self.act(placement, id, now)
    }

    fn act(&self, placement: Result<Placement, Refusal>, id: usize, now: Duration) -> Action {
        match placement {
            Ok(Placement::Local(req)) => self.send(req, Held::Sent),
            Ok(Placement::Remote(req)) => {
                let to = req.instance().as_str().parse();
                let to = to.expect("the number of an instance");
                Action::PassOn(to, Held::Sent(req.dispatch()))
            }
            Ok(Placement::Wait(req)) => {
                match gateway::enqueue(&self.tables, req, self.waker(id), now) {
                    Ok(req) => Action::Wait(Held::Waiting(req)),
                    Err(_) => Action::Refuse,
                }
            }
            Err(_) => Action::Refuse,
        }
    }

    fn send<O, F>(&self, req: Request<Placed, O>, held: F) -> Action
    where
        F: FnOnce(Request<chiverelay_decisions::request::Dispatched, O>) -> Held,
    {
        Action::Send(number(req.target()), held(req.dispatch()))
    }

    fn place_forwarded(
        &self,
        req: Request<Admitted, Forwarded>,
        turn: QueueStatus,
        id: usize,
        now: Duration,
    ) -> Action {
        match gateway::place_forwarded(&self.tables, req, &self.here, turn, now) {
            Ok(ForwardedPlacement::Local(req)) => self.send(req, Held::SentForwarded),
            Ok(ForwardedPlacement::Wait(req)) => {
                match gateway::enqueue(&self.tables, req, self.waker(id), now) {
                    Ok(req) => Action::Wait(Held::WaitingForwarded(req)),
                    Err(_) => Action::Refuse,
                }
            }
            Err(_) => Action::Refuse,
        }
    }

    pub(super) fn start(&self, target: &Target) {
        gateway::request_started(&self.tables, target);
    }

    pub(super) fn finish(&self, target: &Target) {
        gateway::request_finished(&self.tables, target);
    }

    pub(super) fn succeed(&self, target: &Target, now: Duration) {
        gateway::record_success(&self.tables, target, now);
    }

    pub(super) fn fail(&self, target: &Target, unreachable: bool, now: Duration) {
        match unreachable {
            true => gateway::mark_unreachable(&self.tables, target, now),
            false => gateway::record_failure(&self.tables, target, now),
        }
    }

    pub(super) fn hear(
        &self,
        target: &Target,
        report: LoadReport,
        events: &[CacheEvent],
        now: Duration,
    ) {
        gateway::apply_load_report(&self.tables, target, report, now);
        for e in events {
            // A gap drops the view, as it does in a daemon.
            let _ =
                gateway::apply_cache_event(&self.tables, target, e.sequence, &e.stored, &e.removed);
        }
        self.pump(now);
    }

    pub(super) fn pump(&self, now: Duration) {
        gateway::wake_waiting(&self.tables, &self.here, now);
    }

    pub(super) fn summaries(&self, now: Duration) -> Vec<PoolSummary> {
        gateway::pool_summaries(&self.tables, &self.here, now)
    }

    pub(super) fn hear_sibling(&self, index: usize, summaries: Vec<PoolSummary>, now: Duration) {
        let sibling = Sibling {
            region: self.names[index / INSTANCES].into(),
            last_heard: now,
            serving: true,
            summaries,
        };
        self.tables
            .siblings
            .insert(index.to_string().into(), sibling);
    }

    pub(super) fn forget_silent(&self, now: Duration) {
        self.tables
            .siblings
            .retain(|_, s| s.last_heard + SILENCE > now);
    }
}
