//! The duty that serves metrics and reports suppressed log lines.

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

use crate::log_budget::LogBudget;

/// HTTP path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// Interval between reports of suppressed log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Upper bounds of the histogram buckets in seconds.
const HISTOGRAM_BUCKETS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Serves metrics until the listener fails.
pub async fn run(listener: TcpListener, budget: Option<&'static LogBudget>, spawner: TaskSpawner) {
    let builder = PrometheusBuilder::new().set_buckets(&HISTOGRAM_BUCKETS);
    let recorder = builder.map(PrometheusBuilder::install_recorder);
    // A process has one global recorder: its first node installs it, and others record into it.
    let metrics = recorder.ok().and_then(Result::ok);
    if let Some(budget) = budget {
        spawner.spawn(report_suppressed(budget));
    }
    let handler = Rc::new(MetricsHandler { metrics });
    if let Err(error) = serve_http(listener, spawner, handler).await {
        tracing::error!(event = EventCode::CallerFailed.number(), %error, "listener failed");
    }
}

async fn report_suppressed(budget: &'static LogBudget) {
    loop {
        Timer::after(REPORT_INTERVAL).await;
        let lines = budget.take_suppressed();
        if lines > 0 {
            let event = EventCode::LinesSuppressed.number();
            tracing::warn!(event, lines, "log lines suppressed");
        }
    }
}

struct MetricsHandler {
    metrics: Option<PrometheusHandle>,
}

impl HttpHandler for MetricsHandler {
    fn handle(&self, request: Request) -> BoxedLocal<Response> {
        let mut response = Response::new(StatusCode::Ok);
        match (&self.metrics, request.url().path()) {
            (Some(metrics), METRICS_PATH) => response.set_body(metrics.render()),
            _ => response.set_status(StatusCode::NotFound),
        }
        future::ready(response).boxed_local()
    }
}
