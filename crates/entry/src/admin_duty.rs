//! The duty that serves health checks, status and metrics.

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::{self, BoxedLocal, FutureExt};
use http_types::{Request, Response, StatusCode};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use pw_base::prelude::*;
use pw_link::prelude::*;
use pw_ring::prelude::*;

use crate::message::{DispatchMessage, DispatchStatus};

/// Timeout for the status of the dispatch duty.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves `/healthz`, `/readyz`, `/status` and `/metrics` until the listener fails.
///
/// The instance reports that it is ready only in phase [`ServePhase::Serving`].
pub async fn run(
    listener: TcpListener,
    spawner: TaskSpawner,
    dispatch: RingSender<DispatchMessage>,
    phases: RingReceiver<ServePhase>,
) {
    // Only the first node in a process can install the recorder; later nodes record to it.
    let metrics = PrometheusBuilder::new().install_recorder().ok();
    let phase = Rc::new(Cell::default());
    let handler = Rc::new(AdminHandler {
        dispatch,
        metrics,
        phase: Rc::clone(&phase),
    });
    spawner.spawn(async move {
        while let Some(new_phase) = phases.recv().await {
            phase.set(new_phase);
        }
    });
    if let Err(error) = serve_http(listener, spawner, handler).await {
        tracing::error!(event = EventCode::CallerFailed.number(), %error, "listener failed");
    }
}

#[derive(Clone)]
struct AdminHandler {
    dispatch: RingSender<DispatchMessage>,
    metrics: Option<PrometheusHandle>,
    phase: Rc<Cell<ServePhase>>,
}

impl HttpHandler for AdminHandler {
    fn handle(&self, request: Request) -> BoxedLocal<Response> {
        let handler = self.clone();
        async move {
            match request.url().path() {
                "/healthz" => Response::new(StatusCode::Ok),
                "/readyz" => handler.readiness().await,
                "/status" => handler.status().await,
                "/metrics" => handler.render_metrics(),
                _ => Response::new(StatusCode::NotFound),
            }
        }
        .boxed_local()
    }
}

impl AdminHandler {
    async fn readiness(&self) -> Response {
        let known = self
            .request_status()
            .await
            .is_some_and(|status| status.revision > 0);
        let ready = known && self.phase.get() == ServePhase::Serving;
        Response::new(if ready {
            StatusCode::Ok
        } else {
            StatusCode::ServiceUnavailable
        })
    }

    async fn status(&self) -> Response {
        let Some(status) = self.request_status().await else {
            return Response::new(StatusCode::ServiceUnavailable);
        };
        let mut response = Response::new(StatusCode::Ok);
        match http_types::Body::from_json(&status) {
            Ok(body) => response.set_body(body),
            Err(_) => response.set_status(StatusCode::InternalServerError),
        }
        response
    }

    fn render_metrics(&self) -> Response {
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(
            self.metrics
                .as_ref()
                .map_or_else(String::new, PrometheusHandle::render),
        );
        response
    }

    async fn request_status(&self) -> Option<DispatchStatus> {
        let (reply, replies) = ring("status", 1);
        self.dispatch
            .offer(DispatchMessage::ReadStatus(reply))
            .ok()?;
        let timeout = async {
            Timer::after(STATUS_TIMEOUT).await;
            None
        };
        future::or(replies.recv(), timeout).await
    }
}
