//! Forwarding: what is decided for requests that pass through.

mod harness;

mod bundles;
mod chance;
mod divide;
mod ends;
mod hedges;
mod parts;
mod roll;
mod slowness;
mod source;
