//! One decider for each ticket, also while it passes to another instance.

use std::time::Duration;

use chiverelay_decisions::handover::Decider;
use chiverelay_decisions::handover::DeciderTable;
use chiverelay_decisions::handover::HandoverCommit;
use chiverelay_decisions::handover::HandoverPart;
use chiverelay_decisions::handover::Sealed;
use chiverelay_decisions::settlements::ClaimSettlement;
use chiverelay_decisions::tickets::ClaimOutcome;
use chiverelay_decisions::tickets::ClaimReply;
use chiverelay_decisions::tickets::Issuer;
use chiverelay_decisions::tickets::Nonce;
use chiverelay_decisions::tickets::OperationDigest;
use chiverelay_decisions::tickets::RecordedAnswer;
use chiverelay_decisions::tickets::Ticket;
use chiverelay_decisions::tickets::TicketBounds;
use chiverelay_decisions::tickets::Validity;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::cases;

const BOUNDS: TicketBounds = TicketBounds {
    max_records: 1000,
    max_answer_bytes: 16,
    max_total_bytes: 64,
};

const NOW: Duration = Duration::from_secs(1);

fn issuer(name: usize, incarnation: u64) -> Issuer {
    Issuer::new(format!("lima-{name}").into(), incarnation, [7; 32])
}

fn deciders(name: usize, incarnation: u64) -> DeciderTable {
    DeciderTable::new(issuer(name, incarnation), BOUNDS)
}

fn ticket(serial: u64) -> Ticket {
    let validity = Validity {
        use_by: Duration::from_secs(50),
        expires: Duration::from_secs(100),
    };
    issuer(0, 0).issue(serial, validity)
}

fn claim_at(
    deciders: &mut DeciderTable,
    ticket: &Ticket,
    nonce: u128,
    now: Duration,
) -> ClaimReply {
    let operation = OperationDigest::new(None, &"deposits".into(), "/deposits", b"a");
    deciders.claim(ticket, Nonce(nonce), operation, now)
}

fn settle(ticket: &Ticket, nonce: u128, settlement: ClaimOutcome) -> ClaimSettlement {
    ClaimSettlement {
        ticket: ticket.clone(),
        nonce: Nonce(nonce),
        outcome: settlement,
    }
}

fn answer(bytes: usize) -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        headers: Vec::new(),
        body: vec![b'x'; bytes],
    }
}

/// What becomes of the messages of one hand-over of 600 records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Whole,
    Doubled,
    LastFirst,
    PartLost,
    CommitLost,
    CommitFirst,
    OldPartLate,
    HeirSealed,
    HeirFull,
}

/// What the heir says of a used, an answered, a released and an unused ticket.
fn check_fate(fate: Fate, decides: bool) {
    let mut old = deciders(0, 0);
    for serial in 0..600 {
        claim_at(&mut old, &ticket(serial), 1, NOW);
    }
    let answered = ClaimOutcome::Answered(answer(8));
    old.settle(&settle(&ticket(1), 1, answered), NOW);
    old.settle(&settle(&ticket(2), 1, ClaimOutcome::NotRun), NOW);
    let mut other_round = old.clone();
    let sealed = old.seal(1, NOW).pop().expect("the own origin");
    assert_eq!(
        claim_at(&mut old, &ticket(0), 2, NOW),
        ClaimReply::Elsewhere
    );
    let mut heir = match fate {
        Fate::HeirFull => DeciderTable::new(
            issuer(1, 0),
            TicketBounds {
                max_records: 500,
                ..BOUNDS
            },
        ),
        _ => deciders(1, 0),
    };
    if fate == Fate::HeirSealed {
        heir.seal(1, NOW);
    }
    let mut parts = sealed.parts().to_vec();
    assert_eq!(parts.len(), 3);
    match fate {
        Fate::PartLost => drop(parts.remove(1)),
        Fate::Doubled => parts.extend(parts.clone()),
        Fate::LastFirst => parts.reverse(),
        Fate::OldPartLate => {
            let stale = other_round.seal(2, NOW).pop().expect("the own origin");
            parts.push(stale.parts()[0].clone());
        }
        _ => {}
    }
    let commit = sealed.commit();
    if fate == Fate::CommitFirst {
        assert!(!heir.receive_commit(commit.clone(), NOW));
    }
    for part in parts {
        heir.receive_part(part, NOW);
    }
    assert_eq!(
        claim_at(&mut heir, &ticket(0), 3, NOW),
        ClaimReply::Elsewhere
    );
    if fate != Fate::CommitLost {
        assert_eq!(heir.receive_commit(commit.clone(), NOW), decides);
        assert_eq!(heir.receive_commit(commit, NOW), decides);
    }
    let replies = [0, 1, 2, 1000].map(|serial| claim_at(&mut heir, &ticket(serial), 4, NOW));
    let expected = match decides {
        true => [
            ClaimReply::Used,
            ClaimReply::Recorded(answer(8)),
            ClaimReply::Granted,
            ClaimReply::Granted,
        ],
        false => [const { ClaimReply::Elsewhere }; 4],
    };
    assert_eq!(replies, expected);
}

