//! Candidate owners of a shard.

use pw_base::prelude::*;
use pw_node::owners::OwnerTable;

fn rows(names: &[&str]) -> Vec<(ShardNumber, NodeName)> {
    let names = names
        .iter()
        .map(|name| NodeName::from(format!("{name}#25")));
    (0..).zip(names).collect()
}

/// A shard that is handed over is served by its former owner until the next one has claimed it.
#[test]
fn the_former_owner_comes_after_the_assigned_one() {
    let mut table = OwnerTable::default();
    table.replace(&rows(&["10.0.0.1:1", "10.0.0.2:1"]));
    table.replace(&rows(&["10.0.0.3:1", "10.0.0.2:1"]));
    let addresses = |shard| {
        let candidates = table.candidates(shard).into_iter();
        candidates
            .map(|address| address.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(addresses(0), ["10.0.0.3:1", "10.0.0.1:1"]);
    assert_eq!(addresses(1), ["10.0.0.2:1"]);
    assert!(addresses(2).is_empty());
}
