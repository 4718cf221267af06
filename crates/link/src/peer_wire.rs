//! Messages between entry instances and their encoding.

use bincode::config::{self, Configuration, Limit, LittleEndian};
use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_member::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

/// Message version that this build writes.
pub const PEER_VERSION: u16 = 1;
/// Oldest message version that this build reads.
pub const OLDEST_PEER_VERSION: u16 = 1;
/// Maximum size of a message in bytes.
pub const MAX_PEER_BYTES: usize = 256 * 1024;

/// Header that precedes each message; its encoding is the same in all versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeader {
    /// Version of the message.
    pub version: u16,
    /// Fleet of the sender; empty when its settings name no fleet.
    pub fleet: FleetId,
    /// Entry instance that sends the message.
    pub entry: EntryId,
}

/// Message from one entry instance to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The member is alive.
    Heartbeat(MemberKey),
    /// Service that the client accounts have received through the sender.
    Shares(ShareReport),
}

/// Reason why a message from a peer is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PeerRefusal {
    /// The sender belongs to another fleet.
    OtherFleet,
    /// This build does not support the message version.
    UnknownVersion,
    /// The message can't be decoded.
    Malformed,
    /// The message exceeds the size limit.
    TooLarge,
}

impl PeerHeader {
    /// Creates the header of a message from `entry`, with the version of this build.
    pub fn new(fleet: FleetId, entry: EntryId) -> Self {
        Self {
            version: PEER_VERSION,
            fleet,
            entry,
        }
    }
}

/// Encodes a message; `None` when it exceeds the size limit.
pub fn encode_peer(header: &PeerHeader, message: &PeerMessage) -> Option<Vec<u8>> {
    let mut bytes = bincode::serde::encode_to_vec(header, peer_config()).ok()?;
    bytes.extend(bincode::serde::encode_to_vec(message, peer_config()).ok()?);
    (bytes.len() <= MAX_PEER_BYTES).then_some(bytes)
}

/// Decodes a message that a peer sent to an entry instance of `fleet`.
///
/// # Errors
///
/// Fails on a message of another fleet, of an unsupported version, that is too large or that can't
/// be decoded.
pub fn decode_peer(
    fleet: &FleetId,
    bytes: &[u8],
) -> Result<(PeerHeader, PeerMessage), PeerRefusal> {
    if bytes.len() > MAX_PEER_BYTES {
        return Err(PeerRefusal::TooLarge);
    }
    let malformed = |_| PeerRefusal::Malformed;
    let (header, used): (PeerHeader, usize) =
        bincode::serde::decode_from_slice(bytes, peer_config()).map_err(malformed)?;
    if !(OLDEST_PEER_VERSION..=PEER_VERSION).contains(&header.version) {
        return Err(PeerRefusal::UnknownVersion);
    }
    if header.fleet != *fleet {
        return Err(PeerRefusal::OtherFleet);
    }
    let rest = &bytes[used..];
    let (message, used): (PeerMessage, usize) =
        bincode::serde::decode_from_slice(rest, peer_config()).map_err(malformed)?;
    if used < rest.len() {
        return Err(PeerRefusal::Malformed);
    }
    Ok((header, message))
}

fn peer_config() -> Configuration<LittleEndian, config::Varint, Limit<MAX_PEER_BYTES>> {
    config::standard().with_limit::<MAX_PEER_BYTES>()
}
