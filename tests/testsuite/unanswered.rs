//! Whether the process at the other end of a link still answers.

use std::time::Duration;

use chiverelay_decisions::unanswered::PacketCounts;
use chiverelay_decisions::unanswered::Unanswered;
use support::cases;

/// Round trip between two regions.
const ROUND_TRIP: Duration = Duration::from_millis(100);

/// What is known by 10 s.
const NOW: Duration = Duration::from_secs(10);

/// Looks as `(at_ms, arrived, sent)`.
type Looks = &'static [(u64, u64, u64)];

fn check_looks(looks: Looks, is_overdue: bool) {
    let mut unanswered = Unanswered::default();
    for (at, arrived, sent) in looks {
        let counts = PacketCounts {
            arrived: *arrived,
            sent: *sent,
        };
        unanswered.look(counts, Duration::from_millis(*at));
    }
    assert_eq!(unanswered.is_overdue(ROUND_TRIP, NOW), is_overdue);
}

cases! {
    check_looks:
    nothing_was_sent(&[(1000, 5, 5), (9900, 5, 5)], false);
    nothing_was_sent_since_the_last_arrival(&[(1000, 5, 5), (1100, 6, 9), (9900, 6, 9)], false);
    an_answer_came_to_the_last_of_many(&[(1000, 5, 5), (1100, 5, 9), (9900, 6, 9)], false);
    lately_sent(&[(1000, 5, 5), (9600, 5, 6)], false);
    /// A packet that is lost once is repeated by the transport.
    lost_once(&[(1000, 5, 5), (9500, 5, 6), (9700, 5, 7), (9900, 5, 7)], false);
    sent_and_never_answered(&[(1000, 5, 5), (8000, 5, 6)], true);
    /// What is sent later doesn't put off what has to be answered.
    sent_again_and_again(&[(1000, 5, 5), (8000, 5, 6), (9000, 5, 7), (9990, 5, 9)], true);
    unanswered_after_an_answer(&[(1000, 5, 5), (2000, 5, 6), (2500, 6, 6), (8000, 6, 7)], true);
}

/// Load pattern: requests in quick succession on a link whose process was just
/// killed. The first of them starts the time, not the next look.
#[test]
fn a_request_that_is_sent_counts_from_then_on() {
    let mut unanswered = Unanswered::default();
    let counts = PacketCounts::default();
    unanswered.look(counts, NOW - Duration::from_secs(1));
    unanswered.record_sent(NOW - Duration::from_secs(1));
    assert!(unanswered.is_overdue(ROUND_TRIP, NOW));
    let answered = PacketCounts {
        arrived: 1,
        sent: 1,
    };
    unanswered.look(answered, NOW);
    assert!(!unanswered.is_overdue(ROUND_TRIP, NOW + Duration::from_secs(1)));
}
