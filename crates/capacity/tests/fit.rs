//! The fitted line.

use pw_capacity::prelude::*;

#[test]
fn a_line_is_found_again() {
    let points: Vec<(f64, f64)> = (0..5)
        .map(|x| (f64::from(x), 3.0 + 2.0 * f64::from(x)))
        .collect();
    let fit = LinearFit::through(&points).expect("five points");
    assert!((fit.at(10.0) - 23.0).abs() < 1e-9);
}

#[test]
fn one_point_has_no_line() {
    assert_eq!(LinearFit::through(&[(1.0, 2.0), (1.0, 3.0)]), None);
}
