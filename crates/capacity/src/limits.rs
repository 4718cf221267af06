//! Target size of the design and limits on the control cost of a node at this size.

/// Number of workers at the target size.
pub const TARGET_WORKERS: f64 = 8_500.0;
/// Limit on the processor time for control, in percent of a core.
pub const CORE_LIMIT: f64 = 3.7;
/// Limit on the memory for control, in mebibytes.
pub const MEMORY_LIMIT: f64 = 64.0;
/// Limit on the traffic for control, in bytes per second.
pub const BYTES_LIMIT: f64 = 4_000.0;
