//! Replays traces by the gateway's decisions and by three plain policies.
//!
//! `cargo bench --bench replay` prints one table: for each user and trace the
//! mean of every measure over the seeds. The first seed's traces are recorded in
//! `traces`, those of further ones are generated. `-- --seeds N` changes their
//! number, `-- --record` writes the recorded traces anew, `-- --hedging` shows
//! what hedging would change, `-- --weights` each user's measure by either set of
//! weights.

use std::time::Duration;

use chiverelay_decisions::placement::Objective;
use support::replay::Fault;
use support::replay::Kind;
use support::replay::Measures;
use support::replay::Policy;
use support::replay::RECORDED_SEED;
use support::replay::Trace;
use support::replay::User;
use support::replay::path;
use support::replay::replay;
use support::replay::replay_hedged;

/// Seeds of a run.
const SEEDS: u64 = 5;

fn seeds() -> u64 {
    let mut args = std::env::args().skip_while(|a| a != "--seeds").skip(1);
    args.next().and_then(|n| n.parse().ok()).unwrap_or(SEEDS)
}

/// Writes the recorded traces.
fn record() {
    for user in User::ALL {
        for kind in Kind::ALL {
            let trace = Trace::generate(user, kind, RECORDED_SEED);
            std::fs::write(path(user, kind), trace.text()).expect("a trace can be written");
        }
    }
}

/// Returns the traces of a kind: the recorded one, and generated ones.
fn traces(user: User, kind: Kind, seeds: u64) -> Vec<Trace> {
    let mut traces = vec![Trace::recorded(user, kind)];
    traces.extend((2..=seeds).map(|seed| Trace::generate(user, kind, seed)));
    traces
}

/// Replays with hedging after several times, also with an engine that is slow.
fn compare_hedging(seeds: u64) {
    println!("| user | trace | hedged after | hedged % | cost ms | p95 ms | p99 ms | weighed |");
    println!("|---|---|---|---|---|---|---|---|");
    for user in User::ALL {
        for kind in Kind::ALL {
            print_hedging(user, &format!("{kind:?}"), &traces(user, kind, seeds));
        }
        let slow: Vec<Trace> = traces(user, Kind::Leaving, seeds)
            .into_iter()
            .map(|t| Trace {
                fault: Fault::Slow { engine: 0 },
                ..t
            })
            .collect();
        print_hedging(user, "an engine slow", &slow);
    }
}

fn print_hedging(user: User, name: &str, traces: &[Trace]) {
    let policy = Policy::Gateway(user.weights());
    for after in [None, Some(400), Some(800)] {
        let runs: Vec<(Measures, f64)> = traces
            .iter()
            .map(|t| match after {
                None => (replay(t, policy), 0.0),
                Some(ms) => replay_hedged(t, policy, Duration::from_millis(ms)),
            })
            .collect();
        let hedged = runs.iter().map(|r| r.1).sum::<f64>() / runs.len() as f64;
        let m = Measures::mean(&runs.iter().map(|r| r.0).collect::<Vec<_>>());
        let after = after.map_or("never".to_owned(), |ms| format!("{ms} ms"));
        println!(
            "| {user:?} | {name} | {after} | {hedged:.1} | {:.0} | {:.0} | {:.0} | {:.3} |",
            m.cost,
            m.p95,
            m.p99,
            m.weighed(user),
        );
    }
}

/// Replays with both sets of weights, weighed as each user does.
fn compare_weights(seeds: u64) {
    println!("| user | trace | latency | cost |");
    println!("|---|---|---|---|");
    for user in User::ALL {
        for kind in Kind::ALL {
            let traces = traces(user, kind, seeds);
            let [latency, cost] = [Objective::Latency, Objective::Cost].map(|weights| {
                let policy = Policy::Gateway(weights);
                let runs: Vec<Measures> = traces.iter().map(|t| replay(t, policy)).collect();
                Measures::mean(&runs).weighed(user)
            });
            println!("| {user:?} | {kind:?} | {latency:.4} | {cost:.4} |");
        }
    }
}

fn main() {
    if std::env::args().any(|a| a == "--record") {
        return record();
    }
    let seeds = seeds();
    if std::env::args().any(|a| a == "--hedging") {
        return compare_hedging(seeds);
    }
    if std::env::args().any(|a| a == "--weights") {
        return compare_weights(seeds);
    }
    println!(
        "| user | trace | policy | cost ms | p50 ms | p95 ms | p99 ms | away % | worst p95 ms | refused % | weighed |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    let mut behind = Vec::new();
    for user in User::ALL {
        for kind in Kind::ALL {
            let traces = traces(user, kind, seeds);
            let run = |policy| {
                let runs: Vec<Measures> = traces.iter().map(|t| replay(t, policy)).collect();
                let mean = Measures::mean(&runs);
                print_row(user, kind, policy, &mean);
                mean.weighed(user)
            };
            let plain = Policy::PLAIN.map(run);
            let own = run(Policy::Gateway(user.weights()));
            let best = plain.into_iter().fold(f64::INFINITY, f64::min);
            if own > best {
                behind.push(format!(
                    "{user:?} {kind:?}: {:+.1}%",
                    (own / best - 1.0) * 100.0
                ));
            }
        }
    }
    println!("behind the best of the three: {behind:?}");
}

fn print_row(user: User, kind: Kind, policy: Policy, m: &Measures) {
    println!(
        "| {user:?} | {kind:?} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {:.0} | {:.2} | {:.3} |",
        policy.name(),
        m.cost,
        m.p50,
        m.p95,
        m.p99,
        m.away,
        m.worst,
        m.refused,
        m.weighed(user),
    );
}
