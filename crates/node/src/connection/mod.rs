//! Connections: to upstream servers and other instances, and accepted ones from callers
//! and other instances.

pub mod accept;
pub mod answer_head;
pub mod answer_reader;
pub mod answer_stream;
pub mod arrival;
pub mod attempt;
pub mod client;
pub mod client_memory;
pub mod client_stream;
pub mod exchange;
pub mod frame;
pub mod http;
pub mod http_syntax;
pub mod listener;
pub mod log_limit;
pub mod peer;
pub mod pool;
pub mod request_body;
pub mod short_reads;
