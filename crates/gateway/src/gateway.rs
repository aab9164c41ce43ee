//! The gateway: its parts, what tells them of the world, and its life.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Zone;
use chiverelay_sibling::Certificates;
use chiverelay_sibling::Endpoint;
use chiverelay_sibling::Error;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Pins;
use chiverelay_target::kept::Kept;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Clock;
use crate::Dialect;
use crate::Fact;
use crate::MemberRecord;
use crate::MemberState;
use crate::Metrics;
use crate::Readings;
use crate::Settings;
use crate::allowances::Allowances;
use crate::beliefs::Beliefs;
use crate::journal::Counts;
use crate::links::Links;
use crate::members::Members;
use crate::sampler::Sampler;
use crate::serve::Siblings;
use crate::status;

/// Time for a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The parts of an entry instance.
///
/// # Invariants
///
/// `stop` is cancelled after the last of `requests` has ended, or when the
/// time for a graceful shutdown is over.
#[derive(Debug)]
pub struct Gateway<D> {
    pub(crate) settings: Settings,
    pub(crate) dialect: D,
    pub(crate) clock: Clock,
    pub(crate) beliefs: Beliefs,
    pub(crate) allowances: Allowances,
    pub(crate) members: Members,
    pub(crate) links: Links,
    pub(crate) kept: Kept,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) sampler: Sampler,
    pub(crate) incarnation: u64,
    pub(crate) stop: CancellationToken,
    pub(crate) requests: TaskTracker,
    listed: Listed,
}

/// Which listings of the store have come since the start.
#[derive(Debug, Default)]
struct Listed {
    targets: AtomicBool,
    members: AtomicBool,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Opens the endpoint for the other instances and makes the parts.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint or the metrics can't be made.
    pub fn new(settings: Settings, dialect: D) -> Result<Arc<Self>, Error> {
        let clock = Clock::start();
        let pins = Pins::default();
        let identity = Identity {
            instance: settings.instance.clone(),
            region: settings.region.clone(),
        };
        let certificates = Certificates::generate(&identity, pins.clone())?;
        let endpoint = Endpoint::bind(settings.siblings, &certificates)?;
        let incarnation = rand::random();
        let own = MemberRecord {
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            callers: settings.callers,
            siblings: endpoint.address(),
            certificate: certificates.digest(),
            incarnation,
            state: MemberState::Starting,
        };
        Ok(Arc::new(Self {
            beliefs: Beliefs::new(&settings),
            allowances: Allowances::new(settings.tolerance),
            members: Members::new(own, pins),
            links: Links::new(endpoint),
            kept: Kept::new(CONNECT_TIMEOUT),
            metrics: Arc::new(Metrics::new()),
            stop: CancellationToken::new(),
            requests: TaskTracker::new(),
            listed: Listed::default(),
            sampler: Sampler::default(),
            incarnation,
            clock,
            dialect,
            settings,
        }))
    }

    /// Starts what runs beside the requests.
    pub fn start(self: &Arc<Self>, counts: Arc<Counts>) {
        let siblings = Arc::new(Siblings::new(Arc::clone(self)));
        let endpoint = self.links.endpoint().clone();
        tokio::spawn(endpoint.run(siblings, self.stop.clone()));
        tokio::spawn(status::run(Arc::clone(self)));
        self.metrics.follow_log(counts);
    }

    /// Returns this instance's own record, as it changes.
    pub fn record(&self) -> watch::Receiver<MemberRecord> {
        self.members.own()
    }

    /// Returns the steady clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Writes the metrics as they are now.
    pub fn metrics_text(&self) -> String {
        self.metrics.text(&self.readings())
    }

    fn readings(&self) -> Readings {
        let now = self.clock.now();
        let members = self.members.summary(now);
        let current = self.beliefs.current();
        let fleet = self.beliefs.fleet.lock();
        Readings {
            store_age: now.saturating_sub(fleet.last_store_answer()),
            catalog_version: current.as_ref().map_or(0, |c| c.catalog.version),
            catalog_age: current.map_or(now, |c| now.saturating_sub(c.loaded_at)),
            targets: fleet.len(),
            usable_targets: fleet.count_usable(),
            instances: members.known,
            ready_instances: members.ready,
            oldest_word: members.oldest_word,
            links: self.links.open().len(),
            open_requests: self.requests.len(),
        }
    }

    /// Returns the metrics, for parts that outlive a borrow.
    pub fn metrics_handle(&self) -> Arc<Metrics> {
        Arc::clone(&self.metrics)
    }

    /// Returns the bounds on what callers send.
    pub fn client_limits(&self) -> chiverelay_decisions::catalog::ClientLimits {
        let current = self.beliefs.current();
        current.map(|c| c.catalog.limits).unwrap_or_default()
    }

    /// Tells whether this instance takes requests.
    pub fn is_ready(&self) -> bool {
        self.members.own_state() == MemberState::Ready
    }

