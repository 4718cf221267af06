//! One client connection over HTTP/1.1.

use std::io;
use std::net::{SocketAddr, TcpStream};

use async_io::Async;
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use http_types::{Request, Response, StatusCode, headers};
use thiserror::Error;

/// A response whose body has arrived completely.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Status and headers; the body has been taken out.
    pub head: Response,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Why there is no whole response.
#[derive(Debug, Error)]
pub enum CallError {
    /// All connections to the server are in use; it got nothing.
    #[error("all connections to {address} are in use")]
    PoolExhausted {
        /// Address of the server.
        address: SocketAddr,
    },
    /// Not one byte of the request left this process.
    #[error("no connection to {address}: {error}")]
    NotSent {
        /// Address that was tried.
        address: SocketAddr,
        /// What the operating system said.
        error: String,
    },
    /// The request may have arrived.
    #[error("no whole response from {address}: {error}")]
    Broken {
        /// Address of the server.
        address: SocketAddr,
        /// What went wrong.
        error: String,
    },
}

/// Open connection to a server, without a request under way.
#[derive(Debug)]
pub struct HttpConnection {
    address: SocketAddr,
    stream: async_dup::Arc<Async<TcpStream>>,
}

/// Whole response, and the connection if it may carry another request.
#[derive(Debug)]
pub struct HttpExchange {
    /// The response.
    pub response: BufferedResponse,
    /// The connection; `None` when the server closes it.
    pub connection: Option<HttpConnection>,
}

impl BufferedResponse {
    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        self.head.status()
    }

    /// Returns the value of the header `name`.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }
}

impl HttpConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::NotSent`] when the server does not accept it.
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
        })
    }

    /// Returns whether the server neither closed the connection nor sent something unasked.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let peeked = self.stream.get_ref().peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends `request` and waits for the whole response with a body of at most `max_body` bytes.
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::NotSent`] when not one byte could be written, and otherwise with
    /// [`CallError::Broken`].
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
        let response = read_response(self.stream.clone(), max_body)
            .await
            .map_err(broken)?;
        let closes = response
            .header("Connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        Ok(HttpExchange {
            response,
            connection: (!closes).then_some(self),
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

/// Checks that a body of `received` bytes is whole.
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
