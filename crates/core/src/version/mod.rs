//! Versioned tables and data snapshots: the service table, the route table with
//! its workspaces, and the identity of a snapshot of an upstream's data.

pub mod column;
pub mod route_table;
pub mod row;
pub mod snapshot;
pub mod table;
pub mod workspace;
