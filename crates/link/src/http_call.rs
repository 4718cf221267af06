//! One HTTP request and its whole response.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use http_types::{Request, Response, StatusCode, headers};
use thiserror::Error;

/// A response whose body has arrived completely.
#[derive(Debug)]
pub struct WholeResponse {
    /// Status and headers; the body has been taken out.
    pub head: Response,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Why there is no whole response.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection was never made; the server got nothing.
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

impl WholeResponse {
    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        self.head.status()
    }

    /// Returns the value of the header `name`.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }
}

/// Sends `request` on a new connection and waits up to `timeout` for the whole response.
///
/// # Errors
///
/// Fails when no connection can be made, when it breaks, or when the time is over.
pub async fn call_http(
    address: SocketAddr,
    request: Request,
    timeout: Duration,
) -> Result<WholeResponse, CallError> {
    let late = || async move {
        Timer::after(timeout).await;
        format!("no answer within {timeout:?}")
    };
    let connect = async {
        Async::<TcpStream>::connect(address)
            .await
            .map_err(|e| e.to_string())
    };
    let stream = future::or(connect, async { Err(late().await) })
        .await
        .map_err(|error| CallError::NotSent { address, error })?;
    future::or(exchange(stream, request), async { Err(late().await) })
        .await
        .map_err(|error| CallError::Broken { address, error })
}

async fn exchange(stream: Async<TcpStream>, request: Request) -> Result<WholeResponse, String> {
    stream
        .get_ref()
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    let mut head = async_h1::connect(async_dup::Arc::new(stream), request)
        .await
        .map_err(|error| error.to_string())?;
    let body = head
        .take_body()
        .into_bytes()
        .await
        .map_err(|error| error.to_string())?;
    match declared_length(&head) {
        Some(length) if length != body.len() => {
            Err(format!("body has {} of {length} bytes", body.len()))
        }
        _ => Ok(WholeResponse { head, body }),
    }
}

fn declared_length(head: &Response) -> Option<usize> {
    head.header(headers::CONTENT_LENGTH)?
        .last()
        .as_str()
        .parse()
        .ok()
}
