//! Requests to the owners of shards.

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

/// Timeout of queries; an owner answers within a few milliseconds.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of store requests; the other node may repeat its append for 2 s.
const STORE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Owners of shards as computed from the members of the group. Only a hint: the claims decide the
/// ownership.
#[derive(Debug, Clone, Default)]
pub struct OwnerTable {
    owners: IndexMap<ShardNumber, SocketAddr>,
    /// Previous owners; each serves its shard until the next owner has claimed it.
    former: IndexMap<ShardNumber, SocketAddr>,
}

/// Client for the owners of shards, which are this node's control duty or other nodes.
#[derive(Clone)]
pub struct OwnerClient {
    control: RingSender<ControlMessage>,
    client: H2Client,
    owners: Rc<RefCell<OwnerTable>>,
}

/// Why a request to the owner of a shard failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerFault {
    /// The request was not sent or not accepted.
    NotSent,
    /// No answer came; the owner may have executed the request.
    Unanswered,
}

impl OwnerTable {
    /// Replaces all owners; ignores members whose names can't be parsed.
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

    /// Returns the nodes that may own a shard, most likely first.
    pub fn candidates(&self, shard: ShardNumber) -> Vec<SocketAddr> {
        let owner = self.owners.get(&shard).copied();
        let former = self.former.get(&shard).copied();
        let former = former.filter(|former| owner != Some(*former));
        owner.into_iter().chain(former).collect()
    }
}

impl OwnerClient {
    /// Creates a client without known owners.
    pub fn new(control: RingSender<ControlMessage>, client: H2Client) -> Self {
        Self {
            control,
            client,
            owners: Rc::default(),
        }
    }

    /// Sets the owners of all shards.
    pub fn set_owners(&self, rows: &[(ShardNumber, NodeName)]) {
        self.owners.borrow_mut().replace(rows);
    }

    /// Sends a request to the owner of its shard; `None` if it fails.
    pub async fn request(&self, request: NodeRequest) -> Option<NodeResponse> {
        let local = self.request_local(request.clone()).await;
        if local
            .as_ref()
            .is_some_and(|response| *response != NodeResponse::NotOwner)
        {
            return local;
        }
        self.request_peer(request).await.ok()
    }

    /// Sends a request to the owner of its shard on another node.
    ///
    /// # Errors
    ///
    /// Fails if the owner can't be reached or does not answer.
    pub async fn request_peer(&self, request: NodeRequest) -> Result<NodeResponse, OwnerFault> {
        let candidates = self.owners.borrow().candidates(request.shard());
        let mut result = Err(OwnerFault::NotSent);
        for owner in candidates {
            result = self.request_at(owner, &request).await;
            // Try the next node only if this one did not execute the request.
            let try_next = matches!(
                result,
                Ok(NodeResponse::NotOwner) | Err(OwnerFault::NotSent)
            );
            if !try_next {
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
            _ => QUERY_TIMEOUT,
        };
        match self.client.call_within(timeout, owner, bytes.into()).await {
            Ok(bytes) => decode_message(&bytes).ok_or(OwnerFault::Unanswered),
            Err(error) => {
                let event = EventCode::PeerFailed.number();
                let shard = request.shard();
                tracing::warn!(event, %owner, shard, %error, "shard owner unreachable");
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
