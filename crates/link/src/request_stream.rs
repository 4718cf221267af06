//! The incoming side of a server's connection, cut at the borders of requests.

use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use async_io::Async;
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWrite};

/// Longest head of a request; async-h1 looks at its length only after each line.
pub(crate) const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Bytes that are read from a connection at once.
const READ_BYTES: usize = 8 * 1024;
/// End of the head of a request.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Reads and writes a connection; a read never goes past the end of the current request.
///
/// A decoder that reads ahead would otherwise swallow the start of the next request.
#[derive(Debug, Clone)]
pub(crate) struct RequestStream {
    stream: async_dup::Arc<Async<TcpStream>>,
    frame: Arc<Mutex<RequestFrame>>,
}

/// Bytes that were read but not yet handed out, and how many of them belong to the request.
#[derive(Debug, Default)]
struct RequestFrame {
    bytes: Vec<u8>,
    taken: usize,
    part: RequestPart,
    head_bytes: usize,
}

/// Part of a request that is being read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestPart {
    /// The head, with so many bytes of its end mark seen.
    Head {
        /// Bytes of the end mark.
        matched: usize,
    },
    /// A body with so many bytes left.
    Body {
        /// Bytes that are left.
        left: u64,
    },
    /// A body in chunks, which marks its own end.
    Chunks,
}

impl Default for RequestPart {
    fn default() -> Self {
        Self::Head { matched: 0 }
    }
}

impl RequestFrame {
    fn is_empty(&self) -> bool {
        self.taken == self.bytes.len()
    }

    fn refill(&mut self, bytes: &[u8]) {
        self.bytes.clear();
        self.bytes.extend_from_slice(bytes);
        self.taken = 0;
    }

    /// Copies what belongs to the request into `buffer` and returns how much.
    fn hand_out(&mut self, buffer: &mut [u8]) -> usize {
        let available = &self.bytes[self.taken..];
        let length = available.len().min(buffer.len());
        let length = match &mut self.part {
            RequestPart::Head { matched } => length_of_head(&available[..length], matched),
            RequestPart::Body { left } => {
                let length = length.min(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= length as u64;
                length
            }
            RequestPart::Chunks => length,
        };
        buffer[..length].copy_from_slice(&available[..length]);
        self.taken += length;
        self.head_bytes += length;
        length
    }

    /// Returns whether the head has no end within its bound.
    fn has_endless_head(&self) -> bool {
        matches!(self.part, RequestPart::Head { .. }) && self.head_bytes >= MAX_HEAD_BYTES
    }

    fn is_over(&self) -> bool {
        match self.part {
            RequestPart::Head { matched } => matched == HEAD_END.len(),
            RequestPart::Body { left } => left == 0,
            RequestPart::Chunks => false,
        }
    }
}

/// Returns how many of `bytes` belong to the head; `matched` bytes of its end mark came before.
fn length_of_head(bytes: &[u8], matched: &mut usize) -> usize {
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

    /// Waits for the first byte of the next request; returns whether there is one.
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

    /// Sets the part that follows the head.
    pub(crate) fn expect(&self, part: RequestPart) {
        self.lock().part = part;
    }

    /// Returns how many bytes of the head were read.
    pub(crate) fn head_bytes(&self) -> usize {
        self.lock().head_bytes
    }

    /// Returns whether the request was read to its end.
    pub(crate) fn is_over(&self) -> bool {
        self.lock().is_over()
    }

    /// Returns when the caller has closed its side; never when it sends more instead.
    pub(crate) async fn closed(&self) {
        if let Ok(1..) = self.stream.peek(&mut [0]).await {
            std::future::pending::<()>().await;
        }
    }

    /// Ends the sending side and discards what still comes, up to `max_bytes`.
    ///
    /// Closing at once could reset the connection before the caller has read the response.
    pub(crate) async fn finish(&mut self, max_bytes: usize) {
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
        if self.is_over() {
            return Poll::Ready(Ok(0));
        }
        if self.lock().has_endless_head() {
            let error = io::Error::new(io::ErrorKind::InvalidData, "head without an end");
            return Poll::Ready(Err(error));
        }
        if self.lock().is_empty() {
            let mut bytes = [0; READ_BYTES];
            let read = Pin::new(&mut self.stream).poll_read(context, &mut bytes);
            let length = ready!(read)?;
            self.lock().refill(&bytes[..length]);
        }
        Poll::Ready(Ok(self.lock().hand_out(buffer)))
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
