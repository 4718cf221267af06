//! Links to the platform's services and to backend servers.
//!
//! Each outside system stands behind a trait, so that tests can take a small fake in its place.

pub mod backend;
pub mod http_call;
pub mod http_server;
pub mod instances;
pub mod log_service;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::backend::{BackendGateway, HttpBackend, RunResult, RunStart};
    pub use crate::http_call::{CallError, WholeResponse, call_http};
    pub use crate::http_server::{HttpHandler, serve_http};
    pub use crate::instances::{HttpInstances, InstanceSource};
    pub use crate::log_service::{HttpLog, WireBatch, WireEntry};
}
