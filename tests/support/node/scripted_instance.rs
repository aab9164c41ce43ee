//! Instances of other regions whose answers to forwarded requests are given
//! frame by frame.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chiverelay_decisions::event::Stamp;
use chiverelay_gateway::MemberRecord;
use chiverelay_gateway::MemberState;
use chiverelay_platform::protocol::MEMBERS_PREFIX;
use chiverelay_platform::records::decode_member;
use chiverelay_platform::records::encode_member;
use chiverelay_sibling::Certificates;
use chiverelay_sibling::Endpoint;
use chiverelay_sibling::Envelope;
use chiverelay_sibling::Forward;
use chiverelay_sibling::Frame;
use chiverelay_sibling::FrameSender;
use chiverelay_sibling::Handler;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Message;
use chiverelay_sibling::Pins;
use chiverelay_sibling::Refused;
use chiverelay_sibling::VERSION;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use super::Site;
use super::site::until;

/// A step of an answer.
#[derive(Clone, Debug)]
pub enum Step {
    /// A frame is sent.
    Send(Frame),
    /// Nothing is sent for a while.
    Pause(Duration),
}

/// An answer. The stream of frames is closed after its last step.
pub type Script = Vec<Step>;

/// Instances of one region that share a script of answers, which they give in
/// turn. The last one is given again and again.
#[derive(Debug)]
pub struct ScriptedInstance {
    shared: Arc<Shared>,
    _guard: DropGuard,
}

#[derive(Debug)]
struct Shared {
    scripts: Vec<Script>,
    forwards: Mutex<Vec<Forward>>,
}

impl ScriptedInstance {
    /// Starts instances of the region `south` with these names and connects
    /// the instance `near` to them.
    pub async fn start(site: &Site, near: &str, names: &[&str], scripts: Vec<Script>) -> Self {
        let shared = Arc::new(Shared {
            scripts,
            forwards: Mutex::default(),
        });
        let stop = CancellationToken::new();
        for name in names {
            let record = serve(site, near, name, &shared, &stop);
            let value = encode_member(&record).expect("a record can be encoded");
            site.store
                .put_bytes(&format!("{MEMBERS_PREFIX}{name}"), &value);
        }
        Self {
            shared,
            _guard: stop.drop_guard(),
        }
    }

    /// Returns the requests that were forwarded to the instances.
    pub fn forwards(&self) -> Vec<Forward> {
        let forwards = self.shared.forwards.lock();
        forwards.expect("no panic under the lock").clone()
    }

    /// Waits until so many requests were forwarded to the instances.
    pub async fn until_forwards(&self, count: usize) {
        until("the requests are forwarded", async || {
            self.forwards().len() >= count
        })
        .await;
    }
}

/// Serves an instance, and returns its record.
fn serve(
    site: &Site,
    near: &str,
    name: &str,
    shared: &Arc<Shared>,
    stop: &CancellationToken,
) -> MemberRecord {
    let near = site.store.value(&format!("{MEMBERS_PREFIX}{near}"));
    let near = decode_member(&near.expect("the instance has a record"));
    let near = near.expect("a record that can be read");
    let pins = Pins::default();
    pins.set(&near.instance, &near.certificate);
    let identity = Identity {
        instance: name.into(),
        region: "south".into(),
    };
    let certificates = Certificates::generate(&identity, pins).expect("a certificate");
    let local: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let endpoint = Endpoint::bind(local, &certificates).expect("an endpoint");
    let address = endpoint.address();
    let running = endpoint.run(Arc::clone(shared), stop.clone());
    tokio::spawn(running);
    MemberRecord {
        instance: identity.instance,
        zone: "south-a".into(),
        region: identity.region,
        callers: address,
        siblings: address,
        certificate: certificates.digest(),
        incarnation: 1,
        state: MemberState::Ready,
    }
}

impl Handler for Shared {
    async fn control(&self, _from: &Identity, stamp: Stamp, _message: Message) -> Envelope {
        Envelope {
            version: VERSION,
            stamp,
            message: Message::Done,
        }
    }

    async fn forward(&self, _from: &Identity, _stamp: Stamp, req: Forward, mut tx: FrameSender) {
        let script = {
            let mut forwards = self.forwards.lock().expect("no panic under the lock");
            forwards.push(req);
            let n = forwards.len().min(self.scripts.len());
            &self.scripts[n - 1]
        };
        for step in script {
            let frame = match step {
                Step::Send(frame) => frame,
                Step::Pause(time) => {
                    tokio::time::sleep(*time).await;
                    continue;
                }
            };
            // The gateway may cancel the request at any time.
            if tx.send(frame).await.is_err() {
                return;
            }
        }
    }

    fn refused(&self, _reason: Refused) {}
}
