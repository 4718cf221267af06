//! Fleet capacity and maintenance manager.
//!
//! Operators apply declarative fleet files. Entry instances accept tasks from callers, place them
//! on workers and enforce the guarantees of the fleet. Each area has its own crate, re-exported
//! here.

pub use pw_account as account;
pub use pw_base as base;
pub use pw_contract as contract;
pub use pw_dispatch as dispatch;
pub use pw_entry as entry;
pub use pw_fleet as fleet;
pub use pw_link as link;
pub use pw_log as log;
pub use pw_member as member;
pub use pw_place as place;
pub use pw_plan as plan;
pub use pw_pool as pool;
pub use pw_ring as ring;
pub use pw_standin as standin;
pub use pw_worker as worker;
pub use pw_zone as zone;

/// Commonly used items of all crates.
pub mod prelude {
    pub use pw_account::prelude::*;
    pub use pw_base::prelude::*;
    pub use pw_contract::prelude::*;
    pub use pw_dispatch::prelude::*;
    pub use pw_entry::prelude::*;
    pub use pw_fleet::prelude::*;
    pub use pw_link::prelude::*;
    pub use pw_log::prelude::*;
    pub use pw_member::prelude::*;
    pub use pw_place::prelude::*;
    pub use pw_plan::prelude::*;
    pub use pw_pool::prelude::*;
    pub use pw_ring::prelude::*;
    pub use pw_worker::prelude::*;
    pub use pw_zone::prelude::*;
}
