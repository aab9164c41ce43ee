//! This instance's changes of the ledger.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chiverelay_decisions::limits::Holder;
use chiverelay_decisions::limits::ledger::LedgerPage;
use chiverelay_decisions::limits::ledger::PlanContext;
use chiverelay_decisions::limits::partitions::PAGE_COUNT;
use chiverelay_decisions::limits::quorum;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_sibling::Message;
use chiverelay_store::Entry;
use chiverelay_store::Error;
use chiverelay_store::Swap;

use super::Job;
use super::Neighbours;
use super::RECORDS;
use super::ask_all;

/// Prefix of the keys that hold the pages of the ledger.
const LEDGER: &str = "chiverelay/shares/";

/// The holders that have a record, with their regions.
pub(super) type Live = BTreeMap<Holder, Region>;

/// The pages by number, with the entries that they were read from.
pub(super) type Pages = BTreeMap<u16, (Option<Entry>, LedgerPage)>;

fn key(number: u16) -> String {
    format!("{LEDGER}{number}")
}

impl Job {
    /// Writes what this instance should hold, page by page.
    pub(super) async fn write_pages(&mut self) {
        if self.record.is_none() {
            return;
        }
        // Whoever joins while the pages are written is not on them yet.
        let neighbours = self.neighbours();
        match self.try_write_pages(&neighbours).await {
            Ok(true) => {
                self.settled = Some(neighbours);
                self.cx.holding.cancel();
            }
            Ok(false) => {}
            Err(e) => log::warn!("shares: {e}"),
        }
    }

    async fn try_write_pages(&mut self, neighbours: &Neighbours) -> Result<bool, Error> {
        // The records are read after the pages: whoever is on a page had a
        // record before.
        let pages = self.read_pages().await?;
        let live = self.read_live().await?;
        let here = &self.cx.settings.region;
        let near = live.iter().filter(|(_, region)| *region == here);
        let found = Neighbours {
            near: near.map(|(h, _)| h.instance.clone()).collect(),
            regions: live.values().cloned().collect(),
        };
        let mut settled = found == *neighbours;
        let lapsed = self.lapsed(&pages, &live).await;
        for number in 0..PAGE_COUNT {
            let (entry, page) = pages.get(&number).cloned().unwrap_or_default();
            settled &= self
                .write_page(number, entry.as_ref(), &page, &live, &lapsed)
                .await?;
        }
        Ok(settled)
    }

    pub(super) async fn read_pages(&self) -> Result<Pages, Error> {
        let entries = self.cx.store.list(LEDGER).await?;
        let mut pages = Pages::new();
        for entry in entries {
            let number = entry
                .key
                .strip_prefix(LEDGER)
                .and_then(|n| n.parse::<u16>().ok());
            match (number, serde_json::from_slice(&entry.value)) {
                (Some(number), Ok(page)) => {
                    pages.insert(number, (Some(entry), page));
                }
                (_, Err(e)) => log::error!("shares: {} is refused: {e}", entry.key),
                (None, _) => log::error!("shares: {} is no page", entry.key),
            }
        }
        Ok(pages)
    }

    pub(super) async fn read_live(&self) -> Result<Live, Error> {
        let mut live = Live::new();
        for entry in self.cx.store.list(RECORDS).await? {
            let holder = entry
                .key
                .strip_prefix(RECORDS)
                .and_then(|rest| rest.rsplit_once('/'))
                .and_then(|(instance, term)| {
                    Some(Holder {
                        instance: instance.into(),
                        term: term.parse().ok()?,
                    })
                });
            if let Some(holder) = holder {
                let region = String::from_utf8_lossy(&entry.value);
                live.insert(holder, Region::from(region.as_ref()));
            }
        }
        Ok(live)
    }

    /// Returns the holders of this region that may be reclaimed.
    async fn lapsed(&self, pages: &Pages, live: &Live) -> BTreeSet<Holder> {
        let me = self.keeper.holder();
        let mut gone: BTreeMap<Holder, Vec<&Vec<Instance>>> = BTreeMap::new();
        for (_, page) in pages.values() {
            for holder in page.other_holders(&self.cx.settings.region, me) {
                if !live.contains_key(&holder) {
                    let roster = page.rosters.get(&holder.instance);
                    gone.entry(holder).or_default().extend(roster);
                }
            }
        }
        let mut lapsed = BTreeSet::new();
        for (holder, rosters) in gone {
            if self.is_released(&holder, &rosters).await {
                log::info!("shares: {} is reclaimed", holder.instance);
                lapsed.insert(holder);
            }
        }
        lapsed
    }

    async fn is_released(&self, holder: &Holder, rosters: &[&Vec<Instance>]) -> bool {
        let members: BTreeSet<&Instance> = rosters.iter().copied().flatten().collect();
        let members: Vec<Instance> = members.into_iter().cloned().collect();
        let message = Message::Release(holder.clone());
        let by = ask_all(&self.cx, &members, &message).await;
        !rosters.is_empty()
            && rosters.iter().all(|roster| {
                let released = roster.iter().filter(|name| by.contains(*name)).count();
                released >= quorum::blocking_minority(roster.len())
            })
    }

    /// Writes a page if need be; returns whether this instance holds on it
    /// what it should, and nobody else does who is gone.
    pub(super) async fn write_page(
        &mut self,
        number: u16,
        entry: Option<&Entry>,
        page: &LedgerPage,
        live: &Live,
        lapsed: &BTreeSet<Holder>,
    ) -> Result<bool, Error> {
        let here = self.cx.settings.region.clone();
        let names = live.iter().filter(|(_, region)| **region == here);
        let roster: BTreeSet<Instance> = names.map(|(h, _)| h.instance.clone()).collect();
        let roster: Vec<Instance> = roster.into_iter().collect();
        let regions: BTreeSet<Region> = live.values().cloned().collect();
        let me = self.keeper.holder().clone();
        let view = PlanContext {
            holder: &me,
            region: &here,
            roster: &roster,
            live_regions: &regions,
            reclaimable: lapsed,
        };
        let (book, now) = (&self.cx.tables.shares, self.cx.clock.now());
        let Some(plan) = self.keeper.plan_page(book, number, page, &view, now) else {
            self.record = None;
            return Ok(false);
        };
        let others = plan.page.other_holders(&here, &me);
        let settled = plan.is_complete && others.iter().all(|h| live.contains_key(h));
        if !plan.must_write {
            return Ok(settled);
        }
        let value = serde_json::to_vec(&plan.page).unwrap_or_default();
        match self
            .cx
            .store
            .swap(&key(number), entry, &value, None)
            .await?
        {
            Swap::Done(_) => {
                let (book, now) = (&self.cx.tables.shares, self.cx.clock.now());
                self.keeper.page_written(book, number, &plan, now);
                Ok(settled)
            }
            Swap::Conflict(_) => Ok(false),
        }
    }
}
