//! Generated fleets are valid and have the requested size.

use pw_capacity::prelude::*;

#[test]
fn generated_fleets_of_all_sizes_are_valid() {
    for workers in [2, 12, 50, 500, 2_000, 8_500] {
        let size = FleetSize::default().scaled_to(workers);
        let fleet = generate_fleet(&size);
        let counts = (fleet.workers.len(), fleet.pools.len(), fleet.accounts.len());
        assert_eq!(counts, (size.workers, size.pools, size.accounts));
    }
}

#[test]
fn default_size_is_the_target_size_of_the_design() {
    let fleet = generate_fleet(&FleetSize::default());
    assert_eq!(fleet.workers.len(), 8_500);
    assert_eq!(fleet.pools.len(), 112);
    assert_eq!(fleet.accounts.len(), 370);
    assert_eq!(fleet.zones.len(), 6);
}
