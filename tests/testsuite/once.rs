//! Requests that may not be repeated run at most once, and refusals are true.

use chiverelay_standin::faults::Faults;
use chiverelay_standin::faults::Reset;
use serde_json::json;
use support::block_on;
use support::caller;
use support::cases;
use support::shop::Mark;
use support::shop::Shop;
use support::site::document;
use support::site::eventually;

fn refusal(code: &str, outcome: &str) -> (String, String) {
    (code.to_owned(), outcome.to_owned())
}

const BOTH: [(&str, &str); 2] = [("lima-1", "lima"), ("lima-2", "lima")];

/// A fault at the service, then attempts at both instances without it.
fn check_fault(faults: Faults, code: &str, runs: u64) {
    block_on(async {
        for mark in [Mark::None, Mark::Ticket, Mark::Key] {
            let mut shop = Shop::open(&BOTH, "lima").await;
            shop.mark(mark, "lima-2").await;
            shop.set(faults.clone());
            let answer = shop.deposit("lima-1").await.expect("an answer");
            assert_eq!(answer.refusal(), refusal(code, "unknown"), "{mark:?}");
            assert_eq!(shop.runs(), runs, "{mark:?}");
            shop.set(Faults::default());
            if mark != Mark::None {
                shop.retry().await;
                let again = shop.deposit("lima-2").await.expect("an answer");
                assert_eq!(again.refusal(), refusal("already_used", "unknown"));
                assert_eq!(shop.runs(), runs, "{mark:?}");
            }
        }
    });
}

fn reset(reset: Reset) -> Faults {
    Faults {
        reset: Some(reset),
        ..Faults::default()
    }
}

fn freeze() -> Faults {
    Faults {
        freeze: true,
        ..Faults::default()
    }
}

fn slow() -> Faults {
    Faults {
        answer_delay_ms: 60_000,
        ..Faults::default()
    }
}

cases! {
    check_fault:
    reset_before_the_body(reset(Reset::BeforeBody), "target_failed", 0);
    reset_within_the_body(reset(Reset::WithinBody), "target_failed", 0);
    reset_after_the_body(reset(Reset::AfterBody), "target_failed", 1);
    target_frozen(freeze(), "deadline_exceeded", 0);
    target_slow_past_the_deadline(slow(), "deadline_exceeded", 1);
}

/// The target refuses connections at first, then takes them.
fn check_refused_connection(mark: Mark) {
    block_on(async {
        let mut shop = Shop::open(&BOTH, "lima").await;
        shop.mark(mark, "lima-2").await;
        let (_, open) = shop.site.service().await;
        let closed = {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
            listener.local_addr().expect("an address")
        };
        shop.configure(closed, "lima").await;
        let answer = shop.deposit("lima-1").await.expect("an answer");
        assert_eq!(answer.refusal(), refusal("unavailable", "not_run"));
        shop.configure(open, "lima").await;
        eventually("a later attempt runs", async || {
            let answer = shop.deposit("lima-1").await.expect("an answer");
            if answer.status == 200 {
                return true;
            }
            assert_eq!(answer.refusal(), refusal("unavailable", "not_run"));
            false
        })
        .await;
    });
}

cases! {
    check_refused_connection:
    connection_refused(Mark::None);
    connection_refused_with_ticket(Mark::Ticket);
    connection_refused_with_key(Mark::Key);
}

/// The answer is cut or lost after the service ran the deposit.
fn check_lost_answer(mark: Mark) {
    block_on(async {
        let mut shop = Shop::open(&BOTH, "lima").await;
        shop.mark(mark, "lima-1").await;
        shop.set(Faults {
            lose_answer: true,
            ..Faults::default()
        });
        let lost = shop.deposit("lima-1").await;
        assert!(lost.is_err() || lost.is_ok_and(|a| !a.whole || a.status != 200));
        assert_eq!(shop.runs(), 1);
        shop.set(Faults::default());
        if mark != Mark::None {
            shop.retry().await;
            let again = shop.deposit("lima-2").await.expect("an answer");
            assert_eq!(again.refusal(), refusal("already_used", "unknown"));
        }
    });
}

cases! {
    check_lost_answer:
    answer_lost(Mark::None);
    answer_lost_with_ticket(Mark::Ticket);
    answer_lost_with_key(Mark::Key);
}

