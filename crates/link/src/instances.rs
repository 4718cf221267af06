//! HTTP client of the platform's instance list.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, ensure};
use futures_lite::future::{BoxedLocal, FutureExt};
use http_types::{Method, Request, StatusCode};
use pw_worker::prelude::*;

use crate::http_call::call_http;

/// Timeout of a request for the instance list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// The platform's list of instances, which may be out of date.
pub trait InstanceSource {
    /// Reads the whole list.
    fn list(&self) -> BoxedLocal<anyhow::Result<Vec<InstanceEntry>>>;
}

/// Client of the platform's instance list.
#[derive(Debug, Clone)]
pub struct HttpInstances {
    address: SocketAddr,
}

impl HttpInstances {
    /// Creates a client of the instance list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl InstanceSource for HttpInstances {
    fn list(&self) -> BoxedLocal<anyhow::Result<Vec<InstanceEntry>>> {
        let address = self.address;
        async move {
            let url = format!("http://{address}/v1/instances");
            let request = Request::new(Method::Get, url.as_str());
            let response = call_http(address, request, LIST_TIMEOUT).await?;
            ensure!(
                response.status() == StatusCode::Ok,
                "status {}",
                response.status()
            );
            serde_json::from_slice(&response.body).context("malformed instance list")
        }
        .boxed_local()
    }
}
