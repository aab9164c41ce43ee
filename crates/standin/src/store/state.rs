//! What the store holds, and how calls change it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use chiverelay_store::api;

use super::Counts;

/// The state.
///
/// # Invariants
///
/// `history` holds the changes after `compacted` in the order of their
/// revisions.
#[derive(Clone, Debug, Default)]
pub(super) struct Inner {
    pub(super) revision: i64,
    pub(super) compacted: i64,
    pub(super) keys: BTreeMap<Vec<u8>, Value>,
    pub(super) history: Vec<Change>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    pub(super) counts: Counts,
    /// How often the state was replaced by an older copy.
    pub(super) restores: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Change {
    revision: i64,
    key: Vec<u8>,
    value: Option<Value>,
}

impl Change {
    fn event(&self) -> api::WatchEvent {
        let value = self.value.clone().unwrap_or(Value {
            data: String::new(),
            revision: self.revision,
            lease: 0,
        });
        api::WatchEvent {
            kind: match self.value {
                Some(_) => "PUT".to_owned(),
                None => "DELETE".to_owned(),
            },
            kv: value.key_value(&self.key),
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Value {
    pub(super) data: String,
    pub(super) revision: i64,
    pub(super) lease: i64,
}

#[derive(Clone, Debug)]
pub(super) struct Lease {
    ttl: Duration,
    until: Instant,
}

impl Value {
    fn key_value(&self, key: &[u8]) -> api::KeyValue {
        api::KeyValue {
            key: api::encode(key),
            value: self.data.clone(),
            mod_revision: self.revision.to_string(),
            lease: self.lease.to_string(),
        }
    }
}

/// The keys of a request.
#[derive(Clone, Debug)]
pub(super) struct Range {
    key: Vec<u8>,
    end: Vec<u8>,
}

impl Range {
    pub(super) fn read(key: &str, end: &str) -> Self {
        Self {
            key: api::decode(key).unwrap_or_default(),
            end: api::decode(end).unwrap_or_default(),
        }
    }

    pub(super) fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.key,
            [0] => key >= self.key.as_slice(),
            end => key >= self.key.as_slice() && key < end,
        }
    }
}

impl Inner {
    pub(super) fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| lease.until > now);
        let gone: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, v)| v.lease != 0 && !self.leases.contains_key(&v.lease))
            .map(|(k, _)| k.clone())
            .collect();
        if gone.is_empty() {
            return;
        }
        self.revision += 1;
        for key in gone {
            self.set(key, None);
        }
    }

    pub(super) fn set(&mut self, key: Vec<u8>, value: Option<Value>) {
        match &value {
            Some(value) => {
                self.keys.insert(key.clone(), value.clone());
            }
            None => {
                self.keys.remove(&key);
            }
        }
        self.history.push(Change {
            revision: self.revision,
            key,
            value,
        });
    }

    pub(super) fn compact(&mut self, revision: i64) {
        self.compacted = self.compacted.max(revision);
        self.history.retain(|c| c.revision > revision);
    }

    /// Lists the keys changed after a revision.
    pub(super) fn changed_since(&self, revision: i64) -> Vec<String> {
        let changes = self.history.iter().filter(|c| c.revision > revision);
        changes
            .map(|c| String::from_utf8_lossy(&c.key).into_owned())
            .collect()
    }

    pub(super) fn events(&self, range: &Range, from: i64) -> Vec<api::WatchEvent> {
        self.history
            .iter()
            .filter(|c| c.revision >= from && range.contains(&c.key))
            .map(Change::event)
            .collect()
    }

    pub(super) fn range(&self, req: &api::RangeRequest) -> api::RangeResponse {
        let range = Range::read(&req.key, &req.range_end);
        let kvs = self
            .keys
            .iter()
            .filter(|(k, _)| range.contains(k))
            .map(|(k, v)| v.key_value(k))
            .map(|kv| match req.keys_only {
                true => api::KeyValue {
                    value: String::new(),
                    ..kv
                },
                false => kv,
            })
            .collect();
        api::RangeResponse {
            header: self.header(),
            kvs,
        }
    }

    pub(super) fn header(&self) -> api::Header {
        api::Header {
            revision: self.revision.to_string(),
        }
    }

    fn holds(&self, compare: &api::Compare) -> bool {
        let key = api::decode(&compare.key).unwrap_or_default();
        let found = self.keys.get(&key);
        match (
            compare.target.as_str(),
            &compare.mod_revision,
            &compare.value,
        ) {
            ("MOD", Some(revision), None) => {
                revision.parse() == Ok(found.map_or(0, |v| v.revision))
            }
            ("VALUE", None, Some(value)) => found.is_some_and(|v| v.data == *value),
            _ => false,
        }
    }

    fn run(&mut self, op: &api::RequestOp) -> api::ResponseOp {
        let mut resp = api::ResponseOp::default();
        if let Some(put) = &op.request_put {
            let value = Value {
                data: put.value.clone(),
                revision: self.revision,
                lease: put.lease.parse().unwrap_or(0),
            };
            self.set(api::decode(&put.key).unwrap_or_default(), Some(value));
        }
        if let Some(delete) = &op.request_delete_range {
            let key = api::decode(&delete.key).unwrap_or_default();
            if self.keys.contains_key(&key) {
                self.set(key, None);
            }
        }
        if let Some(range) = &op.request_range {
            resp.response_range = Some(self.range(range));
        }
        resp
    }

    pub(super) fn txn(&mut self, req: &api::TxnRequest) -> api::TxnResponse {
        let succeeded = req.compare.iter().all(|c| self.holds(c));
        let ops = if succeeded {
            self.revision += 1;
            &req.success
        } else {
            &req.failure
        };
        let responses = ops.iter().map(|op| self.run(op)).collect();
        api::TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    pub(super) fn grant(
        &mut self,
        req: &api::LeaseGrantRequest,
        now: Instant,
    ) -> api::LeaseGrantResponse {
        let ttl = Duration::from_secs(req.ttl.parse().unwrap_or(1));
        self.next_lease += 1;
        let lease = Lease {
            ttl,
            until: now + ttl,
        };
        self.leases.insert(self.next_lease, lease);
        api::LeaseGrantResponse {
            id: self.next_lease.to_string(),
            ttl: ttl.as_secs().to_string(),
        }
    }

    pub(super) fn renew(
        &mut self,
        req: &api::LeaseRequest,
        now: Instant,
    ) -> api::LeaseKeepAliveResponse {
        let ttl = match self.leases.get_mut(&req.id.parse().unwrap_or(0)) {
            Some(lease) => {
                lease.until = now + lease.ttl;
                lease.ttl.as_secs()
            }
            None => 0,
        };
        api::LeaseKeepAliveResponse {
            result: api::LeaseGrantResponse {
                id: req.id.clone(),
                ttl: ttl.to_string(),
            },
        }
    }

    pub(super) fn revoke(&mut self, req: &api::LeaseRequest) {
        self.leases.remove(&req.id.parse().unwrap_or(0));
    }
}
