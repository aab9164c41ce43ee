//! Decisions on operation tickets.

use std::collections::BTreeMap;
use std::time::Duration;

use chiverelay_decisions::tickets::ClaimOutcome;
use chiverelay_decisions::tickets::ClaimReply;
use chiverelay_decisions::tickets::Issuer;
use chiverelay_decisions::tickets::Nonce;
use chiverelay_decisions::tickets::OperationDigest;
use chiverelay_decisions::tickets::RecordedAnswer;
use chiverelay_decisions::tickets::Ticket;
use chiverelay_decisions::tickets::TicketBounds;
use chiverelay_decisions::tickets::UsedTickets;
use chiverelay_decisions::tickets::Validity;
use chiverelay_decisions::tickets::VerifiedTicket;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::cases;

const BOUNDS: TicketBounds = TicketBounds {
    max_records: 8,
    max_answer_bytes: 16,
    max_total_bytes: 32,
};

const LIFE: Duration = Duration::from_secs(10);

const VALIDITY: Validity = Validity {
    use_by: Duration::from_secs(5),
    expires: LIFE,
};

fn issuer(incarnation: u64) -> Issuer {
    Issuer::new("lima-1".into(), incarnation, [7; 32])
}

fn operation(body: &[u8]) -> OperationDigest {
    OperationDigest::new(
        Some(&"encargos".into()),
        &"deposits".into(),
        "/deposits",
        body,
    )
}

fn check_text(change: fn(&str) -> String, valid: bool) {
    let ticket = issuer(1).issue(5, VALIDITY);
    let read = change(&ticket.to_string()).parse::<Ticket>();
    let checked = read.ok().and_then(|t| issuer(1).verify(&t, Duration::ZERO));
    assert_eq!(checked.is_some(), valid);
}

cases! {
    check_text:
    as_issued(str::to_owned, true);
    empty(|_| String::new(), false);
    cut(|s| s[..s.len() - 1].to_owned(), false);
    longer(|s| format!("{s}0"), false);
    other_issuer(|s| s.replace("lima-1", "lima-2"), false);
    other_incarnation(|s| s.replace("lima-1.1.", "lima-1.2."), false);
    other_serial(|s| s.replace(".5.", ".6."), false);
    other_use_by(|s| s.replace(".1388.", ".1389."), false);
    other_expiry(|s| s.replace(".2710.", ".2711."), false);
    not_ascii(|s| format!("{}\u{e9}", &s[..s.len() - 2]), false);
}

fn check_time(incarnation: u64, now: Duration, valid: bool) {
    let ticket = issuer(1).issue(5, VALIDITY);
    assert_eq!(issuer(incarnation).verify(&ticket, now).is_some(), valid);
}

cases! {
    check_time:
    in_time(1, Duration::from_millis(9_999), true);
    expired(1, LIFE, false);
    of_an_earlier_incarnation(2, Duration::ZERO, false);
}

/// A record of claims by nonce, and what each is to be answered.
fn check_claims(steps: &[(u128, Option<ClaimOutcome>, ClaimReply)]) {
    let mut used = UsedTickets::new(BOUNDS);
    let ticket = issuer(1).issue(5, VALIDITY);
    let ticket = issuer(1)
        .verify(&ticket, Duration::ZERO)
        .expect("a valid ticket");
    for (nonce, settlement, want) in steps {
        let nonce = Nonce(*nonce);
        let reply = used.claim(ticket, nonce, operation(b"a"), Duration::ZERO);
        assert_eq!(reply, *want);
        if let Some(settlement) = settlement {
            used.settle(ticket, nonce, settlement.clone());
        }
    }
}

fn answer(bytes: usize) -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        headers: Vec::new(),
        body: vec![0; bytes],
    }
}

/// An answer whose bytes are those of one header.
fn headed(bytes: usize) -> RecordedAnswer {
    let header = ("h".to_owned(), vec![0; bytes - 1]);
    RecordedAnswer {
        headers: vec![header],
        ..answer(0)
    }
}

fn answered(bytes: usize) -> Option<ClaimOutcome> {
    Some(ClaimOutcome::Answered(answer(bytes)))
}

