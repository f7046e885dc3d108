//! What lives for a request.

pub mod answer;
pub mod decision;
pub mod identity;
pub mod mark;
pub mod merge;
pub mod query;
pub mod records;
