//! The gateway of an instance: construction, updates from the store, readiness
//! and shutdown.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chiverelay_caller::Connections;
use chiverelay_decisions::admission::Shares;
use chiverelay_decisions::catalog::CatalogChange;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::registration::Standing;
use chiverelay_decisions::revision::StoreRevision;
use chiverelay_decisions::streams;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_decisions::window::Divisor;
use chiverelay_sibling::Certificates;
use chiverelay_sibling::Endpoint;
use chiverelay_sibling::Error;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Pins;
use chiverelay_target::connection_pool::ConnectionPool;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Clock;
use crate::Dialect;
use crate::GaugeValues;
use crate::MemberRecord;
use crate::MemberState;
use crate::Metrics;
use crate::Settings;
use crate::StoreUpdate;
use crate::crash_check::PendingLosses;
use crate::fleet_copy;
use crate::links::Links;
use crate::log_rate_limit::LogRateLimit;
use crate::log_writer::LineCounts;
use crate::members::Members;
use crate::memory;
use crate::memory::RequestMemory;
use crate::rate_limiter::RateLimiter;
use crate::reach;
use crate::reach::SharedReach;
use crate::report::Upstream;
use crate::reporters::Reporters;
use crate::resources::LimitReports;
use crate::shutdown::Shutdown;
use crate::sibling_handler::SiblingHandler;
use crate::status;
use crate::store_lag::SharedStoreLag;
use crate::streams::MAX_ASKS;
use crate::streams::SharedMarkReads;
use crate::supervise;
use crate::tables::SharedTables;
use crate::topology::Topology;

/// Time after the start of the process in which the instances that started at
/// the same time become known.
const HUBS_SETTLING_TIME: Duration = Duration::from_millis(1500);

/// Time after the start of the process from which on the instance becomes ready
/// without having heard of the others.
const MAX_HUB_WAIT: Duration = Duration::from_secs(3);

/// Time limit for connecting to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The request path of an instance, with the state that its requests share.
///
/// # Invariants
///
/// `stop` is cancelled after the last of `open_requests` has ended, or when
/// the time for a graceful shutdown is over. The caller of [`Gateway::stop`]
/// ensures this by first waiting for [`Gateway::wait_for_open_requests`].
#[derive(Debug)]
pub struct Gateway<D> {
    pub(crate) settings: Settings,
    pub(crate) dialect: D,
    pub(crate) clock: Clock,
    pub(crate) tables: SharedTables,
    pub(crate) store_lag: SharedStoreLag,
    /// Bounds how many streams others are asked about at once.
    pub(crate) stream_asks: Semaphore,
    /// Reads of the marks that lookups of streams wait for.
    pub(crate) mark_reads: SharedMarkReads,
    /// Notified when the software of a pool's targets or its marks change.
    pub(crate) software_changed: Notify,
    /// Notified when software is marked.
    pub(crate) software_marked: Notify,
    /// Notified when another catalog is in force.
    pub(crate) catalog_changed: Notify,
    pub(crate) rate_limiter: RateLimiter,
    pub(crate) members: Members,
    pub(crate) links: Links,
    /// This instance's place among the others.
    pub(crate) topology: RankedMutex<Arc<Topology>>,
    /// The instances that report to this one.
    pub(crate) reporters: Reporters,
    /// The hub that this instance reports to.
    pub(crate) upstream: RankedMutex<Upstream>,
    pub(crate) connections: ConnectionPool,
    pub(crate) caller_connections: Arc<Connections>,
    /// What this instance may take on.
    pub(crate) shares: Shares,
    pub(crate) pending_losses: PendingLosses,
    /// Whether the targets of the region are reached.
    pub(crate) reach: SharedReach,
    /// Notified when the other instances have to be told something at once.
    pub(crate) status_due: Notify,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) memory: RequestMemory,
    pub(crate) log_rate_limit: LogRateLimit,
    pub(crate) limit_reports: LimitReports,
    pub(crate) shutdown: Shutdown,
    pub(crate) stop: CancellationToken,
    pub(crate) open_requests: TaskTracker,
    pub(crate) listings: ReceivedListings,
}

