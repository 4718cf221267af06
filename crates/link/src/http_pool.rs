//! Kept-alive client connections, bounded for each server.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_types::Request;
use indexmap::IndexMap;
use pw_base::prelude::*;

use crate::http_call::{open_within, within};
use crate::http_connection::{BufferedResponse, CallError, HttpConnection};

/// Bounds of an [`HttpPool`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolBounds {
    /// Connections to one server that may carry a request at the same time.
    pub max_busy: usize,
    /// Connections that are kept open to one server while they carry no request.
    pub max_idle: usize,
    /// How long an unused connection is kept.
    pub idle_timeout: Duration,
    /// Longest wait for a new connection.
    pub connect_timeout: Duration,
    /// Largest body of a response in bytes.
    pub max_body: usize,
}

/// How many connections to one server are open.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionUsage {
    /// Connections that carry a request.
    pub busy: usize,
    /// Connections that are kept for further requests.
    pub idle: usize,
}

/// Sends requests over connections that are kept for further requests.
#[derive(Clone)]
pub struct HttpPool {
    bounds: PoolBounds,
    clock: Arc<dyn ClockSource>,
    table: Arc<Mutex<ConnectionTable>>,
}

struct ConnectionTable {
    servers: IndexMap<SocketAddr, ServerConnections>,
    pruned: Instant,
}

#[derive(Debug, Default)]
struct ServerConnections {
    busy: usize,
    idle: Vec<IdleConnection>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    since: Instant,
}

/// Counts one connection as busy until it is dropped.
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
        }
    }
}

impl HttpPool {
    /// Creates a pool without connections.
    pub fn new(bounds: PoolBounds, clock: Arc<dyn ClockSource>) -> Self {
        let table = ConnectionTable {
            servers: IndexMap::new(),
            pruned: clock.now(),
        };
        Self {
            bounds,
            clock,
            table: Arc::new(Mutex::new(table)),
        }
    }

    /// Sends `request` and waits up to `timeout` for the whole response.
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::PoolExhausted`] when all connections are in use, with
    /// [`CallError::NotSent`] when none can be made, and with [`CallError::Broken`] when the
    /// connection breaks or the time is over after that.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<BufferedResponse, CallError> {
        let _slot = self.take_slot(address)?;
        let connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => open_within(address, self.bounds.connect_timeout.min(timeout)).await?,
        };
        let exchange = connection.exchange(request, self.bounds.max_body);
        let late = |error| CallError::Broken { address, error };
        let exchange = within(timeout, exchange, late).await?;
        if let Some(connection) = exchange.connection {
            self.keep(address, connection);
        }
        Ok(exchange.response)
    }

    /// Returns how many connections to `address` carry a request, and how many are kept unused.
    pub fn usage(&self, address: SocketAddr) -> ConnectionUsage {
        let table = self.lock();
        let server = table.servers.get(&address);
        server.map_or_else(ConnectionUsage::default, |server| ConnectionUsage {
            busy: server.busy,
            idle: server.idle.len(),
        })
    }

    /// Closes the unused connections to `address`.
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
        server.drop_stale(now, self.bounds.idle_timeout);
        while let Some(idle) = server.idle.pop() {
            if idle.connection.is_reusable() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, connection: HttpConnection) {
        let since = self.clock.now();
        let mut table = self.lock();
        let server = table.servers.entry(address).or_default();
        if server.idle.len() < self.bounds.max_idle {
            server.idle.push(IdleConnection { connection, since });
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionTable {
    /// Drops what is no longer used, for servers that never get another request as well.
    fn prune(&mut self, now: Instant, idle_timeout: Duration) {
        if now < self.pruned + idle_timeout {
            return;
        }
        self.pruned = now;
        self.servers.retain(|_, server| {
            server.drop_stale(now, idle_timeout);
            server.busy > 0 || !server.idle.is_empty()
        });
    }
}

impl ServerConnections {
    fn drop_stale(&mut self, now: Instant, idle_timeout: Duration) {
        self.idle.retain(|idle| now < idle.since + idle_timeout);
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
