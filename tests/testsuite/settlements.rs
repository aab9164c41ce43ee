//! Settlements that are lost are told again.

use std::time::Duration;

use chiverelay_decisions::backoff::Backoff;
use chiverelay_decisions::settlements::ClaimSettlement;
use chiverelay_decisions::settlements::Delivery;
use chiverelay_decisions::settlements::PendingSettlements;
use chiverelay_decisions::settlements::SettlementBounds;
use chiverelay_decisions::tickets::ClaimOutcome;
use chiverelay_decisions::tickets::Issuer;
use chiverelay_decisions::tickets::Nonce;
use chiverelay_decisions::tickets::RecordedAnswer;
use chiverelay_decisions::tickets::Validity;
use chiverelay_standin::faults::Faults;
use support::block_on;
use support::cases;
use support::shop::Mark;
use support::shop::Shop;
use support::site::Site;
use support::site::eventually;

const SECOND: Duration = Duration::from_secs(1);

const BOUNDS: SettlementBounds = SettlementBounds {
    max_settlements: 3,
    max_bytes: 100,
    ttl: Duration::from_secs(60),
    no_decider_timeout: Duration::from_secs(5),
    backoff: Backoff {
        base: SECOND,
        cap: Duration::from_secs(4),
    },
};

fn settle(issuer: &str, nonce: u128, settlement: ClaimOutcome) -> ClaimSettlement {
    let validity = Validity {
        use_by: SECOND,
        expires: SECOND,
    };
    ClaimSettlement {
        ticket: Issuer::new(issuer.into(), 1, [7; 32]).issue(nonce as u64, validity),
        nonce: Nonce(nonce),
        outcome: settlement,
    }
}

fn answered(bytes: usize) -> ClaimOutcome {
    ClaimOutcome::Answered(RecordedAnswer {
        status: 200,
        headers: Vec::new(),
        body: vec![b'x'; bytes],
    })
}

/// What is left of settlements that do not fit together.
fn check_full(kept: &[ClaimOutcome], left: &[u128]) {
    let mut unsettled = PendingSettlements::new(BOUNDS);
    let mut dropped = 0;
    for (nonce, settlement) in kept.iter().enumerate() {
        let settle = settle("lima-1", nonce as u128, settlement.clone());
        dropped += unsettled.add(settle, Duration::ZERO, 0);
    }
    assert_eq!(dropped, kept.len() - left.len());
    let mut found = Vec::new();
    while let Some(first) = unsettled.take_due(SECOND, SECOND).pop() {
        found.push(first.nonce.0);
        unsettled.record_delivery(&first, Delivery::Accepted, SECOND, 0);
    }
    assert_eq!(found, left);
    assert!(unsettled.is_empty());
}

cases! {
    check_full:
    all_fit(&[answered(50), ClaimOutcome::NotRun, answered(50)], &[0, 1, 2]);
    the_oldest_answer_goes_first(&[ClaimOutcome::NotRun, answered(60), answered(60)], &[0, 2]);
    then_the_oldest_release(&[const { ClaimOutcome::NotRun }; 5], &[2, 3, 4]);
    an_answer_too_large_for_all(&[ClaimOutcome::NotRun, answered(101)], &[0]);
}

/// How many of two settlements are left after tries with these ends, five
/// seconds apart.
fn check_tries(told: &[Delivery], left: usize) {
    let mut unsettled = PendingSettlements::new(BOUNDS);
    for nonce in [0, 1] {
        unsettled.add(settle("lima-1", nonce, ClaimOutcome::NotRun), SECOND, 0);
    }
    let mut now = SECOND;
    for told in told {
        now += 5 * SECOND;
        let due = unsettled.take_due(now, SECOND);
        assert!(
            unsettled.take_due(now, SECOND).is_empty(),
            "told twice at once"
        );
        for settle in due {
            unsettled.record_delivery(&settle, *told, now, u64::MAX);
        }
    }
    unsettled.expire(now);
    assert_eq!(unsettled.len(), left);
}

cases! {
    check_tries:
    lost_tries_are_repeated(&[Delivery::NoReply, Delivery::NoReply, Delivery::Accepted], 1);
    taken_by_the_decider(&[Delivery::Accepted, Delivery::Accepted], 0);
    an_origin_that_is_gone(&[Delivery::NoDecider, Delivery::NoDecider], 0);
    an_origin_that_is_found_late(&[Delivery::NoDecider, Delivery::NoReply, Delivery::NoDecider], 2);
    kept_for_its_life_at_most(&[Delivery::NoReply; 12], 0);
}

