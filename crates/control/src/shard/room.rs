//! Room for further tasks on the workers of a pool.

use pw_worker::prelude::*;

/// The largest rooms on any worker of a pool; each of the others fits into one of these.
#[derive(Debug, Clone, Default)]
pub(super) struct PoolRoom {
    largest: Vec<ResourceSize>,
}

impl PoolRoom {
    /// Creates the room of workers with the unreserved resources `rooms`.
    pub fn of(rooms: impl Iterator<Item = ResourceSize>) -> Self {
        let mut largest: Vec<ResourceSize> = Vec::new();
        for room in rooms {
            if !largest.iter().any(|larger| room.fits_into(larger)) {
                largest.retain(|smaller| !smaller.fits_into(&room));
                largest.push(room);
            }
        }
        Self { largest }
    }

    /// Returns whether a task of `size` fits on some worker.
    pub fn fits(&self, size: &ResourceSize) -> bool {
        self.largest.iter().any(|room| size.fits_into(room))
    }
}
