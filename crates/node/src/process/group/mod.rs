//! Control instance: runs a replica of the replicated log that holds the route table,
//! tracks the servers that announce themselves, and sends both to the subscribed
//! entries.
//!
//! All state is owned by one thread. A second thread writes to disk, so that a slow
//! sync delays neither heartbeats nor announcements.

pub mod answer;
pub mod caps;
mod departures;
pub mod disk;
mod evacuate;
pub mod followers;
pub mod inbound;
pub mod link;
mod load;
pub mod measure;
pub mod node;
mod order;
pub mod replica;
pub mod rollouts;
pub mod run;
pub mod servers;
pub mod state;
pub mod suspects;
pub mod traffic;
