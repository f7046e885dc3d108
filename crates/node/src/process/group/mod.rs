//! A control instance: the replicated route table, the servers that announce
//! themselves, and the entries that follow both.
//!
//! One thread holds all of it; a second one writes the disk, so that a slow
//! sync keeps neither heartbeats nor announcements waiting.

pub mod answer;
pub mod caps;
pub mod disk;
mod evacuate;
pub mod followers;
pub mod inbound;
pub mod link;
pub mod measure;
pub mod node;
pub mod replica;
pub mod rollouts;
pub mod run;
pub mod servers;
pub mod state;
pub mod suspects;
pub mod traffic;
