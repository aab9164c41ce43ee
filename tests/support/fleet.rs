//! The limits' decision objects of several instances under a scripted order
//! of steps: no I/O, no processes, and clocks that the script moves.

mod post;
mod upkeep;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::Config;
use chiverelay_decisions::config::AccountEntry;
use chiverelay_decisions::limits::Holder;
use chiverelay_decisions::limits::Lease;
use chiverelay_decisions::limits::LeaseManager;
use chiverelay_decisions::limits::LoanGrant;
use chiverelay_decisions::limits::LoanId;
use chiverelay_decisions::limits::LoanRequest;
use chiverelay_decisions::limits::LoanReturn;
use chiverelay_decisions::limits::NANO_TOKENS_PER_TOKEN;
use chiverelay_decisions::limits::Partition;
use chiverelay_decisions::limits::Receipt;
use chiverelay_decisions::limits::ShareTable;
use chiverelay_decisions::limits::ledger::LedgerPage;
use chiverelay_decisions::limits::quorum::LeaseVoter;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;

/// A rule left out, to show that the check notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// Every rule is kept.
    None,
    /// The giver of a loan keeps what it lends.
    GiverKeeps,
    /// A loan is applied as often as it arrives.
    AppliesTwice,
    /// A holder trusts that its lease goes on.
    TrustsLease,
    /// A reclaimed part starts full.
    StartsFull,
    /// A holder uses what it reads, without a write of its own.
    AdoptsRead,
    /// A reclaimer asks nobody.
    AsksNobody,
    /// A holder past its lease needs only its own word.
    VouchesForItself,
    /// A loan's time counts from its arrival.
    CountsFromArrival,
    /// The ledger records less before the holder gives it up.
    RecordsFirst,
    /// Another region may reclaim a part.
    AnyRegion,
    /// A leaving holder doesn't wait for its loans to end.
    LeavesEarly,
}

/// What travels between instances.
#[derive(Clone, Debug)]
enum Message {
    Ask(LoanRequest),
    Lend(LoanGrant),
    Return(LoanReturn),
}

#[derive(Clone, Debug)]
struct Post {
    from: usize,
    to: usize,
    message: Message,
}

struct Charge {
    receipt: Receipt,
    used: u64,
}

/// One instance.
struct Node {
    name: Instance,
    region: Region,
    /// Parts in a thousand by which its clock is fast or slow.
    drift: i64,
    born: Duration,
    frozen: bool,
    up: bool,
    leaving: bool,
    config: Arc<Config>,
    book: ShareTable,
    keeper: LeaseManager,
    witness: LeaseVoter,
    charges: Vec<Charge>,
    reached_store: Option<Duration>,
    asked: BTreeMap<LoanId, Duration>,
}

#[derive(Default)]
struct Store {
    out: bool,
    revision: u64,
    page: LedgerPage,
    records: BTreeMap<Holder, Duration>,
    /// Writes that arrive later: the revision expected and the page.
    late: Vec<(u64, LedgerPage)>,
}

/// What becomes of a call of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// It is answered.
    Answered,
    /// It has its effect and the answer is lost.
    AnswerLost,
    /// It has its effect later and no answer.
    Late,
    /// It is lost.
    Lost,
}

impl Call {
    /// Chooses by a number.
    pub fn of(n: u8) -> Self {
        match n % 16 {
            0 | 1 => Self::AnswerLost,
            2 => Self::Late,
            3 => Self::Lost,
            _ => Self::Answered,
        }
    }
}

/// The bound on what may be spent: a bucket that no instance knows of.
struct Bound {
    level: i128,
    burst: u64,
    rate: u64,
    at: Duration,
}

impl Bound {
    fn advance(&mut self, now: Duration, rate: u64, burst: u64) {
        let filled = (now - self.at).as_nanos() * u128::from(self.rate);
        let cap = i128::from(self.burst) * NANO_TOKENS_PER_TOKEN as i128;
        self.level = cap.min(self.level + filled as i128);
        let raise = i128::from(burst) - i128::from(self.burst);
        self.level = (self.level + raise.max(0) * NANO_TOKENS_PER_TOKEN as i128)
            .min(i128::from(burst) * NANO_TOKENS_PER_TOKEN as i128);
        (self.at, self.rate, self.burst) = (now, rate, burst);
    }
}

/// What a schedule came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Tokens spent beyond the bound, at the worst moment.
    pub overshoot: u64,
    /// Tokens spent.
    pub spent: u64,
    /// Charges that were made.
    pub taken: u64,
    /// Charges that were refused.
    pub refused: u64,
}

/// Several instances of two regions, the first of which has the store.
pub struct Fleet {
    flaw: Flaw,
    account: Account,
    page: u16,
    now: Duration,
    nodes: Vec<Node>,
    store: Store,
    cut: bool,
    /// Instances that reach nobody and nothing.
    alone: BTreeSet<usize>,
    /// Instances that don't reach the store.
    without_store: BTreeSet<usize>,
    posts: Vec<Post>,
    config: Arc<Config>,
    bound: Bound,
    incarnations: u64,
    outcome: Outcome,
}

