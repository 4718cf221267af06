//! Fits of known lines and of degenerate points.

use pw_capacity::prelude::*;

#[test]
fn points_on_a_line_yield_that_line() {
    let points: Vec<(f64, f64)> = (0..5)
        .map(|x| (f64::from(x), 3.0 + 2.0 * f64::from(x)))
        .collect();
    let fit = LinearFit::through(&points).expect("the points differ in x");
    assert!((fit.at(10.0) - 23.0).abs() < 1e-9);
}

#[test]
fn points_with_equal_x_yield_no_line() {
    assert_eq!(LinearFit::through(&[(1.0, 2.0), (1.0, 3.0)]), None);
}
