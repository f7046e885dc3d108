//! Connections: to upstream servers and other instances, and accepted ones from callers
//! and other instances.

pub mod accept;
pub mod answer_head;
pub mod arrival;
pub mod attempt;
pub mod exchange;
pub mod frame;
pub mod http;
pub mod limited_stream;
pub mod listener;
pub mod peer;
pub mod pool;
pub mod receive_memory;
