//! What lives for a connection: to upstream servers, and from clients.

pub mod accept;
pub mod arrival;
pub mod attempt;
pub mod exchange;
pub mod frame;
pub mod http;
pub mod listener;
pub mod peer;
pub mod pool;
