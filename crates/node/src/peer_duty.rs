//! The duty that answers requests of other nodes.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future::{BoxedLocal, FutureExt};
use http::StatusCode;
use pw_base::prelude::*;
use pw_link::prelude::*;
use pw_ring::prelude::*;

use crate::message::ControlMessage;
use crate::request::{
    MAX_REQUEST_BYTES, NodeRequest, NodeResponse, decode_message, encode_message,
};
use crate::writer::{SubmissionWriter, WriteFault};

/// Concurrent streams of one node on a connection to another.
const MAX_STREAMS: u32 = 64;

/// Returns the limits of connections between nodes.
pub fn peer_bounds() -> ChannelBounds {
    ChannelBounds {
        max_bytes: MAX_REQUEST_BYTES,
        max_streams: MAX_STREAMS,
        // A store request of another node may take as long as a submission.
        timeout: Duration::from_millis(2500),
        ..Default::default()
    }
}

/// Answers requests until the listener fails.
pub async fn run(
    listener: TcpListener,
    control: RingSender<ControlMessage>,
    writer: SubmissionWriter,
    spawner: TaskSpawner,
) {
    let server = H2Server {
        listener,
        spawner,
        bounds: peer_bounds(),
        handler: Rc::new(PeerHandler { control, writer }),
    };
    if let Err(error) = server.serve().await {
        tracing::error!(event = EventCode::PeerFailed.number(), %error, "listener failed");
    }
}

struct PeerHandler {
    control: RingSender<ControlMessage>,
    writer: SubmissionWriter,
}

impl BytesHandler for PeerHandler {
    fn handle(&self, request: Option<Bytes>) -> BoxedLocal<(StatusCode, Bytes)> {
        let (control, writer) = (self.control.clone(), self.writer.clone());
        async move {
            let Some(request) = request.and_then(|bytes| decode_message(&bytes)) else {
                let event = EventCode::PeerRefused.number();
                tracing::warn!(event, "malformed request from a node");
                return (StatusCode::BAD_REQUEST, Bytes::new());
            };
            let response = match request {
                NodeRequest::Store { shard, key, value } => {
                    let result = writer.write(shard, key, value).await;
                    Some(store_response(result))
                }
                request => request_control(&control, request).await,
            };
            match response.and_then(|response| encode_message(&response)) {
                Some(bytes) => (StatusCode::OK, bytes.into()),
                None => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            }
        }
        .boxed_local()
    }
}

async fn request_control(
    control: &RingSender<ControlMessage>,
    request: NodeRequest,
) -> Option<NodeResponse> {
    let (reply, replies) = ring("question", 1);
    control
        .offer(ControlMessage::Request(request, reply))
        .ok()?;
    replies.recv().await
}

fn store_response(result: Result<LogOffset, WriteFault>) -> NodeResponse {
    match result {
        Ok(_) => NodeResponse::Stored,
        Err(WriteFault::NotStored | WriteFault::TooLarge) => NodeResponse::NotStored,
        Err(WriteFault::Unknown) => NodeResponse::MaybeStored,
    }
}
