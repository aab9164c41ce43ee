//! The choice of a target for a stream that has begun, in a pool of targets of
//! several software versions.

use chiverelay_decisions::names::SoftwareVersion;

use super::Duration;
use super::NoTargetReason;
use super::PromptPart;
use super::StoreRevision;
use super::Target;
use super::TargetQuery;
use super::World;
use super::cases;

const NOW: Duration = Duration::from_secs(10);

/// Choices that are made for each case.
const CHOICES: u64 = 100;

/// Four targets, of which the odd ones have the software "b".
fn world() -> World {
    let mut world = World::new(4, true);
    for name in ["i-1", "i-3"] {
        restart(&mut world, name, "b", 1);
    }
    world
}

/// Has a process with this software take a target's name.
fn restart(world: &mut World, name: &str, software: &str, number: u64) {
    let name = Target::from(name);
    let known = world.fleet.get(&name).expect("a known target");
    let mut record = known.record.clone();
    record.software = software.into();
    record.started_ms += 1;
    let revision = StoreRevision { era: 0, number };
    world.fleet.upsert(&name, record, revision, NOW);
}

fn drain(world: &mut World, names: &[&str]) {
    for name in names {
        assert!(world.fleet.mark_leaving(&Target::from(*name)));
    }
}

fn choose(
    world: &mut World,
    software: Option<&str>,
    parts: &[PromptPart],
) -> Result<Target, NoTargetReason> {
    choose_avoiding(world, software, &[], parts)
}

fn choose_avoiding(
    world: &mut World,
    software: Option<&str>,
    avoided: &[SoftwareVersion],
    parts: &[PromptPart],
) -> Result<Target, NoTargetReason> {
    let software = software.map(SoftwareVersion::from);
    let query = TargetQuery {
        priority: 0,
        may_fill_queue: true,
        prompt_tokens: 300,
        parts,
        excluded: &[],
        software: software.as_ref(),
        avoided_software: avoided,
        residency: &world.residency.clone(),
        random: world.draw,
    };
    world.draw += 1;
    let shares = world.shares();
    let (fleet, traffic) = (&world.fleet, &mut world.traffic);
    let chosen = traffic.choose_target(fleet, &world.pool, &world.region, &query, shares, NOW);
    chosen.map(|choice| choice.target)
}

/// Chooses many times, and compares the targets that were chosen.
fn check_chosen(software: Option<&str>, tokens: u32, expected: &[&str]) {
    let mut world = world();
    let mut chosen = Vec::new();
    for n in 0..CHOICES {
        let part = PromptPart { id: n, tokens };
        let target = choose(&mut world, software, &[part]).expect("a target");
        if !chosen.contains(&target) {
            chosen.push(target);
        }
    }
    chosen.sort();
    let expected: Vec<Target> = expected.iter().map(|name| Target::from(*name)).collect();
    assert_eq!(chosen, expected);
}

// Load pattern: streams that are resumed while targets of two versions serve.
// Long prompts have an affinity target, which must be of the version, too.
cases! {
    check_chosen:
    a_new_stream_goes_to_any_version(None, 100, &["i-0", "i-1", "i-2", "i-3"]);
    a_stream_goes_on_at_its_version(Some("b"), 100, &["i-1", "i-3"]);
    a_stream_with_a_long_prompt_goes_on_at_its_version(Some("b"), 5_000, &["i-1", "i-3"]);
}

/// A target that comes back under its name with other software is left out from
/// the moment that its record is known.
#[test]
fn a_target_that_begins_anew_is_of_its_new_version() {
    let mut world = world();
    restart(&mut world, "i-1", "c", 2);
    for _ in 0..CHOICES {
        assert_eq!(choose(&mut world, Some("b"), &[]), Ok("i-3".into()));
    }
    assert_eq!(choose(&mut world, Some("c"), &[]), Ok("i-1".into()));
}

/// Targets that drain take no stream, though no other one has its version.
#[test]
fn a_stream_whose_version_drains_goes_on_nowhere() {
    let mut world = world();
    drain(&mut world, &["i-1", "i-3"]);
    let refused = choose(&mut world, Some("b"), &[]);
    assert_eq!(refused, Err(NoTargetReason::NoTarget));
    assert!(choose(&mut world, Some("v1"), &[]).is_ok());
}

/// Nothing is queued for a version that no target has.
#[test]
fn a_stream_of_a_version_without_targets_goes_on_nowhere() {
    let mut world = world();
    let refused = choose(&mut world, Some("gone"), &[]);
    assert_eq!(refused, Err(NoTargetReason::NoTarget));
    assert_eq!(world.fleet.only_software(&"pool".into()), None);
    assert!(choose(&mut world, None, &[]).is_ok());
}

/// New streams don't begin at software that the store has no mark of yet, as
/// long as another target can take them.
#[test]
fn a_new_stream_avoids_software_without_a_mark() {
    let mut world = world();
    let avoided = ["b".into()];
    for _ in 0..CHOICES {
        let chosen = choose_avoiding(&mut world, None, &avoided, &[]).expect("a target");
        assert!(
            chosen == "i-0".into() || chosen == "i-2".into(),
            "{chosen:?}"
        );
    }
    drain(&mut world, &["i-0", "i-2"]);
    let chosen = choose_avoiding(&mut world, None, &avoided, &[]);
    assert!(chosen.is_ok(), "{chosen:?}");
}
