//! The periodic work of an instance: its lease, the ledger, and vouches.

use std::collections::BTreeSet;
use std::time::Duration;

use chiverelay_decisions::limits::Holder;
use chiverelay_decisions::limits::Lease;
use chiverelay_decisions::limits::ledger::LedgerPage;
use chiverelay_decisions::limits::ledger::PlanContext;
use chiverelay_decisions::limits::quorum;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;

use super::Call;
use super::Flaw;
use super::Fleet;
use super::Message;
use super::Node;
use super::Post;

/// Time to live of a holder's record in the store.
const RECORD_TTL: Duration = Duration::from_secs(12);

impl Fleet {
    /// Lets every running instance do its periodic work. `faults` chooses what
    /// becomes of the calls of the store.
    pub fn round(&mut self, faults: u64) {
        for i in 0..self.len() {
            let fault = (faults >> (i * 8)) as u8;
            self.tick(
                i,
                if faults == 0 {
                    Call::Answered
                } else {
                    Call::of(fault)
                },
            );
        }
    }

    /// Lets an instance do its periodic work.
    pub fn tick(&mut self, i: usize, call: Call) {
        if !self.runs(i) {
            return;
        }
        let now = self.clock(i);
        let node = &mut self.nodes[i];
        node.keeper.end_term_if_expired(&node.book, now);
        let returns = match node.leaving {
            true => node.book.return_all_loans(now),
            false => node.book.sweep(now),
        };
        for (lender, back) in returns {
            if let Some(to) = self.nodes.iter().position(|n| n.name == lender) {
                let message = Message::Return(back);
                self.posts.push(Post {
                    from: i,
                    to,
                    message,
                });
            }
        }
        if self.reaches_store(i) && call != Call::Lost {
            self.renew(i, call);
            self.write(i, call);
            self.depart(i);
        } else {
            self.vouch(i);
        }
    }

    fn renew(&mut self, i: usize, call: Call) {
        let sent = self.clock(i);
        let until = self.now + RECORD_TTL;
        let now = self.now;
        self.store.records.retain(|_, end| *end > now);
        let node = &mut self.nodes[i];
        node.reached_store = Some(sent);
        let holder = node.keeper.holder().clone();
        let known = self.store.records.contains_key(&holder);
        if node.keeper.has_record() && !known {
            node.keeper.record_lost();
        }
        self.store.records.insert(holder, until);
        if call != Call::Answered {
            return;
        }
        let lease = Lease::granted(sent, RECORD_TTL);
        if node.keeper.has_record() {
            node.keeper.record_renewed(&node.book, lease, sent);
        } else {
            node.keeper.record_created(&node.book, lease, sent);
        }
    }

    fn live(&self, i: usize) -> (Vec<Instance>, BTreeSet<Region>) {
        let leaver = self.nodes[i].leaving.then(|| &self.nodes[i].name);
        let recorded = |n: &&Node| {
            if leaver == Some(&n.name) {
                return false;
            }
            let names = self.store.records.keys();
            names.into_iter().any(|h| h.instance == n.name)
        };
        let live: Vec<&Node> = self.nodes.iter().filter(recorded).collect();
        let region = &self.nodes[i].region;
        let roster = live.iter().filter(|n| n.region == *region);
        (
            roster.map(|n| n.name.clone()).collect(),
            live.iter().map(|n| n.region.clone()).collect(),
        )
    }

    fn lapsed(&mut self, i: usize, page: &LedgerPage) -> BTreeSet<Holder> {
        let me = self.nodes[i].keeper.holder().clone();
        let region = self.nodes[i].region.clone();
        let mut others = page.other_holders(&region, &me);
        if self.flaw == Flaw::AnyRegion {
            let holds = page.partitions.values().flatten();
            others.extend(holds.map(|h| h.holder.clone()).filter(|h| *h != me));
        }
        others.retain(|h| !self.store.records.contains_key(h));
        let all: Vec<Holder> = others.into_iter().collect();
        let free = |f: &mut Self, h: &Holder| f.is_released(i, h, page);
        all.into_iter().filter(|h| free(self, h)).collect()
    }

