//! HTTP client of the platform's machine control: drain, checkpoint, stop, reboot and resume.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, bail, ensure};
use futures_lite::future::{BoxedLocal, FutureExt};
use http_types::{Method, Request, StatusCode};
use pw_plan::prelude::*;

use crate::http_call::call_http;

/// Timeout of a request to the machine control.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of an order to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The machine executes the order or has already executed it.
    Accepted,
    /// The order is older than the machine's current one, or can't be executed now.
    Refused,
}

/// The platform's machine control.
pub trait MachineControl {
    /// Returns the machines that changed after the cursor `after`; 0 returns all.
    ///
    /// The returned cursor is smaller than `after` when the platform has reset its list.
    fn changes(&self, after: ChangeCursor) -> BoxedLocal<anyhow::Result<MachineChanges>>;

    /// Sends an order. Orders are idempotent, so one without a response can be sent again.
    fn order(&self, order: MachineOrder) -> BoxedLocal<anyhow::Result<OrderOutcome>>;
}

/// Client of the platform's machine control.
#[derive(Debug, Clone)]
pub struct HttpMachines {
    address: SocketAddr,
}

impl HttpMachines {
    /// Creates a client of the machine control at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl MachineControl for HttpMachines {
    fn changes(&self, after: ChangeCursor) -> BoxedLocal<anyhow::Result<MachineChanges>> {
        let address = self.address;
        async move {
            let url = format!("http://{address}/v1/machines?after={after}");
            let request = Request::new(Method::Get, url.as_str());
            let response = call_http(address, request, CONTROL_TIMEOUT).await?;
            let status = response.status();
            ensure!(status == StatusCode::Ok, "status {status}");
            serde_json::from_slice(&response.body).context("malformed machine list")
        }
        .boxed_local()
    }

    fn order(&self, order: MachineOrder) -> BoxedLocal<anyhow::Result<OrderOutcome>> {
        let address = self.address;
        async move {
            let url = format!("http://{address}/v1/machines/orders");
            let mut request = Request::new(Method::Post, url.as_str());
            request.set_body(serde_json::to_vec(&order)?);
            let response = call_http(address, request, CONTROL_TIMEOUT).await?;
            match response.status() {
                StatusCode::NoContent => Ok(OrderOutcome::Accepted),
                StatusCode::Conflict => Ok(OrderOutcome::Refused),
                status => bail!("status {status}"),
            }
        }
        .boxed_local()
    }
}