cases! {
    check_fate:
    handed_over_whole(Fate::Whole, true);
    every_part_doubled(Fate::Doubled, true);
    the_last_part_first(Fate::LastFirst, true);
    the_commit_first_and_again(Fate::CommitFirst, true);
    a_part_is_lost(Fate::PartLost, false);
    the_commit_is_lost(Fate::CommitLost, false);
    a_part_of_an_earlier_round_comes_late(Fate::OldPartLate, false);
    the_heir_has_stopped(Fate::HeirSealed, false);
    the_heir_is_full(Fate::HeirFull, false);
}

/// Clocks of instances have nothing in common; that of an origin goes on.
fn check_clock(elapsed: Duration, unused: &ClaimReply) {
    let mut old = deciders(0, 0);
    claim_at(&mut old, &ticket(0), 1, NOW);
    let sealed = old
        .seal(1, Duration::from_secs(40))
        .pop()
        .expect("the own origin");
    let mut heir = deciders(1, 0);
    let now = Duration::from_secs(7000);
    for part in sealed.parts() {
        assert!(heir.receive_part(part.clone(), now));
    }
    assert!(heir.receive_commit(sealed.commit(), now));
    assert_eq!(claim_at(&mut heir, &ticket(1), 2, now + elapsed), *unused);
}

cases! {
    check_clock:
    in_time(Duration::from_secs(9), &ClaimReply::Granted);
    too_late_for_the_first_claim(Duration::from_secs(10), &ClaimReply::Late);
    expired(Duration::from_secs(60), &ClaimReply::Invalid);
}

/// An event in a run of three instances and two tickets of the first.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A caller asks at an instance; it runs the operation or gives it back.
    Claim(usize, u64, bool),
    /// A settlement that was kept reaches an instance.
    Settle(usize, usize),
    /// An instance stops and hands over to another.
    Stop(usize, usize),
    /// A message arrives, and may arrive again.
    Deliver(usize, bool),
    /// A message is lost.
    Lose(usize),
    /// An instance ends at once and is started again.
    Kill(usize),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let (at, other) = (usize::arbitrary(g), usize::arbitrary(g));
        match u8::arbitrary(g) % 16 {
            0..5 => Self::Claim(at, other as u64 % 2, bool::arbitrary(g)),
            5 => Self::Settle(at, other),
            6..8 => Self::Stop(at, other),
            8..14 => Self::Deliver(at, bool::arbitrary(g)),
            14 => Self::Lose(at),
            _ => Self::Kill(at),
        }
    }
}

#[derive(Clone, Debug)]
enum Mail {
    Part(HandoverPart),
    Commit(HandoverCommit),
}

/// Ends an instance's deciding.
type Stop = fn(&mut DeciderTable, u64) -> Vec<Decider<Sealed>>;

/// What an instance that stops waits for before it commits.
struct Leaving {
    from: usize,
    to: usize,
    decider: Decider<Sealed>,
    taken: Vec<u32>,
}

struct Fleet {
    instances: Vec<DeciderTable>,
    starts: u64,
    mails: Vec<(usize, Mail)>,
    leaving: Vec<Leaving>,
    released: Vec<ClaimSettlement>,
    runs: [u32; 2],
    nonces: u128,
    stop: Stop,
}

