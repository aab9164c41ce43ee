//! Replays traces by the gateway's decisions and by three plain policies.
//!
//! `cargo bench --bench replay` prints one table: for each user and trace the
//! mean of every measure over the seeds. `-- --seeds N` changes their number.

use support::replay::Kind;
use support::replay::Measures;
use support::replay::Policy;
use support::replay::Trace;
use support::replay::User;
use support::replay::replay;

/// Seeds of a run.
const SEEDS: u64 = 5;

fn seeds() -> u64 {
    let mut args = std::env::args().skip_while(|a| a != "--seeds").skip(1);
    args.next().and_then(|n| n.parse().ok()).unwrap_or(SEEDS)
}

fn main() {
    let seeds = seeds();
    println!(
        "| user | trace | policy | cost ms | p50 ms | p95 ms | p99 ms | away % | worst p95 ms | refused % | weighed |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    let mut behind = Vec::new();
    for user in [User::Hojalateria, User::Pochoirs] {
        for kind in Kind::ALL {
            let traces: Vec<Trace> = (1..=seeds)
                .map(|seed| Trace::generate(user, kind, seed))
                .collect();
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