/// A whole answer is given again to whoever asks again.
fn check_recorded(mark: Mark, issuer: &str) {
    block_on(async {
        let mut shop = Shop::open(&BOTH, "lima").await;
        shop.mark(mark, issuer).await;
        let first = shop.deposit("lima-1").await.expect("an answer");
        assert_eq!(first.status, 200, "{}", first.text());
        for instance in ["lima-1", "lima-2"] {
            let again = shop.deposit(instance).await.expect("an answer");
            assert_eq!((again.status, again.text()), (first.status, first.text()));
            assert_eq!(again.headers["idempotent-replayed"], "true");
        }
        let other = shop
            .deposit_of("lima-2", json!({"order": 2}))
            .await
            .expect("an answer");
        assert_eq!(other.refusal(), refusal("already_used", "unknown"));
        let message = &other.json()["error"]["message"];
        let message = message.as_str().unwrap_or_default();
        assert!(message.contains("another path or body"), "{message}");
        assert_eq!(shop.runs(), 1);
    });
}

cases! {
    check_recorded:
    recorded_answer_by_own_ticket(Mark::Ticket, "lima-1");
    recorded_answer_by_ticket_of_a_sibling(Mark::Ticket, "lima-2");
    recorded_answer_by_key(Mark::Key, "lima-1");
}

/// The caller leaves while the deposit runs and asks again elsewhere.
fn check_caller_gone(mark: Mark) {
    block_on(async {
        let mut shop = Shop::open(&BOTH, "lima").await;
        shop.mark(mark, "lima-2").await;
        shop.set(Faults {
            answer_delay_ms: 700,
            ..Faults::default()
        });
        tokio::select! {
            answer = shop.deposit("lima-1") => panic!("an early answer: {answer:?}"),
            () = eventually("the deposit runs", async || shop.runs() == 1) => {}
        }
        shop.set(Faults::default());
        eventually("the recorded answer", async || {
            let answer = shop.deposit("lima-2").await.expect("an answer");
            if answer.status == 200 {
                return true;
            }
            assert_eq!(answer.refusal(), refusal("already_used", "unknown"));
            false
        })
        .await;
        assert_eq!(shop.runs(), 1);
    });
}

cases! {
    check_caller_gone:
    caller_gone_with_ticket(Mark::Ticket);
    caller_gone_with_key(Mark::Key);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Killed,
    Replaced,
    Frozen,
}

/// The ticket's issuer is gone, replaced or paused before the claim.
fn check_issuer(loss: Loss, code: &str) {
    block_on(async {
        let mut shop = Shop::open(&BOTH, "lima").await;
        shop.mark(Mark::Ticket, "lima-2").await;
        let process = &mut shop.site.daemon_mut("lima-2").process;
        match loss {
            Loss::Frozen => process.freeze(),
            Loss::Killed | Loss::Replaced => process.kill(),
        }
        if loss == Loss::Replaced {
            shop.site.start_daemon("lima-2", "lima", &json!({}));
            shop.site.joined().await;
        }
        let answer = shop.deposit("lima-1").await.expect("an answer");
        assert_eq!(answer.refusal().1, "unknown");
        assert_eq!(shop.runs(), 0);
        if loss != Loss::Frozen {
            shop.until_refused("lima-1", code).await;
            assert_eq!(shop.runs(), 0);
            return;
        }
        shop.site.daemon("lima-2").process.thaw();
        // The late claim was granted or was lost on its way; the issuer knows.
        eventually("the issuer decides", async || {
            let answer = shop.deposit("lima-1").await.expect("an answer");
            if answer.status == 200 {
                assert_eq!(shop.runs(), 1);
                return true;
            }
            assert_eq!(answer.refusal().1, "unknown", "{}", answer.text());
            assert_eq!(shop.runs(), 0);
            answer.refusal().0 == code
        })
        .await;
    });
}

cases! {
    check_issuer:
    issuer_killed(Loss::Killed, "state_unavailable");
    issuer_replaced(Loss::Replaced, "already_used");
    issuer_paused_and_resumed(Loss::Frozen, "already_used");
}

