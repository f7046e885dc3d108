//! Forwarding: what is decided for requests that pass through.

mod harness;

mod admit;
mod around;
mod arrived;
mod bundles;
mod chance;
mod cold;
mod crashing;
mod divide;
mod ends;
mod evacuate;
mod hedges;
mod holders;
mod homes;
mod keys;
mod merged;
mod parts;
mod pauses;
mod places;
mod reborn;
mod remember;
mod roll;
mod shift;
mod slowness;
mod source;
mod splits;
mod unresponsive;
mod versions;
