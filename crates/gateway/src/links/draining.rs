//! Links that are replaced or no longer needed and still carry answers.

use std::time::Duration;

use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_sibling::Draining;
use chiverelay_sibling::Link;
use chiverelay_sibling::Up;

use super::watched::WatchedLink;

/// The links that carry no new messages. Each ends with its last answer.
#[derive(Debug)]
pub(super) struct DrainingLinks {
    links: RankedMutex<Vec<WatchedLink<Draining>>>,
}

impl Default for DrainingLinks {
    fn default() -> Self {
        Self {
            links: RankedMutex::new(LockRank::Links, Vec::new()),
        }
    }
}

impl DrainingLinks {
    /// Takes on a link.
    pub(super) fn push(&self, link: WatchedLink<Up>) {
        self.links.lock().push(link.drain());
    }

    /// Drops the links that carry no answer any more.
    pub(super) fn remove_ended(&self, now: Duration) {
        let mut ended = Vec::new();
        self.links.lock().retain_mut(|draining| {
            draining.take_contact(now);
            let is_over = draining.link.is_lost() || draining.link.open_answers() == 0;
            if is_over {
                ended.push(draining.link.clone());
            }
            !is_over
        });
        for link in ended {
            let instance = link.peer().instance.as_str();
            log::info!(target: "links", dependency = "sibling", instance, certificate:% = link.certificate(); "link has carried its last answer");
        }
    }

    /// Lists the links on which nothing has arrived for `time`.
    pub(super) fn list_silent(&self, time: Duration, now: Duration) -> Vec<Link<Draining>> {
        let links = self.links.lock();
        let silent = links.iter().filter(|l| l.is_silent(time, now));
        silent.map(|l| l.link.clone()).collect()
    }

    /// Returns the number of open answers.
    pub(super) fn open_answers(&self) -> usize {
        let links = self.links.lock();
        links.iter().map(|l| l.link.open_answers()).sum()
    }
}