cases! {
    check_claims:
    same_nonce_same_reply(&[(1, None, ClaimReply::Granted), (1, None, ClaimReply::Granted)]);
    second_claim(&[(1, None, ClaimReply::Granted), (2, None, ClaimReply::Used)]);
    not_run(&[
        (1, Some(ClaimOutcome::NotRun), ClaimReply::Granted),
        (2, None, ClaimReply::Granted),
        (3, None, ClaimReply::Used),
    ]);
    late_copy_of_a_claim_not_run(&[
        (1, Some(ClaimOutcome::NotRun), ClaimReply::Granted),
        (1, None, ClaimReply::Used),
        (2, None, ClaimReply::Granted),
    ]);
    recorded(&[
        (1, answered(16), ClaimReply::Granted),
        (2, None, ClaimReply::Recorded(answer(16))),
    ]);
    too_long_to_record(&[(1, answered(17), ClaimReply::Granted), (2, None, ClaimReply::Used)]);
    recorded_headers(&[
        (1, Some(ClaimOutcome::Answered(headed(16))), ClaimReply::Granted),
        (2, None, ClaimReply::Recorded(headed(16))),
    ]);
    too_long_headers(&[
        (1, Some(ClaimOutcome::Answered(headed(17))), ClaimReply::Granted),
        (2, None, ClaimReply::Used),
    ]);
    settled_by_another(&[
        (1, None, ClaimReply::Granted),
        (2, Some(ClaimOutcome::NotRun), ClaimReply::Used),
        (3, None, ClaimReply::Used),
    ]);
}

fn claim_at(used: &mut UsedTickets, serial: u64, body: &[u8], now: Duration) -> ClaimReply {
    let ticket = issuer(1).issue(serial, VALIDITY);
    match issuer(1).verify(&ticket, now) {
        None => ClaimReply::Invalid,
        Some(ticket) => used.claim(ticket, Nonce(u128::from(serial)), operation(body), now),
    }
}

#[test]
fn another_operation_is_refused() {
    let mut used = UsedTickets::new(BOUNDS);
    assert_eq!(
        claim_at(&mut used, 1, b"a", Duration::ZERO),
        ClaimReply::Granted
    );
    assert_eq!(
        claim_at(&mut used, 1, b"b", Duration::ZERO),
        ClaimReply::Mismatch
    );
}

#[test]
fn a_full_table_grants_nothing_and_forgets_nothing() {
    let mut used = UsedTickets::new(BOUNDS);
    for serial in 0..8 {
        assert_eq!(
            claim_at(&mut used, serial, b"a", Duration::ZERO),
            ClaimReply::Granted
        );
    }
    assert_eq!(
        claim_at(&mut used, 8, b"a", Duration::ZERO),
        ClaimReply::Full
    );
    assert_eq!(used.len(), 8);
}

#[test]
fn a_first_claim_can_come_too_late() {
    let mut used = UsedTickets::new(BOUNDS);
    let late = VALIDITY.use_by;
    assert_eq!(
        claim_at(&mut used, 1, b"a", Duration::ZERO),
        ClaimReply::Granted
    );
    assert_eq!(claim_at(&mut used, 1, b"a", late), ClaimReply::Granted);
    assert_eq!(claim_at(&mut used, 2, b"a", late), ClaimReply::Late);
}

#[test]
fn records_end_with_their_tickets() {
    let mut used = UsedTickets::new(BOUNDS);
    assert_eq!(
        claim_at(&mut used, 1, b"a", Duration::ZERO),
        ClaimReply::Granted
    );
    assert_eq!(claim_at(&mut used, 1, b"a", LIFE), ClaimReply::Invalid);
    let later = Validity {
        use_by: LIFE * 2,
        expires: LIFE * 2,
    };
    let later = issuer(1).issue(2, later);
    let later = issuer(1).verify(&later, LIFE).expect("a valid ticket");
    used.claim(later, Nonce(2), operation(b"a"), LIFE);
    assert_eq!(used.len(), 1);
}

/// What decides on claims: the issuer's table, or one that is too simple.
trait Decide {
    fn claim(&mut self, ticket: &Ticket, nonce: Nonce, now: Duration) -> ClaimReply;
    fn settle(&mut self, ticket: &Ticket, nonce: Nonce, settlement: ClaimOutcome, now: Duration);
    fn restart(&mut self);
}

struct Real {
    incarnation: u64,
    used: UsedTickets,
}

impl Real {
    fn new() -> Self {
        Self {
            incarnation: 0,
            used: UsedTickets::new(BOUNDS),
        }
    }

    fn check(&self, ticket: &Ticket, now: Duration) -> Option<VerifiedTicket> {
        issuer(self.incarnation).verify(ticket, now)
    }
}

impl Decide for Real {
    fn claim(&mut self, ticket: &Ticket, nonce: Nonce, now: Duration) -> ClaimReply {
        match self.check(ticket, now) {
            None => ClaimReply::Invalid,
            Some(ticket) => self.used.claim(ticket, nonce, operation(b"a"), now),
        }
    }

    fn settle(&mut self, ticket: &Ticket, nonce: Nonce, settlement: ClaimOutcome, now: Duration) {
        if let Some(ticket) = self.check(ticket, now) {
            self.used.settle(ticket, nonce, settlement);
        }
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.used = UsedTickets::new(BOUNDS);
    }
}

/// Remembers tickets by text alone and forgets them at a restart.
#[derive(Default)]
struct Naive {
    used: BTreeMap<String, Nonce>,
}

