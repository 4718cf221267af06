//! Linear regression through measured points.

/// Line fitted by the method of least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinearFit {
    /// Value at `x = 0`.
    pub intercept: f64,
    /// Increase per unit of `x`.
    pub slope: f64,
}

impl LinearFit {
    /// Fits a line through `(x, y)` points; `None` unless two points differ in `x`.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let variance_sum: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let covariance_sum: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = covariance_sum / variance_sum;
        slope.is_finite().then_some(Self {
            intercept: mean_y - slope * mean_x,
            slope,
        })
    }

    /// Returns the value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
