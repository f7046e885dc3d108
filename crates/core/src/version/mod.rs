//! What lives for a version: of the service table, or of the data.

pub mod column;
pub mod route_table;
pub mod row;
pub mod snapshot;
pub mod table;
pub mod workspace;
