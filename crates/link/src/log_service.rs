//! HTTP client of the platform's log service.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use futures_lite::future::{BoxedLocal, FutureExt};
use http_types::{Method, Request, StatusCode};
use pw_base::prelude::*;
use pw_log::prelude::*;
use serde::{Deserialize, Serialize};

use crate::http_call::call_http;
use crate::http_connection::BufferedResponse;

/// Timeout of a request to the log service, in addition to the requested wait.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// JSON form of a log record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEntry {
    /// Offset of the record in the log.
    pub offset: LogOffset,
    /// Encoded record, in base64.
    pub record: String,
}

/// JSON form of a batch of log records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireBatch {
    /// Records in log order.
    pub entries: Vec<WireEntry>,
    /// Offset after the last record in the log.
    pub end: LogOffset,
}

/// Client of the platform's log service.
#[derive(Debug, Clone)]
pub struct HttpLog {
    address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct AppendReply {
    offset: LogOffset,
}

impl HttpLog {
    /// Creates a client of the log service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl LogStore for HttpLog {
    fn append(&self, bytes: Vec<u8>) -> BoxedLocal<Result<LogOffset, LogError>> {
        let address = self.address;
        async move {
            let url = format!("http://{address}/v1/log");
            let mut request = Request::new(Method::Post, url.as_str());
            request.set_body(bytes);
            let response = call_http(address, request, LOG_TIMEOUT)
                .await
                .map_err(unreachable)?;
            let reply: AppendReply = parse_reply(&response)?;
            Ok(reply.offset)
        }
        .boxed_local()
    }

    fn read(&self, from: LogOffset, wait: Duration) -> BoxedLocal<Result<LogBatch, LogError>> {
        let address = self.address;
        async move {
            let wait_ms = wait.as_millis();
            let url = format!("http://{address}/v1/log?from={from}&wait_ms={wait_ms}");
            let request = Request::new(Method::Get, url.as_str());
            let response = call_http(address, request, wait + LOG_TIMEOUT)
                .await
                .map_err(unreachable)?;
            let WireBatch { entries, end } = parse_reply(&response)?;
            let entries: Result<Vec<LogEntry>, LogError> =
                entries.into_iter().map(decode_entry).collect();
            Ok(LogBatch {
                entries: entries?,
                end,
            })
        }
        .boxed_local()
    }
}

fn unreachable(error: impl ToString) -> LogError {
    LogError::Unreachable(error.to_string())
}

fn parse_reply<T: serde::de::DeserializeOwned>(response: &BufferedResponse) -> Result<T, LogError> {
    match response.status() {
        StatusCode::Ok | StatusCode::Created => {
            serde_json::from_slice(&response.body).map_err(unreachable)
        }
        StatusCode::Gone => {
            let first = serde_json::from_slice(&response.body).map_err(unreachable)?;
            Err(LogError::Expired { first })
        }
        status => Err(LogError::Refused(status.to_string())),
    }
}

fn decode_entry(entry: WireEntry) -> Result<LogEntry, LogError> {
    let bytes = BASE64_STANDARD.decode(entry.record).map_err(unreachable)?;
    Ok(LogEntry {
        offset: entry.offset,
        bytes,
    })
}
