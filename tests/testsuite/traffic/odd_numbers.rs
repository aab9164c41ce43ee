//! Numbers of other writers that no sum holds.

use chiverelay_decisions::revision::StoreRevision;
use chiverelay_decisions::traffic::InFlight;
use chiverelay_decisions::traffic::TargetInFlight;

use super::Duration;
use super::World;
use super::ms;

/// Guards against a request that ends without an answer, as the slots that
/// records state, or the counts that instances report, overflow a sum.
#[test]
fn sums_of_odd_numbers_do_not_overflow() {
    let mut world = World::new(1, false);
    for name in ["i-0", "i-1"] {
        world.add(name, Duration::ZERO);
        let mut record = world.fleet.get(&name.into()).expect("known").record.clone();
        record.slots = u32::MAX;
        world
            .fleet
            .upsert(&name.into(), record, StoreRevision::default(), ms(0));
    }
    for instance in ["a", "b"] {
        let count = |name: &str| TargetInFlight {
            target: name.into(),
            priority: 0,
            in_flight: InFlight {
                running: u32::MAX,
                prefill_tokens: u32::MAX,
            },
        };
        let counts = vec![count("i-0"), count("i-1")];
        world
            .traffic
            .update_remote_counts(&instance.into(), counts, ms(1));
    }
    assert!(world.send(&[], 10, ms(2)).is_some());
}
