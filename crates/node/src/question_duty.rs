//! The duty that answers the questions of other nodes.

use std::net::TcpListener;
use std::rc::Rc;

use bytes::Bytes;
use futures_lite::future::{BoxedLocal, FutureExt};
use http::StatusCode;
use pw_base::prelude::*;
use pw_link::prelude::*;
use pw_ring::prelude::*;

use crate::message::ControlMessage;
use crate::question::{MAX_QUESTION_BYTES, decode_message, encode_message};

/// Streams that one node may have open at another at the same time.
const MAX_STREAMS: u32 = 64;

/// Returns the bounds of the channel between nodes.
pub fn question_bounds() -> ChannelBounds {
    ChannelBounds {
        max_bytes: MAX_QUESTION_BYTES,
        max_streams: MAX_STREAMS,
        ..Default::default()
    }
}

/// Answers questions until the listener fails.
pub async fn run(listener: TcpListener, control: RingSender<ControlMessage>, spawner: TaskSpawner) {
    let server = H2Server {
        listener,
        spawner,
        bounds: question_bounds(),
        handler: Rc::new(QuestionHandler { control }),
    };
    if let Err(error) = server.serve().await {
        tracing::error!(event = EventCode::PeerFailed.number(), %error, "listener failed");
    }
}

struct QuestionHandler {
    control: RingSender<ControlMessage>,
}

impl BytesHandler for QuestionHandler {
    fn answer(&self, request: Option<Bytes>) -> BoxedLocal<(StatusCode, Bytes)> {
        let control = self.control.clone();
        async move {
            let Some(question) = request.and_then(|bytes| decode_message(&bytes)) else {
                let event = EventCode::PeerRefused.number();
                tracing::warn!(event, "question of a node is malformed");
                return (StatusCode::BAD_REQUEST, Bytes::new());
            };
            let (reply, replies) = ring("question", 1);
            let message = ControlMessage::Question(question, reply);
            if control.offer(message).is_err() {
                return (StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            }
            let answer = replies.recv().await;
            match answer.and_then(|answer| encode_message(&answer)) {
                Some(bytes) => (StatusCode::OK, bytes.into()),
                None => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            }
        }
        .boxed_local()
    }
}
