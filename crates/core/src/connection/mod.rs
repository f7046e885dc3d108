//! What lives for a connection: how many an instance may hold to a server.

pub mod reply_check;
pub mod share;
