//! One HTTP request and its whole response on a connection of its own.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use http_types::Request;

use crate::http_connection::{BufferedResponse, CallError, HttpConnection};

/// Largest body of a response in bytes, where the caller sets no bound of its own.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Sends `request` on a new connection and waits up to `timeout` for the whole response.
///
/// # Errors
///
/// Fails when no connection can be made, when it breaks, or when the time is over.
pub async fn call_http(
    address: SocketAddr,
    request: Request,
    timeout: Duration,
) -> Result<BufferedResponse, CallError> {
    let connection = open_within(address, timeout).await?;
    let exchange = connection.exchange(request, MAX_RESPONSE_BYTES);
    let exchange = within(timeout, exchange, |error| CallError::Broken {
        address,
        error,
    })
    .await?;
    Ok(exchange.response)
}

/// Opens a connection within `timeout`.
pub(crate) async fn open_within(
    address: SocketAddr,
    timeout: Duration,
) -> Result<HttpConnection, CallError> {
    let open = HttpConnection::open(address);
    within(timeout, open, |error| CallError::NotSent { address, error }).await
}

/// Waits for `work` up to `timeout`; `late` makes the error of a timeout.
pub(crate) async fn within<T>(
    timeout: Duration,
    work: impl Future<Output = Result<T, CallError>>,
    late: impl FnOnce(String) -> CallError,
) -> Result<T, CallError> {
    let timer = async {
        Timer::after(timeout).await;
        Err(late(format!("no answer within {timeout:?}")))
    };
    future::or(work, timer).await
}
