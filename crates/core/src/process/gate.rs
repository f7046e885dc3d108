//! Admission control: each service has a gate with a concurrency limit and a
//! queue, and all gates share the limit of the instance. Waiting requests are
//! started by weighted fair queueing over the services.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::arena::{ArenaKey, KeyArena, SlotKey};
use crate::process::budget::ExtraBudget;
use crate::version::row::ServiceRow;
use crate::version::table::ServiceTable;

/// Weight of a new sample in the moving average of service time.
const SERVICE_GAIN: f64 = 0.1;

/// Key of a service's gate in [`AdmissionGates`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateKey(u32);

impl ArenaKey for GateKey {
    fn from_index(index: usize) -> Self {
        GateKey(index as u32)
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// Admission state of one service: its limit, queue and extra-load budget.
#[derive(Debug, Default)]
pub struct ServiceGate {
    /// The service's row in the current service table; `None` if the service was
    /// removed from the table.
    pub row: Option<Arc<ServiceRow>>,
    /// Number of running requests.
    pub running: u32,
    /// Queued requests, oldest first.
    pub queue: VecDeque<SlotKey>,
    /// Token bucket for hedges and retries.
    pub budget: ExtraBudget,
    /// Moving average of the time that a request runs.
    pub service_time: Duration,
    /// Number of requests started, divided by the service's weight. The service
    /// with the lowest value starts its next request first.
    virtual_time: f64,
}

impl ServiceGate {
    /// Estimates how long a request waits behind `ahead` others of which
    /// `parallelism` run at the same time.
    pub fn expected_wait(&self, ahead: usize, parallelism: u32) -> Duration {
        let rounds = ahead as f64 / f64::from(parallelism.max(1));
        self.service_time.mul_f64(rounds)
    }

    /// Updates the average service time with the time that a request ran.
    pub fn record_service_time(&mut self, took: Duration) {
        if self.service_time.is_zero() {
            self.service_time = took;
            return;
        }
        let old = self.service_time.mul_f64(1.0 - SERVICE_GAIN);
        self.service_time = old + took.mul_f64(SERVICE_GAIN);
    }

    fn has_capacity(&self) -> bool {
        self.row
            .as_ref()
            .is_none_or(|row| self.running < row.in_flight)
    }

    fn weight(&self) -> f64 {
        self.row.as_ref().map_or(1.0, |row| f64::from(row.weight))
    }
}

/// Gates of all services, and the concurrency limit of the whole instance.
#[derive(Debug)]
pub struct AdmissionGates {
    gates: KeyArena<GateKey, ServiceGate>,
    names: HashMap<Box<str>, GateKey>,
    /// Number of running requests of all services.
    running: u32,
    /// Maximum number of running requests of all services.
    limit: u32,
    /// Virtual time of the fair queue: the highest `virtual_time` at which a queued
    /// request was started. A service that was idle continues from here.
    virtual_now: f64,
}

impl AdmissionGates {
    /// Creates an instance-wide gate set that allows `limit` running requests in
    /// total.
    pub fn new(limit: u32) -> AdmissionGates {
        AdmissionGates {
            gates: KeyArena::default(),
            names: HashMap::new(),
            running: 0,
            limit,
            virtual_now: 0.0,
        }
    }

    /// Applies a new service table. Gates of removed services stay, without a row.
    pub fn apply_table(&mut self, table: &ServiceTable) {
        for gate in self.names.values() {
            self.gates[*gate].row = None;
        }
        for row in table.rows() {
            let known_gate = self.names.get(&row.service).copied();
            let gate = known_gate.unwrap_or_else(|| {
                let gate = self.gates.push(ServiceGate::default());
                self.names.insert(row.service.clone(), gate);
                gate
            });
            self.gates[gate].row = Some(row.clone());
        }
    }

    /// Looks up the key of a service's gate.
    pub fn find(&self, service: &str) -> Option<GateKey> {
        self.names.get(service).copied()
    }

    /// Returns the gate for a key.
    pub fn gate(&self, gate: GateKey) -> &ServiceGate {
        &self.gates[gate]
    }

    /// Returns the gate for a key, mutably.
    pub fn gate_mut(&mut self, gate: GateKey) -> &mut ServiceGate {
        &mut self.gates[gate]
    }

    /// Returns whether a new request of this service can start without queueing.
    pub fn may_start(&self, gate: GateKey) -> bool {
        let gate = &self.gates[gate];
        self.running < self.limit && gate.has_capacity() && gate.queue.is_empty()
    }

    /// Estimates how many requests of this service run in parallel when the
    /// instance is at its limit: the service's share of the limit by weight, capped
    /// at the service's own limit.
    pub fn parallelism(&self, gate: GateKey) -> u32 {
        let is_busy = |gate: &ServiceGate| gate.running > 0 || !gate.queue.is_empty();
        let weights: f64 = self
            .gates
            .iter()
            .filter(|(_, gate)| is_busy(gate))
            .map(|(_, gate)| gate.weight())
            .sum();
        let gate = &self.gates[gate];
        let share = f64::from(self.limit) * gate.weight() / weights.max(gate.weight());
        let service_limit = gate.row.as_ref().map_or(1, |row| row.in_flight);
        (share as u32).clamp(1, service_limit)
    }

    /// Records that a request of this service starts.
    pub fn start(&mut self, gate: GateKey) {
        self.running += 1;
        let gate = &mut self.gates[gate];
        gate.running += 1;
        gate.virtual_time = gate.virtual_time.max(self.virtual_now) + 1.0 / gate.weight();
    }

    /// Records that a request of this service has ended.
    pub fn end(&mut self, gate: GateKey) {
        self.running -= 1;
        self.gates[gate].running -= 1;
    }

    /// Removes and returns the queued request to start next, if the limits allow
    /// one.
    ///
    /// Chooses, among the services below their limit, the one that has started the
    /// fewest requests relative to its weight.
    pub fn pop_next(&mut self) -> Option<SlotKey> {
        if self.running >= self.limit {
            return None;
        }
        let can_start = |gate: &ServiceGate| !gate.queue.is_empty() && gate.has_capacity();
        let next = self
            .gates
            .iter()
            .filter(|(_, gate)| can_start(gate))
            .min_by(|(_, a), (_, b)| a.virtual_time.total_cmp(&b.virtual_time))
            .map(|(key, _)| key)?;
        let gate = &mut self.gates[next];
        self.virtual_now = self.virtual_now.max(gate.virtual_time);
        gate.queue.pop_front()
    }

    /// Iterates over all gates with the names of their services.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &ServiceGate)> {
        self.names
            .iter()
            .map(|(name, gate)| (&**name, &self.gates[*gate]))
    }
}