fn config(account: &Account, version: u64, rate: u64, burst: u64) -> Arc<Config> {
    let mut config = Config {
        version,
        ..Config::default()
    };
    let entry = AccountEntry {
        rate,
        burst,
        residency: Default::default(),
    };
    config.accounts.insert(account.clone(), entry);
    Arc::new(config)
}

impl Fleet {
    /// Starts instances with their regions and lets them take their shares.
    pub fn new(regions: &[&str], drifts: &[i64], rate: u64, burst: u64, flaw: Flaw) -> Self {
        let account = Account::from("encargos");
        let config = config(&account, 1, rate, burst);
        let mut fleet = Self {
            flaw,
            page: Partition::of(&account).page(),
            account,
            now: Duration::from_secs(100),
            nodes: Vec::new(),
            store: Store::default(),
            cut: false,
            alone: BTreeSet::new(),
            without_store: BTreeSet::new(),
            posts: Vec::new(),
            config,
            bound: Bound {
                level: i128::from(burst) * NANO_TOKENS_PER_TOKEN as i128,
                burst,
                rate,
                at: Duration::from_secs(100),
            },
            incarnations: 0,
            outcome: Outcome::default(),
        };
        for (i, region) in regions.iter().enumerate() {
            let name = Instance::from(format!("{region}-{i}"));
            let drift = drifts.get(i % drifts.len().max(1)).copied().unwrap_or(0);
            let node = fleet.node(name, Region::from(*region), drift);
            fleet.nodes.push(node);
        }
        for _ in 0..8 {
            fleet.round(0);
            fleet.pass(Duration::from_millis(1500));
        }
        fleet
    }

    fn node(&mut self, name: Instance, region: Region, drift: i64) -> Node {
        self.incarnations += 1;
        let node = Node {
            keeper: LeaseManager::new(name.clone(), self.incarnations << 32),
            book: ShareTable::new(self.incarnations),
            witness: LeaseVoter::new(Duration::ZERO),
            name,
            region,
            drift,
            born: self.now,
            frozen: false,
            up: true,
            leaving: false,
            config: Arc::clone(&self.config),
            charges: Vec::new(),
            reached_store: None,
            asked: BTreeMap::new(),
        };
        node.book.apply_config(&self.config, Duration::ZERO);
        node
    }

    /// Returns the number of instances.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Tells whether there is no instance.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns what came of it so far.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Lets time pass.
    pub fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    fn clock(&self, i: usize) -> Duration {
        let node = &self.nodes[i];
        let age = (self.now - node.born).as_nanos() as i128;
        Duration::from_nanos((age * (1000 + i128::from(node.drift)) / 1000) as u64)
    }

    fn runs(&self, i: usize) -> bool {
        self.nodes[i].up && !self.nodes[i].frozen
    }

    fn is_connected(&self, a: usize, b: usize) -> bool {
        if a != b && (self.alone.contains(&a) || self.alone.contains(&b)) {
            return false;
        }
        !self.cut || self.nodes[a].region == self.nodes[b].region
    }

    fn reaches_store(&self, i: usize) -> bool {
        if self.alone.contains(&i) || self.without_store.contains(&i) {
            return false;
        }
        !self.store.out && (!self.cut || self.nodes[i].region == self.nodes[0].region)
    }

    /// Moves the bound to now, under the highest limits that any instance has.
    fn measure(&mut self) {
        let limits = self.nodes.iter().filter(|n| n.up);
        let entries = limits.filter_map(|n| n.config.accounts.get(&self.account));
        let (rate, burst) = entries.fold((0, 0), |(rate, burst), e| {
            (rate.max(e.rate), burst.max(e.burst))
        });
        self.bound.advance(self.now, rate, burst);
    }

    fn spend(&mut self, tokens: u64) {
        self.measure();
        self.bound.level -= i128::from(tokens) * NANO_TOKENS_PER_TOKEN as i128;
        self.outcome.spent += tokens;
        let over = (-self.bound.level).max(0).div_ceil_tokens();
        self.outcome.overshoot = self.outcome.overshoot.max(over);
    }

    /// Charges the account at an instance, which asks the others if need be.
    /// Of the tokens `used` are used in the end.
    pub fn request(&mut self, i: usize, tokens: u64, used: u64) -> bool {
        if !self.runs(i) {
            return false;
        }
        let now = self.clock(i);
        if self.flaw == Flaw::TrustsLease {
            let until = now + Duration::from_secs(3600);
            self.nodes[i]
                .book
                .extend_lease(Lease { expires_at: until }, now);
        }
        let node = &mut self.nodes[i];
        match node.book.charge(&self.account, tokens, now) {
            Ok(receipt) => {
                let used = used.min(tokens);
                node.charges.push(Charge { receipt, used });
                self.outcome.taken += 1;
                self.spend(used);
                true
            }
            Err(short) => {
                self.ask(i, short.missing);
                false
            }
        }
    }