/// Which complete listings of the store have been received since the start.
#[derive(Debug, Default)]
pub(crate) struct ReceivedListings {
    pub(crate) targets: AtomicBool,
    members: AtomicBool,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Opens the endpoint for the other instances and creates the gateway.
    ///
    /// # Errors
    ///
    /// Fails if the certificate can't be generated or the endpoint can't be
    /// opened.
    pub fn new(settings: Settings, dialect: D) -> Result<Arc<Self>, Error> {
        let clock = Clock::start();
        let shares = Shares::of(&settings.resources);
        let pins = Pins::default();
        let identity = Identity {
            instance: settings.instance.clone(),
            region: settings.region.clone(),
        };
        let certificates = Certificates::generate(&identity, pins.clone())?;
        let endpoint = Endpoint::bind(settings.sibling_address, &certificates)?;
        let metrics = Arc::new(Metrics::new());
        let own = MemberRecord {
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            callers: settings.caller_address,
            siblings: endpoint.address(),
            certificate: certificates.digest(),
            incarnation: rand::random(),
            state: MemberState::Starting,
            capacity: settings.capacity,
        };
        Ok(Arc::new(Self {
            tables: SharedTables::new(&settings),
            store_lag: SharedStoreLag::default(),
            stream_asks: Semaphore::new(MAX_ASKS),
            mark_reads: SharedMarkReads::default(),
            software_changed: Notify::new(),
            software_marked: Notify::new(),
            catalog_changed: Notify::new(),
            rate_limiter: RateLimiter::new(settings.account_limit_tolerance),
            members: Members::new(own, pins),
            links: Links::new(endpoint, Arc::clone(&metrics)),
            topology: RankedMutex::new(LockRank::Topology, Arc::default()),
            reporters: Reporters::default(),
            upstream: RankedMutex::new(LockRank::Upstream, Upstream::default()),
            connections: ConnectionPool::new(CONNECT_TIMEOUT, shares.targets),
            caller_connections: Connections::new(shares),
            shares,
            pending_losses: PendingLosses::default(),
            reach: SharedReach::default(),
            status_due: Notify::new(),
            memory: RequestMemory::new(settings.resources, Arc::clone(&metrics)),
            metrics,
            shutdown: Shutdown::default(),
            stop: CancellationToken::new(),
            open_requests: TaskTracker::new(),
            listings: ReceivedListings::default(),
            log_rate_limit: LogRateLimit::default(),
            limit_reports: LimitReports::default(),
            clock,
            dialect,
            settings,
        }))
    }

    /// Starts the background tasks: serving the other instances and exchanging
    /// status messages with them. `line_counts` are the counts of log lines,
    /// which are shown in the metrics.
    pub fn start(self: &Arc<Self>, line_counts: Arc<LineCounts>) {
        let siblings = Arc::new(SiblingHandler::new(Arc::clone(self)));
        let endpoint = self.links.endpoint().clone();
        let stop = self.stop.clone();
        self.supervise("siblings", move || {
            endpoint.clone().run(Arc::clone(&siblings), stop.clone())
        });
        let gateway = Arc::clone(self);
        self.supervise("status", move || status::run(Arc::clone(&gateway)));
        let gateway = Arc::clone(self);
        self.supervise("reach", move || reach::run(Arc::clone(&gateway)));
        let gateway = Arc::clone(self);
        self.supervise("fleet copies", move || {
            fleet_copy::run(Arc::clone(&gateway))
        });
        self.metrics.set_log_counts(line_counts);
    }

    fn supervise<F, T>(&self, name: &'static str, start: F)
    where
        F: FnMut() -> T + Send + 'static,
        T: Future<Output = ()> + Send,
    {
        let metrics = Arc::clone(&self.metrics);
        supervise::spawn(name, metrics, self.stop.clone(), start);
    }

    /// Returns a receiver of this instance's own record and its changes.
    pub fn watch_own_record(&self) -> watch::Receiver<MemberRecord> {
        self.members.watch_own_record()
    }

    /// Returns a receiver of what was last read in the store under this instance's
    /// own name; `None` before the first reading.
    pub fn watch_standing(&self) -> watch::Receiver<Option<Standing<MemberRecord>>> {
        self.members.watch_standing()
    }

    /// Gives this instance a new incarnation in its record and its statuses, as
    /// others take the one before for ended.
    pub fn renew_incarnation(&self) {
        self.members.renew_own_incarnation();
    }

    /// Returns the monotonic clock that all decisions are based on.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the current metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        self.metrics.render(&self.read_gauges())
    }

