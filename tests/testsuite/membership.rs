//! Who lives: digests in any order, silence, leaving, pauses.

use std::collections::BTreeMap;
use std::time::Duration;

use chiverelay_decisions::membership::GossipDigest;
use chiverelay_decisions::membership::MemberStatus;
use chiverelay_decisions::membership::MemberUpdate;
use chiverelay_decisions::membership::Profile;
use chiverelay_decisions::membership::RemoteSummaries;
use chiverelay_decisions::membership::Roster;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::placement::PoolSummary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::cases;

pub(crate) fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn profile(region: &str) -> Profile {
    let address = "10.0.0.1:1".parse().expect("an address");
    Profile {
        region: region.into(),
        zone: format!("{region}-a").as_str().into(),
        caller: address,
        operator: address,
        sibling: address,
    }
}

fn word(instance: &str, incarnation: u64, status: MemberStatus) -> MemberUpdate {
    MemberUpdate {
        instance: instance.into(),
        incarnation,
        status,
        config_version: 0,
        profile: Some(profile("lima")),
    }
}

pub(crate) fn digest(words: Vec<MemberUpdate>) -> GossipDigest {
    GossipDigest {
        updates: words,
        ..GossipDigest::default()
    }
}

pub(crate) fn roster(name: &str, region: &str) -> Roster {
    let mut roster = Roster::new(name.into(), 1, profile(region));
    roster.set_own(MemberStatus::Serving, 0);
    roster
}

fn status(number: u8) -> MemberStatus {
    match number % 5 {
        0 => MemberStatus::Starting,
        1 => MemberStatus::Serving,
        2 => MemberStatus::Leaving,
        3 => MemberStatus::Suspect,
        _ => MemberStatus::Dead,
    }
}

type Known = BTreeMap<Instance, (u64, MemberStatus, u64)>;

fn known(roster: &Roster) -> Known {
    let members = roster.members().iter();
    members
        .map(|(n, m)| (n.clone(), (m.incarnation(), m.status(), m.config_version)))
        .collect()
}

/// Whatever the order in which words arrive, the same is known in the end:
/// the highest incarnation with its highest status.
fn converges(words: Vec<(u8, u8, u8, u8)>, cut: usize) -> bool {
    let words: Vec<_> = words
        .into_iter()
        .map(|(name, incarnation, number, version)| MemberUpdate {
            config_version: u64::from(version % 4),
            ..word(
                &format!("i{}", name % 3),
                u64::from(incarnation % 4),
                status(number),
            )
        })
        .collect();
    let (mut forth, mut back) = (roster("own", "lima"), roster("own", "lima"));
    let (head, tail) = words.split_at(cut.min(words.len()));
    for word in words.iter().rev() {
        back.apply_digest(None, &digest(vec![word.clone()]), at(1));
    }
    for words in [tail, head, tail] {
        forth.apply_digest(None, &digest(words.to_vec()), at(2));
    }
    let highest = |name: &Instance| {
        let own = words.iter().filter(|w| w.instance == *name);
        own.map(|w| (w.incarnation, w.status)).max()
    };
    known(&forth) == known(&back)
        && known(&forth)
            .iter()
            .all(|(name, (incarnation, status, _))| highest(name) == Some((*incarnation, *status)))
}

#[test]
fn digests_converge_in_any_order() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(2000)
        .quickcheck(converges as fn(Vec<(u8, u8, u8, u8)>, usize) -> bool);
}

/// Once an incarnation is dead, no word on it or an older one brings it back.
fn stays_dead(old: Vec<(u8, u8)>) -> bool {
    let mut roster = roster("own", "lima");
    let name = Instance::from("a");
    roster.apply_digest(
        None,
        &digest(vec![word("a", 5, MemberStatus::Serving)]),
        at(1),
    );
    roster.record_missed_heartbeat(&name, at(1));
    roster.record_missed_heartbeat(&name, at(1));
    (1..=4).for_each(|second| roster.tick(at(second)));
    assert_eq!(roster.members()[&name].status(), MemberStatus::Dead);
    old.into_iter().all(|(incarnation, number)| {
        let said = word("a", u64::from(incarnation % 6), status(number));
        roster.apply_digest(Some(&name), &digest(vec![said]), at(9));
        roster
            .members()
            .values()
            .all(|m| !roster.is_reachable(m, at(9)))
    })
}

#[test]
fn the_dead_stay_dead() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 8))
        .tests(1000)
        .quickcheck(stays_dead as fn(Vec<(u8, u8)>) -> bool);
}

/// Whether an instance heard at second 10 gets work some seconds later, after
/// heartbeats to it that had no answer.
fn check_live(region: &str, status: MemberStatus, misses: u32, seconds: u64, want: bool) {
    let mut roster = roster("own", "lima");
    let name = Instance::from("a");
    let said = MemberUpdate {
        profile: Some(profile(region)),
        ..word("a", 1, status)
    };
    roster.tick(at(10));
    roster.apply_digest(Some(&name), &digest(vec![said]), at(10));
    (0..misses).for_each(|_| roster.record_missed_heartbeat(&name, at(10)));
    (11..=10 + seconds).for_each(|second| roster.tick(at(second)));
    let member = &roster.members()[&name];
    assert_eq!(roster.is_live(member, at(10 + seconds)), want);
}

