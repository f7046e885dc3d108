//! Driver of an entry that forwards requests to upstream servers.
//!
//! Callers' connections, the forward machine's decisions and the upstream
//! connections share one thread, so that a subquery costs one write, one read and
//! no hand-over between threads. `docs/design/platform.md` gives the figures.

pub mod caller_answer;
pub mod callers;
pub mod cap_gate;
pub mod entry;
pub mod evidence;
pub mod feed;
pub mod grant;
pub mod image;
pub mod lines;
mod load;
pub mod measure;
pub mod pool;
pub mod run;
mod share_log;
pub mod story;
