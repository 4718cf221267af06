//! Pool of keep-alive client connections, with a limit for each server.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_types::Request;
use indexmap::IndexMap;
use pw_base::prelude::*;

use crate::http_call::{open_with_timeout, while_received};
use crate::http_connection::{BufferedResponse, CallError, HttpConnection};

/// Limits of an [`HttpPool`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolBounds {
    /// Maximum number of connections to one server with a request in flight.
    pub max_busy: usize,
    /// Maximum number of idle connections to one server that are kept open.
    pub max_idle: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Largest response body in bytes.
    pub max_body: usize,
    /// Longest time for a response that goes on arriving; no longer than its timeout if that is more.
    pub max_exchange: Duration,
}

/// Number of open connections to one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionUsage {
    /// Connections with a request in flight.
    pub busy: usize,
    /// Idle connections, kept for further requests.
    pub idle: usize,
}

/// HTTP client that keeps its connections for further requests.
#[derive(Clone)]
pub struct HttpPool {
    bounds: PoolBounds,
    clock: Arc<dyn ClockSource>,
    table: Arc<Mutex<ConnectionTable>>,
}

struct ConnectionTable {
    servers: IndexMap<SocketAddr, ServerConnections>,
    last_pruned: Instant,
}

#[derive(Debug, Default)]
struct ServerConnections {
    busy: usize,
    idle: Vec<IdleConnection>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    idle_since: Instant,
}

/// Slot of a busy connection, released when dropped.
struct BusySlot<'a> {
    pool: &'a HttpPool,
    address: SocketAddr,
}

impl Default for PoolBounds {
    fn default() -> Self {
        Self {
            max_busy: 12,
            max_idle: 4,
            idle_timeout: Duration::from_secs(15),
            connect_timeout: Duration::from_secs(1),
            max_body: 16 * 1024 * 1024,
            max_exchange: Duration::ZERO,
        }
    }
}

impl HttpPool {
    /// Creates an empty pool.
    pub fn new(bounds: PoolBounds, clock: Arc<dyn ClockSource>) -> Self {
        let table = ConnectionTable {
            servers: IndexMap::new(),
            last_pruned: clock.now(),
        };
        Self {
            bounds,
            clock,
            table: Arc::new(Mutex::new(table)),
        }
    }

    /// Sends `request` and waits up to `timeout` for the complete response, or for up to
    /// [`PoolBounds::max_exchange`] as long as some of it arrives within each `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::PoolExhausted`] when all connections are in use, [`CallError::NotSent`]
    /// when the request can't be sent, and [`CallError::Broken`] when the connection breaks or the
    /// timeout expires after that.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<BufferedResponse, CallError> {
        let _slot = self.take_slot(address)?;
        let connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => open_with_timeout(address, self.bounds.connect_timeout.min(timeout)).await?,
        };
        let received = connection.received();
        let exchange = connection.exchange(request, self.bounds.max_body);
        let timeout_error = |error| CallError::Broken { address, error };
        let limits = (timeout, self.bounds.max_exchange);
        let exchange = while_received(limits, received, exchange, timeout_error).await?;
        if let Some(connection) = exchange.connection {
            self.put_idle(address, connection);
        }
        Ok(exchange.response)
    }

    /// Returns the number of busy and idle connections to `address`.
    pub fn usage(&self, address: SocketAddr) -> ConnectionUsage {
        let table = self.lock();
        let server = table.servers.get(&address);
        server.map_or_else(ConnectionUsage::default, |server| ConnectionUsage {
            busy: server.busy,
            idle: server.idle.len(),
        })
    }

    /// Closes the idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        if let Some(server) = self.lock().servers.get_mut(&address) {
            server.idle.clear();
        }
    }

    fn take_slot(&self, address: SocketAddr) -> Result<BusySlot<'_>, CallError> {
        let now = self.clock.now();
        let mut table = self.lock();
        table.prune(now, self.bounds.idle_timeout);
        let server = table.servers.entry(address).or_default();
        if server.busy >= self.bounds.max_busy {
            return Err(CallError::PoolExhausted { address });
        }
        server.busy += 1;
        Ok(BusySlot {
            pool: self,
            address,
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<HttpConnection> {
        let now = self.clock.now();
        let mut table = self.lock();
        let server = table.servers.get_mut(&address)?;
        server.close_stale(now, self.bounds.idle_timeout);
        while let Some(idle) = server.idle.pop() {
            if idle.connection.is_reusable() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, connection: HttpConnection) {
        let idle_since = self.clock.now();
        let mut table = self.lock();
        let server = table.servers.entry(address).or_default();
        if server.idle.len() < self.bounds.max_idle {
            server.idle.push(IdleConnection {
                connection,
                idle_since,
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionTable {
    /// Drops stale connections and unused entries, including those of servers that get no further
    /// request.
    fn prune(&mut self, now: Instant, idle_timeout: Duration) {
        if now < self.last_pruned + idle_timeout {
            return;
        }
        self.last_pruned = now;
        self.servers.retain(|_, server| {
            server.close_stale(now, idle_timeout);
            server.busy > 0 || !server.idle.is_empty()
        });
    }
}

impl ServerConnections {
    fn close_stale(&mut self, now: Instant, idle_timeout: Duration) {
        self.idle
            .retain(|idle| now < idle.idle_since + idle_timeout);
    }
}

impl Drop for BusySlot<'_> {
    fn drop(&mut self) {
        let mut table = self.pool.lock();
        if let Some(server) = table.servers.get_mut(&self.address) {
            server.busy = server.busy.saturating_sub(1);
        }
    }
}
