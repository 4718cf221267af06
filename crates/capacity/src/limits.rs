//! The size to design for and what a node may spend on control there.

/// Workers of the size to design for.
pub const FULL_WORKERS: f64 = 8_500.0;
/// Limit on control in percent of a core.
pub const CORE_LIMIT: f64 = 3.7;
/// Limit on control in mebibytes.
pub const MEMORY_LIMIT: f64 = 64.0;
/// Limit on control in bytes a second.
pub const BYTES_LIMIT: f64 = 4_000.0;
