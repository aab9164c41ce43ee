//! Targets in trouble, which answer uploads before they have read them, or with a
//! status that HTTP doesn't have.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use support::node::After;
use support::node::EarlyEnd;
use support::node::EarlyTarget;
use support::node::Got;
use support::node::Scripted;
use support::node::ScriptedTarget;

use super::callers::Seen;
use super::record::Scope;
use super::targets::FIRST_TARGETS;
use super::world::Soak;

/// Size of an upload, in bytes: more than the kernel takes at once, so that an
/// early answer comes while it is being written.
pub(super) const UPLOAD_BYTES: usize = 7 * 1024 * 1024;

/// Time for which a target is in trouble, in ms.
const TROUBLE_MS: std::ops::Range<u64> = 500..2000;

/// Stamp of these targets.
const STAMP: &str = "stamp-in-trouble";

/// What they write of an answer.
const PART: &str = "part of an answer";

/// Stand-ins that take the place of one target.
#[derive(Debug)]
pub(super) struct Trouble {
    early: EarlyTarget,
    no_status: ScriptedTarget,
}

impl Trouble {
    pub(super) async fn start() -> Self {
        let head = format!("request-id: {{id}}\r\nserver-stamp: {STAMP}\r\nconnection: close\r\n");
        let early = format!("HTTP/1.1 200 OK\r\n{head}\r\n{PART}");
        let length = PART.len();
        let no_status = format!("HTTP/1.1 000 Odd\r\n{head}content-length: {length}\r\n\r\n{PART}");
        Self {
            early: EarlyTarget::start(&early, EarlyEnd::CloseThenReset).await,
            no_status: ScriptedTarget::start(vec![Scripted::new(&no_status, After::Close)]).await,
        }
    }

    /// Returns the ids of the requests that reached the stand-ins.
    pub(super) fn requests(&self) -> Vec<String> {
        let mut requests = self.early.requests();
        requests.extend(self.no_status.requests());
        requests
    }
}

/// Has one of the stand-ins take the place of a target.
pub(super) async fn strike(soak: &Soak, rng: &mut StdRng) {
    let at = rng.random_range(0..FIRST_TARGETS);
    let time = Duration::from_millis(rng.random_range(TROUBLE_MS));
    let is_early = rng.random();
    let target = &soak.targets[at];
    let Some(trouble) = &target.trouble else {
        return;
    };
    let Ok(_fault) = target.fault.try_lock() else {
        return;
    };
    let address: SocketAddr = match is_early {
        true => trouble.early.address,
        false => trouble.no_status.address,
    };
    let fault = soak.record.begin(Scope::Target(at));
    soak.write_address(at, Some(address));
    tokio::time::sleep(time).await;
    soak.write_address(at, None);
    soak.record.end(fault);
}

/// Tells whether a target in trouble wrote an answer.
pub(super) fn wrote(got: &Got) -> bool {
    got.header("server-stamp") == STAMP
}

/// Tells whether such an answer may be what its caller got. An upload is never
/// written to its end, so no answer to it is complete; to another request, the
/// end of the connection is the answer's.
pub(super) fn is_allowed(one: &Seen, got: &Got) -> bool {
    match got.whole {
        true => !one.is_upload && got.body == PART,
        false => PART.starts_with(&got.body),
    }
}
