//! Deadlines of operators' orders that state no version, such as an evacuation.
//!
//! An operator whose order is not answered sends it to another instance and may then order
//! the opposite. A copy that is read later, because the instance was suspended or the
//! network held the bytes back, must not be carried out. The order does not say when it
//! was sent, but it cannot be older than its connection.

use std::time::Duration;

/// Time after which an order is no longer carried out. An operator's client times out after
/// one second and sends the order to another instance.
const ORDER_TIMEOUT: Duration = Duration::from_millis(900);

/// Latest time at which an order may be proposed to the leader, since the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderDeadline(Duration);

impl OrderDeadline {
    /// Returns the deadline of an order on a connection that was opened at `opened_at` at
    /// the earliest, since the process started.
    pub fn of_connection(opened_at: Duration) -> OrderDeadline {
        OrderDeadline(opened_at + ORDER_TIMEOUT)
    }

    /// Returns the time left at `now`, or `None` if the deadline has passed.
    pub fn time_left(self, now: Duration) -> Option<Duration> {
        self.0.checked_sub(now).filter(|left| !left.is_zero())
    }
}
