//! The choice of targets, under the load patterns that it answers.

mod cached_prompts;
mod cold_limit;
mod extra_attempts;
mod forwarded;
mod odd_numbers;
mod pause;
mod silence;
mod software;
mod stated_limit;

use std::collections::HashMap;
use std::time::Duration;

use chiverelay_decisions::catalog::ColdLimit;
use chiverelay_decisions::catalog::EngineSpec;
use chiverelay_decisions::catalog::PoolSpec;
use chiverelay_decisions::config::Residency;
use chiverelay_decisions::fleet::Fleet;
use chiverelay_decisions::fleet::TargetRecord;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::names::Zone;
use chiverelay_decisions::retry_budget::RetryLimit;
use chiverelay_decisions::revision::StoreRevision;
use chiverelay_decisions::traffic::ColdLimitTolerance;
use chiverelay_decisions::traffic::InFlight;
use chiverelay_decisions::traffic::NoTargetReason;
use chiverelay_decisions::traffic::PromptPart;
use chiverelay_decisions::traffic::PromptPartUse;
use chiverelay_decisions::traffic::RegionShares;
use chiverelay_decisions::traffic::Reservation;
use chiverelay_decisions::traffic::StatedLimitUse;
use chiverelay_decisions::traffic::TargetChoice;
use chiverelay_decisions::traffic::TargetInFlight;
use chiverelay_decisions::traffic::TargetOutcome;
use chiverelay_decisions::traffic::TargetQuery;
use chiverelay_decisions::traffic::Traffic;
use chiverelay_decisions::window::Divisor;
use support::cases;

