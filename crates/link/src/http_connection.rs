//! Client connection over HTTP/1.1.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use async_io::Async;
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use http_types::{Request, Response, StatusCode, headers};
use thiserror::Error;

/// Response whose body has been received completely.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Status and headers, with the body removed.
    pub head: Response,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Error of a request without a complete response.
#[derive(Debug, Error)]
pub enum CallError {
    /// All connections to the server are in use; nothing was sent.
    #[error("all connections to {address} are in use")]
    PoolExhausted {
        /// Address of the server.
        address: SocketAddr,
    },
    /// No byte of the request was sent.
    #[error("no connection to {address}: {error}")]
    NotSent {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the operating system.
        error: String,
    },
    /// The server may have received the request.
    #[error("no whole response from {address}: {error}")]
    Broken {
        /// Address of the server.
        address: SocketAddr,
        /// Description of the failure.
        error: String,
    },
}

/// Open connection to a server, with no request in flight.
#[derive(Debug)]
pub struct HttpConnection {
    address: SocketAddr,
    stream: async_dup::Arc<Async<TcpStream>>,
    received: ReceivedBytes,
}

/// Number of bytes that a connection has received; clones share it.
#[derive(Debug, Clone, Default)]
pub struct ReceivedBytes(Arc<AtomicU64>);

impl ReceivedBytes {
    /// Returns the number of bytes so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Reader that counts what it reads.
struct CountingReader<R> {
    inner: R,
    received: ReceivedBytes,
}

impl<R: AsyncRead + Unpin> AsyncRead for CountingReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        self.received.0.fetch_add(read as u64, Ordering::Relaxed);
        Poll::Ready(Ok(read))
    }
}

/// Complete response, with the connection if it can be reused.
#[derive(Debug)]
pub struct HttpExchange {
    /// The response.
    pub response: BufferedResponse,
    /// Connection for further requests; `None` when the server closes it.
    pub connection: Option<HttpConnection>,
}

impl BufferedResponse {
    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        self.head.status()
    }

    /// Returns the last value of the header `name`.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }
}

impl HttpConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] when the connection can't be established.
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let connect = async {
            let stream = Async::<TcpStream>::connect(address).await?;
            stream.get_ref().set_nodelay(true)?;
            io::Result::Ok(stream)
        };
        let stream = connect.await.map_err(|error| CallError::NotSent {
            address,
            error: error.to_string(),
        })?;
        Ok(Self {
            address,
            stream: async_dup::Arc::new(stream),
            received: ReceivedBytes::default(),
        })
    }

    /// Returns the number of bytes received, which grows during an exchange.
    pub fn received(&self) -> ReceivedBytes {
        self.received.clone()
    }

    /// Returns whether the connection is still open and has no unexpected data to read.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let peeked = self.stream.get_ref().peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends `request` and waits for the complete response; its body may have `max_body` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] when no byte could be written, and [`CallError::Broken`] on
    /// any later failure.
    pub async fn exchange(
        mut self,
        request: Request,
        max_body: usize,
    ) -> Result<HttpExchange, CallError> {
        let address = self.address;
        let broken = |error: String| CallError::Broken { address, error };
        let bytes = encode_request(request).await.map_err(|error| {
            let error = error.to_string();
            CallError::NotSent { address, error }
        })?;
        let written = self.stream.write(&bytes).await.map_err(|error| {
            let error = error.to_string();
            CallError::NotSent { address, error }
        })?;
        self.stream
            .write_all(&bytes[written..])
            .await
            .map_err(|error| broken(error.to_string()))?;
        let reader = CountingReader {
            inner: self.stream.clone(),
            received: self.received.clone(),
        };
        let response = read_response(reader, max_body).await.map_err(broken)?;
        let close = response
            .header("Connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        Ok(HttpExchange {
            response,
            connection: (!close).then_some(self),
        })
    }
}

async fn encode_request(request: Request) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    async_h1::client::Encoder::new(request)
        .read_to_end(&mut bytes)
        .await?;
    Ok(bytes)
}

async fn read_response<R>(reader: R, max_body: usize) -> Result<BufferedResponse, String>
where
    R: AsyncRead + Unpin + Send + Sync + 'static,
{
    let mut head = async_h1::client::decode(reader)
        .await
        .map_err(|error| error.to_string())?;
    let mut body = Vec::new();
    head.take_body()
        .take(max_body as u64 + 1)
        .read_to_end(&mut body)
        .await
        .map_err(|error| error.to_string())?;
    if body.len() > max_body {
        return Err(format!("body has more than {max_body} bytes"));
    }
    check_length(&head, body.len())?;
    Ok(BufferedResponse { head, body })
}

/// Checks that a body of `received` bytes is complete.
fn check_length(head: &Response, received: usize) -> Result<(), String> {
    let bodiless = head.status() == StatusCode::NoContent;
    let chunked = head.header(headers::TRANSFER_ENCODING).is_some();
    match declared_length(head) {
        Some(length) if length == received => Ok(()),
        Some(length) => Err(format!("body has {received} of {length} bytes")),
        None if chunked || bodiless => Ok(()),
        None => Err("body has no declared length".to_owned()),
    }
}

fn declared_length(head: &Response) -> Option<usize> {
    let values = head.header(headers::CONTENT_LENGTH)?;
    values.last().as_str().parse().ok()
}