    fn is_released(&mut self, i: usize, holder: &Holder, page: &LedgerPage) -> bool {
        if matches!(self.flaw, Flaw::AsksNobody | Flaw::AnyRegion) {
            return true;
        }
        let roster = page
            .rosters
            .get(&holder.instance)
            .cloned()
            .unwrap_or_default();
        let mut released = 0;
        for j in 0..self.len() {
            if roster.contains(&self.nodes[j].name) && self.runs(j) && self.is_connected(i, j) {
                let now = self.clock(j);
                released += usize::from(self.nodes[j].witness.release(holder, now));
            }
        }
        released >= quorum::blocking_minority(roster.len())
    }

    fn write(&mut self, i: usize, call: Call) {
        let (revision, page) = (self.store.revision, self.store.page.clone());
        let lapsed = self.lapsed(i, &page);
        let (roster, regions) = self.live(i);
        let now = self.clock(i);
        let node = &mut self.nodes[i];
        let me = node.keeper.holder().clone();
        let mut region = node.region.clone();
        let mut page = page;
        if self.flaw == Flaw::AnyRegion {
            region = node.region.clone();
            for holds in page.partitions.values_mut() {
                holds.retain(|h| !lapsed.contains(&h.holder));
            }
        }
        let view = PlanContext {
            holder: &me,
            region: &region,
            roster: &roster,
            live_regions: &regions,
            reclaimable: &lapsed,
        };
        let early = self.flaw == Flaw::LeavesEarly && node.leaving;
        let planned = if early || self.flaw == Flaw::RecordsFirst {
            Some(page.plan(self.page, &view, |_, weight| weight))
        } else {
            node.keeper
                .plan_page(&node.book, self.page, &page, &view, now)
        };
        let Some(mut plan) = planned else {
            return;
        };
        if self.flaw == Flaw::AdoptsRead {
            for allocation in &plan.allocations {
                let read = page.fraction(allocation.partition, &me);
                node.book.grow(allocation.partition, read, false, now);
            }
        }
        if self.flaw == Flaw::StartsFull {
            plan.allocations.iter_mut().for_each(|g| g.is_first = true);
        }
        if !plan.must_write {
            return;
        }
        if call == Call::Late {
            self.store.late.push((revision, plan.page));
            return;
        }
        if self.store.revision == revision {
            self.store.revision += 1;
            self.store.page = plan.page.clone();
            if call == Call::Answered {
                node.keeper.page_written(&node.book, self.page, &plan, now);
            }
        }
    }

    /// Stops a leaving instance that the ledger shows nothing of.
    fn depart(&mut self, i: usize) {
        let node = &self.nodes[i];
        let holder = node.keeper.holder().clone();
        let holds = node.book.holds_any() && self.flaw != Flaw::LeavesEarly;
        if node.leaving && !holds && !self.store.page.has_allocation(&holder) {
            self.store.records.remove(&holder);
            self.kill(i);
        }
    }

    /// Lets a late write of the ledger arrive.
    pub fn arrive(&mut self) {
        if self.store.late.is_empty() {
            return;
        }
        let (expected, page) = self.store.late.remove(0);
        if expected == self.store.revision {
            self.store.revision += 1;
            self.store.page = page;
        }
    }

    fn vouch(&mut self, i: usize) {
        let sent = self.clock(i);
        let node = &self.nodes[i];
        let holder = node.keeper.holder().clone();
        let members: BTreeSet<Instance> =
            node.keeper.roster_members().into_iter().cloned().collect();
        let mut by = BTreeSet::new();
        for j in 0..self.len() {
            if members.contains(&self.nodes[j].name) && self.runs(j) && self.is_connected(i, j) {
                let now = self.clock(j);
                let recent = Duration::from_secs(3);
                let reached = self.nodes[j].reached_store;
                let reaches = reached.is_some_and(|at| at + recent > now);
                let node = &mut self.nodes[j];
                if node.witness.vouch(&holder, reaches, now) {
                    by.insert(node.name.clone());
                }
            }
        }
        if self.flaw == Flaw::VouchesForItself {
            by = members;
        }
        let node = &self.nodes[i];
        node.keeper.apply_vouches(&node.book, sent, &by, sent);
    }
}
