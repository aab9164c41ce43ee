//! Answers callers: the pages of the instance itself.

use std::sync::Arc;

use chiverelay_caller::Handler;
use chiverelay_caller::Inbound;
use chiverelay_caller::Reply;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::tickets::Validity;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;

use crate::context::Context;
use crate::operations::TICKET_LIFE;
use crate::operations::TICKET_USE;

/// Operation tickets handed out with the list of instances.
const TICKETS: usize = 4;

/// Answers callers.
#[derive(Clone, Debug)]
pub(crate) struct Serve {
    pub(crate) cx: Arc<Context>,
}

impl Serve {
    /// Makes the handler.
    pub(crate) fn new(cx: Arc<Context>) -> Self {
        Self { cx }
    }

    fn instances(&self) -> Reply {
        let drains = self.cx.drain.is_cancelled();
        let mut list = Vec::new();
        if !drains {
            list.push(json!({
                "instance": self.cx.settings.instance,
                "address": self.cx.addresses.caller,
            }));
        }
        list.extend(self.list_siblings());
        // A draining instance may be gone before its tickets are used.
        let tickets = if drains { 0 } else { TICKETS };
        let now = self.cx.clock.now();
        let validity = Validity {
            use_by: now + TICKET_USE,
            expires: now + TICKET_LIFE,
        };
        let tickets: Vec<String> = (0..tickets)
            .map(|_| self.cx.operations.issue(validity).to_string())
            .collect();
        let body = json!({
            "ttl_ms": 5000,
            "instances": list,
            "tickets": tickets,
            "ticket_ttl_ms": TICKET_USE.as_millis() as u64,
        });
        Reply::json(StatusCode::OK, body.to_string().into_bytes())
    }

    /// Lists the other instances that take requests, those of this region first.
    fn list_siblings(&self) -> Vec<Value> {
        let own_region = &self.cx.settings.region;
        let mut ranked = Vec::new();
        self.cx.members.for_each(|name, m| {
            let region = self.cx.tables.siblings.with(name, |sibling| {
                let serving = sibling.filter(|sibling| sibling.serving);
                serving.map(|sibling| sibling.region.clone())
            });
            let entry = json!({"instance": name, "address": m.profile.caller});
            ranked.extend(region.map(|region| (region != *own_region, entry)));
        });
        ranked.sort_by_key(|(is_elsewhere, _)| *is_elsewhere);
        ranked.into_iter().map(|(_, entry)| entry).collect()
    }

    fn models(&self) -> Reply {
        let config = self.cx.tables.config.get();
        let data: Vec<_> = config
            .routes
            .values()
            .filter_map(|r| r.model.as_ref())
            .map(|m| json!({"id": m, "object": "model", "owned_by": "chiverelay"}))
            .collect();
        let body = json!({"object": "list", "data": data});
        Reply::json(StatusCode::OK, body.to_string().into_bytes())
    }

    fn ready(&self) -> Reply {
        if self.cx.drain.is_cancelled() || self.cx.tables.config.get().version == 0 {
            return Reply::json(StatusCode::SERVICE_UNAVAILABLE, b"{}".to_vec());
        }
        Reply::json(StatusCode::OK, b"{}".to_vec())
    }
}

impl Handler for Serve {
    async fn handle(&self, req: Inbound) -> Reply {
        match req.path.as_str() {
            "/healthz" => Reply::json(StatusCode::OK, b"{}".to_vec()),
            "/readyz" => self.ready(),
            "/v1/instances" => self.instances(),
            "/v1/models" => self.models(),
            _ => self.relayed(req).await,
        }
    }

    fn refused(&self, refusal: &Refusal) {
        self.cx.metrics.request();
        self.cx.metrics.refusal(refusal);
        let what = format!(
            "refused: {}, {}",
            refusal.code.as_str(),
            refusal.outcome.as_str()
        );
        self.cx.note(refusal.step, refusal.peer.clone(), what);
    }

    fn closed_slow(&self) {
        self.cx.metrics.slow_caller_closed();
    }
}
