//! The duty that runs tasks on backend servers.

use std::rc::Rc;

use pw_link::prelude::*;
use pw_ring::prelude::*;

use crate::message::DeskMessage;

/// Starts each run and reports its end to the desk.
pub async fn run(
    gateway: Box<dyn BackendGateway + Send>,
    spawner: TaskSpawner,
    runs: RingReceiver<RunStart>,
    desk: RingSender<DeskMessage>,
) {
    let gateway: Rc<dyn BackendGateway> = Rc::from(gateway as Box<dyn BackendGateway>);
    while let Some(run) = runs.recv().await {
        let gateway = Rc::clone(&gateway);
        let desk = desk.clone();
        spawner.spawn(async move {
            let task = run.start.task;
            let result = gateway.run(run).await;
            // Without a desk the node is stopping and nobody waits for the result.
            _ = desk.send(DeskMessage::RunEnded { task, result }).await;
        });
    }
}
