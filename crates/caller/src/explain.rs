//! What a refusal says to a caller in plain words: what was wrong, where, and
//! what can be done about it.

use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Detail;
use chiverelay_decisions::refusal::Outcome;
use chiverelay_decisions::refusal::Refusal;

/// Returns the message of a refusal.
pub(crate) fn message(refusal: &Refusal) -> String {
    let what = match &refusal.detail {
        Some(detail) => explain(detail),
        None => general(refusal.code).to_owned(),
    };
    match refusal.outcome {
        Outcome::NotRun => format!("{what}. The request did not run."),
        Outcome::Unknown => format!("{what}. The request may have run."),
    }
}

fn explain(detail: &Detail) -> String {
    match detail {
        Detail::LengthAndChunks => {
            "the head states both Content-Length and Transfer-Encoding; send one of them".to_owned()
        }
        Detail::BodyCutOff => "the body ended before its stated end; send it again".to_owned(),
        Detail::BodyOver(max) => format!("the body has more than {max} bytes; send a shorter one"),
        Detail::HeadOver(max) => format!("the head has more than {max} bytes; send a shorter one"),
        Detail::SlowHead => "the head did not arrive whole in time".to_owned(),
        Detail::SlowBody => "the body did not arrive whole in time".to_owned(),
        Detail::NotJson { line, column } => {
            format!("the body is not the JSON asked for, at line {line}, column {column}")
        }
        Detail::NoField(field) => format!("the body lacks the field `{field}`"),
        Detail::KeyIn(part) => format!(
            "{part} holds a key; show it in `Authorization: Bearer` or `X-Api-Key` only, and \
             replace it, as others may have seen it"
        ),
        Detail::KeyUnclear => {
            "more than one key is shown, or one that can't be read; show one key".to_owned()
        }
        Detail::ManyOperations => {
            "the request names more than one operation; send one `X-Operation-Ticket` or one \
             `Idempotency-Key`"
                .to_owned()
        }
        Detail::NotATicket => {
            "`X-Operation-Ticket` does not hold a ticket as an instance issues it".to_owned()
        }
        Detail::KeyLength(max) => {
            format!("`Idempotency-Key` must be text of 1 to {max} bytes")
        }
        Detail::OtherRequest => {
            "the operation was first asked for with another path or body; use a new ticket or \
             key for another request"
                .to_owned()
        }
        Detail::TicketInvalid => {
            "the ticket has expired, or no instance issued it; whether its operation ran must be \
             looked up"
                .to_owned()
        }
        Detail::TicketLate => {
            "the ticket is too old to be used for the first time; ask for a new one".to_owned()
        }
        Detail::QuarantinedPart(part) => {
            format!("the prompt part {part:x} crashed several targets; leave it out")
        }
    }
}

/// Returns what a code says by itself.
fn general(code: Code) -> &'static str {
    match code {
        Code::Malformed => "the request can't be read",
        Code::TooLarge => "the request is larger than is taken",
        Code::ReceiveTimeout => "the request did not arrive in time; send it again",
        Code::Unauthenticated => {
            "no key in force is shown; show one in `Authorization: Bearer` or `X-Api-Key`"
        }
        Code::Forbidden => "the account may not use the route; ask the operators",
        Code::NoRoute => {
            "no route takes this path and model; compare both with the operators' list"
        }
        Code::RateLimited => "the account's rate is used up; come back after `Retry-After`",
        Code::Overloaded => "every place that may take the request is full; come back later",
        Code::Unavailable => "no target that may answer can be reached; come back later",
        Code::DeadlineExceeded => "no whole answer is possible before the deadline",
        Code::AlreadyUsed => {
            "an earlier attempt at the operation ran or runs; ask again for its answer, or look \
             up what it did"
        }
        Code::StateUnavailable => {
            "what is needed to decide on the request can't be reached; come back later"
        }
        Code::TargetFailed => "the target broke off or answered wrongly",
        Code::SiblingFailed => "the instance that passed the request on lost its way to another",
        Code::Quarantined => "a part of the prompt crashed several targets; leave it out",
        Code::Suspended => "several targets crashed under the request; come back later",
        Code::NotResumable => {
            "what began the stream is gone or not known, and nothing else can continue it; ask \
             for it from its start"
        }
        Code::Draining => "the instance is stopping; ask another one",
    }
}
