//! Reads request bodies within a budget of memory.

use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::memory_budget::Exhausted;
use chiverelay_decisions::memory_budget::MemoryBudget;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use thiserror::Error as ThisError;

/// Time to read the rest of a body that there is no memory for.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a body was not read.
#[derive(Debug)]
#[derive(ThisError)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// The body broke off or is malformed.
    #[error("the body broke off")]
    Broken,
    /// Too little memory is left for the body.
    #[error(transparent)]
    NoMemory(#[from] Exhausted),
}

/// Reads a body of at most `max` bytes. Memory for the stated length is reserved
/// before any of it is read, and returned when the last copy of the body is
/// dropped.
///
/// # Errors
///
/// Fails if the body is too large or breaks off, or if too little memory is
/// left.
pub async fn read_held_body(
    body: Incoming,
    max: usize,
    memory: &MemoryBudget,
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > max as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut body = Limited::new(body, max);
    let read = collect(&mut body, max, memory).await;
    if matches!(read, Err(BodyError::NoMemory(_))) {
        // A connection that is closed with unread bytes is reset, and its
        // caller may lose the answer.
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard(&mut body)).await;
    }
    read
}

async fn collect(
    body: &mut Limited<Incoming>,
    max: usize,
    memory: &MemoryBudget,
) -> Result<Bytes, BodyError> {
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(max);
    let mut data = memory.buffer(stated)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| match e.is::<LengthLimitError>() {
            true => BodyError::TooLarge,
            false => BodyError::Broken,
        })?;
        // Trailers are left out.
        if let Ok(part) = frame.into_data() {
            data.extend(&part)?;
        }
    }
    Ok(data.freeze())
}

/// Reads a body to its end without keeping it.
async fn discard(body: &mut Limited<Incoming>) {
    while let Some(Ok(_)) = body.frame().await {}
}
