//! Types of one caller's request: its identity, its state while it runs, the merging of
//! replies, the answer, and the decisions that are recorded on the way.

pub mod answer;
pub mod decision;
pub mod identity;
pub mod mark;
pub mod merge;
pub mod query;
pub mod records;
