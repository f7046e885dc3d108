//! An entry: the core's machine, and its connections as far as they cost time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use wheelmast_core::arena::{ServerKey, SlotKey};
use wheelmast_core::process::forward::answer::ForwardAction;
use wheelmast_core::process::forward::input::ForwardInput;
use wheelmast_core::process::forward::machine::{ForwardMachine, ForwardOptions};
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
    /// Jobs of the attempts outstanding.
    pub(super) jobs: HashMap<SlotKey, (JobKey, ServerKey)>,
    /// When its next wake-up is due.
    pub(super) armed: Duration,
}

impl ModelEntry {
    pub(super) fn new(
        spec: &PlaySpec,
        number: usize,
        domain: usize,
        name: &str,
        seed: u64,
    ) -> ModelEntry {
        let options = ForwardOptions {
            domain: name.into(),
            own: format!("entry-{number}").into(),
            extra: spec.extra,
            seed,
            records: false,
            ..ForwardOptions::default()
        };
        ModelEntry {
            machine: ForwardMachine::new(options),
            domain,
            idle: HashMap::new(),
            jobs: HashMap::new(),
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
        let _ = self.step(Duration::ZERO, ForwardInput::Entries(entries));
    }

    /// Takes an idle connection, if there is one.
    pub(super) fn take_idle(&mut self, server: ServerKey) -> bool {
        let idle = self.idle.entry(server).or_default();
        let is_there = *idle > 0;
        *idle = idle.saturating_sub(1);
        is_there
    }
}
