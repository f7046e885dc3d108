//! The settings of an instance: JSON with comments.
//!
//! All findings are reported together, each with line and column.

pub mod model;
pub mod read;
pub mod reader;
pub mod role;
