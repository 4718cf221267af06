//! Control traffic of an entry instance other than log reads and appends.

use std::net::SocketAddr;
use std::time::Duration;

use pw_base::prelude::*;
use pw_entry::prelude::*;
use pw_fleet::prelude::*;
use pw_link::prelude::*;
use pw_member::prelude::*;
use pw_worker::prelude::*;

/// Returns the size of the platform's instance list, in bytes, with one instance on each worker.
///
/// # Panics
///
/// Panics when the list can't be encoded as JSON, which does not happen for a list of instances.
pub fn instance_list_bytes(fleet: &FleetSpec) -> f64 {
    let list: Vec<InstanceEntry> = fleet
        .workers
        .iter()
        .map(|worker| InstanceEntry {
            worker: worker.id.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 65_535)),
            state: InstanceState::Live,
        })
        .collect();
    serde_json::to_vec(&list)
        .expect("instance list serializes to JSON")
        .len() as f64
}

/// Returns the default time between two reads of the instance list.
pub fn instance_poll() -> Duration {
    EntrySettings::default().instance_poll
}

/// Returns the bytes per second that one of `members` sends and receives in heartbeats.
///
/// # Panics
///
/// Panics when a heartbeat exceeds the size limit of a message.
pub fn heartbeat_rate(members: u32) -> f64 {
    let entry = EntryId::from("cantabrico-a-entry-1");
    let key = MemberKey {
        entry: entry.clone(),
        process: ProcessId::MAX,
        incarnation: 1,
    };
    let header = PeerHeader::new(FleetId::from("telar-norte"), entry);
    let bytes = encode_peer(&header, &PeerMessage::Heartbeat(key))
        .expect("heartbeat is within the size limit")
        .len();
    let beats_per_second = 1.0 / MemberSettings::default().heartbeat_interval.as_secs_f64();
    2.0 * f64::from(members.saturating_sub(1)) * bytes as f64 * beats_per_second
}