/// The instance that runs the deposit is killed and replaced, or paused.
fn check_holder(mark: Mark, loss: Loss) {
    block_on(async {
        let mut shop = Shop::open(&BOTH, "lima").await;
        shop.mark(mark, "lima-2").await;
        shop.set(Faults {
            answer_delay_ms: 2000,
            ..Faults::default()
        });
        let first = {
            let deposit = shop.deposit("lima-1");
            tokio::pin!(deposit);
            tokio::select! {
                answer = &mut deposit => panic!("an early answer: {answer:?}"),
                () = eventually("the deposit runs", async || shop.runs() == 1) => {}
            }
            if loss == Loss::Frozen {
                shop.site.daemon("lima-1").process.freeze();
                let answer = shop.deposit("lima-2").await.expect("an answer");
                assert_eq!(answer.refusal().1, "unknown", "{}", answer.text());
                shop.site.daemon("lima-1").process.thaw();
                Some(deposit.await.expect("an answer"))
            } else {
                None
            }
        };
        shop.set(Faults::default());
        if let Some(first) = first {
            assert_eq!(first.status, 200, "{}", first.text());
        } else {
            shop.site.daemon_mut("lima-1").process.kill();
            shop.site.start_daemon("lima-1", "lima", &json!({}));
            shop.site.joined().await;
            shop.site.in_force(2).await;
            shop.retry().await;
            shop.until_refused("lima-2", "already_used").await;
        }
        assert_eq!(shop.runs(), 1);
    });
}

cases! {
    check_holder:
    holder_replaced_with_ticket(Mark::Ticket, Loss::Replaced);
    holder_replaced_with_key(Mark::Key, Loss::Replaced);
    holder_paused_and_resumed_with_ticket(Mark::Ticket, Loss::Frozen);
    holder_paused_and_resumed_with_key(Mark::Key, Loss::Frozen);
}

/// The instance that was granted the deposit is paused while it waits for a
/// slot of the target, which another deposit has. It issued the ticket of a
/// key itself, so that nobody decides on that meanwhile.
fn check_frozen_before_dispatch(mark: Mark, code: &str) {
    block_on(async {
        let mut shop = Shop::open(&BOTH, "lima").await;
        let (service, address) = shop.site.service().await;
        let mut doc = document(&[], &[("orders-1", address, "lima")]);
        doc["pools"]["orders"]["slots"] = json!(1);
        shop.site.apply("lima-1", doc).await;
        shop.mark(mark, "lima-2").await;
        service.script.set(Faults {
            answer_delay_ms: 1500,
            ..Faults::default()
        });
        let runs = |order: u64| {
            let runs = service.runs();
            runs.get(&json!({"order": order}).to_string()).copied()
        };
        let holder = shop.site.daemon("lima-1");
        let first = json!({"order": 0});
        let first = caller::post(holder.caller, "/deposits", &shop.key, &first);
        let steps = async {
            eventually("the slot is taken", async || runs(0) == Some(1)).await;
            let waits = async {
                eventually("the deposit waits", async || {
                    let page = holder.client().events().await.expect("the newest events");
                    page.events.iter().any(|e| e.what == "waits for a slot")
                })
                .await;
                holder.process.freeze();
                assert_eq!(runs(1), None);
                let again = shop.deposit("lima-2").await.expect("an answer");
                assert_eq!(again.refusal(), refusal(code, "unknown"));
                assert_eq!(runs(1), None);
                holder.process.thaw();
            };
            let (answer, ()) = tokio::join!(shop.deposit("lima-1"), waits);
            if answer.expect("an answer").refusal().1 == "not_run" {
                assert_eq!(runs(1), None);
            }
        };
        let (_, ()) = tokio::join!(first, steps);
        eventually("the recorded answer", async || {
            let again = shop.deposit("lima-2").await.expect("an answer");
            again.status == 200
        })
        .await;
        assert_eq!(runs(1), Some(1));
    });
}

cases! {
    check_frozen_before_dispatch:
    frozen_before_dispatch_with_ticket(Mark::Ticket, "already_used");
    frozen_before_dispatch_with_key(Mark::Key, "state_unavailable");
}