impl Decide for Naive {
    fn claim(&mut self, ticket: &Ticket, nonce: Nonce, _: Duration) -> ClaimReply {
        let holder = *self.used.entry(ticket.to_string()).or_insert(nonce);
        match holder == nonce {
            true => ClaimReply::Granted,
            false => ClaimReply::Used,
        }
    }

    fn settle(&mut self, ticket: &Ticket, _: Nonce, settlement: ClaimOutcome, _: Duration) {
        if settlement == ClaimOutcome::NotRun {
            self.used.remove(&ticket.to_string());
        }
    }

    fn restart(&mut self) {
        self.used.clear();
    }
}

/// An event in a run of claims of one ticket.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A claimer sends its claim, or sends it again.
    Send(usize),
    /// The issuer takes a message that is on its way; it may stay there, as
    /// if it were doubled.
    Take(usize, bool),
    /// A claimer gets a reply that is on its way.
    Reply(usize),
    /// A claimer gives up waiting; any later grant is dropped.
    GiveUp(usize),
    /// A claimer ends: answered, or never dispatched.
    End(usize, bool),
    /// The issuer restarts.
    Restart,
    /// Time passes.
    Pass,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let at = usize::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..4 => Self::Send(at),
            4..8 => Self::Take(at, bool::arbitrary(g)),
            8..11 => Self::Reply(at),
            11 => Self::GiveUp(at),
            12..14 => Self::End(at, bool::arbitrary(g)),
            14 => Self::Restart,
            _ => Self::Pass,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Claimer {
    Waiting,
    Dispatched,
    Over,
}

enum Mail {
    Claim(usize),
    Settle(usize, ClaimOutcome),
}

/// Plays a run and returns how often the operation was dispatched.
fn dispatches<D>(mut decide: D, events: &[Event]) -> u32
where
    D: Decide,
{
    const CLAIMERS: usize = 5;
    let ticket = issuer(0).issue(1, VALIDITY);
    let mut now = Duration::ZERO;
    let mut claimers = [Claimer::Waiting; CLAIMERS];
    let mut mail: Vec<Mail> = Vec::new();
    let mut replies: Vec<(usize, ClaimReply)> = Vec::new();
    let mut ran = 0;
    for event in events {
        match *event {
            Event::Send(i) => {
                let i = i % CLAIMERS;
                if claimers[i] == Claimer::Waiting {
                    mail.push(Mail::Claim(i));
                }
            }
            Event::Take(at, doubled) if !mail.is_empty() => {
                let at = at % mail.len();
                match &mail[at] {
                    Mail::Claim(i) => {
                        let reply = decide.claim(&ticket, Nonce(*i as u128), now);
                        replies.push((*i, reply));
                    }
                    Mail::Settle(i, settlement) => {
                        decide.settle(&ticket, Nonce(*i as u128), settlement.clone(), now);
                    }
                }
                if !doubled {
                    mail.remove(at);
                }
            }
            Event::Reply(at) if !replies.is_empty() => {
                let (i, reply) = replies.remove(at % replies.len());
                if claimers[i] == Claimer::Waiting {
                    claimers[i] = match reply.into_grant() {
                        Ok(_) => Claimer::Dispatched,
                        Err(_) => Claimer::Over,
                    };
                }
            }
            Event::GiveUp(i) => {
                let i = i % CLAIMERS;
                if claimers[i] == Claimer::Waiting {
                    claimers[i] = Claimer::Over;
                }
            }
            Event::End(i, runs) => {
                let i = i % CLAIMERS;
                if claimers[i] == Claimer::Dispatched {
                    claimers[i] = Claimer::Over;
                    ran += u32::from(runs);
                    let settlement = match runs {
                        true => ClaimOutcome::Answered(answer(1)),
                        false => ClaimOutcome::NotRun,
                    };
                    mail.push(Mail::Settle(i, settlement));
                }
            }
            Event::Restart => decide.restart(),
            Event::Pass => now += Duration::from_secs(1),
            Event::Take(..) | Event::Reply(_) => {}
        }
    }
    // Whoever still has leave may run the operation.
    ran + claimers
        .iter()
        .filter(|c| **c == Claimer::Dispatched)
        .count() as u32
}

fn at_most_once(events: Vec<Event>) -> bool {
    dispatches(Real::new(), &events) <= 1
}

fn at_most_once_naive(events: Vec<Event>) -> bool {
    dispatches(Naive::default(), &events) <= 1
}

fn check(property: fn(Vec<Event>) -> bool) -> bool {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(20_000)
        .quicktest(property as fn(Vec<Event>) -> bool)
        .is_ok()
}

#[test]
fn no_run_of_claims_dispatches_twice() {
    assert!(check(at_most_once));
}

#[test]
fn a_naive_table_dispatches_twice() {
    assert!(!check(at_most_once_naive));
}
