//! Hands the shares over at a planned stop, so that the others need not wait
//! for the lease to lapse.

use std::collections::BTreeSet;
use std::time::Duration;

use chiverelay_decisions::limits::MAX_LOAN_DURATION;
use chiverelay_decisions::limits::partitions::PAGE_COUNT;
use chiverelay_decisions::names::Instance;
use chiverelay_sibling::Message;
use chiverelay_store::Error;
use tokio::task::JoinSet;

use super::Job;
use super::ask_all;
use super::record_key;
use super::send_back;

/// Time between two rounds of giving up what is no longer on loan.
const INTERVAL: Duration = Duration::from_millis(300);

/// Time for the whole of it. What is on loan comes back in [`MAX_LOAN_DURATION`].
const TIME: Duration = Duration::from_secs(MAX_LOAN_DURATION.as_secs() + 2);

impl Job {
    /// Gives up every share, the record last, and tells the region.
    ///
    /// What can't be given up is left to lapse with the lease.
    pub(super) async fn hand_over(&mut self) {
        let end = self.now() + TIME;
        self.return_loans().await;
        while self.record.is_some() && self.now() < end {
            match self.leave_pages().await {
                Ok(true) => return self.leave().await,
                Ok(false) => {}
                Err(e) => {
                    log::warn!("shares: {e}");
                    break;
                }
            }
            tokio::time::sleep(INTERVAL).await;
            self.follow_lease().await;
        }
        if self.book().holds_any() {
            log::warn!("shares: some are left to lapse with the lease");
        }
    }

    async fn return_loans(&self) {
        let mut returns = JoinSet::new();
        for (lender, back) in self.book().return_all_loans(self.now()) {
            let cx = self.cx.clone();
            returns.spawn(async move { send_back(&cx, &lender, back).await });
        }
        returns.join_all().await;
    }

    /// Gives up what is not on loan; true if the ledger shows nothing more.
    async fn leave_pages(&mut self) -> Result<bool, Error> {
        let pages = self.read_pages().await?;
        let me = self.keeper.holder().clone();
        if !pages.values().any(|(_, page)| page.has_allocation(&me)) {
            return Ok(!self.book().holds_any());
        }
        let mut live = self.read_live().await?;
        live.remove(&me);
        for number in 0..PAGE_COUNT {
            let (entry, page) = pages.get(&number).cloned().unwrap_or_default();
            if page.has_allocation(&me) {
                self.write_page(number, entry.as_ref(), &page, &live, &BTreeSet::new())
                    .await?;
            }
        }
        Ok(false)
    }

    async fn leave(&mut self) {
        // INVARIANT: nothing is held, and nothing is on loan.
        let record = record_key(self.keeper.holder());
        if let Err(e) = self.cx.store.delete(&[record]).await {
            log::warn!("shares: {e}");
        }
        self.record = None;
        let neighbours = self.neighbours().near;
        let others = neighbours
            .into_iter()
            .filter(|name| *name != self.cx.settings.instance);
        let others: Vec<Instance> = others.collect();
        let message = Message::Vacated(self.keeper.holder().clone());
        ask_all(&self.cx, &others, &message).await;
        log::info!("shares: handed over");
    }
}