    fn read_gauges(&self) -> GaugeValues {
        let now = self.clock.now();
        let members = self.members.summarize(now);
        let current = self.tables.current_catalog();
        let quarantined_parts = self.tables.quarantine.lock().len();
        let suspended_requests = self.tables.suspensions.lock().count_suspended(now);
        let is_hub = self.topology.lock().is_hub;
        let reporters = self.reporters.names().len();
        let request_memory = self.memory.budget().usage();
        let callers = self.caller_connections.usage();
        let fleet = self.tables.fleet.lock();
        GaugeValues {
            store_age: now.saturating_sub(fleet.last_store_answer()),
            catalog_version: current.as_ref().map_or(0, |c| c.catalog.version),
            catalog_age: current.map_or(now, |c| now.saturating_sub(c.loaded_at)),
            targets: fleet.len(),
            usable_targets: fleet.count_usable(),
            instances: members.known,
            ready_instances: members.ready,
            max_silence: members.max_silence,
            links: self.links.list_open().len(),
            is_hub,
            reporters,
            open_requests: self.open_requests.len(),
            request_memory: request_memory.used,
            request_memory_limit: request_memory.limit,
            resident_memory: memory::resident_bytes(),
            memory_limit: self.settings.resources.memory,
            max_requests: self.shares.requests,
            caller_connections: callers.open,
            idle_caller_connections: callers.idle,
            max_caller_connections: callers.limit,
            target_connections: self.connections.count_open(),
            max_target_connections: self.shares.targets,
            quarantined_parts,
            suspended_requests,
        }
    }

    /// Returns a shared handle to the metrics.
    pub fn metrics_handle(&self) -> Arc<Metrics> {
        Arc::clone(&self.metrics)
    }

    /// Returns the memory that requests share.
    pub fn memory(&self) -> &RequestMemory {
        &self.memory
    }

    /// Returns the table of the callers' connections.
    pub fn caller_connections(&self) -> &Arc<Connections> {
        &self.caller_connections
    }

    /// Returns the current catalog's limits on the requests of callers, or
    /// the defaults if there is no catalog yet.
    pub fn client_limits(&self) -> chiverelay_decisions::catalog::ClientLimits {
        let current = self.tables.current_catalog();
        current.map(|c| c.catalog.limits).unwrap_or_default()
    }

    /// Returns the name of this instance.
    pub fn instance(&self) -> &Instance {
        &self.settings.instance
    }

    /// Returns the number of known instances, with this one.
    pub fn count_known_instances(&self) -> usize {
        self.members.max_known()
    }

    /// Returns whether this instance accepts requests.
    pub fn is_ready(&self) -> bool {
        self.members.own_state() == MemberState::Ready
    }

    /// Returns whether the catalog in force was read at `revision`.
    pub fn has_catalog_of(&self, revision: StoreRevision) -> bool {
        let current = self.tables.current_catalog();
        current.is_some_and(|current| current.revision == revision)
    }

    /// Waits until another instance has had a later revision of the store than
    /// this one for longer than the store needs to tell both.
    pub async fn wait_until_behind(&self) {
        self.store_lag.wait_until_read_overdue(self.clock).await;
    }

