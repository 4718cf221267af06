//! An HTTP server on the thread of one duty.

use std::io;
use std::net::TcpListener;
use std::rc::Rc;

use async_io::Async;
use futures_lite::future::BoxedLocal;
use http_types::{Request, Response};
use pw_base::prelude::*;
use pw_ring::prelude::*;

/// Answers the requests of an HTTP server.
pub trait HttpHandler {
    /// Answers one request.
    fn handle(&self, request: Request) -> BoxedLocal<Response>;
}

/// Accepts connections for ever and answers their requests with `handler`.
///
/// # Errors
///
/// Fails when the listener fails.
pub async fn serve_http(
    listener: TcpListener,
    spawner: TaskSpawner,
    handler: Rc<dyn HttpHandler>,
) -> io::Result<()> {
    let listener = Async::new(listener)?;
    loop {
        let (stream, _) = listener.accept().await?;
        stream.get_ref().set_nodelay(true)?;
        let handler = Rc::clone(&handler);
        spawner.spawn(async move {
            let answer = |request| {
                let response = handler.handle(request);
                async move { Ok(response.await) }
            };
            if let Err(error) = async_h1::accept(async_dup::Arc::new(stream), answer).await {
                let event = EventCode::CallerFailed;
                tracing::debug!(event = event.number(), %error, "connection failed");
            }
        });
    }
}
