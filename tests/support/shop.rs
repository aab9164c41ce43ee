//! A site with one service, and a caller of deposits that may run only once.

use std::net::SocketAddr;
use std::sync::Arc;

use chiverelay_standin::faults::Faults;
use chiverelay_standin::service::Service;
use serde_json::Value;
use serde_json::json;

use crate::caller;
use crate::caller::Answer;
use crate::site::Site;
use crate::site::document;
use crate::site::eventually;

/// How the caller marks its attempts at one deposit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mark {
    /// Not at all.
    None,
    /// With a ticket.
    Ticket,
    /// With an idempotency key of its own.
    Key,
}

/// A site with one service, and a caller of deposits.
#[derive(Debug)]
pub struct Shop {
    /// The daemons.
    pub site: Site,
    /// The service.
    pub service: Arc<Service>,
    /// The caller's key.
    pub key: String,
    /// The mark of its attempts.
    pub header: Option<(&'static str, String)>,
}

impl Shop {
    /// Starts daemons and a service in `region`, which the deposits go to.
    pub async fn open(daemons: &[(&str, &str)], region: &str) -> Self {
        Self::at(Site::start(daemons).await, region).await
    }

    /// Starts a service in `region` for the daemons of a site.
    pub async fn at(site: Site, region: &str) -> Self {
        let (service, address) = site.service().await;
        let shop = Self {
            service,
            key: String::new(),
            header: None,
            site,
        };
        shop.configure(address, region).await;
        let key = shop.site.grant("lima-1", "encargos").await.key;
        Self { key, ..shop }
    }

    /// Puts a configuration with the service's address in force.
    pub async fn configure(&self, address: SocketAddr, region: &str) {
        let mut doc = document(&[], &[("orders-1", address, region)]);
        doc["routes"]["deposits"]["deadline-ms"] = json!(4000);
        self.site.apply("lima-1", doc).await;
    }

    /// Takes a mark for the deposit; a ticket from `issuer`.
    pub async fn mark(&mut self, mark: Mark, issuer: &str) {
        self.header = match mark {
            Mark::None => None,
            Mark::Key => Some(("idempotency-key", "deposit-1".to_owned())),
            Mark::Ticket => {
                let list = caller::get(self.site.daemon(issuer).caller, "/v1/instances")
                    .await
                    .expect("a list of instances");
                let ticket = list.json()["tickets"][0]
                    .as_str()
                    .expect("a ticket")
                    .to_owned();
                Some(("x-operation-ticket", ticket))
            }
        };
    }

    /// Sends the deposit and checks the answer against the runs.
    pub async fn deposit(&self, instance: &str) -> Result<Answer, String> {
        self.deposit_of(instance, json!({"order": 1})).await
    }

    /// Sends a deposit with this body.
    pub async fn deposit_of(&self, instance: &str, body: Value) -> Result<Answer, String> {
        let headers: Vec<(&str, &str)> =
            self.header.iter().map(|(k, v)| (*k, v.as_str())).collect();
        let address = self.site.daemon(instance).caller;
        let answer = caller::post_with(address, "/deposits", &self.key, &headers, &body).await;
        if let Ok(answer) = &answer
            && answer.refusal().1 == "not_run"
        {
            assert_eq!(self.runs(), 0, "said not run: {}", answer.text());
        }
        assert!(self.runs() <= 1, "ran twice");
        answer
    }

    /// Counts the deposits that ran.
    pub fn runs(&self) -> u64 {
        self.service.runs().values().sum()
    }

    /// Deposits at both instances again until one runs it or knows that it ran.
    pub async fn retry(&self) {
        for instance in ["lima-1", "lima-2", "lima-1"] {
            self.deposit(instance).await.expect("an answer");
        }
    }

    /// Deposits until the refusal has a code; each one says "unknown".
    pub async fn until_refused(&self, instance: &str, code: &str) {
        eventually("the refusal", async || {
            let answer = self.deposit(instance).await.expect("an answer");
            assert_eq!(answer.refusal().1, "unknown", "{}", answer.text());
            answer.refusal().0 == code
        })
        .await;
    }

    /// Sets the faults of the service.
    pub fn set(&self, faults: Faults) {
        self.service.script.set(faults);
    }
}
