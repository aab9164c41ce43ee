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

/// Time for a connection that is closed to release its memory.
const RELEASE_PAUSE: Duration = Duration::from_millis(20);

/// Most connections that are closed for one piece of a body.
const MAX_CLOSED: usize = 32;

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
/// dropped. While too little is left, `make_room` is asked to let go of another
/// body; it returns whether there is one.
///
/// # Errors
///
/// Fails if the body is too large or breaks off, or if too little memory is
/// left.
pub async fn read_held_body<R>(
    body: Incoming,
    max: usize,
    memory: &MemoryBudget,
    make_room: R,
) -> Result<Bytes, BodyError>
where
    R: Fn() -> bool,
{
    if body.size_hint().lower() > max as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut body = Limited::new(body, max);
    let read = collect(&mut body, max, memory, make_room).await;
    if matches!(read, Err(BodyError::NoMemory(_))) {
        // A connection that is closed with unread bytes is reset, and its
        // caller may lose the answer.
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard(&mut body)).await;
    }
    read
}

async fn collect<R>(
    body: &mut Limited<Incoming>,
    max: usize,
    memory: &MemoryBudget,
    make_room: R,
) -> Result<Bytes, BodyError>
where
    R: Fn() -> bool,
{
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(max);
    let mut data = take(&make_room, || memory.buffer(stated)).await?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| match e.is::<LengthLimitError>() {
            true => BodyError::TooLarge,
            false => BodyError::Broken,
        })?;
        // Trailers are left out.
        if let Ok(part) = frame.into_data() {
            take(&make_room, || data.extend(&part)).await?;
        }
    }
    Ok(data.freeze())
}

/// Takes memory, for which room is made if too little is left.
async fn take<T, R, F>(make_room: &R, mut take: F) -> Result<T, Exhausted>
where
    R: Fn() -> bool,
    F: FnMut() -> Result<T, Exhausted>,
{
    let mut taken = take();
    for _ in 0..MAX_CLOSED {
        if taken.is_ok() || !make_room() {
            break;
        }
        tokio::time::sleep(RELEASE_PAUSE).await;
        taken = take();
    }
    taken
}

/// Reads a body to its end without keeping it.
async fn discard(body: &mut Limited<Incoming>) {
    while let Some(Ok(_)) = body.frame().await {}
}