/// The sibling that has the forwarded deposit is killed.
fn check_sibling_killed(dispatched: bool, mark: Mark) {
    block_on(async {
        let daemons = [("lima-1", "lima"), ("cusco-1", "cusco")];
        let mut shop = Shop::open(&daemons, "cusco").await;
        shop.mark(mark, "lima-1").await;
        shop.set(Faults {
            answer_delay_ms: 60_000,
            ..Faults::default()
        });
        if !dispatched {
            shop.site.daemon_mut("cusco-1").process.kill();
        }
        let mut site = std::mem::take(&mut shop.site.daemons);
        let mut cusco = site.remove("cusco-1").expect("a daemon");
        shop.site.daemons = site;
        let answer = {
            let deposit = shop.deposit("lima-1");
            tokio::pin!(deposit);
            if dispatched {
                tokio::select! {
                    answer = &mut deposit => panic!("an early answer: {answer:?}"),
                    () = eventually("the deposit runs", async || shop.runs() == 1) => {}
                }
                cusco.process.kill();
            }
            deposit.await.expect("an answer")
        };
        if dispatched {
            assert_eq!(answer.refusal().1, "unknown", "{}", answer.text());
        }
        assert_eq!(shop.runs(), u64::from(dispatched));
        if mark != Mark::None {
            shop.deposit("lima-1").await.expect("an answer");
        }
        assert_eq!(shop.runs(), u64::from(dispatched));
    });
}

cases! {
    check_sibling_killed:
    sibling_killed_before_dispatch(false, Mark::None);
    sibling_killed_after_dispatch(true, Mark::None);
    sibling_killed_before_dispatch_with_ticket(false, Mark::Ticket);
    sibling_killed_after_dispatch_with_ticket(true, Mark::Ticket);
    sibling_killed_before_dispatch_with_key(false, Mark::Key);
    sibling_killed_after_dispatch_with_key(true, Mark::Key);
}

/// Faults of the store under a deposit with an idempotency key.
fn check_store(faults: Faults) {
    block_on(async {
        let mut shop = Shop::open(&BOTH, "lima").await;
        shop.mark(Mark::Key, "lima-1").await;
        shop.site.store.script.set(faults);
        let answer = shop.deposit("lima-1").await.expect("an answer");
        assert_eq!(answer.refusal(), refusal("state_unavailable", "unknown"));
        assert_eq!(shop.runs(), 0);
        shop.mark(Mark::Ticket, "lima-2").await;
        let answer = shop.deposit("lima-1").await.expect("an answer");
        assert_eq!(answer.status, 200, "a ticket needs no store");
        shop.site.store.script.set(Faults::default());
    });
}

cases! {
    check_store:
    store_out(Faults { refuse: true, ..Faults::default() });
    store_frozen(freeze());
}

#[test]
fn store_answers_lost() {
    block_on(async {
        let mut shop = Shop::open(&BOTH, "lima").await;
        shop.mark(Mark::Key, "lima-1").await;
        shop.site.store.script.set(Faults {
            lose_answer: true,
            ..Faults::default()
        });
        let answer = shop.deposit("lima-1").await.expect("an answer");
        assert_eq!(answer.refusal().1, "unknown", "{}", answer.text());
        assert_eq!(shop.runs(), 0);
        shop.site.store.script.set(Faults::default());
        eventually("a later attempt runs", async || {
            let answer = shop.deposit("lima-2").await.expect("an answer");
            answer.status == 200
        })
        .await;
        assert_eq!(shop.runs(), 1);
    });
}

/// A later attempt that is refused before it is routed says nothing of the
/// first one.
#[test]
fn unreadable_attempt_says_unknown() {
    block_on(async {
        let mut shop = Shop::open(&BOTH, "lima").await;
        shop.mark(Mark::Key, "lima-1").await;
        let first = shop.deposit("lima-1").await.expect("an answer");
        assert_eq!(first.status, 200, "{}", first.text());
        let headers = [("idempotency-key", "deposit-1"), ("x-api-key", "another")];
        let address = shop.site.daemon("lima-1").caller;
        let body = json!({"order": 1});
        let answer = caller::post_with(address, "/deposits", &shop.key, &headers, &body)
            .await
            .expect("an answer");
        assert_eq!(answer.refusal(), refusal("unauthenticated", "unknown"));
    });
}
