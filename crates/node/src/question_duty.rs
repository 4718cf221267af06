//! The duty that answers the questions of other nodes.

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
use crate::question::{
    MAX_QUESTION_BYTES, NodeAnswer, NodeQuestion, decode_message, encode_message,
};
use crate::writer::{SubmissionWriter, SubmitOutcome};

/// Streams that one node may have open at another at the same time.
const MAX_STREAMS: u32 = 64;

/// Returns the bounds of the channel between nodes.
pub fn question_bounds() -> ChannelBounds {
    ChannelBounds {
        max_bytes: MAX_QUESTION_BYTES,
        max_streams: MAX_STREAMS,
        // A record that another node has stored here may take as long as a submission.
        timeout: Duration::from_millis(2500),
        ..Default::default()
    }
}

/// Answers questions until the listener fails.
pub async fn run(
    listener: TcpListener,
    control: RingSender<ControlMessage>,
    writer: SubmissionWriter,
    spawner: TaskSpawner,
) {
    let server = H2Server {
        listener,
        spawner,
        bounds: question_bounds(),
        handler: Rc::new(QuestionHandler { control, writer }),
    };
    if let Err(error) = server.serve().await {
        tracing::error!(event = EventCode::PeerFailed.number(), %error, "listener failed");
    }
}

struct QuestionHandler {
    control: RingSender<ControlMessage>,
    writer: SubmissionWriter,
}

impl BytesHandler for QuestionHandler {
    fn handle(&self, request: Option<Bytes>) -> BoxedLocal<(StatusCode, Bytes)> {
        let (control, writer) = (self.control.clone(), self.writer.clone());
        async move {
            let Some(question) = request.and_then(|bytes| decode_message(&bytes)) else {
                let event = EventCode::PeerRefused.number();
                tracing::warn!(event, "question of a node is malformed");
                return (StatusCode::BAD_REQUEST, Bytes::new());
            };
            let answer = match question {
                NodeQuestion::Store { shard, key, value } => {
                    let outcome = writer.write(shard, key, value).await;
                    Some(stored_answer(outcome))
                }
                question => ask_control(&control, question).await,
            };
            match answer.and_then(|answer| encode_message(&answer)) {
                Some(bytes) => (StatusCode::OK, bytes.into()),
                None => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            }
        }
        .boxed_local()
    }
}

async fn ask_control(
    control: &RingSender<ControlMessage>,
    question: NodeQuestion,
) -> Option<NodeAnswer> {
    let (reply, replies) = ring("question", 1);
    control
        .offer(ControlMessage::Question(question, reply))
        .ok()?;
    replies.recv().await
}

fn stored_answer(outcome: SubmitOutcome) -> NodeAnswer {
    match outcome {
        SubmitOutcome::Stored => NodeAnswer::Stored,
        SubmitOutcome::NotStored => NodeAnswer::NotStored,
        SubmitOutcome::Unknown => NodeAnswer::MaybeStored,
    }
}
