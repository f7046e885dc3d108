//! Checks whether a connection may be reused after a reply.

use crate::process::action::SendOrder;
use crate::process::input::ReplyBody;

/// Returns whether a reply belongs to the last request that was sent on its connection.
///
/// If it does not, requests and replies on the connection are out of step. Later replies on
/// the connection cannot be trusted either, so the connection must be closed.
pub fn reply_matches_order(order: &SendOrder, body: &ReplyBody) -> bool {
    body.attempt == order.id && body.request == order.request
}
