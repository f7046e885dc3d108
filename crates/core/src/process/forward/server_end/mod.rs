//! Decides, after a connection broke before the answer, whether the server ended or lost
//! the answer and stays alive. See `docs/design/server-evidence.md`.

pub mod estimate;
pub mod evidence;
pub mod watch;
