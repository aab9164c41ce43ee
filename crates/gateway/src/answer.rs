//! The beginning of a target's answer, read before anything goes out, so that
//! a failure up to then can still be mended.

use bytes::Bytes;
use bytes::BytesMut;
use chiverelay_decisions::answer::AnswerChecker;
use chiverelay_decisions::answer::Framing;
use chiverelay_target::connection_pool::PooledResponse;

/// Bytes of a plain answer that are read before it goes out.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// What was read of an answer.
#[derive(Debug)]
pub(crate) struct AnswerStart {
    /// What may go out.
    pub(crate) data: Bytes,
    /// Whether that is all.
    pub(crate) is_complete: bool,
    /// Checks what follows.
    pub(crate) checker: AnswerChecker,
}

/// Reads a plain answer whole, or a stream up to its first event.
///
/// # Errors
///
/// Says why the answer can't become whole.
pub(crate) async fn read_start(
    answer: &mut PooledResponse,
    framing: Framing,
    last_event_id: Option<u64>,
) -> Result<AnswerStart, String> {
    let mut checker = AnswerChecker::resume_after(framing, last_event_id);
    let mut data = BytesMut::new();
    loop {
        let chunk = answer.next_chunk().await.map_err(|e| e.to_string())?;
        let Some(chunk) = chunk else {
            checker.end().map_err(|e| e.to_string())?;
            return Ok(AnswerStart {
                data: data.freeze(),
                is_complete: true,
                checker,
            });
        };
        let chunk = checker.push(chunk).map_err(|e| e.to_string())?;
        data.extend_from_slice(&chunk);
        let limit = if framing.is_events() {
            1
        } else {
            MAX_BUFFERED_BYTES
        };
        if data.len() >= limit {
            return Ok(AnswerStart {
                data: data.freeze(),
                is_complete: false,
                checker,
            });
        }
    }
}
