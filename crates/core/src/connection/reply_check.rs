//! Whether a connection may be used again after a reply.

use crate::process::action::SendOrder;
use crate::process::input::ReplyBody;

/// Tells whether a reply is the one that the last order on its connection
/// asked for. A connection on which it is not is out of step: what comes next
/// on it cannot be trusted either, and it must be closed.
pub fn reply_matches_order(order: &SendOrder, body: &ReplyBody) -> bool {
    body.attempt == order.id && body.request == order.request
}
