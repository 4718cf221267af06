//! Benchmarks of the project, with one bench target each.