    /// Applies an update that was read from the store at `revision`. A catalog
    /// or record older than the one in use is ignored.
    pub fn apply(self: &Arc<Self>, update: StoreUpdate, revision: StoreRevision) {
        let now = self.clock.now();
        let tables = &self.tables;
        match update {
            StoreUpdate::Catalog(catalog) => self.apply_catalog(catalog, revision, now),
            StoreUpdate::Target(name, record) => {
                tables.put_target(&name, record, revision, now);
                self.observe_target(&name, now);
            }
            StoreUpdate::TargetRemoved(name) => tables.remove_target(&name, revision, now),
            StoreUpdate::TargetsListed(names) => {
                tables.reconcile_targets(&names, now);
                self.listings.targets.store(true, Ordering::Relaxed);
                self.software_changed.notify_one();
                self.set_ready_if_synced();
            }
            StoreUpdate::EvacuationChanged(zone, evacuated) => {
                tables.set_evacuated(&zone, evacuated, revision)
            }
            StoreUpdate::EvacuationsListed(zones) => {
                tables.reconcile_evacuated(&zones, revision, now)
            }
            StoreUpdate::Member(record) => {
                self.members.put_record(record, revision, now);
            }
            StoreUpdate::MemberRemoved(name) => self.members.remove_record(&name, revision),
            StoreUpdate::MembersListed(names) => {
                self.members.reconcile_records(&names, revision);
                self.listings.members.store(true, Ordering::Relaxed);
                self.set_ready_if_synced();
            }
            StoreUpdate::SoftwareMarked(software) => self.record_software_mark(software),
            StoreUpdate::SoftwareUnmarked(software) => self.remove_software_mark(&software),
            StoreUpdate::SoftwareMarksListed(marks) => self.reconcile_software_marks(&marks),
            StoreUpdate::CaughtUp => self.store_lag.record_read(revision),
            StoreUpdate::StoreAnswered => {
                if tables.fleet.lock().store_answered(revision.era, now) {
                    log::info!(target: "store", dependency = "store"; "the store answers again");
                }
            }
            StoreUpdate::StoreCallFailed => tables.fleet.lock().store_call_failed(),
            StoreUpdate::StoreUnreachable => {
                if tables.fleet.lock().store_lost() {
                    log::warn!(target: "store", dependency = "store"; "the store does not answer");
                    self.tell_streams_of_all_pools();
                }
            }
        }
    }

    fn apply_catalog(
        &self,
        catalog: Arc<chiverelay_decisions::Catalog>,
        revision: StoreRevision,
        now: Duration,
    ) {
        let (version, routes) = (catalog.version, catalog.route_count());
        let change = self
            .tables
            .catalog
            .replace_if_newer(Arc::clone(&catalog), revision, now);
        match change {
            CatalogChange::Replaced => {}
            CatalogChange::Same => return,
            CatalogChange::Outdated => {
                log::warn!(target: "catalog", version, era = revision.era, revision = revision.number; "outdated catalog ignored");
                return;
            }
        }
        log::info!(target: "catalog", version, era = revision.era, revision = revision.number, routes; "catalog applied");
        let divisor = self.account_limit_divisor(now);
        self.rate_limiter
            .configure(catalog.accounts(), divisor, now);
        let lifetime = streams::lifetime_for(catalog.longest_resumable());
        self.tables.streams.lock().set_lifetime(lifetime);
        self.catalog_changed.notify_waiters();
        // Pools may need marks from now on.
        self.software_changed.notify_one();
        self.set_ready_if_synced();
    }

    /// Divides the current catalog's account limits among the hubs.
    pub(crate) fn reconfigure_rate_limiter(&self, now: Duration) {
        if let Some(current) = self.tables.current_catalog() {
            let divisor = self.account_limit_divisor(now);
            self.rate_limiter
                .configure(current.catalog.accounts(), divisor, now);
        }
    }

    /// Returns the divisor for the limits of client accounts, of which hubs
    /// have shares.
    pub(crate) fn account_limit_divisor(&self, now: Duration) -> Divisor {
        let topology = Arc::clone(&self.topology.lock());
        if !topology.is_hub {
            return Divisor::without_share();
        }
        // While few instances are known, too many take themselves for hubs.
        match now < HUBS_SETTLING_TIME {
            true => Divisor::new(topology.hub_count.max(self.members.max_known())),
            false => Divisor::new(topology.hub_count),
        }
    }

    /// Makes this instance ready once a catalog and the first listings of
    /// targets and instances have arrived, and it is a hub or has heard of the
    /// others through one.
    pub(crate) fn set_ready_if_synced(&self) {
        let now = self.clock.now();
        let has_hub =
            self.topology.lock().is_hub || self.members.has_been_informed() || now >= MAX_HUB_WAIT;
        let is_synced = self.listings.targets.load(Ordering::Relaxed)
            && self.listings.members.load(Ordering::Relaxed);
        if !has_hub || !is_synced || self.tables.current_catalog().is_none() {
            return;
        }
        if self.members.own_state() == MemberState::Starting {
            self.members.set_own_state(MemberState::Ready);
            let took_ms = self.clock.now().as_millis() as u64;
            log::info!(target: "gateway", took_ms; "ready");
            self.status_due.notify_one();
        }
    }
}
