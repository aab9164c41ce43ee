//! Instances of other regions whose answers to forwarded requests are given
//! frame by frame.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::memory_budget::MemoryBudget;
use chiverelay_decisions::memory_budget::Reservation;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::refusal::Refusal;
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
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use super::Node;
use super::Site;
use super::site::until;

/// Any free port.
const LOCAL: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Incarnation of the first processes.
const FIRST: u64 = 1;

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
    near: MemberRecord,
    shared: Arc<Shared>,
    records: Vec<MemberRecord>,
    stop: CancellationToken,
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
        let mut this = Self::new(read_record(site, near).await, scripts);
        for name in names {
            let process = NewProcess::new(&this.near, name);
            let record = this.serve(process, LOCAL, FIRST);
            this.records.push(record);
        }
        this.announce(site);
        this
    }

    fn new(near: MemberRecord, scripts: Vec<Script>) -> Self {
        let shared = Shared {
            scripts,
            forwards: Mutex::default(),
        };
        let stop = CancellationToken::new();
        Self {
            near,
            shared: Arc::new(shared),
            records: Vec::new(),
            stop: stop.clone(),
            _guard: stop.drop_guard(),
        }
    }

    /// Starts an instance of the region `south` that `near` has begun to connect
    /// to under the record of the process before. Its own record is known to
    /// `near` before it listens.
    pub async fn start_while_dialed(site: &Site, near: &Node, scripts: Vec<Script>) -> Self {
        let mut this = Self::new(read_record(site, "near").await, scripts);
        let port = UdpSocket::bind(LOCAL).await.expect("a free port");
        let address = port.local_addr().expect("an address");
        let process = NewProcess::new(&this.near, "far");
        this.records.push(process.record(address, FIRST));
        this.announce_former(site);
        port.recv(&mut [0; 1]).await.expect("a packet");
        this.announce(site);
        let certificate = process.certificates.digest();
        until("the record is known", async || {
            near.logged().contains(&certificate)
        })
        .await;
        drop(port);
        this.serve(process, address, FIRST);
        this
    }

    /// Starts another process of the first instance, at another address. The
    /// process before goes on.
    pub fn start_successor(&mut self, site: &Site) -> MemberRecord {
        let name = self.records[0].instance.clone();
        let process = NewProcess::new(&self.near, name.as_str());
        let record = self.serve(process, LOCAL, FIRST + 1);
        announce(site, &record);
        record
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

/// A process of an instance that doesn't listen yet.
struct NewProcess {
    identity: Identity,
    certificates: Certificates,
}

impl NewProcess {
    /// Makes a process that accepts the instance `near`.
    fn new(near: &MemberRecord, name: &str) -> Self {
        let pins = Pins::default();
        pins.set(&near.instance, &near.certificate);
        let identity = Identity {
            instance: name.into(),
            region: "south".into(),
        };
        Self {
            certificates: Certificates::generate(&identity, pins).expect("a certificate"),
            identity,
        }
    }

    fn record(&self, address: SocketAddr, incarnation: u64) -> MemberRecord {
        MemberRecord {
            instance: self.identity.instance.clone(),
            zone: "south-a".into(),
            region: self.identity.region.clone(),
            callers: address,
            siblings: address,
            certificate: self.certificates.digest(),
            incarnation,
            state: MemberState::Ready,
            capacity: 0,
        }
    }
}

impl ScriptedInstance {
    /// Serves a process, and returns its record.
    fn serve(&self, process: NewProcess, address: SocketAddr, incarnation: u64) -> MemberRecord {
        let endpoint = Endpoint::bind(address, &process.certificates).expect("an endpoint");
        let record = process.record(endpoint.address(), incarnation);
        let handler = InstanceHandler {
            name: record.instance.clone(),
            shared: Arc::clone(&self.shared),
        };
        tokio::spawn(endpoint.run(Arc::new(handler), self.stop.clone()));
        record
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

    fn reserve_forward(&self, _bytes: usize) -> Result<Reservation, Refusal> {
        Ok(MemoryBudget::new(0).empty_reservation())
    }

    async fn forward(
        &self,
        _from: &Identity,
        _stamp: Stamp,
        req: Forward,
        _memory: Reservation,
        mut tx: FrameSender,
    ) {
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
