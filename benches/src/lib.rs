//! Benchmarks of the project; each is a bench target of this package.
