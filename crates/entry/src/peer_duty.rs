//! The duty that exchanges messages with the other entry instances.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_link::prelude::*;
use pw_member::prelude::*;
use pw_ring::prelude::*;

use crate::member_duty::MemberMessage;
use crate::message::DispatchMessage;

/// Maximum number of messages in flight to all peers together.
const MAX_IN_FLIGHT: usize = 1_024;

/// Input of the peers duty.
#[derive(Debug)]
pub enum PeerCommand {
    /// Send a heartbeat to each address; the addresses replace the list of peers.
    SendHeartbeat {
        /// Member that sends the heartbeat.
        member: MemberKey,
        /// Addresses of its peers.
        peers: Vec<SocketAddr>,
    },
    /// Send a report of the accounts' service to every peer.
    ReportShares(ShareReport),
}

/// Listener of the duty, and rings to other duties.
pub struct PeerLinks {
    /// Listener for peers.
    pub listener: TcpListener,
    /// Header of messages to peers, which identifies this entry instance.
    pub header: PeerHeader,
    /// Ring to the dispatch duty.
    pub dispatch: RingSender<DispatchMessage>,
    /// Ring to the members duty.
    pub members: RingSender<MemberMessage>,
}

struct PeerReceiver {
    dispatch: RingSender<DispatchMessage>,
    members: RingSender<MemberMessage>,
}

struct PeerSender {
    link: Rc<dyn PeerLink>,
    spawner: TaskSpawner,
    peers: RefCell<Vec<SocketAddr>>,
    in_flight: Rc<Cell<usize>>,
}

/// Receives messages from peers and executes commands until all senders of `commands` are dropped.
pub async fn run(links: PeerLinks, spawner: TaskSpawner, commands: RingReceiver<PeerCommand>) {
    let receiver = PeerReceiver {
        dispatch: links.dispatch,
        members: links.members,
    };
    let server = PeerServer {
        listener: links.listener,
        spawner: spawner.clone(),
        fleet: links.header.fleet.clone(),
        handler: Rc::new(receiver),
    };
    spawner.spawn(async move {
        if let Err(error) = server.serve().await {
            tracing::error!(event = EventCode::PeerFailed.number(), %error, "listener failed");
        }
    });
    let sender = PeerSender {
        link: Rc::new(H2Peers::new(links.header, spawner.clone())),
        spawner,
        peers: RefCell::default(),
        in_flight: Rc::default(),
    };
    while let Some(command) = commands.recv().await {
        sender.execute(command);
    }
}

impl PeerHandler for PeerReceiver {
    fn receive(&self, message: PeerMessage) {
        // A message dropped by a full ring is superseded by the next one of its kind.
        match message {
            PeerMessage::Heartbeat(member) => {
                _ = self.members.offer(MemberMessage::HeartbeatReceived(member));
            }
            PeerMessage::Shares(report) => {
                let event = DispatchEvent::SharesReported(report);
                _ = self.dispatch.offer(DispatchMessage::Event(event));
            }
        }
    }
}

impl PeerSender {
    fn execute(&self, command: PeerCommand) {
        match command {
            PeerCommand::SendHeartbeat { member, peers } => {
                self.peers.replace(peers);
                self.send_all(&PeerMessage::Heartbeat(member));
            }
            PeerCommand::ReportShares(report) => self.send_all(&PeerMessage::Shares(report)),
        }
    }

    fn send_all(&self, message: &PeerMessage) {
        for peer in self.peers.borrow().iter() {
            self.send(*peer, message.clone());
        }
    }

    /// Sends one message, or drops it if too many are in flight.
    fn send(&self, peer: SocketAddr, message: PeerMessage) {
        if self.in_flight.get() >= MAX_IN_FLIGHT {
            metrics::counter!("pw_peer_messages_dropped_total").increment(1);
            return;
        }
        self.in_flight.set(self.in_flight.get() + 1);
        let in_flight = Rc::clone(&self.in_flight);
        let sent = self.link.send(peer, message);
        self.spawner.spawn(async move {
            if let Err(error) = sent.await {
                let event = EventCode::PeerFailed;
                tracing::debug!(event = event.number(), %peer, %error, "message to a peer failed");
            }
            in_flight.set(in_flight.get() - 1);
        });
    }
}