    /// Charges the account all that an instance holds of it.
    pub fn drain(&mut self, i: usize) {
        if !self.runs(i) {
            return;
        }
        let level = self.nodes[i].book.level(&self.account, self.clock(i));
        let tokens = (level / NANO_TOKENS_PER_TOKEN) as u64;
        self.request(i, tokens, tokens);
    }

    /// Charges the account all that the running instances hold of it.
    pub fn drain_all(&mut self) {
        (0..self.len()).for_each(|i| self.drain(i));
    }

    /// Charges the account; whoever lacks tokens asks the others of its region
    /// in turn, then those of other regions together. Each answers at once.
    pub fn request_with_asks(&mut self, i: usize, tokens: u64, used: u64) -> bool {
        if self.request(i, tokens, used) {
            return true;
        }
        let here = self.nodes[i].region.clone();
        let others = (0..self.len()).filter(|to| *to != i);
        let (near, far): (Vec<_>, Vec<_>) = others.partition(|n| self.nodes[*n].region == here);
        let rounds = near.into_iter().map(|n| vec![n]).chain([far]);
        for asked in rounds.collect::<Vec<_>>() {
            self.posts.clear();
            let level = self.nodes[i].book.level(&self.account, self.clock(i));
            let missing = (u128::from(tokens) * NANO_TOKENS_PER_TOKEN).saturating_sub(level);
            asked.iter().for_each(|to| self.ask_one(i, *to, missing));
            self.deliver_all();
            if self.request(i, tokens, used) {
                self.posts.clear();
                return true;
            }
        }
        self.posts.clear();
        self.outcome.refused += 1;
        false
    }

    /// Ends the oldest charge of an instance.
    pub fn settle(&mut self, i: usize) {
        if !self.runs(i) || self.nodes[i].charges.is_empty() {
            return;
        }
        let now = self.clock(i);
        let charge = self.nodes[i].charges.remove(0);
        let book = &self.nodes[i].book;
        book.settle(&self.account, &charge.receipt, charge.used, now);
    }

    /// Freezes an instance, or lets it go on.
    pub fn freeze(&mut self, i: usize, frozen: bool) {
        self.nodes[i].frozen = frozen;
    }

    /// Kills an instance and starts it again under its name.
    pub fn restart(&mut self, i: usize) {
        self.measure();
        let node = &self.nodes[i];
        let (name, region, drift) = (node.name.clone(), node.region.clone(), node.drift);
        self.nodes[i] = self.node(name, region, drift);
    }

    /// Lets an instance hand its shares over and stop.
    pub fn leave(&mut self, i: usize) {
        self.nodes[i].leaving = true;
    }

    /// Kills an instance for good.
    pub fn kill(&mut self, i: usize) {
        self.measure();
        self.nodes[i].up = false;
    }

    /// Takes the store away, or gives it back.
    pub fn store_out(&mut self, out: bool) {
        self.store.out = out;
    }

    /// Cuts the regions from each other, or joins them.
    pub fn cut(&mut self, cut: bool) {
        self.cut = cut;
    }

    /// Cuts an instance off from everything, or joins it.
    pub fn alone(&mut self, i: usize, alone: bool) {
        if alone {
            self.alone.insert(i);
        } else {
            self.alone.remove(&i);
        }
    }

    /// Cuts an instance off from the store only, or joins it.
    pub fn without_store(&mut self, i: usize, without: bool) {
        if without {
            self.without_store.insert(i);
        } else {
            self.without_store.remove(&i);
        }
    }

    /// Accepts another limit.
    pub fn limit(&mut self, rate: u64, burst: u64) {
        self.config = config(&self.account, self.config.version + 1, rate, burst);
    }

    /// Puts the newest limit in force at an instance.
    pub fn configure(&mut self, i: usize) {
        if !self.runs(i) {
            return;
        }
        self.measure();
        let now = self.clock(i);
        let config = Arc::clone(&self.config);
        let node = &mut self.nodes[i];
        node.book.apply_config(&config, now);
        node.config = config;
        self.measure();
    }

    /// Returns the tokens that all running instances hold.
    pub fn held(&self) -> u64 {
        let running = (0..self.len()).filter(|i| self.runs(*i));
        let level = |i: usize| self.nodes[i].book.level(&self.account, self.clock(i));
        (running.map(level).sum::<u128>() / NANO_TOKENS_PER_TOKEN) as u64
    }
}

trait Tokens {
    fn div_ceil_tokens(self) -> u64;
}

impl Tokens for i128 {
    fn div_ceil_tokens(self) -> u64 {
        let nanos = self.unsigned_abs();
        u64::try_from(nanos.div_ceil(NANO_TOKENS_PER_TOKEN)).unwrap_or(u64::MAX)
    }
}
