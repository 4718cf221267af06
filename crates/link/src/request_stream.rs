//! Stream of a server's connection whose reads stop at the end of each request.

use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use async_io::Async;
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWrite};

/// Maximum size of a request head; async-h1 checks the size of a head only after each line.
pub(crate) const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Size of the read buffer in bytes.
const READ_BYTES: usize = 8 * 1024;
/// End marker of a request head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Connection stream whose reads never go past the end of the current request.
///
/// A decoder that reads ahead would otherwise consume the start of the next request.
#[derive(Debug, Clone)]
pub(crate) struct RequestStream {
    stream: async_dup::Arc<Async<TcpStream>>,
    frame: Arc<Mutex<RequestFrame>>,
}

/// Buffered bytes, and progress within the current request.
#[derive(Debug, Default)]
struct RequestFrame {
    bytes: Vec<u8>,
    consumed: usize,
    part: RequestPart,
    head_bytes: usize,
}

/// Part of the request that is being read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestPart {
    /// Head of the request.
    Head {
        /// Number of bytes of the end marker that were matched so far.
        matched: usize,
    },
    /// Body of known length.
    Body {
        /// Number of bytes left to read.
        left: u64,
    },
    /// Chunked body, which the decoder delimits.
    Chunks,
}

impl Default for RequestPart {
    fn default() -> Self {
        Self::Head { matched: 0 }
    }
}

impl RequestFrame {
    fn is_empty(&self) -> bool {
        self.consumed == self.bytes.len()
    }

    fn refill(&mut self, bytes: &[u8]) {
        self.bytes.clear();
        self.bytes.extend_from_slice(bytes);
        self.consumed = 0;
    }

    /// Copies bytes of the current request into `buffer` and returns their number.
    fn copy_to(&mut self, buffer: &mut [u8]) -> usize {
        let available = &self.bytes[self.consumed..];
        let length = available.len().min(buffer.len());
        let length = match &mut self.part {
            RequestPart::Head { matched } => head_length(&available[..length], matched),
            RequestPart::Body { left } => {
                let length = length.min(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= length as u64;
                length
            }
            RequestPart::Chunks => length,
        };
        buffer[..length].copy_from_slice(&available[..length]);
        self.consumed += length;
        self.head_bytes += length;
        length
    }

    /// Returns whether the head exceeds its maximum size without an end.
    fn has_oversized_head(&self) -> bool {
        matches!(self.part, RequestPart::Head { .. }) && self.head_bytes >= MAX_HEAD_BYTES
    }

    fn is_complete(&self) -> bool {
        match self.part {
            RequestPart::Head { matched } => matched == HEAD_END.len(),
            RequestPart::Body { left } => left == 0,
            RequestPart::Chunks => false,
        }
    }
}

/// Returns how many of `bytes` belong to the head; `matched` bytes of its end marker came before.
fn head_length(bytes: &[u8], matched: &mut usize) -> usize {
    let mut length = 0;
    while length < bytes.len() && *matched < HEAD_END.len() {
        *matched = match bytes[length] {
            byte if byte == HEAD_END[*matched] => *matched + 1,
            b'\r' => 1,
            _ => 0,
        };
        length += 1;
    }
    length
}

impl RequestStream {
    pub(crate) fn new(stream: Async<TcpStream>) -> Self {
        Self {
            stream: async_dup::Arc::new(stream),
            frame: Arc::default(),
        }
    }

    /// Waits for the first byte of the next request; returns false at the end of the stream.
    pub(crate) async fn wait_for_request(&mut self) -> io::Result<bool> {
        {
            let mut frame = self.lock();
            frame.part = RequestPart::default();
            frame.head_bytes = 0;
            if !frame.is_empty() {
                return Ok(true);
            }
        }
        let mut bytes = [0; READ_BYTES];
        let length = self.stream.read(&mut bytes).await?;
        self.lock().refill(&bytes[..length]);
        Ok(length > 0)
    }

    /// Sets the part that follows the head of the request.
    pub(crate) fn expect(&self, part: RequestPart) {
        self.lock().part = part;
    }

    /// Returns the number of bytes read of the head.
    pub(crate) fn head_bytes(&self) -> usize {
        self.lock().head_bytes
    }

    /// Returns whether the whole request was read.
    pub(crate) fn is_complete(&self) -> bool {
        self.lock().is_complete()
    }

    /// Waits until the caller closes its side; never completes when the caller sends more data.
    pub(crate) async fn closed(&self) {
        if let Ok(1..) = self.stream.peek(&mut [0]).await {
            std::future::pending::<()>().await;
        }
    }

    /// Closes the sending side and discards incoming data, up to `max_bytes`.
    ///
    /// Closing both sides at once could reset the connection before the caller has read the
    /// response.
    pub(crate) async fn close_gracefully(&mut self, max_bytes: usize) {
        if self
            .stream
            .get_ref()
            .shutdown(std::net::Shutdown::Write)
            .is_err()
        {
            return;
        }
        let mut bytes = [0; READ_BYTES];
        let mut discarded = 0;
        while let Ok(length @ 1..) = self.stream.read(&mut bytes).await {
            discarded += length;
            if discarded > max_bytes {
                return;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, RequestFrame> {
        self.frame.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AsyncRead for RequestStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_complete() {
            return Poll::Ready(Ok(0));
        }
        if self.lock().has_oversized_head() {
            let error = io::Error::new(io::ErrorKind::InvalidData, "request head is too large");
            return Poll::Ready(Err(error));
        }
        if self.lock().is_empty() {
            let mut bytes = [0; READ_BYTES];
            let read = Pin::new(&mut self.stream).poll_read(context, &mut bytes);
            let length = ready!(read)?;
            self.lock().refill(&bytes[..length]);
        }
        Poll::Ready(Ok(self.lock().copy_to(buffer)))
    }
}

impl AsyncWrite for RequestStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
