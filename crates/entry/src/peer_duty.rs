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
const MAX_UNDER_WAY: usize = 1_024;

/// Message to the peers duty.
#[derive(Debug)]
pub enum PeerOrder {
    /// Send a heartbeat to each address; these are the peers from now on.
    SendHeartbeat {
        /// The member that is alive.
        member: MemberKey,
        /// Addresses of its peers.
        peers: Vec<SocketAddr>,
    },
    /// Tell every peer what service the accounts have had.
    TellShares(ShareReport),
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

struct PeerEars {
    dispatch: RingSender<DispatchMessage>,
    members: RingSender<MemberMessage>,
}

struct PeerMouth {
    link: Rc<dyn PeerLink>,
    spawner: TaskSpawner,
    peers: RefCell<Vec<SocketAddr>>,
    under_way: Rc<Cell<usize>>,
}

/// Hears peers and sends what it is ordered to until all senders of `orders` are gone.
pub async fn run(links: PeerLinks, spawner: TaskSpawner, orders: RingReceiver<PeerOrder>) {
    let ears = PeerEars {
        dispatch: links.dispatch,
        members: links.members,
    };
    let server = PeerServer {
        listener: links.listener,
        spawner: spawner.clone(),
        fleet: links.hello.fleet.clone(),
        handler: Rc::new(ears),
    };
    spawner.spawn(async move {
        if let Err(error) = server.serve().await {
            tracing::error!(event = EventCode::PeerFailed.number(), %error, "listener failed");
        }
    });
    let mouth = PeerMouth {
        link: Rc::new(H2Peers::new(links.hello, spawner.clone())),
        spawner,
        peers: RefCell::default(),
        under_way: Rc::default(),
    };
    while let Some(order) = orders.recv().await {
        mouth.carry_out(order);
    }
}

impl PeerHandler for PeerEars {
    fn receive(&self, message: PeerMessage) {
        // What a full ring refuses is said again with the next message of its kind.
        match message {
            PeerMessage::Heartbeat(member) => {
                _ = self.members.offer(MemberMessage::PeerHeard(member));
            }
            PeerMessage::Shares(report) => {
                let event = DispatchEvent::SharesReported(report);
                _ = self.dispatch.offer(DispatchMessage::Event(event));
            }
        }
    }
}

impl PeerMouth {
    fn carry_out(&self, order: PeerOrder) {
        match order {
            PeerOrder::SendHeartbeat { member, peers } => {
                self.peers.replace(peers);
                self.tell_all(&PeerMessage::Heartbeat(member));
            }
            PeerOrder::TellShares(report) => self.tell_all(&PeerMessage::Shares(report)),
        }
    }

    fn tell_all(&self, message: &PeerMessage) {
        for peer in self.peers.borrow().iter() {
            self.tell(*peer, message.clone());
        }
    }

    /// Sends one message, unless too many are under way.
    fn tell(&self, peer: SocketAddr, message: PeerMessage) {
        if self.under_way.get() >= MAX_UNDER_WAY {
            metrics::counter!("pw_peer_messages_dropped_total").increment(1);
            return;
        }
        self.under_way.set(self.under_way.get() + 1);
        let under_way = Rc::clone(&self.under_way);
        let sent = self.link.send(peer, message);
        self.spawner.spawn(async move {
            if let Err(error) = sent.await {
                let event = EventCode::PeerFailed;
                tracing::debug!(event = event.number(), %peer, %error, "peer not told");
            }
            under_way.set(under_way.get() - 1);
        });
    }
}
