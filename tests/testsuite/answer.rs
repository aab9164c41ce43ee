//! The check of answers, piece by piece.

use bytes::Bytes;
use chiverelay_decisions::answer::AnswerChecker;
use chiverelay_decisions::answer::AnswerError;
use chiverelay_decisions::answer::Framing;
use chiverelay_decisions::answer::TailBuffer;
use chiverelay_decisions::answer::is_final_status;
use chiverelay_decisions::memory_budget::MemoryBudget;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::cases;

/// Passes a stream through the check in pieces of a size.
fn pass(stream: &[u8], size: usize) -> (Vec<u8>, Result<(), AnswerError>) {
    let mut checker = AnswerChecker::new(Framing::Events);
    let mut passed = Vec::new();
    for piece in stream.chunks(size) {
        match checker.push(Bytes::copy_from_slice(piece)) {
            Ok(data) => passed.extend(data),
            Err(fault) => return (passed, Err(fault)),
        }
    }
    let end = checker.check_end();
    (passed, end)
}

fn check_stream(stream: &str, want: Result<(), AnswerError>) {
    for size in 1..=stream.len().max(1) {
        let (passed, end) = pass(stream.as_bytes(), size);
        assert_eq!(end, want, "in pieces of {size}");
        assert!(stream.as_bytes().starts_with(&passed));
        if want.is_ok() {
            assert_eq!(passed, stream.as_bytes());
        }
    }
}

cases! {
    check_stream:
    whole("data: a\n\ndata: b\n\ndata: [DONE]\n\n", Ok(()));
    carriage_returns("data: a\r\n\r\ndata: [DONE]\r\n\r\n", Ok(()));
    no_space("data:a\n\ndata:[DONE]\n\n", Ok(()));
    comments(": ping\n\ndata: a\n\n: ping\n\ndata: [DONE]\n\n", Ok(()));
    numbered("id: 3\ndata: a\n\nid: 4\ndata: b\n\ndata: [DONE]\n\n", Ok(()));
    nothing("", Err(AnswerError::MissingDone));
    no_done("data: a\n\n", Err(AnswerError::MissingDone));
    done_within_data("data: [DONE] not\n\n", Err(AnswerError::MissingDone));
    cut_within_data("data: a\n\ndata: b", Err(AnswerError::TruncatedEvent));
    cut_before_the_blank_line("data: a\n\ndata: [DONE]\n", Err(AnswerError::TruncatedEvent));
    after_done("data: [DONE]\n\ndata: a\n\n", Err(AnswerError::EventAfterDone));
    doubled_done("data: [DONE]\n\ndata: [DONE]\n\n", Err(AnswerError::EventAfterDone));
    doubled("id: 3\ndata: a\n\nid: 3\ndata: a\n\n", Err(AnswerError::EventIdOutOfOrder));
    missing("id: 3\ndata: a\n\nid: 5\ndata: a\n\n", Err(AnswerError::EventIdOutOfOrder));
    crossed("id: 3\ndata: a\n\nid: 2\ndata: a\n\n", Err(AnswerError::EventIdOutOfOrder));
}

fn check_end(framing: Framing, want: Result<(), AnswerError>) {
    let mut checker = AnswerChecker::new(framing);
    let data = Bytes::from_static(b"an answer");
    assert_eq!(checker.push(data.clone()), Ok(data));
    assert_eq!(checker.check_end(), want);
}

cases! {
    check_end:
    delimited(Framing::Delimited, Ok(()));
    open(Framing::UntilClose, Err(AnswerError::NoStatedEnd));
}

#[test]
fn long_events_are_refused() {
    let mut checker = AnswerChecker::new(Framing::Events);
    let piece = Bytes::from(vec![b'a'; 600_000]);
    assert!(checker.push(piece.clone()).is_ok());
    assert_eq!(checker.push(piece), Err(AnswerError::EventTooLong));
}

/// The end of an answer is held, however it comes, and nothing is lost.
fn check_hold(framing: Framing, answer: &'static str) {
    for size in 1..=answer.len() {
        let mut checker = AnswerChecker::new(framing);
        let mut hold = TailBuffer::new(framing);
        let mut passed = Vec::new();
        for piece in answer.as_bytes().chunks(size) {
            let data = checker
                .push(Bytes::copy_from_slice(piece))
                .expect("no fault");
            passed.extend(hold.push(data, checker.is_done()));
        }
        let out = String::from_utf8(passed.clone()).expect("text");
        assert!(out.len() < answer.len() && !out.contains("[DONE]"));
        passed.extend(hold.into_tail());
        assert_eq!(passed, answer.as_bytes(), "in pieces of {size}");
    }
}

