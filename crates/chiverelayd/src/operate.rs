//! Answers operators.

use std::sync::Arc;

use chiverelay_decisions::config::KEY_PREFIX;
use chiverelay_decisions::config::KeyEntry;
use chiverelay_decisions::config::hex;
use chiverelay_decisions::config::token_matches;
use chiverelay_decisions::event::EventPage;
use chiverelay_decisions::names::KeyId;
use chiverelay_decisions::step::Peer;
use chiverelay_operator::Handler;
use chiverelay_operator::api::Apply;
use chiverelay_operator::api::Failure;
use chiverelay_operator::api::GrantKey;
use chiverelay_operator::api::GrantedKey;
use chiverelay_operator::api::InstanceStatus;
use chiverelay_operator::api::KeyInfo;
use chiverelay_operator::api::Status;
use chiverelay_operator::api::Versioned;
use rand::Rng;

use crate::context::Context;
use crate::keys;
use crate::publish;

/// Bytes of a key's public part.
const ID_BYTES: usize = 8;

/// Bytes of a key's secret and of its salt.
const SECRET_BYTES: usize = 24;

/// Answers operators.
#[derive(Debug)]
pub(crate) struct Operate {
    cx: Arc<Context>,
}

fn random<const N: usize>() -> String {
    let mut buf = [0; N];
    rand::rng().fill_bytes(&mut buf);
    hex(&buf)
}

impl Operate {
    /// Makes the handler.
    pub(crate) fn new(cx: Arc<Context>) -> Self {
        Self { cx }
    }

    fn own(&self) -> InstanceStatus {
        let cx = &self.cx;
        let state = if cx.drain.is_cancelled() {
            "draining"
        } else {
            "serving"
        };
        InstanceStatus {
            instance: cx.settings.instance.clone(),
            region: cx.settings.region.clone(),
            zone: cx.settings.zone.clone(),
            operator: cx.addresses.operator,
            state: state.to_owned(),
            config_version: cx.tables.config.get().version,
        }
    }
}

impl Operate {
    fn key_info(&self, id: &KeyId) -> KeyInfo {
        let config = self.cx.tables.config.get();
        let entry = config.keys.get(id);
        let withdrawn = self.cx.tables.withdrawn_keys.lock().contains(id);
        let stored = entry.is_some_and(|key| key.withdrawn);
        KeyInfo {
            id: id.clone(),
            account: entry.map(|key| key.account.clone()),
            withdrawn: withdrawn || stored,
            durable: entry.is_some() && (stored || !withdrawn),
        }
    }
}

impl Handler for Operate {
    fn authenticate(&self, token: Option<&str>) -> bool {
        let want = &self.cx.settings.operator.token_digest;
        token.is_some_and(|token| token_matches(token, want))
    }

    fn config(&self) -> Versioned {
        publish::versioned(&self.cx.tables.config.get())
    }

    async fn apply(&self, req: Apply) -> Result<Versioned, Failure> {
        let config = publish::change(&self.cx, |config| {
            if config.version != req.expected {
                return Err(Failure::Conflict {
                    current: Box::new(publish::versioned(config)),
                });
            }
            config.routes = req.document.routes;
            config.pools = req.document.pools;
            config.accounts = req.document.accounts;
            Ok(())
        })
        .await?;
        Ok(publish::versioned(&config))
    }

    fn keys(&self) -> Vec<KeyInfo> {
        let config = self.cx.tables.config.get();
        config.keys.keys().map(|id| self.key_info(id)).collect()
    }

    async fn grant(&self, req: GrantKey) -> Result<GrantedKey, Failure> {
        let id = KeyId::from(random::<ID_BYTES>());
        let secret = random::<SECRET_BYTES>();
        let entry = KeyEntry::new(req.account.clone(), &random::<SECRET_BYTES>(), &secret);
        let config = publish::change(&self.cx, |config| {
            if !config.accounts.contains_key(&req.account) {
                return Err(Failure::NotFound {
                    what: format!("account {}", req.account),
                });
            }
            config.keys.insert(id.clone(), entry);
            Ok(())
        })
        .await?;
        Ok(GrantedKey {
            key: format!("{KEY_PREFIX}{id}.{secret}"),
            id,
            version: config.version,
        })
    }

    async fn withdraw(&self, id: KeyId) -> Result<KeyInfo, Failure> {
        let not_found = || Failure::NotFound {
            what: format!("key {id}"),
        };
        if !keys::is_valid(&id) {
            return Err(not_found());
        }
        let ids = [id.clone()];
        keys::learn(&self.cx, ids.to_vec(), &Peer::Operator);
        keys::push(&self.cx, &ids);
        match keys::make_durable(&self.cx, &ids).await {
            Ok(()) => {}
            Err(Failure::NotFound { .. }) => return Err(not_found()),
            Err(e) => log::warn!("keys: {id}: accepted here, not durable yet: {e}"),
        }
        Ok(self.key_info(&id))
    }

    async fn status(&self) -> Status {
        let mut siblings = Vec::new();
        self.cx.members.for_each(|_, m| {
            siblings.push(InstanceStatus {
                instance: m.instance.clone(),
                region: m.profile.region.clone(),
                zone: m.profile.zone.clone(),
                operator: m.profile.operator,
                state: String::new(),
                config_version: m.config_version,
            });
        });
        for status in &mut siblings {
            let serving = self
                .cx
                .tables
                .siblings
                .with(&status.instance, |s| s.map(|s| s.serving));
            status.state = match serving {
                Some(true) => "serving",
                Some(false) => "draining",
                None => "unreachable",
            }
            .to_owned();
        }
        Status {
            own: self.own(),
            store: self.cx.store.gate().state().as_str().to_owned(),
            siblings,
            counters: self.cx.metrics.counters(),
        }
    }

    fn events(&self) -> EventPage {
        self.cx.events.page(|_| true)
    }

    fn drain(&self) {
        self.cx.drain.cancel();
    }

    fn refused(&self, reason: &'static str) {
        self.cx.metrics.operator_refused(reason);
    }
}
