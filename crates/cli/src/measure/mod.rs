//! Measurements that give the figures in `docs/CAPACITY.md` and
//! `docs/MEASUREMENTS.md`.

pub mod capacity;
pub mod control;
pub mod cpu;
pub mod fit;
pub mod fleet;
pub mod gossip;
