//! Instances are lost together with the hubs through which they were heard, and
//! the store can't tell of it.

use std::time::Duration;

use chiverelay_decisions::names::Instance;
use hyper::StatusCode;
use support::block_on;
use support::node::Site;

use super::INSTANCES;
use super::hubs;
use super::listed;
use super::name;
use super::rank_hubs;
use super::reporter_and_hub;
use super::start;
use super::until_all_are_listed;
use super::until_settled;

/// Time after which an instance that was lost must not be named any more.
const NAMED_LIMIT: Duration = Duration::from_secs(8);

/// Returns the numbers of the hubs that an instance reports to, in order.
fn hubs_of(reporter: usize) -> Vec<usize> {
    let ranked = rank_hubs(&name(reporter), &hubs());
    let number = |hub: &Instance| (0..INSTANCES).find(|n| name(*n) == *hub);
    ranked.iter().filter_map(number).collect()
}

/// Failure: an instance whose hubs were lost at once asked no other one, and went
/// on to name all that were lost for as long as the store was down.
fn the_lost_are_not_named(lost_hubs: usize) {
    block_on(async {
        let site = Site::start().await;
        let mut nodes = start(&site, "north-a", "north").await;
        until_settled(&nodes).await;
        until_all_are_listed(&nodes).await;
        let (reporter, _) = reporter_and_hub();
        let all_hubs = hubs_of(reporter);
        let is_hub = |n: &usize| all_hubs.contains(n);
        let other = (0..INSTANCES).find(|n| *n != reporter && !is_hub(n));
        let mut lost = all_hubs[..lost_hubs].to_vec();
        lost.extend(other);
        lost.iter().for_each(|n| nodes[*n].process.kill());
        site.store.refuse(Some(StatusCode::SERVICE_UNAVAILABLE));
        tokio::time::sleep(NAMED_LIMIT).await;
        let named = listed(&nodes[reporter]).await;
        let wrong: Vec<_> = lost.iter().map(|n| nodes[*n].front).collect();
        let wrong: Vec<_> = wrong.iter().filter(|at| named.contains(at)).collect();
        assert!(wrong.is_empty(), "{wrong:?}\n{}", nodes[reporter].logged());
        assert_eq!(named.len(), INSTANCES - lost.len());
    });
}

support::cases! {
    the_lost_are_not_named:
    with_the_first_hub(1);
    with_the_first_two_hubs(2);
    with_the_first_three_hubs(3);
}