#[test]
fn an_issuer_that_is_out_holds_up_no_other() {
    let mut unsettled = PendingSettlements::new(BOUNDS);
    for (nonce, issuer) in [(0, "lima-1"), (1, "lima-1"), (2, "cusco-1")] {
        unsettled.add(settle(issuer, nonce, ClaimOutcome::NotRun), SECOND, 0);
    }
    let due = unsettled.take_due(SECOND, SECOND);
    assert_eq!(due.len(), 2, "one try for each issuer");
    for settle in &due {
        let told = match settle.ticket.issuer().as_str() {
            "lima-1" => Delivery::NoReply,
            _ => Delivery::Accepted,
        };
        unsettled.record_delivery(settle, told, SECOND, u64::MAX);
    }
    assert_eq!(unsettled.len(), 2);
    assert!(unsettled.next_attempt().is_some_and(|due| due > SECOND));
    unsettled.retry_now(SECOND);
    assert_eq!(unsettled.next_attempt(), Some(SECOND));
}

/// Keeps settlements and tells them, each try with one of these ends; counts
/// those that were taken.
trait Settler {
    fn settle(&mut self, settle: ClaimSettlement, told: Delivery);
    fn taken(self, later: &[Delivery]) -> usize;
}

struct Kept(PendingSettlements);

impl Settler for Kept {
    fn settle(&mut self, settle: ClaimSettlement, told: Delivery) {
        self.0.add(settle.clone(), Duration::ZERO, 0);
        self.0.record_delivery(&settle, told, Duration::ZERO, 0);
    }

    fn taken(mut self, later: &[Delivery]) -> usize {
        let mut taken = 0;
        for (at, told) in (1..).zip(later) {
            let now = 4 * SECOND * at;
            for settle in self.0.take_due(now, SECOND) {
                self.0.record_delivery(&settle, *told, now, u64::MAX);
                taken += usize::from(*told == Delivery::Accepted);
            }
        }
        taken
    }
}

/// Tells each settlement once.
struct Naive(usize);

impl Settler for Naive {
    fn settle(&mut self, _: ClaimSettlement, told: Delivery) {
        self.0 += usize::from(told == Delivery::Accepted);
    }

    fn taken(self, _: &[Delivery]) -> usize {
        self.0
    }
}

fn check_lost<S>(mut settler: S, taken: usize)
where
    S: Settler,
{
    for nonce in 0..3 {
        settler.settle(
            settle("lima-1", nonce, ClaimOutcome::NotRun),
            Delivery::NoReply,
        );
    }
    let later = [[Delivery::NoReply; 4], [Delivery::Accepted; 4]].concat();
    assert_eq!(settler.taken(&later), taken);
}

cases! {
    check_lost:
    every_lost_settlement_is_taken_later(Kept(PendingSettlements::new(BOUNDS)), 3);
    a_naive_settler_loses_them(Naive(0), 0);
}

/// The issuer can't be reached while the answer comes in.
#[test]
fn a_lost_settlement_is_told_again() {
    block_on(async {
        let site = Site::start_linked(&[("lima-1", "lima"), ("lima-2", "lima")]).await;
        let mut shop = Shop::at(site, "lima").await;
        shop.mark(Mark::Ticket, "lima-2").await;
        shop.set(Faults {
            answer_delay_ms: 1000,
            ..Faults::default()
        });
        let cut = async {
            eventually("the deposit runs", async || shop.runs() == 1).await;
            shop.site.cut("lima-2");
        };
        let (first, ()) = tokio::join!(shop.deposit("lima-1"), cut);
        let first = first.expect("an answer");
        assert_eq!(first.status, 200, "{}", first.text());
        eventually("the first try is over", async || {
            let page = shop.site.daemon("lima-1").client().events().await;
            let events = page.expect("the newest events").events;
            events.iter().any(|e| e.what == "a settlement is kept")
        })
        .await;
        let again = shop.deposit("lima-2").await.expect("an answer");
        assert_eq!(again.refusal().0, "already_used", "{}", again.text());
        shop.site.mend("lima-2");
        eventually("the issuer has the answer", async || {
            let again = shop.deposit("lima-2").await.expect("an answer");
            again.status == 200 && again.text() == first.text()
        })
        .await;
        assert_eq!(shop.runs(), 1);
    });
}
