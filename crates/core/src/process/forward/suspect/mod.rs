//! Requests under which servers ended.
//!
//! A request may end each server that begins to run it. It is known by its mark
//! when it comes again; what one entry has seen of it, all are told.

pub mod alert;
pub mod book;
pub mod record;
