//! Schedule of the injected faults within a run.

use wheelmast_fake::fault::FaultKind;

/// Interval of a run during which a fault is active. Both ends are fractions
/// (0 to 1) of the run's length.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultSpan {
    /// Start of the fault.
    pub begin: f64,
    /// End of the fault. With 1, the fault stays active until the run ends.
    pub end: f64,
}

/// Returns the interval during which a fault is active.
pub fn fault_span(fault: FaultKind) -> FaultSpan {
    let (begin, end) = match fault {
        FaultKind::Straggler
        | FaultKind::LyingHealth
        | FaultKind::Shed
        | FaultKind::Crossed
        | FaultKind::WrongSnapshot
        | FaultKind::WrongShard
        | FaultKind::Broken
        | FaultKind::Roll => (0.0, 1.0),
        FaultKind::Cold => (0.2, 1.0),
        FaultKind::Drain => (0.1, 0.8),
        FaultKind::LostReplica => (0.3, 0.85),
        FaultKind::CutDomain => (0.35, 0.6),
        FaultKind::Repartition => (0.5, 1.0),
        FaultKind::RestartEntry => (0.4, 1.0),
    };
    FaultSpan { begin, end }
}
