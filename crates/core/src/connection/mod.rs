//! Connections to servers: the share of a server's limits that an instance may use, and the
//! check of replies.

pub mod reply_check;
pub mod share;