cases! {
    check_hold:
    held_stream(Framing::Events, "data: a\n\ndata: b\n\ndata: [DONE]\n\n");
    held_stream_with_comments(Framing::Events, "data: a\n\ndata: [DONE]\n\n: b\n\n: c\n\n");
    held_document(Framing::Delimited, "{\"order\":1}");
}

fn check_tokens(framing: Framing, answer: &'static str, want: u64) {
    let mut checker = AnswerChecker::new(framing);
    checker
        .push(Bytes::from_static(answer.as_bytes()))
        .expect("no fault");
    assert_eq!(checker.count_tokens(100), want);
}

cases! {
    check_tokens:
    counted_events(Framing::Events, "data: a\n\ndata: b\n\ndata: [DONE]\n\n", 102);
    stated_in_a_stream(
        Framing::Events,
        "data: a\n\ndata: {\"usage\":{\"completion_tokens\":7}}\n\ndata: [DONE]\n\n",
        107,
    );
    stated_total(
        Framing::Events,
        "data: {\"usage\":{\"completion_tokens\":7,\"total_tokens\":50}}\n\n",
        50,
    );
    stated_in_a_document(Framing::Delimited, "{\"usage\":{\"completion_tokens\":9}}", 109);
    by_length(Framing::Delimited, "12345678", 102);
}

/// However a stream is cut and split, what passes is whole events and all of
/// them, and only the whole stream counts as whole.
fn passes_whole_events(words: Vec<u8>, cut: usize, size: usize) -> bool {
    let mut stream: String = words
        .iter()
        .enumerate()
        .map(|(i, w)| format!("id: {i}\ndata: {w}\n\n"))
        .collect();
    stream.push_str("data: [DONE]\n\n");
    let cut = cut % (stream.len() + 1);
    let (passed, end) = pass(&stream.as_bytes()[..cut], size % 16 + 1);
    let events = stream[..cut].rfind("\n\n").map_or(0, |at| at + 2);
    passed == stream.as_bytes()[..events] && end.is_ok() == (cut == stream.len())
}

#[test]
fn only_whole_events_pass() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 5))
        .tests(5000)
        .quickcheck(passes_whole_events as fn(Vec<u8>, usize, usize) -> bool);
}

/// Guards against a stream that ends without a reason, as the number of its
/// next event overflows.
#[test]
fn no_event_follows_the_last_number() {
    let mut checker = AnswerChecker::resume_after(Framing::NumberedEvents, Some(u64::MAX));
    let pushed = checker.push(Bytes::from_static(b"id: 0\ndata: a\n\n"));
    assert_eq!(pushed, Err(AnswerError::EventIdOutOfOrder));
}

/// Failure: what was held of unfinished events had no bound over all answers.
#[test]
fn an_unfinished_event_is_held_within_the_memory() {
    let memory = MemoryBudget::new(100_000);
    let stream = || AnswerChecker::new(Framing::NumberedEvents).within(&memory);
    let start = Bytes::from(format!("id: 1\ndata: {}", "a".repeat(60_000)));
    let mut first = stream();
    assert_eq!(first.push(start.clone()), Ok(Bytes::new()));
    let mut second = stream();
    assert_eq!(second.push(start.clone()), Err(AnswerError::NoMemory));
    drop(second);
    let whole = first.push(Bytes::from_static(b"\n\n")).expect("an event");
    assert_eq!(whole.len(), start.len() + 2);
    assert_eq!(memory.usage().used, 0);
}

/// Guards against streams of short events that end, as the memory for long ones
/// is used up.
#[test]
fn a_short_event_needs_no_memory_of_others() {
    let memory = MemoryBudget::new(0);
    let mut checker = AnswerChecker::new(Framing::NumberedEvents).within(&memory);
    for part in ["id: 1\nda", "ta: x\n", "\nid: 2\ndata: y\n\n"] {
        assert!(checker.push(Bytes::from(part)).is_ok());
    }
    assert_eq!(checker.last_id(), Some(2));
}

/// Guards against a long answer that is cut because there is no memory for a copy
/// of its start.
#[test]
fn a_body_passes_without_memory_for_its_start() {
    let memory = MemoryBudget::new(0);
    let mut checker = AnswerChecker::new(Framing::Delimited).within(&memory);
    for _ in 0..100 {
        let part = Bytes::from(vec![b'a'; 10_000]);
        assert_eq!(checker.push(part.clone()), Ok(part));
    }
    assert_eq!(checker.check_end(), Ok(()));
    assert_eq!(memory.usage().used, 0);
}

/// Failure: a status that HTTP doesn't have was taken for that of an answer.
#[test]
fn a_final_status_has_a_class_of_http() {
    for status in 0..=u16::MAX {
        let is_final = matches!(status / 100, 2..=5);
        assert_eq!(is_final_status(status), is_final, "{status}");
    }
}
