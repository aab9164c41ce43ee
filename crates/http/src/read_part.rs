//! Reading in small parts, so that connections keep small buffers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::ReadBuf;

/// Largest number of bytes that are read at once. The HTTP library enlarges the
/// read buffer of a connection for good after a read that fills it; its first
/// buffer has one byte more.
const MAX_READ_BYTES: u64 = 8 * 1024 - 1;

/// Reads into `buf`, but not so much that the HTTP library enlarges it. Returns
/// the number of bytes that were read.
pub fn poll_read_part<S>(
    stream: Pin<&mut S>,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
) -> Poll<std::io::Result<usize>>
where
    S: AsyncRead,
{
    let before = buf.filled().len();
    let mut part = stream.take(MAX_READ_BYTES);
    let read = Pin::new(&mut part).poll_read(cx, buf);
    read.map_ok(|()| buf.filled().len() - before)
}
