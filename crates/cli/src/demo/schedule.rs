//! When faults begin and end in a run.

use wheelmast_fake::fault::FaultKind;

/// The part of a run (0 to 1) over which a fault is on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultSpan {
    /// When it begins.
    pub begin: f64,
    /// When it ends; 1 for not before the run does.
    pub end: f64,
}

/// Returns the span of a fault.
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
