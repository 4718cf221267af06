//! Messages between entry instances: what they say and how they are encoded.

use bincode::config::{self, Configuration, Limit, LittleEndian};
use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_member::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

/// Version of the messages that this build writes.
pub const PEER_VERSION: u16 = 1;
/// Oldest version of the messages that this build reads.
pub const OLDEST_PEER_VERSION: u16 = 1;
/// Largest message in bytes.
pub const MAX_PEER_BYTES: usize = 256 * 1024;

/// Who sends, in front of each message; its form is the same in all versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeader {
    /// Version of the message.
    pub version: u16,
    /// Fleet of the sender; empty when its settings name none.
    pub fleet: FleetId,
    /// Entry instance that sends.
    pub entry: EntryId,
}

/// Message from one entry instance to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The member is alive.
    Heartbeat(MemberKey),
    /// Service that the accounts have had through the sender.
    Shares(ShareReport),
}

/// Why a peer's message is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PeerRefusal {
    /// The sender belongs to another fleet.
    OtherFleet,
    /// The message has a version that this build does not read.
    UnknownVersion,
    /// The bytes are not a message.
    Malformed,
    /// The message is longer than the bound.
    TooLarge,
}

impl PeerHeader {
    /// Returns what a sender of this build says.
    pub fn new(fleet: FleetId, entry: EntryId) -> Self {
        Self {
            version: PEER_VERSION,
            fleet,
            entry,
        }
    }
}

/// Encodes a message; `None` when it is longer than the bound.
pub fn encode_peer(hello: &PeerHeader, message: &PeerMessage) -> Option<Vec<u8>> {
    let mut bytes = bincode::serde::encode_to_vec(hello, peer_config()).ok()?;
    bytes.extend(bincode::serde::encode_to_vec(message, peer_config()).ok()?);
    (bytes.len() <= MAX_PEER_BYTES).then_some(bytes)
}

/// Decodes a message of a peer for an entry instance of `fleet`.
///
/// # Errors
///
/// Fails on another fleet, on a version that is not read, and on bytes that are no message.
pub fn decode_peer(
    fleet: &FleetId,
    bytes: &[u8],
) -> Result<(PeerHeader, PeerMessage), PeerRefusal> {
    if bytes.len() > MAX_PEER_BYTES {
        return Err(PeerRefusal::TooLarge);
    }
    let malformed = |_| PeerRefusal::Malformed;
    let (hello, used): (PeerHeader, usize) =
        bincode::serde::decode_from_slice(bytes, peer_config()).map_err(malformed)?;
    if !(OLDEST_PEER_VERSION..=PEER_VERSION).contains(&hello.version) {
        return Err(PeerRefusal::UnknownVersion);
    }
    if hello.fleet != *fleet {
        return Err(PeerRefusal::OtherFleet);
    }
    let rest = &bytes[used..];
    let (message, used): (PeerMessage, usize) =
        bincode::serde::decode_from_slice(rest, peer_config()).map_err(malformed)?;
    if used < rest.len() {
        return Err(PeerRefusal::Malformed);
    }
    Ok((hello, message))
}

fn peer_config() -> Configuration<LittleEndian, config::Varint, Limit<MAX_PEER_BYTES>> {
    config::standard().with_limit::<MAX_PEER_BYTES>()
}
