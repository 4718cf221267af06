//! Clients of the platform's services, backend servers and peers, and the servers for callers and
//! peers.
//!
//! Each external system is behind a trait so that tests can replace it with a fake.

pub mod backend;
pub mod h2_channel;
pub mod http_call;
pub mod http_connection;
pub mod http_pool;
pub mod http_server;
pub mod instances;
pub mod lease_wire;
pub mod log_service;
pub mod machines;
pub mod peer;
pub mod peer_wire;
mod request_stream;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::backend::{
        BackendAddress, BackendGateway, HttpBackend, LeaseError, RunOutcome, RunStart, StopOutcome,
    };
    pub use crate::h2_channel::{BytesHandler, ChannelBounds, ChannelError, H2Client, H2Server};
    pub use crate::http_call::call_http;
    pub use crate::http_connection::{BufferedResponse, CallError, HttpConnection, HttpExchange};
    pub use crate::http_pool::{ConnectionUsage, HttpPool, PoolBounds};
    pub use crate::http_server::{
        HttpHandler, HttpServer, RequestFault, ServePhase, ServerBounds, serve_http,
    };
    pub use crate::instances::{HttpInstances, InstanceSource};
    pub use crate::log_service::{HttpLog, WireBatch, WireEntry};
    pub use crate::machines::{HttpMachines, MachineControl, OrderOutcome};
    pub use crate::peer::{H2Peers, PeerError, PeerHandler, PeerLink, PeerServer};
    pub use crate::peer_wire::{PeerHeader, PeerMessage, PeerRefusal, decode_peer, encode_peer};
}
