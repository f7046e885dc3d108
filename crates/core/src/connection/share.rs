//! Divides the limits of a server among the instances that send to it.

/// The limits of one server that apply to one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerShare {
    /// Maximum number of connections.
    pub connections: u32,
    /// Maximum number of outstanding subqueries.
    pub outstanding: u32,
}

/// Number of subqueries that an instance may have waiting at a server beyond its share of the
/// slots, so that a slot is never idle for the length of a round trip.
const QUEUED_AHEAD: u32 = 1;

/// Divides a server's limits evenly among the instances that use the server.
///
/// Connections are rounded down, so that their sum stays within the server's limit as long
/// as there are no more instances than connections. Slots (requests that the server runs at
/// once) are rounded up: with fewer slots than instances, each instance still gets one, and
/// the server's own queue holds the excess.
pub fn divide_server_limits(slots: u32, connections: u32, instances: u32) -> ServerShare {
    let instances = instances.max(1);
    let connections = (connections / instances).max(1);
    let outstanding = slots.div_ceil(instances) + QUEUED_AHEAD;
    ServerShare {
        connections,
        outstanding: outstanding.min(connections),
    }
}
