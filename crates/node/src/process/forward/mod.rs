//! An entry that forwards requests, all on one thread.
//!
//! Callers, decisions and upstream connections are one duty here: a subquery
//! costs one write, one read and no hand-over between threads. What that gains
//! is in `docs/design/platform.md`.

pub mod callers;
pub mod cap_gate;
pub mod entry;
pub mod feed;
pub mod grant;
pub mod image;
pub mod lines;
pub mod measure;
pub mod pool;
pub mod run;
pub mod story;
