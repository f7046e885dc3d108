//! An entry: the core's machine, and its connections as far as they cost time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use wheelmast_core::arena::{ServerKey, SlotKey};
use wheelmast_core::process::forward::answer::ForwardAction;
use wheelmast_core::process::forward::input::{EntryPeer, ForwardInput};
use wheelmast_core::process::forward::machine::{ForwardMachine, ForwardOptions};
use wheelmast_core::process::input::CallTag;
use wheelmast_core::version::route_table::RouteTable;

use crate::model::server::JobKey;
use crate::model::spec::PlaySpec;

/// An entry of a play.
#[derive(Debug)]
pub(super) struct ModelEntry {
    pub(super) machine: ForwardMachine,
    /// Place of its failure domain.
    pub(super) domain: usize,
    /// Idle connections, by the machine's key of the server.
    pub(super) idle: HashMap<ServerKey, u32>,
    /// All connections to servers, by the machine's key of the server.
    pub(super) open: HashMap<ServerKey, u32>,
    /// The machine's keys of the servers that it has sent to, by their places.
    pub(super) keys: HashMap<usize, ServerKey>,
    /// Jobs of the attempts outstanding.
    pub(super) jobs: HashMap<SlotKey, (JobKey, ServerKey)>,
    /// What other entries are asked for, by attempt.
    pub(super) relays: HashMap<SlotKey, CallTag>,
    /// When it is cut off.
    pub(super) cuts: Vec<(Duration, Duration)>,
    /// When its next wake-up is due.
    pub(super) armed: Duration,
}

impl ModelEntry {
    pub(super) fn new(spec: &PlaySpec, peer: &EntryPeer, domain: usize, seed: u64) -> ModelEntry {
        let options = ForwardOptions {
            domain: peer.domain.clone(),
            local_id: peer.id(),
            extra: spec.extra.with_reserve(),
            seed,
            stalls: spec.pause_way,
            rank_admission: spec.rank_admission,
            connection_subsets: spec.connection_subsets,
            canary: spec.canary,
            records_decisions: false,
            ..ForwardOptions::default()
        };
        ModelEntry {
            machine: ForwardMachine::new(options),
            domain,
            idle: HashMap::new(),
            open: HashMap::new(),
            keys: HashMap::new(),
            jobs: HashMap::new(),
            relays: HashMap::new(),
            cuts: Vec::new(),
            armed: Duration::MAX,
        }
    }

    pub(super) fn step(&mut self, now: Duration, input: ForwardInput) -> Vec<ForwardAction> {
        let mut out = Vec::new();
        self.machine.step(now, input, &mut out);
        out
    }

    pub(super) fn obey(&mut self, table: Arc<RouteTable>, entries: u32) {
        let _ = self.step(Duration::ZERO, ForwardInput::Table(table));
        let _ = self.step(Duration::ZERO, ForwardInput::EntryCount(entries));
    }

    /// Tells whether it is cut off.
    pub(super) fn is_cut(&self, now: Duration) -> bool {
        let mut cuts = self.cuts.iter();
        cuts.any(|(from, until)| (*from..*until).contains(&now))
    }

    /// Keeps a connection to another entry whose request has ended well.
    pub(super) fn keep_idle(&mut self, server: ServerKey, now: Duration) {
        let idle = self.idle.entry(server).or_default();
        *idle += 1;
        let idle = *idle;
        let _ = self.step(
            now,
            ForwardInput::Connections {
                server,
                idle,
                open: idle,
            },
        );
    }

    /// Takes an idle connection, if there is one.
    pub(super) fn take_idle(&mut self, server: ServerKey) -> bool {
        let idle = self.idle.entry(server).or_default();
        let is_there = *idle > 0;
        *idle = idle.saturating_sub(1);
        is_there
    }
}
