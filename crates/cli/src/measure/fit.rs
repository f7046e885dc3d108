//! Least-squares fit of a straight line through measured points.

/// A measured value at one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SizePoint {
    /// Size, for example a number of servers.
    pub size: f64,
    /// Value measured at this size.
    pub value: f64,
}

/// A straight line fitted by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LineFit {
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub offset: f64,
    /// Largest relative error: the distance of a point's value from the line,
    /// divided by that value.
    pub residual: f64,
}

impl LineFit {
    /// Returns the line's value at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.offset + self.slope * size
    }
}

/// Fits a line through the points, which must have at least two different sizes.
pub fn fit_line(points: &[SizePoint]) -> LineFit {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let mut covariance = 0.0;
    let mut variance = 0.0;
    for point in points {
        let distance = point.size - mean_size;
        covariance += distance * (point.value - mean_value);
        variance += distance * distance;
    }
    let slope = covariance / variance;
    let mut fit = LineFit {
        slope,
        offset: mean_value - slope * mean_size,
        residual: 0.0,
    };
    for point in points {
        let relative_error =
            (fit.at(point.size) - point.value).abs() / point.value.abs().max(f64::MIN_POSITIVE);
        fit.residual = fit.residual.max(relative_error);
    }
    fit
}
