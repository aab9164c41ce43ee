//! Holds requests to the regions that the catalog in force allows, beside those
//! that the catalog allowed by which they were admitted.

use std::time::Duration;

use chiverelay_decisions::catalog::MatchedRoute;
use chiverelay_decisions::config::Residency;
use chiverelay_decisions::fleet::KnownTarget;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Grant;
use chiverelay_decisions::request::HasGrant;
use chiverelay_decisions::request::Placed;
use chiverelay_decisions::request::PlacedRemote;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;

use crate::Dialect;
use crate::Gateway;
use crate::place::PlacementContext;

/// Where a request is about to be sent.
struct Destination<'a> {
    peer: Peer,
    region: &'a Region,
    /// Time since the record of the target was read; `None` for an instance.
    record_age: Option<Duration>,
}

/// Who sent a request to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sender {
    /// The caller itself.
    Caller,
    /// Another instance, which forwarded it.
    Instance,
}

impl Sender {
    /// Returns the name in metrics and log lines.
    fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Instance => "instance",
        }
    }
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Counts and logs a request that arrived in a region where it may not run.
    pub(crate) fn note_barred_request(
        &self,
        id: &RequestId,
        matched: &MatchedRoute,
        version: u64,
        sender: Sender,
    ) {
        self.metrics.count_barred_request(sender.as_str());
        if !self.log_rate_limit.should_log(self.clock.now()) {
            return;
        }
        let account = matched.account.as_ref();
        log::info!(
            target: "request",
            id = id.as_str(),
            route = matched.route.name.as_str(),
            account = account.map_or("", |account| account.name.as_str()),
            regions:% = matched.route.residency,
            from = sender.as_str(),
            catalog = version;
            "request arrived in a region where it may not run"
        );
    }

    /// Returns the regions that the catalog in force allows to a request that
    /// was admitted before.
    pub(crate) fn residency_in_force(&self, grant: &Grant, cx: &PlacementContext) -> Residency {
        let current = self.tables.current_catalog();
        current.map_or_else(Residency::anywhere, |current| {
            let (host, path) = (&cx.route.host, &cx.path);
            let account = grant.account.as_ref();
            let catalog = &current.catalog;
            catalog.residency_of_request(host, path, &grant.route, account)
        })
    }

    /// Returns the regions in which a request may run by both the catalog that
    /// admitted it and the one in force.
    pub(crate) fn residency_now<S, O>(
        &self,
        req: &Request<S, O>,
        cx: &PlacementContext,
    ) -> Residency
    where
        S: HasGrant,
    {
        let grant = req.grant();
        grant.residency.and(&self.residency_in_force(grant, cx))
    }

    /// Tells whether a placed request may still go to its target, as another
    /// catalog may have come into force since the choice.
    pub(crate) fn check_target_region<O>(
        &self,
        req: &Request<Placed, O>,
        cx: &PlacementContext,
        known: &KnownTarget,
    ) -> bool {
        let destination = Destination {
            peer: Peer::Target(req.target().clone()),
            region: &known.record.region,
            record_age: Some(self.clock.now().saturating_sub(known.read_at)),
        };
        self.check_region(req, cx, &destination, "target")
    }

    /// Tells whether a request may still be forwarded to its instance.
    pub(crate) fn check_instance_region(
        &self,
        req: &Request<PlacedRemote, Direct>,
        cx: &PlacementContext,
    ) -> bool {
        let destination = Destination {
            peer: Peer::Sibling(req.instance().clone()),
            region: req.region(),
            record_age: None,
        };
        self.check_region(req, cx, &destination, "instance")
    }

    fn check_region<S, O>(
        &self,
        req: &Request<S, O>,
        cx: &PlacementContext,
        to: &Destination<'_>,
        label: &'static str,
    ) -> bool
    where
        S: HasGrant,
    {
        let grant = req.grant();
        let current = self.residency_in_force(grant, cx);
        if req.may_go_to(to.region, &current) {
            return true;
        }
        self.metrics.count_region_conflict(label);
        let in_force = self.tables.current_catalog();
        log::warn!(
            target: "place",
            id = req.meta().id.as_str(),
            route = grant.route.as_str(),
            account = grant.account.as_ref().map_or("", Account::as_str),
            peer:% = to.peer,
            region = to.region.as_str(),
            regions:% = grant.residency,
            regions_now:% = current,
            catalog = cx.catalog_version,
            catalog_now = in_force.map_or(0, |current| current.catalog.version),
            record_age_ms = to.record_age.map(|age| age.as_millis() as u64);
            "region is not allowed by the catalog in force"
        );
        false
    }
}
