//! The duty that talks with the other entry instances.

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

/// Messages that may be under way to all peers together.
const MAX_IN_FLIGHT: usize = 1_024;

/// Message to the peers duty.
#[derive(Debug)]
pub enum PeerCommand {
    /// Send a heartbeat to each address; these are the peers from now on.
    SendHeartbeat {
        /// The member that is alive.
        member: MemberKey,
        /// Addresses of its peers.
        peers: Vec<SocketAddr>,
    },
    /// Tell every peer what service the accounts have had.
    ReportShares(ShareReport),
}

/// What the duty needs besides its ring.
pub struct PeerLinks {
    /// Listener for peers.
    pub listener: TcpListener,
    /// What this entry instance says of itself.
    pub hello: PeerHeader,
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

/// Hears peers and sends what it is ordered to until all senders of `commands` are gone.
pub async fn run(links: PeerLinks, spawner: TaskSpawner, commands: RingReceiver<PeerCommand>) {
    let receiver = PeerReceiver {
        dispatch: links.dispatch,
        members: links.members,
    };
    let server = PeerServer {
        listener: links.listener,
        spawner: spawner.clone(),
        fleet: links.hello.fleet.clone(),
        handler: Rc::new(receiver),
    };
    spawner.spawn(async move {
        if let Err(error) = server.serve().await {
            tracing::error!(event = EventCode::PeerFailed.number(), %error, "listener failed");
        }
    });
    let sender = PeerSender {
        link: Rc::new(H2Peers::new(links.hello, spawner.clone())),
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
        // What a full ring refuses is said again with the next message of its kind.
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

    /// Sends one message, unless too many are under way.
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
                tracing::debug!(event = event.number(), %peer, %error, "peer not told");
            }
            in_flight.set(in_flight.get() - 1);
        });
    }
}
