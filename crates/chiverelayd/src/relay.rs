//! Carries an answer's pieces from where it comes from to who waits for it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_caller as caller;
use chiverelay_decisions::gateway;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::request::Grant;
use chiverelay_sibling as sibling;
use chiverelay_sibling::Frame;
use chiverelay_target as target;

use crate::context::Context;
use crate::keys::Under;

/// Bytes of an answer that count as one token where the engine counts none.
const BYTES_PER_TOKEN: u64 = 4;

/// Where an answer comes from.
pub(crate) enum Source {
    /// A target of this region.
    Target(Box<target::Answer>, Target),
    /// A sibling.
    Sibling(sibling::Answer),
}

impl Source {
    async fn next(&mut self) -> Result<Option<Bytes>, String> {
        match self {
            Self::Target(answer, _) => answer.next().await.map_err(|e| e.to_string()),
            Self::Sibling(answer) => match answer.next().await {
                Ok(Frame::Data(data)) => Ok(Some(data.into())),
                Ok(Frame::End) => Ok(None),
                Ok(Frame::Refused(refusal)) => Err(refusal.code.as_str().to_owned()),
                Ok(Frame::Head { .. } | Frame::Stamp(_)) => Err("a second head".to_owned()),
                Err(e) => Err(e.to_string()),
            },
        }
    }

    fn finish(self, cx: &Context, whole: bool) {
        if let Self::Target(answer, target) = self {
            gateway::finish(&cx.tables, &target);
            if whole {
                answer.release();
            }
        }
    }
}

/// Who waits for an answer.
pub(crate) enum Sink {
    /// A caller.
    Caller(caller::Sender),
    /// A sibling.
    Sibling(sibling::FrameSender),
}

impl Sink {
    async fn send(&mut self, data: Bytes) -> bool {
        match self {
            Self::Caller(tx) => tx.send(data).await,
            Self::Sibling(tx) => tx.send(&Frame::Data(data.to_vec())).await.is_ok(),
        }
    }

    async fn closed(&mut self) {
        match self {
            Self::Caller(tx) => tx.closed().await,
            Self::Sibling(tx) => tx.closed().await,
        }
    }

    async fn finish(self) {
        match self {
            Self::Caller(tx) => {
                tx.finish().await;
            }
            Self::Sibling(mut tx) => {
                // The sibling may have left.
                let _ = tx.send(&Frame::End).await;
            }
        }
    }

    async fn abort(self, reason: String) {
        // A sibling sees the missing end.
        if let Self::Caller(tx) = self {
            tx.abort(reason).await;
        }
    }
}

enum End {
    Whole,
    Left,
    Broken(String),
}

/// Relays until the answer is whole, breaks off or nobody waits for it.
/// Returns whether it went out whole.
pub(crate) async fn run(
    cx: Arc<Context>,
    grant: Arc<Grant>,
    prompt_tokens: u64,
    deadline: Duration,
    mut source: Source,
    mut sink: Sink,
    under: &Under,
) -> bool {
    let mut bytes = 0;
    let left = deadline.saturating_sub(cx.clock.now());
    let piped = pipe(&mut source, &mut sink, &mut bytes);
    let end = tokio::select! {
        end = tokio::time::timeout(left, piped) => {
            end.unwrap_or_else(|_| End::Broken("deadline".to_owned()))
        }
        () = under.withdrawn() => End::Broken("the key was withdrawn".to_owned()),
    };
    let whole = matches!(end, End::Whole);
    source.finish(&cx, whole);
    let used = prompt_tokens + bytes / BYTES_PER_TOKEN;
    gateway::settle(&cx.tables, &grant, used, cx.clock.now());
    match end {
        End::Whole => sink.finish().await,
        End::Left => {}
        End::Broken(reason) => sink.abort(reason).await,
    }
    whole
}

async fn pipe(source: &mut Source, sink: &mut Sink, bytes: &mut u64) -> End {
    loop {
        let piece = tokio::select! {
            piece = source.next() => piece,
            () = sink.closed() => return End::Left,
        };
        match piece {
            Ok(Some(data)) => {
                *bytes += data.len() as u64;
                if !sink.send(data).await {
                    return End::Left;
                }
            }
            Ok(None) => return End::Whole,
            Err(reason) => return End::Broken(reason),
        }
    }
}
