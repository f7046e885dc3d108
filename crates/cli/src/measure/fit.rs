//! Straight lines through measured points.

/// A measured point: a size and what was measured at it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SizePoint {
    /// The size.
    pub size: f64,
    /// What was measured.
    pub value: f64,
}

/// A straight line fitted by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LineFit {
    /// Growth for each unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub offset: f64,
    /// Largest distance of a point from the line, as a part of the point.
    pub residual: f64,
}

impl LineFit {
    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.offset + self.slope * size
    }
}

/// Fits a line through points of two or more sizes.
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
