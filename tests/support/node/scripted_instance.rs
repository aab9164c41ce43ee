//! Instances of other regions whose answers to forwarded requests are given
//! frame by frame.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::names::Instance;
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
    records: Vec<MemberRecord>,
    _guard: DropGuard,
}

#[derive(Debug)]
struct Shared {
    scripts: Vec<Script>,
    /// The requests, and the instances that they were forwarded to.
    forwards: Mutex<Vec<(Instance, Forward)>>,
}

/// One of the instances.
struct InstanceHandler {
    name: Instance,
    shared: Arc<Shared>,
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
        let near = read_record(site, near).await;
        let serve = |name: &&str| serve(&near, name, &shared, &stop);
        let records: Vec<MemberRecord> = names.iter().map(serve).collect();
        records.iter().for_each(|record| announce(site, record));
        Self {
            shared,
            records,
            _guard: stop.drop_guard(),
        }
    }

    /// Writes the record of the instance that was asked last as after a restart
    /// of its process. The connection to the process before stays open.
    pub fn announce_restart(&self, site: &Site) {
        let forwards = self.shared.forwards.lock();
        let forwards = forwards.expect("no panic under the lock");
        let (asked, _) = forwards.last().expect("an instance was asked");
        let mut records = self.records.iter();
        let record = records.find(|record| record.instance == *asked);
        let mut record = record.expect("it has a record").clone();
        record.incarnation += 1;
        announce(site, &record);
    }

    /// Writes the records of the instances.
    pub fn announce(&self, site: &Site) {
        self.records
            .iter()
            .for_each(|record| announce(site, record));
    }

    /// Writes the records of the processes that had the instances' names before
    /// these.
    pub fn announce_former(&self, site: &Site) {
        for record in &self.records {
            let former = MemberRecord {
                certificate: "0".repeat(record.certificate.len()),
                incarnation: 0,
                ..record.clone()
            };
            announce(site, &former);
        }
    }

    /// Returns the requests that were forwarded to the instances.
    pub fn forwards(&self) -> Vec<Forward> {
        let forwards = self.shared.forwards.lock();
        let forwards = forwards.expect("no panic under the lock");
        forwards.iter().map(|(_, req)| req.clone()).collect()
    }

    /// Waits until so many requests were forwarded to the instances.
    pub async fn until_forwards(&self, count: usize) {
        until("the requests are forwarded", async || {
            self.forwards().len() >= count
        })
        .await;
    }
}

/// Returns the record of an instance, which it writes while it starts.
async fn read_record(site: &Site, name: &str) -> MemberRecord {
    let key = format!("{MEMBERS_PREFIX}{name}");
    until("the instance has a record", async || {
        site.store.value(&key).is_some()
    })
    .await;
    let value = site.store.value(&key).expect("it is there");
    decode_member(&value).expect("a record that can be read")
}

fn announce(site: &Site, record: &MemberRecord) {
    let key = format!("{MEMBERS_PREFIX}{}", record.instance);
    let value = encode_member(record).expect("a record can be encoded");
    site.store.put_bytes(&key, &value);
}

/// Serves an instance, and returns its record.
fn serve(
    near: &MemberRecord,
    name: &str,
    shared: &Arc<Shared>,
    stop: &CancellationToken,
) -> MemberRecord {
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
    let handler = InstanceHandler {
        name: identity.instance.clone(),
        shared: Arc::clone(shared),
    };
    tokio::spawn(endpoint.run(Arc::new(handler), stop.clone()));
    MemberRecord {
        instance: identity.instance,
        zone: "south-a".into(),
        region: identity.region,
        callers: address,
        siblings: address,
        certificate: certificates.digest(),
        incarnation: 1,
        state: MemberState::Ready,
        capacity: 0,
    }
}

impl Handler for InstanceHandler {
    async fn control(&self, _from: &Identity, stamp: Stamp, _message: Message) -> Envelope {
        Envelope {
            version: VERSION,
            stamp,
            message: Message::Done,
        }
    }

    async fn forward(&self, _from: &Identity, _stamp: Stamp, req: Forward, mut tx: FrameSender) {
        let script = {
            let forwards = self.shared.forwards.lock();
            let mut forwards = forwards.expect("no panic under the lock");
            forwards.push((self.name.clone(), req));
            let scripts = &self.shared.scripts;
            &scripts[forwards.len().min(scripts.len()) - 1]
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
