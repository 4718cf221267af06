//! Single HTTP request on a new connection.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use http_types::Request;

use crate::http_connection::{BufferedResponse, CallError, HttpConnection, ReceivedBytes};

/// Largest response body in bytes that [`call_http`] accepts.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Sends `request` on a new connection and waits up to `timeout` for the complete response.
///
/// # Errors
///
/// Fails when the connection can't be established, when it breaks, or on a timeout.
pub async fn call_http(
    address: SocketAddr,
    request: Request,
    timeout: Duration,
) -> Result<BufferedResponse, CallError> {
    let connection = open_with_timeout(address, timeout).await?;
    let exchange = connection.exchange(request, MAX_RESPONSE_BYTES);
    let exchange = with_timeout(timeout, exchange, |error| CallError::Broken {
        address,
        error,
    })
    .await?;
    Ok(exchange.response)
}

/// Opens a connection, with a timeout.
pub(crate) async fn open_with_timeout(
    address: SocketAddr,
    timeout: Duration,
) -> Result<HttpConnection, CallError> {
    let open = HttpConnection::open(address);
    with_timeout(timeout, open, |error| CallError::NotSent { address, error }).await
}

/// Runs an exchange for as long as `received` grows within each `silence`, and for up to `limit`;
/// `timeout_error` creates the error of a timeout.
///
/// A large response takes longer than a small one: a page of a megabyte takes four seconds on a link of
/// 2 Mbit/s.
pub(crate) async fn while_received<T>(
    (silence, limit): (Duration, Duration),
    received: ReceivedBytes,
    work: impl Future<Output = Result<T, CallError>>,
    timeout_error: impl FnOnce(String) -> CallError,
) -> Result<T, CallError> {
    let timer = async {
        let start = Instant::now();
        let mut before = received.get();
        loop {
            Timer::after(silence).await;
            let now = received.get();
            if now == before {
                return Err(timeout_error(format!("no answer within {silence:?}")));
            }
            if start.elapsed() >= limit {
                return Err(timeout_error(format!("no whole answer within {limit:?}")));
            }
            before = now;
        }
    };
    future::or(work, timer).await
}

/// Runs `work` for up to `timeout`; `timeout_error` creates the error of a timeout.
pub(crate) async fn with_timeout<T>(
    timeout: Duration,
    work: impl Future<Output = Result<T, CallError>>,
    timeout_error: impl FnOnce(String) -> CallError,
) -> Result<T, CallError> {
    let timer = async {
        Timer::after(timeout).await;
        Err(timeout_error(format!("no answer within {timeout:?}")))
    };
    future::or(work, timer).await
}