impl Fleet {
    fn new(stop: Stop) -> Self {
        Self {
            instances: (0..3).map(|name| deciders(name, 0)).collect(),
            starts: 0,
            mails: Vec::new(),
            leaving: Vec::new(),
            released: Vec::new(),
            runs: [0; 2],
            nonces: 0,
            stop,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Claim(at, serial, run) => self.claim(at % 3, serial, run),
            Event::Settle(at, which) => {
                if let Some(settle) = self.released.get(which % self.released.len().max(1)) {
                    self.instances[at % 3].settle(settle, NOW);
                }
            }
            Event::Stop(at, heir) => self.leave(at % 3, heir % 3),
            Event::Deliver(which, again) => self.deliver(which, again),
            Event::Lose(which) => {
                if !self.mails.is_empty() {
                    self.mails.swap_remove(which % self.mails.len());
                }
            }
            Event::Kill(at) => {
                self.starts += 1;
                self.instances[at % 3] = deciders(at % 3, self.starts);
                self.leaving.retain(|l| l.from != at % 3);
                // Its connections end with the process.
                self.mails.retain(|(to, _)| *to != at % 3);
            }
        }
    }

    fn claim(&mut self, at: usize, serial: u64, run: bool) {
        self.nonces += 1;
        let ticket = ticket(serial);
        if claim_at(&mut self.instances[at], &ticket, self.nonces, NOW) != ClaimReply::Granted {
            return;
        }
        match run {
            true => self.runs[serial as usize] += 1,
            false => self
                .released
                .push(settle(&ticket, self.nonces, ClaimOutcome::NotRun)),
        }
    }

    fn leave(&mut self, from: usize, to: usize) {
        self.starts += 1;
        for decider in (self.stop)(&mut self.instances[from], self.starts) {
            let parts = decider.parts().iter().cloned();
            self.mails.extend(parts.map(|part| (to, Mail::Part(part))));
            let taken = Vec::new();
            self.leaving.push(Leaving {
                from,
                to,
                decider,
                taken,
            });
        }
        self.commit();
    }

    fn deliver(&mut self, which: usize, again: bool) {
        if self.mails.is_empty() {
            return;
        }
        let which = which % self.mails.len();
        let (to, mail) = self.mails[which].clone();
        if !again {
            self.mails.swap_remove(which);
        }
        match mail {
            Mail::Commit(commit) => drop(self.instances[to].receive_commit(commit, NOW)),
            Mail::Part(part) => {
                if self.instances[to].receive_part(part.clone(), NOW) {
                    for l in &mut self.leaving {
                        let sent = l.to == to && l.decider.parts().contains(&part);
                        if sent && !l.taken.contains(&part.number) {
                            l.taken.push(part.number);
                        }
                    }
                }
            }
        }
        self.commit();
    }

    fn commit(&mut self) {
        let ready = |l: &mut Leaving| l.taken.len() == l.decider.parts().len();
        for l in self.leaving.extract_if(.., ready) {
            self.mails.push((l.to, Mail::Commit(l.decider.commit())));
        }
    }
}

fn at_most_once(events: &[Event], stop: Stop) -> bool {
    let mut fleet = Fleet::new(stop);
    events.iter().for_each(|event| fleet.handle(*event));
    fleet.runs.iter().all(|runs| *runs <= 1)
}

fn check(property: fn(Vec<Event>) -> bool) -> bool {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 11))
        .tests(20_000)
        .quicktest(property)
        .is_ok()
}

/// Hands over what it goes on to decide.
fn keep_deciding(deciders: &mut DeciderTable, round: u64) -> Vec<Decider<Sealed>> {
    deciders.clone().seal(round, NOW)
}

#[test]
fn no_hand_over_makes_two_deciders() {
    assert!(check(|events| at_most_once(&events, |deciders, round| {
        deciders.seal(round, NOW)
    })));
}

#[test]
fn a_naive_hand_over_makes_two_deciders() {
    assert!(!check(|events| at_most_once(&events, keep_deciding)));
}
