//! Orders to engines: who may give them, and what engines make of old ones.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::orders::Command;
use chiverelay_decisions::orders::Denied;
use chiverelay_decisions::orders::Fence;
use chiverelay_decisions::orders::Fencing;
use chiverelay_decisions::orders::Held;
use chiverelay_decisions::orders::Number;
use chiverelay_decisions::orders::Order;
use chiverelay_decisions::orders::Role;
use chiverelay_decisions::orders::Sender;
use chiverelay_standin::engine;
use chiverelay_standin::engine::Engine;
use chiverelay_standin::faults::Faults;
use chiverelay_target::Client;
use chiverelay_target::order::Body;
use chiverelay_target::order::Exchange;
use chiverelay_target::order::Message;
use chiverelay_target::order::Outcome;
use chiverelay_target::order::Ready;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::block_on;
use support::cases;
use support::platform::listener;
use tokio_util::sync::CancellationToken;

const TTL: Duration = Duration::from_secs(10);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn elected(fence: u64, at: Duration) -> Sender<Held> {
    Sender::elected("engines".into(), Fence(fence), TTL, at, at)
}

/// Tells whether a sender that was elected at second 0, and renewed its lease
/// at some seconds, may give an order at another.
fn check_permit(renewals: &[u64], fencing: Fencing, at: u64, want: Option<Denied>) {
    let mut sender = elected(7, secs(0));
    for s in renewals {
        sender = sender.renewed(secs(*s), secs(*s)).expect("a lease in time");
    }
    assert_eq!(sender.permit(fencing, secs(at)).err(), want);
}

const OPEN: Duration = Duration::from_secs(12);

cases! {
    check_permit:
    checked_at_once(&[], Fencing::Checked, 0, None);
    checked_until_the_margin(&[], Fencing::Checked, 7, None);
    checked_after_the_margin(&[], Fencing::Checked, 8, Some(Denied::Lapsed));
    checked_after_a_renewal(&[5], Fencing::Checked, 12, None);
    checked_after_the_renewed_lease(&[5], Fencing::Checked, 13, Some(Denied::Lapsed));
    ignored_at_once(&[], Fencing::Ignored, 0, Some(Denied::HoldOff(OPEN)));
    ignored_before_the_hold_off_ends(&[5], Fencing::Ignored, 11, Some(Denied::HoldOff(OPEN)));
    ignored_after_the_hold_off(&[5], Fencing::Ignored, 12, None);
    ignored_after_the_lease(&[5], Fencing::Ignored, 13, Some(Denied::Lapsed));
}

#[test]
fn a_renewal_after_the_lease_is_none() {
    let late = elected(7, secs(0)).renewed(secs(8), secs(8));
    assert_eq!(late.expect_err("a lapsed lease").fence(), Fence(7));
}

#[test]
fn numbers_rise_with_each_order_and_each_sender() {
    let mut numbers = Vec::new();
    for fence in [7, 9] {
        let mut sender = elected(fence, secs(0));
        for _ in 0..3 {
            let permit = sender.permit(Fencing::Checked, secs(0)).expect("a permit");
            numbers.push(Command::new(permit, order("m")).number());
        }
    }
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}

fn order(model: &str) -> Order {
    Order::LoadModel {
        model: model.into(),
        version: None,
    }
}

/// What an engine saw that ignores numbers.
struct Run {
    /// Whether an older sender's order came after a newer one's.
    old_after_new: bool,
    /// Senders that gave orders.
    senders: usize,
}

/// Runs senders that take over from each other when a lease is over in the
/// store, with clocks that run apart and orders that come up to `late` after
/// they were permitted, to an engine that takes each.
fn run(believed: Fencing, late: Duration, seed: u64) -> Run {
    let mut rng = SmallRng::seed_from_u64(seed);
    let rates: Vec<f64> = (0..3).map(|_| rng.random_range(0.95..1.05)).collect();
    let mut senders: Vec<Option<Sender<Held>>> = vec![None, None, None];
    let mut paused = [Duration::ZERO; 3];
    let mut lease_until = Duration::ZERO;
    let (mut holder, mut revision) = (0, 0);
    let mut arrivals: Vec<(Duration, Number)> = Vec::new();
    for step in 0..3000 {
        let now = Duration::from_millis(step * 100);
        let who = rng.random_range(0..3);
        if now < paused[who] {
            continue;
        }
        if rng.random_bool(0.02) {
            paused[who] = now + Duration::from_millis(rng.random_range(0..30_000));
        }
        let local = now.mul_f64(rates[who]);
        if now >= lease_until {
            (holder, lease_until) = (who, now + TTL);
            revision += 1;
            senders[who] = Some(elected(revision, local));
        }
        let Some(mut sender) = senders[who].take() else {
            continue;
        };
        if let Ok(permit) = sender.permit(believed, local) {
            let number = Command::new(permit, order("m")).number();
            let delay = late.mul_f64(rng.random::<f64>());
            arrivals.push((now + delay, number));
        }
        if holder == who && rng.random_bool(0.3) {
            lease_until = now + TTL;
            senders[who] = sender.renewed(local, local).ok();
            continue;
        }
        senders[who] = Some(sender);
    }
    arrivals.sort_by_key(|a| a.0);
    let fences: Vec<Fence> = arrivals.iter().map(|a| a.1.fence).collect();
    Run {
        old_after_new: !fences.is_sorted(),
        senders: fences.into_iter().collect::<BTreeSet<_>>().len(),
    }
}

