//! Tests of fair shares among workspaces: the water filling, the sketch of the work by
//! workspace, the merging at control instances, the decision of an entry, and all of them
//! together over many entries.

mod filling;
mod gate;
mod many_entries;
mod usage;
