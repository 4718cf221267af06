//! Bytes that an entry instance spends on control beside the log.

use std::net::SocketAddr;
use std::time::Duration;

use pw_base::prelude::*;
use pw_entry::prelude::*;
use pw_fleet::prelude::*;
use pw_link::prelude::*;
use pw_member::prelude::*;
use pw_worker::prelude::*;

/// Returns the bytes of the platform's instance list with one instance for each worker.
///
/// # Panics
///
/// Panics when the list can't be written as JSON, which a list of instances always can.
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
    serde_json::to_vec(&list).expect("list in JSON").len() as f64
}

/// Returns the time between two reads of the instance list, from the default settings.
pub fn instance_poll() -> Duration {
    EntrySettings::default().instance_poll
}

/// Returns the bytes a second that one member sends and receives in heartbeats among `members`.
///
/// # Panics
///
/// Panics when a heartbeat is longer than the bound of a message.
pub fn heartbeat_rate(members: u32) -> f64 {
    let entry = EntryId::from("cantabrico-a-entry-1");
    let key = MemberKey {
        entry: entry.clone(),
        process: ProcessId::MAX,
        incarnation: 1,
    };
    let hello = PeerHeader::new(FleetId::from("telar-norte"), entry);
    let bytes = encode_peer(&hello, &PeerMessage::Heartbeat(key))
        .expect("a small message")
        .len();
    let a_second = 1.0 / MemberSettings::default().heartbeat_interval.as_secs_f64();
    2.0 * f64::from(members.saturating_sub(1)) * bytes as f64 * a_second
}
