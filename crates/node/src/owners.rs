//! Questions to the owners of shards.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_link::prelude::*;
use pw_ring::prelude::*;

use crate::message::ControlMessage;
use crate::request::{NodeRequest, NodeResponse, decode_message, encode_message};

/// Longest wait for what an owner knows; it answers within a few milliseconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest wait for a record that another node stores; it may repeat its append for 2 s.
const STORE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Owners of shards as they follow from the members of the group; a hint only.
#[derive(Debug, Clone, Default)]
pub struct OwnerTable {
    owners: IndexMap<ShardNumber, SocketAddr>,
    /// Owners before the last change; a shard is served by them until the next owner has claimed it.
    former: IndexMap<ShardNumber, SocketAddr>,
}

/// Asks the owner of a shard: this node's control duty, or another node.
#[derive(Clone)]
pub struct OwnerClient {
    control: RingSender<ControlMessage>,
    client: H2Client,
    owners: Rc<RefCell<OwnerTable>>,
}

/// Why the owner of a shard gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerFault {
    /// It got no question.
    NotSent,
    /// It may have got the question.
    Unanswered,
}

impl OwnerTable {
    /// Replaces all owners; members whose names are not those of nodes are left out.
    pub fn replace(&mut self, rows: &[(ShardNumber, NodeName)]) {
        let addressed = rows.iter().filter_map(|(shard, member)| {
            let member = MemberIdentity::parse(member)?;
            Some((*shard, member.address))
        });
        let before = std::mem::replace(&mut self.owners, addressed.collect());
        for (shard, owner) in before {
            if self.owners.get(&shard) != Some(&owner) {
                self.former.insert(shard, owner);
            }
        }
    }

    /// Returns the nodes that may own a shard, the likeliest first.
    pub fn candidates(&self, shard: ShardNumber) -> Vec<SocketAddr> {
        let owner = self.owners.get(&shard).copied();
        let former = self.former.get(&shard).copied();
        let former = former.filter(|former| owner != Some(*former));
        owner.into_iter().chain(former).collect()
    }
}

impl OwnerClient {
    /// Creates an asker that knows no owners yet.
    pub fn new(control: RingSender<ControlMessage>, client: H2Client) -> Self {
        Self {
            control,
            client,
            owners: Rc::default(),
        }
    }

    /// Takes the owners of all shards.
    pub fn set_owners(&self, rows: &[(ShardNumber, NodeName)]) {
        self.owners.borrow_mut().replace(rows);
    }

    /// Asks the owner of the question's shard; `None` when it can't be asked now.
    pub async fn request(&self, request: NodeRequest) -> Option<NodeResponse> {
        let own = self.request_local(request.clone()).await;
        if own
            .as_ref()
            .is_some_and(|answer| *answer != NodeResponse::NotOwner)
        {
            return own;
        }
        self.request_peer(request).await.ok()
    }

    /// Asks the owner of the question's shard on another node.
    ///
    /// # Errors
    ///
    /// Fails when it can't be asked or gives no answer.
    pub async fn request_peer(&self, request: NodeRequest) -> Result<NodeResponse, OwnerFault> {
        let candidates = self.owners.borrow().candidates(request.shard());
        let mut result = Err(OwnerFault::NotSent);
        for owner in candidates {
            result = self.request_at(owner, &request).await;
            // Only a node that did nothing may be followed by another one.
            let next = matches!(
                result,
                Ok(NodeResponse::NotOwner) | Err(OwnerFault::NotSent)
            );
            if !next {
                break;
            }
        }
        result
    }

    async fn request_at(
        &self,
        owner: SocketAddr,
        request: &NodeRequest,
    ) -> Result<NodeResponse, OwnerFault> {
        let bytes = encode_message(request).ok_or(OwnerFault::NotSent)?;
        let timeout = match request {
            NodeRequest::Store { .. } => STORE_TIMEOUT,
            _ => RESPONSE_TIMEOUT,
        };
        match self.client.call_within(timeout, owner, bytes.into()).await {
            Ok(bytes) => decode_message(&bytes).ok_or(OwnerFault::Unanswered),
            Err(error) => {
                let event = EventCode::PeerFailed.number();
                let shard = request.shard();
                tracing::warn!(event, %owner, shard, %error, "owner of a shard not reached");
                Err(match error {
                    ChannelError::Unreachable(_) => OwnerFault::Unanswered,
                    ChannelError::NotConnected(_) | ChannelError::Refused(_) => OwnerFault::NotSent,
                })
            }
        }
    }

    async fn request_local(&self, request: NodeRequest) -> Option<NodeResponse> {
        let (reply, replies) = ring("question", 1);
        let message = ControlMessage::Request(request, reply);
        self.control.offer(message).ok()?;
        replies.recv().await
    }
}
