//! Replayed traces against stated outcomes.
//!
//! The bounds come from the target: the first token within 1.3 s for 95 in
//! 100. The seeds are not those of the bench.

use support::cases;
use support::replay::Kind;
use support::replay::Measures;
use support::replay::Policy;
use support::replay::RECORDED_SEED;
use support::replay::Trace;
use support::replay::User;
use support::replay::path;
use support::replay::replay;

/// Seeds of the traces.
const SEEDS: [u64; 2] = [101, 102];

/// The target's time to the first token for 95 in 100, in milliseconds.
const FIRST_TOKEN_MS: f64 = 1300.0;

/// The most that the gateway may be behind the best of the plain policies.
const BEHIND: f64 = 1.05;

fn mean(traces: &[Trace], policy: Policy) -> Measures {
    let runs: Vec<Measures> = traces.iter().map(|t| replay(t, policy)).collect();
    Measures::mean(&runs)
}

/// Replays a kind of trace and compares the outcome with the target's bound
/// and with the plain policies.
fn check_outcome(user: User, kind: Kind) {
    let traces = SEEDS.map(|seed| Trace::generate(user, kind, seed));
    let own = mean(&traces, Policy::Gateway(user.weights()));
    assert!(own.p95 <= FIRST_TOKEN_MS, "{own:?}");
    assert!(own.worst <= FIRST_TOKEN_MS, "{own:?}");
    assert!(own.refused <= 0.1, "{own:?}");
    for policy in Policy::PLAIN {
        let plain = mean(&traces, policy);
        let bound = plain.weighed(user) * BEHIND;
        assert!(
            own.weighed(user) <= bound,
            "{own:?} {} {plain:?}",
            policy.name()
        );
    }
}

cases! {
    check_outcome:
    hojalateria_peaks(User::Hojalateria, Kind::Peaks);
    hojalateria_surge(User::Hojalateria, Kind::Surge);
    hojalateria_loss(User::Hojalateria, Kind::Loss);
    hojalateria_cut(User::Hojalateria, Kind::Cut);
    hojalateria_cold(User::Hojalateria, Kind::Cold);
    hojalateria_leaving(User::Hojalateria, Kind::Leaving);
    pochoirs_peaks(User::Pochoirs, Kind::Peaks);
    pochoirs_surge(User::Pochoirs, Kind::Surge);
    pochoirs_loss(User::Pochoirs, Kind::Loss);
    pochoirs_cut(User::Pochoirs, Kind::Cut);
    pochoirs_cold(User::Pochoirs, Kind::Cold);
    pochoirs_leaving(User::Pochoirs, Kind::Leaving);
}

/// A replay gives the same measures every time.
#[test]
fn a_replay_is_repeatable() {
    let trace = Trace::generate(User::Hojalateria, Kind::Loss, 7);
    let policy = Policy::Gateway(User::Hojalateria.weights());
    assert_eq!(replay(&trace, policy), replay(&trace, policy));
}

/// The recorded traces are what the generator makes; else
/// `cargo bench --bench replay -- --record` writes them anew.
fn check_recorded(user: User) {
    for kind in Kind::ALL {
        let generated = Trace::generate(user, kind, RECORDED_SEED);
        assert_eq!(Trace::recorded(user, kind), generated, "{kind:?}");
        let text = std::fs::read_to_string(path(user, kind)).expect("a trace");
        assert_eq!(text, generated.text(), "{kind:?}");
    }
}

cases! {
    check_recorded:
    recorded_traces_of_hojalateria(User::Hojalateria);
    recorded_traces_of_pochoirs(User::Pochoirs);
}