/// Divides for the only instance that is known.
fn lone() -> Divisor {
    Divisor::new(1)
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A region's targets of one pool, and the traffic of one instance.
struct World {
    fleet: Fleet,
    traffic: Traffic,
    pool: PoolSpec,
    region: Region,
    divisor: Divisor,
    /// Where the requests may run.
    residency: Residency,
    draw: u64,
}

impl World {
    fn new(targets: usize, engine: bool) -> Self {
        let zones = HashMap::from([(Zone::from("north-a"), Region::from("north"))]);
        let limit = RetryLimit {
            window: ms(10_000),
            ratio: 0.2,
            slack: 56.0,
        };
        let cold = ColdLimitTolerance {
            factor: 1.5,
            slack: 3.0,
        };
        let mut world = Self {
            fleet: Fleet::new(zones),
            traffic: Traffic::new(limit, cold),
            pool: PoolSpec {
                name: "pool".into(),
                max_connections: 100,
                cold: ColdLimit {
                    warmup: ms(3_000),
                    requests_per_s: 13.0,
                },
                engine: engine.then(|| EngineSpec {
                    slots: 64,
                    cache_tokens: 600_000,
                    models: vec!["m".into()],
                }),
            },
            region: "north".into(),
            divisor: lone(),
            residency: Residency::anywhere(),
            draw: 1,
        };
        for n in 0..targets {
            world.add(&format!("i-{n}"), Duration::ZERO);
        }
        world
    }

    fn add(&mut self, name: &str, cold: Duration) {
        self.add_in("north", name, cold);
    }

    fn add_in(&mut self, region: &str, name: &str, cold: Duration) {
        let record = TargetRecord {
            pool: "pool".into(),
            address: format!("10.1.0.{}:80", self.fleet.len() + 1)
                .parse()
                .expect("an address"),
            zone: format!("{region}-a").into(),
            region: region.into(),
            software: "v1".into(),
            slots: 6,
            draining: false,
            started_ms: 1,
            sequence: 1,
            cold_remaining: cold,
        };
        self.fleet
            .upsert(&name.into(), record, StoreRevision::default(), ms(0));
    }

    /// Returns the shares of the only instance that knows of stated limits.
    fn shares(&self) -> RegionShares<'static> {
        RegionShares {
            divisor: self.divisor,
            rank: None,
            stated: StatedLimitUse::Share {
                instances: 1,
                rank: &|_| 0,
            },
        }
    }

    fn choose(
        &mut self,
        parts: &[PromptPart],
        tokens: u64,
        tried: &[Target],
        now: Duration,
    ) -> Result<TargetChoice, NoTargetReason> {
        self.choose_sharing(parts, tokens, tried, self.shares(), now)
    }

    fn choose_sharing(
        &mut self,
        parts: &[PromptPart],
        tokens: u64,
        tried: &[Target],
        shares: RegionShares<'_>,
        now: Duration,
    ) -> Result<TargetChoice, NoTargetReason> {
        let demand = TargetQuery {
            priority: 0,
            may_fill_queue: true,
            prompt_tokens: tokens,
            parts,
            excluded: tried,
            software: None,
            avoided_software: &[],
            residency: &self.residency,
            random: self.draw,
        };
        self.draw += 1;
        self.traffic
            .choose_target(&self.fleet, &self.pool, &self.region, &demand, shares, now)
    }

    /// Sends a short request as an instance with these shares.
    fn send_sharing(&mut self, shares: RegionShares<'_>, now: Duration) -> Option<Reservation> {
        let choice = self.choose_sharing(&[], 300, &[], shares, now).ok()?;
        self.take_sharing(choice, &[], shares, now)
    }

    /// Sends a request and returns its place, or nothing if the target is cold
    /// and has had its part.
    fn send(&mut self, parts: &[PromptPart], tokens: u64, now: Duration) -> Option<Reservation> {
        let choice = self.choose(parts, tokens, &[], now).ok()?;
        self.take(choice, parts, now)
    }

    /// Sends a short request that some targets were tried for.
    fn send_past(&mut self, tried: &[Target], now: Duration) -> Reservation {
        let choice = self.choose(&[], 300, tried, now).expect("a target");
        self.take(choice, &[], now).expect("a place")
    }

    fn take(
        &mut self,
        choice: TargetChoice,
        parts: &[PromptPart],
        now: Duration,
    ) -> Option<Reservation> {
        self.take_sharing(choice, parts, self.shares(), now)
    }

    fn take_sharing(
        &mut self,
        choice: TargetChoice,
        parts: &[PromptPart],
        shares: RegionShares<'_>,
        now: Duration,
    ) -> Option<Reservation> {
        let place = Reservation {
            target: choice.target.clone(),
            pool: "pool".into(),
            priority: 0,
            is_at_engine: true,
            known_running: choice.estimate.known_running,
            slots: choice.estimate.slots,
            prefill_tokens: choice.estimate.prefill_tokens,
            queued_prefill_tokens: choice.estimate.queued_prefill_tokens,
            reserved_at: now,
            cache_source: choice.estimate.cache_source,
            requests_per_slot: choice.estimate.requests_per_slot,
        };
        let known = self.fleet.get(&choice.target)?.clone();
        let taken = self
            .traffic
            .try_reserve(&place, parts, &known, &self.pool, shares, now);
        taken.then_some(place)
    }
}

fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}

/// Pattern: a wave of short prompts at many instances at once, none of which
/// has heard yet what the others sent.
#[test]
fn a_wave_at_all_instances_is_spread_over_many_targets() {
    const INSTANCES: u64 = 24;
    const TARGETS: usize = 26;
    const SLOTS: u32 = 12;
    let mut sent: HashMap<Target, u32> = HashMap::new();
    for instance in 0..INSTANCES {
        let mut world = World::new(TARGETS, true);
        world.draw = instance << 32;
        if let Some(engine) = &mut world.pool.engine {
            engine.slots = SLOTS;
        }
        for _ in 0..8 {
            let place = world.send(&[part(1, 90)], 380, ms(0)).expect("a place");
            *sent.entry(place.target).or_default() += 1;
        }
    }
    let most = sent.values().max().copied().unwrap_or_default();
    assert!(most <= SLOTS + SLOTS / 2, "{most} at one target: {sent:?}");
    assert_eq!(sent.len(), TARGETS);
}

/// Pattern: burst on plain services.
#[test]
fn a_burst_is_spread_evenly_over_plain_targets() {
    let mut world = World::new(3, false);
    let places: Vec<Reservation> = (0..18).filter_map(|_| world.send(&[], 0, ms(0))).collect();
    for n in 0..3 {
        let name = Target::from(format!("i-{n}"));
        let here = places.iter().filter(|p| p.target == name).count();
        assert_eq!(here, 6, "{name}");
    }
}

