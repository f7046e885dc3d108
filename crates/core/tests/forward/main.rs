//! Forwarding: what is decided for requests that pass through.

mod harness;

mod bundles;
mod chance;
mod ends;
mod parts;
mod source;
