//! The beginning of a target's answer, read before anything goes out, so that
//! a failure up to then can still be mended.

use bytes::Bytes;
use bytes::BytesMut;
use chiverelay_decisions::answer::AnswerChecker;
use chiverelay_decisions::answer::Framing;
use chiverelay_target::kept::Answer;

/// Bytes of a plain answer that are read before it goes out.
const MAX_WHOLE: usize = 256 * 1024;

/// What was read of an answer.
#[derive(Debug)]
pub(crate) struct Beginning {
    /// What may go out.
    pub(crate) data: Bytes,
    /// Whether that is all.
    pub(crate) whole: bool,
    /// Checks what follows.
    pub(crate) checker: AnswerChecker,
}

/// Reads a plain answer whole, or a stream up to its first event.
///
/// # Errors
///
/// Says why the answer can't become whole.
pub(crate) async fn begin(
    answer: &mut Answer,
    framing: Framing,
    last_event_id: Option<u64>,
) -> Result<Beginning, String> {
    let mut checker = AnswerChecker::resume_after(framing, last_event_id);
    let mut data = BytesMut::new();
    loop {
        let piece = answer.next().await.map_err(|e| e.to_string())?;
        let Some(piece) = piece else {
            checker.end().map_err(|e| e.to_string())?;
            return Ok(Beginning {
                data: data.freeze(),
                whole: true,
                checker,
            });
        };
        let piece = checker.push(piece).map_err(|e| e.to_string())?;
        data.extend_from_slice(&piece);
        let enough = if framing.is_events() { 1 } else { MAX_WHOLE };
        if data.len() >= enough {
            return Ok(Beginning {
                data: data.freeze(),
                whole: false,
                checker,
            });
        }
    }
}