/// Pattern: long prompts that share a catalogue of 13,000 tokens.
#[test]
fn prompts_that_share_a_part_go_where_it_is_cached() {
    let mut world = World::new(4, true);
    let mut seen: HashMap<u64, Target> = HashMap::new();
    for round in 0..5 {
        for catalogue in 0..20_u64 {
            let parts = [
                part(catalogue + 1, 13_000),
                part(1_000 + round * 100 + catalogue, 3_000),
            ];
            let now = ms(round * 4_000 + catalogue * 200);
            let mut place = world.send(&parts, 16_000, now).expect("a place");
            if let Some(first) = seen.get(&catalogue) {
                assert_eq!(*first, place.target, "catalogue {catalogue}, round {round}");
                assert!(
                    place.prefill_tokens <= 3_000,
                    "{} tokens",
                    place.prefill_tokens
                );
            }
            seen.insert(catalogue, place.target.clone());
            world.traffic.record_prefill(&mut place);
            world
                .traffic
                .release(place, TargetOutcome::Answered, now + ms(150));
        }
    }
    let used: std::collections::HashSet<_> = seen.values().collect();
    assert!(
        used.len() >= 3,
        "20 catalogues lie at {} of 4 targets",
        used.len()
    );
}

/// Pattern: one catalogue that everybody asks for at once.
#[test]
fn a_hot_part_spreads_when_its_target_is_busy_and_is_copied() {
    let mut world = World::new(3, true);
    let parts = |n: u64| [part(7, 13_000), part(100 + n, 3_700)];
    let first = world.send(&parts(0), 16_700, ms(0)).expect("a place");
    let holder = world
        .fleet
        .get(&first.target)
        .expect("known")
        .record
        .address;
    let places: Vec<Reservation> = (1..12)
        .filter_map(|n| world.send(&parts(n), 16_700, ms(1)))
        .collect();
    let elsewhere: Vec<&Reservation> = places.iter().filter(|p| p.target != first.target).collect();
    assert!(!elsewhere.is_empty(), "all twelve wait at one target");
    assert_eq!(elsewhere[0].cache_source, Some(holder));
    assert!(elsewhere[0].prefill_tokens <= 3_700);
}

#[test]
fn what_another_instance_sent_counts_as_cached_too() {
    let mut world = World::new(3, true);
    let uses = vec![PromptPartUse {
        target: "i-2".into(),
        part: part(7, 13_000),
    }];
    world
        .traffic
        .record_remote_part_uses(&"two".into(), uses, ms(0));
    let parts = [part(7, 13_000), part(8, 3_000)];
    let choice = world.choose(&parts, 16_000, &[], ms(10)).expect("a choice");
    assert_eq!(choice.target.as_str(), "i-2");
    assert_eq!(choice.estimate.prefill_tokens, 3_000);
}

#[test]
fn what_other_instances_have_at_a_target_counts() {
    let mut world = World::new(2, false);
    let counts = vec![TargetInFlight {
        target: "i-0".into(),
        priority: 0,
        in_flight: InFlight {
            running: 20,
            prefill_tokens: 0,
        },
    }];
    world
        .traffic
        .update_remote_counts(&"two".into(), counts, ms(0));
    let chosen = |world: &mut World, now| world.choose(&[], 0, &[], now).expect("a choice").target;
    assert_eq!(chosen(&mut world, ms(1)).as_str(), "i-1");
    world.traffic.remove_instance(&"two".into());
    assert_eq!(world.traffic.in_flight(&"i-0".into()), InFlight::default());
}

/// Pattern: a plain service in overload, and requests with little time. Time in
/// the queue is no service time, else the queue would be counted twice and
/// requests be refused that are in time.
#[test]
fn time_in_a_queue_is_not_taken_for_service_time() {
    let mut world = World::new(1, false);
    let mut places = Vec::new();
    for n in 0..400_u64 {
        let now = ms(n * 10);
        if let Some(place) = world.send(&[], 0, now) {
            places.push((now, place));
        }
        // Six slots of 60 ms each, and 24 that wait: an answer takes 300 ms.
        if places.len() == 30 {
            let (since, place) = places.remove(0);
            let took = (now - since).max(ms(300));
            world.traffic.record_answer(&place, took);
            world.traffic.release(place, TargetOutcome::Answered, now);
        }
    }
    let wait = world
        .choose(&[], 0, &[], ms(4_000))
        .expect("a choice")
        .estimate
        .wait;
    assert!(
        (ms(180)..ms(320)).contains(&wait),
        "{wait:?} for 24 that wait"
    );
}

