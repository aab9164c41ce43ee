//! Reads the start of an answer before anything is sent to the caller,
//! so that a failure up to that point can still be retried.

use std::future::Future;

use bytes::Bytes;
use chiverelay_decisions::answer::AnswerChecker;
use chiverelay_decisions::answer::Framing;
use chiverelay_target::connection_pool::PooledResponse;

use crate::memory::RequestMemory;

/// Size, in bytes, up to which an answer that is not a stream is read
/// completely before it is sent to the caller.
pub(crate) const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// The start of an answer.
#[derive(Debug)]
pub(crate) struct AnswerStart {
    /// Checked data that may be sent to the caller.
    pub(crate) data: Bytes,
    /// Whether `data` is the complete answer.
    pub(crate) is_complete: bool,
    /// Checker for the rest of the answer.
    pub(crate) checker: AnswerChecker,
}

/// An answer whose body arrives in chunks.
pub(crate) trait ChunkedAnswer {
    /// Returns the next chunk, or `None` after the end of the body.
    ///
    /// # Errors
    ///
    /// Returns the reason if the answer broke off.
    fn next_chunk(&mut self) -> impl Future<Output = Result<Option<Bytes>, String>> + Send;

    /// Returns the name of the target or instance that sends the answer.
    fn source(&self) -> &str;
}

impl ChunkedAnswer for PooledResponse {
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, String> {
        let chunk = PooledResponse::next_chunk(self).await;
        chunk.map_err(|e| e.to_string())
    }

    fn source(&self) -> &str {
        self.target().as_str()
    }
}

/// Reads a stream up to its first event, or any other answer up to
/// [`MAX_BUFFERED_BYTES`], or as far as there is memory for it.
///
/// # Errors
///
/// Returns the reason if the answer broke off or is malformed.
pub(crate) async fn read_start<A>(
    answer: &mut A,
    framing: Framing,
    last_event_id: Option<u64>,
    memory: &RequestMemory,
) -> Result<AnswerStart, String>
where
    A: ChunkedAnswer,
{
    let budget = memory.answers_of(answer.source());
    let mut checker = AnswerChecker::resume_after(framing, last_event_id)
        .without_usage()
        .within(&budget);
    let mut data = budget.empty_buffer();
    loop {
        let chunk = answer.next_chunk().await?;
        let Some(chunk) = chunk else {
            checker.check_end().map_err(|e| e.to_string())?;
            return Ok(AnswerStart {
                data: data.freeze(),
                is_complete: true,
                checker,
            });
        };
        let chunk = checker.push(chunk).map_err(|e| e.to_string())?;
        let has_room = memory.extend_answer(&mut data, &chunk);
        // The checker returns only complete events, so any data contains the
        // first event.
        let limit = if framing.is_events() {
            1
        } else {
            MAX_BUFFERED_BYTES
        };
        if data.len() >= limit || !(has_room || data.is_empty()) {
            return Ok(AnswerStart {
                data: data.freeze(),
                is_complete: false,
                checker,
            });
        }
    }
}
