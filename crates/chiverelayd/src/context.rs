//! What the parts of the daemon share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use chiverelay_decisions::event::EventRing;
use chiverelay_decisions::event::NewEvent;
use chiverelay_decisions::gateway::Tables;
use chiverelay_decisions::limits::quorum::LeaseVoter;
use chiverelay_decisions::memory_budget::MemoryBudget;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_decisions::tables::RecentSet;
use chiverelay_decisions::tables::ShardedMap;
use chiverelay_registry::Registry;
use chiverelay_sibling as sibling;
use chiverelay_store::Store;
use chiverelay_target::Client;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::clock::Clock;
use crate::keys::Running;
use crate::members::Addresses;
use crate::members::Member;
use crate::members::Membership;
use crate::metrics::Metrics;
use crate::operations::Operations;
use crate::publish::Published;
use crate::settings::Settings;
use crate::workers::Pool;

/// Forwarded requests that are told from replays.
const MAX_TAKEN: usize = 65_536;

/// Unfinished events of answers have one part in this number of the memory for
/// bodies, besides it.
const ANSWER_PARTS: u64 = 4;

/// Time for a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a call of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for a call of the registry.
const REGISTRY_TIMEOUT: Duration = Duration::from_secs(2);

/// What the parts of the daemon share.
///
/// # Invariants
///
/// `drain` is cancelled before `close`, that before `idle`, and that before
/// `stop`; `requests` counts every open request of callers and siblings, so
/// that `idle` comes after the last of them.
#[derive(Debug)]
pub(crate) struct Context {
    /// The settings.
    pub(crate) settings: Settings,
    /// The addresses that the instance listens on.
    pub(crate) addresses: Addresses,
    /// The clocks.
    pub(crate) clock: Clock,
    /// The tables that the workers share.
    pub(crate) tables: Arc<Tables>,
    /// What runs under each key.
    pub(crate) running: Arc<Running>,
    /// Requests taken from siblings, by who sent them.
    pub(crate) taken: RankedMutex<RecentSet<(Instance, RequestId)>>,
    /// The workers.
    pub(crate) pool: Pool,
    /// The newest events.
    pub(crate) events: EventRing,
    /// Counters.
    pub(crate) metrics: Metrics,
    /// Connections to targets.
    pub(crate) targets: Client,
    /// Memory for unfinished events of answers.
    pub(crate) answer_memory: MemoryBudget,
    /// Memory for the requests that siblings pass on.
    pub(crate) forward_memory: MemoryBudget,
    /// The store.
    pub(crate) store: Store,
    /// The endpoint for siblings.
    pub(crate) endpoint: sibling::Endpoint,
    /// Operations that run at most once.
    pub(crate) operations: Operations,
    /// The configuration's newest edition.
    pub(crate) published: Published,
    /// Whether this instance has had a word on the newest configuration from
    /// the store or a sibling; before it takes no work.
    pub(crate) synced: AtomicBool,
    /// Who the instances are and which of them live.
    pub(crate) membership: Membership,
    /// The platform's list of instances and directory for clients.
    pub(crate) registry: Option<Registry>,
    /// Cancelled when this instance first holds the shares that it should.
    pub(crate) holding: CancellationToken,
    /// Notified when a sibling of the region has handed its shares over.
    pub(crate) vacated: Notify,
    /// Cancelled when this instance has handed its shares over, or gave up.
    pub(crate) handed_over: CancellationToken,
    /// What this instance told holders of shares and reclaimers.
    pub(crate) witness: RankedMutex<LeaseVoter>,
    /// Links to siblings.
    pub(crate) links: ShardedMap<Instance, sibling::Link<sibling::Up>>,
    /// The other instances.
    pub(crate) members: ShardedMap<Instance, Member>,
    /// Cancelled when the instance leaves; requests are still taken.
    pub(crate) drain: CancellationToken,
    /// Cancelled when no new requests are taken.
    pub(crate) close: CancellationToken,
    /// Cancelled when open requests are cut, at the drain timeout.
    pub(crate) cut: CancellationToken,
    /// Cancelled when the last request has ended.
    pub(crate) idle: CancellationToken,
    /// Cancelled when the tasks are to end.
    pub(crate) stop: CancellationToken,
    /// Open requests.
    pub(crate) requests: TaskTracker,
}

impl Context {
    /// Starts the workers and opens the clients.
    pub(crate) fn new(
        settings: Settings,
        endpoint: sibling::Endpoint,
        addresses: Addresses,
    ) -> Result<Self, std::io::Error> {
        let tables = Arc::new(Tables {
            network: settings.network.network(&settings.zone),
            ..Tables::with_incarnation(rand::random())
        });
        let stop = CancellationToken::new();
        let pool = Pool::start(
            Arc::clone(&tables),
            settings.workers,
            settings.queue_depth,
            &stop,
        );
        let clock = Clock::new();
        let store = Store::new(
            settings.store.address,
            settings.store.budget(),
            STORE_TIMEOUT,
        );
        let operations = Operations::start(settings.instance.clone(), store.clone(), stop.clone());
        Ok(Self {
            clock,
            tables,
            running: Arc::new(Running::new()),
            taken: RankedMutex::new(LockRank::Tickets, RecentSet::new(MAX_TAKEN)),
            pool,
            events: EventRing::new(settings.instance.clone(), settings.events),
            metrics: Metrics::new(settings.metrics.as_ref())?,
            targets: Client::new(CONNECT_TIMEOUT),
            answer_memory: MemoryBudget::new(settings.caller.body_memory as u64 / ANSWER_PARTS),
            forward_memory: MemoryBudget::new(
                settings.caller.body_memory.max(sibling::MAX_FRAME) as u64
            ),
            store,
            operations,
            endpoint,
            published: Published::new(),
            synced: AtomicBool::new(false),
            membership: Membership::new(&settings, &addresses, clock.wall()),
            registry: settings
                .registry
                .as_ref()
                .map(|r| Registry::new(r.address, REGISTRY_TIMEOUT)),
            holding: CancellationToken::new(),
            vacated: Notify::new(),
            handed_over: CancellationToken::new(),
            witness: RankedMutex::new(LockRank::Members, LeaseVoter::new(clock.now())),
            links: ShardedMap::new(LockRank::Links),
            members: ShardedMap::new(LockRank::Members),
            drain: CancellationToken::new(),
            close: CancellationToken::new(),
            cut: CancellationToken::new(),
            idle: CancellationToken::new(),
            stop,
            requests: TaskTracker::new(),
            addresses,
            settings,
        })
    }

    /// Records what happened to a request.
    pub(crate) fn record(
        &self,
        request: &RequestId,
        account: Option<&Account>,
        step: Step,
        peer: Peer,
        what: impl Into<String>,
    ) {
        let entry = NewEvent {
            request: Some(request.clone()),
            account: account.cloned(),
            step,
            peer,
            what: what.into(),
        };
        self.events.record(self.clock.wall(), entry);
    }

    /// Records what happened to the instance.
    pub(crate) fn note(&self, step: Step, peer: Peer, what: impl Into<String>) {
        let entry = NewEvent {
            request: None,
            account: None,
            step,
            peer,
            what: what.into(),
        };
        self.events.record(self.clock.wall(), entry);
    }
}
