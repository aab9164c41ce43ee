//! What an instance does about its record in the store.

use chiverelay_decisions::registration::Content;
use chiverelay_decisions::registration::ProcessRecord;
use chiverelay_decisions::registration::RecordStep;
use chiverelay_decisions::registration::Registration;
use chiverelay_decisions::registration::Standing;
use chiverelay_decisions::revision::StoreRevision;
use support::cases;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Record {
    process: u64,
    is_ready: bool,
}

impl ProcessRecord for Record {
    fn incarnation(&self) -> u64 {
        self.process
    }
}

const MEANT: Record = Record {
    process: 1,
    is_ready: true,
};

const OTHER: Record = Record {
    process: 2,
    is_ready: true,
};

const EARLIER: Record = Record {
    process: 1,
    is_ready: false,
};

fn read(era: u64, number: u64, content: Content<Record>) -> Standing<Record> {
    let revision = StoreRevision { era, number };
    Standing { revision, content }
}

/// A process that wrote its record at revision 10 of the first era, and then read
/// something under its name.
fn after_its_write(then: Standing<Record>, step: RecordStep, expected: u64) {
    let mut registration = Registration::default();
    let era = then.revision.era;
    registration.written(MEANT, StoreRevision { era: 1, number: 10 });
    registration.observe(then);
    assert_eq!(registration.next_step(&MEANT), step);
    assert_eq!(registration.replaced_revision(era), expected);
}

cases! {
    after_its_write:
    nothing_earlier(read(1, 9, Content::Nothing), RecordStep::Keep, 10);
    nothing_since(read(1, 10, Content::Nothing), RecordStep::Write, 0);
    another_earlier(read(1, 9, Content::Record(OTHER)), RecordStep::Keep, 10);
    another_since(read(1, 11, Content::Record(OTHER)), RecordStep::WriteAnew, 11);
    another_of_a_later_era(read(2, 3, Content::Record(OTHER)), RecordStep::Write, 3);
    its_own_again(read(1, 12, Content::Record(MEANT)), RecordStep::Keep, 12);
    its_own_in_an_earlier_state(read(1, 12, Content::Record(EARLIER)), RecordStep::Write, 12);
    no_record(read(1, 12, Content::Unreadable), RecordStep::Write, 12);
}

/// A process that has not written its record reads something under its name.
fn before_its_write(then: Standing<Record>, step: RecordStep, expected: u64) {
    let mut registration = Registration::default();
    let era = then.revision.era;
    registration.observe(then);
    assert_eq!(registration.next_step(&MEANT), step);
    assert_eq!(registration.replaced_revision(era), expected);
}

cases! {
    before_its_write:
    nothing(read(1, 9, Content::Nothing), RecordStep::Write, 0);
    that_of_its_predecessor(read(1, 9, Content::Record(OTHER)), RecordStep::Write, 9);
}

/// Failure: the others may have read the record of an unanswered write before that
/// of another process, and take its process for ended.
#[test]
fn another_after_an_unanswered_write_takes_a_new_incarnation() {
    let mut registration = Registration::default();
    registration.unanswered();
    registration.correct(read(1, 9, Content::Record(OTHER)));
    assert_eq!(registration.next_step(&MEANT), RecordStep::WriteAnew);
    assert_eq!(registration.replaced_revision(1), 9);
    assert_eq!(registration.replaced_revision(2), 0);
}