    /// Lists where a caller of a zone may connect that asks for a host.
    pub fn directory(&self, host: &str, zone: &Zone, region: &Region) -> Vec<SocketAddr> {
        let current = self.beliefs.current();
        let barred = |region: &Region| {
            let catalog = current.as_ref().map(|c| &c.catalog);
            catalog.map_or(0, |catalog| catalog.count_routes_barred_in(host, region))
        };
        let now = self.clock.now();
        self.members.directory(zone, region, barred, now)
    }

    /// Takes something that the store tells, as of a revision.
    pub fn learn(&self, fact: Fact, revision: u64) {
        let now = self.clock.now();
        let beliefs = &self.beliefs;
        match fact {
            Fact::Catalog(catalog) => self.take_catalog(catalog, revision, now),
            Fact::Target(name, record) => beliefs.put_target(&name, record, revision, now),
            Fact::TargetGone(name) => beliefs.remove_target(&name, now),
            Fact::TargetsListed(names) => {
                beliefs.list_targets(&names, now);
                self.listed.targets.store(true, Ordering::Relaxed);
                self.get_ready();
            }
            Fact::Evacuated(zone, evacuated) => beliefs.evacuate(&zone, evacuated),
            Fact::EvacuatedListed(zones) => beliefs.list_evacuated(&zones),
            Fact::Member(record) => {
                self.members.put(record, revision, now);
                self.divide(now);
            }
            Fact::MemberGone(name) => self.members.vanish(&name),
            Fact::MembersListed(names) => {
                self.members.reconcile(&names);
                self.listed.members.store(true, Ordering::Relaxed);
                self.get_ready();
            }
            Fact::StoreAnswered => {
                if beliefs.fleet.lock().store_answered(now) {
                    log::info!(target: "store", dependency = "store"; "the store answers again");
                }
            }
            Fact::StoreLost => {
                if beliefs.fleet.lock().store_lost() {
                    log::warn!(target: "store", dependency = "store"; "the store does not answer");
                }
            }
        }
    }

    fn take_catalog(
        &self,
        catalog: Arc<chiverelay_decisions::Catalog>,
        revision: u64,
        now: Duration,
    ) {
        let (version, routes) = (catalog.version, catalog.len());
        if !self
            .beliefs
            .catalog
            .replace_if_newer(Arc::clone(&catalog), revision, now)
        {
            return;
        }
        log::info!(target: "catalog", version, revision, routes; "catalog in force");
        self.allowances
            .configure(catalog.accounts(), self.members.divisor(), now);
        self.get_ready();
    }

    /// Divides the accounts' limits between the instances known now.
    fn divide(&self, now: Duration) {
        if let Some(current) = self.beliefs.current() {
            let divisor = self.members.divisor();
            self.allowances
                .configure(current.catalog.accounts(), divisor, now);
        }
    }

    /// Takes requests once the store has told everything that they need.
    fn get_ready(&self) {
        let listed = self.listed.targets.load(Ordering::Relaxed)
            && self.listed.members.load(Ordering::Relaxed);
        if !listed || self.beliefs.current().is_none() {
            return;
        }
        if self.members.own_state() == MemberState::Starting {
            self.members.advance(MemberState::Ready);
            let took_ms = self.clock.now().as_millis() as u64;
            log::info!(target: "gateway", took_ms; "ready");
        }
    }

    /// Waits until another instance of the region takes requests, for at most
    /// `time`. Instances that are stopped in turn would else leave the region's
    /// callers to other regions.
    pub async fn wait_for_relief(&self, time: Duration) {
        let region = &self.settings.region;
        let until = self.clock.now() + time;
        while self.clock.now() < until {
            if !self.members.ready_in(region, self.clock.now()).is_empty() {
                return;
            }
            tokio::time::sleep(RELIEF_LOOK).await;
        }
        log::info!(target: "gateway", region = region.as_str(); "no other instance of the region is ready");
    }

    /// Tells the other instances and the store that this instance leaves.
    pub fn leave(&self) {
        log::info!(target: "gateway", open = self.requests.len(); "leaving");
        self.members.advance(MemberState::Leaving);
    }

    /// Waits for the open requests.
    pub async fn drain(&self) {
        self.requests.close();
        self.requests.wait().await;
    }

    /// Ends what runs beside the requests.
    pub async fn stop(&self) {
        self.stop.cancel();
        let closing = self.links.endpoint().close();
        if tokio::time::timeout(CLOSE_TIMEOUT, closing).await.is_err() {
            log::debug!(target: "gateway", "links closed without the others' word");
        }
        log::info!(target: "gateway", open = self.requests.len(); "stopped");
    }
}

/// Pause between two looks for another instance of the region.
const RELIEF_LOOK: Duration = Duration::from_millis(100);

/// Time for the other instances to take note that the links are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
