//! Tests of the forward machine, which decides how an entry forwards requests. The
//! tests play the callers, the servers and the other entries.

mod harness;

mod admit;
mod allowed_regions;
mod arrived;
mod bundles;
mod chance;
mod cold;
mod connection_subset;
mod connections;
mod crashing;
mod divided_shards;
mod ends;
mod evacuate;
mod hedges;
mod keys;
mod merged;
mod parts;
mod pauses;
mod proximity;
mod ranks;
mod reborn;
mod remember;
mod reroute;
mod retry_order;
mod roll;
mod server_end;
mod shard_owners;
mod shift;
mod slowness;
mod source;
mod splits;
mod trials;
mod unresponsive;
mod versions;
mod workspace_shares;
