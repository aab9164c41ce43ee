//! What a replay measures.

use std::time::Duration;

use super::trace::ACCOUNTS;
use super::trace::User;

/// A request without a first token by then has failed.
pub(super) const DEADLINE: Duration = Duration::from_secs(20);

/// The measures of a replay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measures {
    /// Milliseconds of engine and link for a served request.
    pub cost: f64,
    /// Median time to the first token, in milliseconds.
    pub p50: f64,
    /// 95th percentile of it.
    pub p95: f64,
    /// 99th percentile of it.
    pub p99: f64,
    /// Share of the requests sent to another region, in percent.
    pub away: f64,
    /// 95th percentile of the time to the first token of the account that
    /// fares worst.
    pub worst: f64,
    /// Share of the requests refused or failed, in percent.
    pub refused: f64,
}

/// What became of a request within its account's rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outcome {
    /// Its account.
    pub(super) account: usize,
    /// Time to the first token; `None` if it was refused or failed.
    pub(super) first: Option<Duration>,
    /// Whether it went to another region.
    pub(super) away: bool,
}

fn percentile(times: &mut [f64], percent: usize) -> f64 {
    if times.is_empty() {
        return 0.0;
    }
    times.sort_by(f64::total_cmp);
    times[(times.len() * percent / 100).min(times.len() - 1)]
}

fn times(outcomes: &[Outcome], account: Option<usize>) -> Vec<f64> {
    outcomes
        .iter()
        .filter(|o| account.is_none_or(|a| o.account == a))
        .map(|o| o.first.unwrap_or(DEADLINE).as_secs_f64() * 1000.0)
        .collect()
}

impl Measures {
    /// Sums up a replay, in which engines and links were busy for `busy`.
    pub(super) fn new(outcomes: &[Outcome], busy: Duration) -> Self {
        let count = |f: fn(&Outcome) -> bool| outcomes.iter().filter(|o| f(o)).count() as f64;
        let all = outcomes.len() as f64;
        let served = count(|o| o.first.is_some());
        let mut sorted = times(outcomes, None);
        let worst = (0..ACCOUNTS)
            .map(|a| percentile(&mut times(outcomes, Some(a)), 95))
            .fold(0.0, f64::max);
        Self {
            cost: busy.as_secs_f64() * 1000.0 / served.max(1.0),
            p50: percentile(&mut sorted, 50),
            p95: percentile(&mut sorted, 95),
            p99: percentile(&mut sorted, 99),
            away: count(|o| o.away) * 100.0 / all,
            worst,
            refused: (all - served) * 100.0 / all,
        }
    }

    /// Returns the mean of several runs.
    pub fn mean(runs: &[Self]) -> Self {
        let mean = |f: fn(&Self) -> f64| runs.iter().map(f).sum::<f64>() / runs.len() as f64;
        Self {
            cost: mean(|m| m.cost),
            p50: mean(|m| m.p50),
            p95: mean(|m| m.p95),
            p99: mean(|m| m.p99),
            away: mean(|m| m.away),
            worst: mean(|m| m.worst),
            refused: mean(|m| m.refused),
        }
    }

    /// Weighs the measures as a user does; the lowest is the best.
    ///
    /// Each is taken in proportion to a bound: times to 1.3 s, cost to the
    /// 400 ms of a long prompt read anew, shares to 5%.
    pub fn weighed(&self, user: User) -> f64 {
        let tail = (self.p95 + self.p99) / 2.0 / 1300.0;
        let (cost, worst) = (self.cost / 400.0, self.worst / 1300.0);
        let (refused, away) = (self.refused / 5.0, self.away / 100.0);
        match user {
            User::Hojalateria => (3.0 * tail + 3.0 * refused + cost + worst + away) / 9.0,
            User::Pochoirs => (3.0 * cost + 3.0 * worst + tail + refused + away) / 9.0,
        }
    }
}
