//! The part of a server's limits that one instance may use.

/// What one instance may use of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerShare {
    /// Most connections.
    pub connections: u32,
    /// Most subqueries outstanding.
    pub outstanding: u32,
}

/// Subqueries an instance may keep waiting at a server beyond its part of the
/// slots, so that a slot is never idle for the length of a round trip.
const QUEUED_AHEAD: u32 = 1;

/// Divides a server's limits evenly over the instances that use it.
///
/// Connections are rounded down, so that the sum keeps the server's limit as
/// long as there are no more instances than connections. Slots are rounded up:
/// with fewer slots than instances each instance still gets one, and the
/// server's own queue takes the rest.
pub fn divide_server_limits(slots: u32, connections: u32, instances: u32) -> ServerShare {
    let instances = instances.max(1);
    let connections = (connections / instances).max(1);
    let outstanding = slots.div_ceil(instances) + QUEUED_AHEAD;
    ServerShare {
        connections,
        outstanding: outstanding.min(connections),
    }
}
