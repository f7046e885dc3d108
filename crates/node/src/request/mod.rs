//! Types and functions with the lifetime of one caller's request: the call to
//! the entry thread and the HTTP response.

pub mod call;
pub mod respond;