/// Pattern: herd at a plain service whose queue is full.
#[test]
fn a_target_that_says_it_is_full_is_passed_over_for_a_moment() {
    let mut world = World::new(1, false);
    let place = world.send(&[], 0, ms(0)).expect("a place");
    world.traffic.release(place, TargetOutcome::Full, ms(5));
    assert_eq!(
        world.choose(&[], 0, &[], ms(10)),
        Err(NoTargetReason::AllFull)
    );
    assert!(world.choose(&[], 0, &[], ms(300)).is_ok());
}

#[test]
fn a_target_that_was_tried_is_not_chosen_again() {
    let mut world = World::new(2, false);
    let tried = vec![Target::from("i-0")];
    let choice = world.choose(&[], 0, &tried, ms(0)).expect("a choice");
    assert_eq!(choice.target.as_str(), "i-1");
    let tried = vec!["i-0".into(), "i-1".into()];
    assert_eq!(
        world.choose(&[], 0, &tried, ms(0)),
        Err(NoTargetReason::NoneHealthy)
    );
}

/// Pattern: a target that fails part of its requests while it looks healthy.
#[test]
fn a_target_that_often_fails_gets_less() {
    let mut world = World::new(2, false);
    for n in 0..200_u64 {
        let now = ms(n * 10);
        let place = world.send(&[], 0, now).expect("a place");
        let fails = place.target.as_str() == "i-0" && n % 2 == 0;
        let ended = if fails {
            TargetOutcome::Failed
        } else {
            TargetOutcome::Answered
        };
        world.traffic.release(place, ended, now + ms(5));
    }
    let mut at_bad = 0;
    for n in 0..40_u64 {
        let now = ms(3_000 + n);
        let place = world.send(&[], 0, now).expect("a place");
        at_bad += usize::from(place.target.as_str() == "i-0");
        world.traffic.release(place, TargetOutcome::Answered, now);
    }
    assert!(at_bad <= 4, "{at_bad} of 40");
}

#[test]
fn a_restart_forgets_what_was_cached() {
    let mut world = World::new(1, true);
    let parts = [part(7, 13_000), part(8, 3_000)];
    let place = world.send(&parts, 16_000, ms(0)).expect("a place");
    world
        .traffic
        .release(place, TargetOutcome::Answered, ms(100));
    let unread = |world: &mut World| {
        let choice = world
            .choose(&parts, 16_000, &[], ms(200))
            .expect("a choice");
        choice.estimate.prefill_tokens
    };
    assert_eq!(unread(&mut world), 0);
    world.traffic.reset_target(&"i-0".into(), ms(150));
    assert!(unread(&mut world) > 3_000);
}

/// Checks whether a prompt of so many tokens is late within a second at a target
/// that has a free slot, behind so many tokens of other prompts.
fn check_late_behind_prompts(own: u64, queued: u32, is_late: bool) {
    let mut world = World::new(1, true);
    let counts = vec![TargetInFlight {
        target: "i-0".into(),
        priority: 0,
        in_flight: InFlight {
            running: u32::from(queued > 0),
            prefill_tokens: queued,
        },
    }];
    world
        .traffic
        .update_remote_counts(&"front-9".into(), counts, ms(0));
    let choice = world.choose(&[], own, &[], ms(10)).expect("a choice");
    assert!(choice.estimate.has_free_slot);
    assert_eq!(choice.estimate.is_late_behind_prompts(ms(1_000)), is_late);
}

cases! {
    check_late_behind_prompts:
    // A target reads 60 tokens in a millisecond until it has shown another rate.
    a_long_prompt_alone_is_served_late(90_000, 0, false);
    a_short_prompt_behind_a_few(300, 20_000, false);
    a_short_prompt_behind_many(300, 90_000, true);
    a_long_prompt_that_would_be_on_time_alone(40_000, 40_000, true);
    a_long_prompt_that_is_late_by_itself(90_000, 1_000, false);
}
