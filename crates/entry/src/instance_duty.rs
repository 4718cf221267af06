//! The duty that polls the platform's instance list.

use std::time::Duration;

use async_io::Timer;
use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_link::prelude::*;
use pw_ring::prelude::*;

use crate::member_duty::MemberMessage;
use crate::message::DispatchMessage;

/// Reads the list at intervals of `poll` and sends it to the dispatch and members duties.
pub async fn run(
    source: Box<dyn InstanceSource + Send>,
    poll: Duration,
    dispatch: RingSender<DispatchMessage>,
    members: RingSender<MemberMessage>,
) {
    loop {
        match source.list().await {
            Ok(list) => {
                // A list dropped by a full ring is superseded by the next one.
                _ = members.offer(MemberMessage::InstancesListed(list.clone()));
                let event = DispatchEvent::InstancesListed(list);
                if dispatch.send(DispatchMessage::Event(event)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                let event = EventCode::InstancesUnreachable;
                tracing::warn!(event = event.number(), %error, "failed to read the instance list");
            }
        }
        Timer::after(poll).await;
    }
}