cases! {
    check_live:
    one_just_heard("lima", MemberStatus::Serving, 0, 0, true);
    one_that_starts("lima", MemberStatus::Starting, 0, 0, false);
    one_that_leaves("lima", MemberStatus::Leaving, 0, 0, false);
    one_called_suspect("lima", MemberStatus::Suspect, 0, 0, false);
    one_called_dead("lima", MemberStatus::Dead, 0, 0, false);
    one_that_missed_a_heartbeat("lima", MemberStatus::Serving, 1, 0, true);
    one_that_missed_two("lima", MemberStatus::Serving, 2, 0, false);
    one_of_a_silent_region("cusco", MemberStatus::Serving, 0, 8, false);
    one_of_another_region("cusco", MemberStatus::Serving, 0, 7, true);
}

#[test]
fn one_called_dead_comes_back_as_a_new_incarnation() {
    let (mut a, mut b) = (roster("a", "lima"), roster("b", "lima"));
    let names = [Instance::from("a"), Instance::from("b")];
    b.apply_digest(
        Some(&names[0]),
        &a.heartbeat_digest(&names[1], at(1)),
        at(1),
    );
    (0..2).for_each(|_| b.record_missed_heartbeat(&names[0], at(1)));
    (1..=9).for_each(|second| b.tick(at(second)));
    assert_eq!(b.members()[&names[0]].status(), MemberStatus::Dead);
    let asked = a.heartbeat_digest(&names[1], at(9));
    b.apply_digest(Some(&names[0]), &asked, at(9));
    assert_eq!(
        b.members()[&names[0]].status(),
        MemberStatus::Dead,
        "the same incarnation"
    );
    a.apply_digest(
        Some(&names[1]),
        &b.reply_digest(&names[0], &asked, at(9)),
        at(9),
    );
    assert_eq!(a.own_update().incarnation, 2);
    b.apply_digest(
        Some(&names[0]),
        &a.heartbeat_digest(&names[1], at(9)),
        at(9),
    );
    assert!(b.is_live(&b.members()[&names[0]], at(9)));
}

/// Tells whether another region counts as live, heard at 10 s, after ticks.
fn check_ticks(ticks: &[u64], live: bool) {
    let mut roster = roster("own", "lima");
    roster.tick(at(10));
    let said = MemberUpdate {
        profile: Some(profile("cusco")),
        ..word("a", 1, MemberStatus::Serving)
    };
    roster.apply_digest(Some(&"a".into()), &digest(vec![said]), at(10));
    ticks.iter().for_each(|tick| roster.tick(at(*tick)));
    let member = &roster.members()[&Instance::from("a")];
    let last = ticks.last().expect("a tick");
    assert_eq!(roster.is_live(member, at(*last)), live);
}

cases! {
    check_ticks:
    an_instance_that_was_paused_holds_no_silence_against_others(&[60], true);
    /// Rounds that wait for answers are late, and yet no pauses.
    late_ticks_are_no_pause(&[13, 16, 19], false);
}

#[test]
fn a_lapsed_lease_raises_the_incarnation() {
    let mut roster = roster("own", "lima");
    assert_eq!(roster.reincarnate(Duration::from_millis(700)), 700);
    assert_eq!(roster.reincarnate(Duration::from_millis(600)), 701);
}

fn summary(slots: u32, running: u32) -> PoolSummary {
    PoolSummary {
        pool: "p".into(),
        slots,
        running,
        queued: 0,
        first_token_ms: 400,
        prefill_rate: 9000,
    }
}

/// Whether a change at second 10 of what a region told at second 0 is passed
/// on.
fn check_passed_on(told: &[PoolSummary], want: bool) {
    let region = Region::from("cusco");
    let mut relay = RemoteSummaries::default();
    relay.record_region(&region, &[summary(80, 40)], at(0));
    while !relay.take_due(at(0)).is_empty() {}
    relay.record_region(&region, told, at(10));
    let mut other = RemoteSummaries::default();
    other.record_relayed(&relay.take_due(at(10)), at(10));
    assert_eq!(relay.in_region(&region), told);
    let passed = if want { told } else { &[] };
    assert_eq!(other.in_region(&region), passed);
}

cases! {
    check_passed_on:
    a_pool_as_it_was(&[summary(80, 40)], false);
    a_pool_with_a_little_more_load(&[summary(80, 45)], false);
    a_pool_with_much_more_load(&[summary(80, 60)], true);
    a_pool_that_is_full(&[summary(80, 80)], true);
}

#[test]
fn a_pool_that_a_region_no_longer_has_is_forgotten_by_all() {
    let region = Region::from("cusco");
    let (mut relay, mut other) = (RemoteSummaries::default(), RemoteSummaries::default());
    relay.record_region(&region, &[summary(80, 40)], at(0));
    other.record_relayed(&relay.take_due(at(0)), at(0));
    assert_eq!(other.in_region(&region), [summary(80, 40)]);
    relay.record_region(&region, &[], at(10));
    other.record_relayed(&relay.take_due(at(10)), at(10));
    assert_eq!(other.in_region(&region), []);
}