#[test]
fn no_old_order_comes_after_the_hold_off() {
    for seed in 0..300 {
        let run = run(Fencing::Ignored, TTL, seed);
        assert!(!run.old_after_new && run.senders > 1, "seed {seed}");
    }
}

#[test]
fn without_the_hold_off_old_orders_come_after_new_ones() {
    let old = (0..300).filter(|seed| run(Fencing::Checked, TTL, *seed).old_after_new);
    assert!(old.count() > 0);
}

async fn engine() -> (Arc<Engine>, SocketAddr) {
    let engine = Arc::new(Engine::new("engine-1", Duration::ZERO));
    let (listener, address) = listener().await;
    let serve = engine::serve(Arc::clone(&engine), listener, CancellationToken::new());
    tokio::spawn(serve);
    (engine, address)
}

fn exchange(fence: u64, model: &str) -> Exchange<Ready> {
    let permit = elected(fence, secs(0)).permit(Fencing::Checked, secs(0));
    let command = Command::new(permit.expect("a permit"), order(model));
    Exchange::new("engine-1".into(), command)
}

/// What happens to an order at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Done,
    Fenced,
}

/// Gives orders of senders in turn, and compares what became of each and what
/// the engine carried out.
fn check_engine(ignores: bool, fences: &[u64], fates: &[Fate], run: &[u64]) {
    block_on(async {
        let (engine, address) = engine().await;
        if ignores {
            engine.orders.ignore_numbers();
        }
        let client = Client::new(secs(5));
        let mut found = Vec::new();
        for fence in fences {
            let outcome = exchange(*fence, "m").send(&client, address, secs(0)).await;
            found.push(match outcome {
                Outcome::Done(_) => Fate::Done,
                Outcome::Fenced(_) => Fate::Fenced,
                Outcome::Unanswered(_, e) => panic!("{e}"),
            });
        }
        assert_eq!(found, fates);
        let carried_out: Vec<u64> = engine.orders.run().iter().map(|m| m.fence).collect();
        assert_eq!(carried_out, run);
    });
}

cases! {
    check_engine:
    in_turn(false, &[7, 9], &[Fate::Done, Fate::Done], &[7, 9]);
    an_old_senders_late_order(
        false, &[7, 9, 7], &[Fate::Done, Fate::Done, Fate::Fenced], &[7, 9],
    );
    a_doubled_order(false, &[7, 7], &[Fate::Done, Fate::Done], &[7]);
    an_old_senders_late_order_where_numbers_are_ignored(
        true, &[7, 9, 7], &[Fate::Done, Fate::Done, Fate::Done], &[7, 9, 7],
    );
    a_doubled_order_where_numbers_are_ignored(true, &[7, 7], &[Fate::Done, Fate::Done], &[7, 7]);
}

/// An order whose answer is lost goes again with its number and is carried
/// out once.
#[test]
fn an_unanswered_order_is_repeated_with_its_number() {
    block_on(async {
        let (engine, address) = engine().await;
        engine.script.set(Faults {
            lose_answer: true,
            ..Faults::default()
        });
        let client = Client::new(secs(5));
        let sent = exchange(7, "m").send(&client, address, secs(0)).await;
        let Outcome::Unanswered(order, _) = sent else {
            panic!("{sent:?}");
        };
        engine.script.set(Faults::default());
        let sent = order.repeat().send(&client, address, secs(0)).await;
        assert!(matches!(sent, Outcome::Done(_)), "{sent:?}");
        assert_eq!(engine.orders.run().len(), 1);
    });
}

/// Nothing is sent once the permit is over.
#[test]
fn an_order_is_not_sent_after_its_permit() {
    block_on(async {
        let (engine, address) = engine().await;
        let sent = exchange(7, "m")
            .send(&Client::new(secs(5)), address, secs(8))
            .await;
        assert!(matches!(sent, Outcome::Unanswered(..)), "{sent:?}");
        assert_eq!(engine.orders.run(), Vec::new());
    });
}

/// An order as it stands on the wire.
fn check_message(order: Order, want: &str) {
    let permit = elected(7, secs(0)).permit(Fencing::Checked, secs(0));
    let message = Message::from(&Command::new(permit.expect("a permit"), order));
    let text = serde_json::to_string(&message).expect("a document");
    assert_eq!(
        text,
        format!(r#"{{"fence":7,"sequence":1,"order":{want}}}"#)
    );
    let read: Message = serde_json::from_str(&text).expect("an order");
    assert_eq!(read, message);
    assert!(serde_json::from_str::<Body>(r#"{"kind":"unload"}"#).is_err());
}

cases! {
    check_message:
    a_model(order("m"), r#"{"kind":"load_model","model":"m"}"#);
    a_version(
        Order::LoadModel { model: "m".into(), version: Some("2".into()) },
        r#"{"kind":"load_model","model":"m","version":"2"}"#,
    );
    an_adapter(
        Order::LoadAdapter { model: "m".into(), adapter: "a".into() },
        r#"{"kind":"load_adapter","model":"m","adapter":"a"}"#,
    );
    a_role(
        Order::ChangeRole { role: Role::Prefill },
        r#"{"kind":"change_role","role":"prefill"}"#,
    );
}
