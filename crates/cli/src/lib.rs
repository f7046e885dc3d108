//! Library behind the `wheelmast` command, shared by its binary and its integration tests.

pub mod app;
pub mod client;
pub mod cmd;
pub mod demo;
pub mod measure;
