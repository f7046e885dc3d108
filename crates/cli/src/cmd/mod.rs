//! The subcommands of `wheelmast`, one module each, and the code that they share.

pub mod common;
pub mod completions;
pub mod control;
pub mod data;
pub mod demo;
pub mod domain;
pub mod explain;
pub mod load;
pub mod measure;
pub mod query;
pub mod rollout;
pub mod route;
pub mod stories;
pub mod table;
pub mod watch;
