//! The settings file of an instance, in JSON with comments.
//!
//! The parser reports all faults of a file together as findings, each with line
//! and column.

pub mod model;
pub mod read;
pub mod reader;
pub mod role;
