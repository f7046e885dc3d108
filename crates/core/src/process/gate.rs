//! Admission: limits of a service in one instance, and its queue.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::arena::{ArenaKey, KeyArena, SlotKey};
use crate::process::budget::ExtraBudget;
use crate::version::row::ServiceRow;
use crate::version::table::ServiceTable;

/// Weight of a new sample in the moving average of the service time.
const SERVICE_GAIN: f64 = 0.1;

/// Key of a service's gate.
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

/// The gate of one service.
#[derive(Debug, Default)]
pub struct ServiceGate {
    /// The row in force; none once the service has left the table.
    pub row: Option<Arc<ServiceRow>>,
    /// Requests at work.
    pub running: u32,
    /// Requests that wait, oldest first.
    pub queue: VecDeque<SlotKey>,
    /// Budget for hedges and retries.
    pub budget: ExtraBudget,
    /// Moving average of the time a request is at work.
    pub service_time: Duration,
    /// Work let in so far, divided by weight: the least goes next.
    virtual_time: f64,
}

impl ServiceGate {
    /// Returns how long a request would wait behind `ahead` others.
    pub fn expected_wait(&self, ahead: usize, parallelism: u32) -> Duration {
        let rounds = ahead as f64 / f64::from(parallelism.max(1));
        self.service_time.mul_f64(rounds)
    }

    /// Takes the time a request was at work.
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

/// The gates of all services, and the instance's own limit over them.
#[derive(Debug)]
pub struct AdmissionGates {
    gates: KeyArena<GateKey, ServiceGate>,
    names: HashMap<Box<str>, GateKey>,
    running: u32,
    limit: u32,
    virtual_now: f64,
}

impl AdmissionGates {
    /// Returns a keeper that lets in `limit` requests at a time in all.
    pub fn new(limit: u32) -> AdmissionGates {
        AdmissionGates {
            gates: KeyArena::default(),
            names: HashMap::new(),
            running: 0,
            limit,
            virtual_now: 0.0,
        }
    }

    /// Puts a table in force.
    pub fn apply_table(&mut self, table: &ServiceTable) {
        for gate in self.names.values() {
            self.gates[*gate].row = None;
        }
        for row in table.rows() {
            let found = self.names.get(&row.service).copied();
            let gate = found.unwrap_or_else(|| {
                let gate = self.gates.push(ServiceGate::default());
                self.names.insert(row.service.clone(), gate);
                gate
            });
            self.gates[gate].row = Some(row.clone());
        }
    }

    /// Returns the gate of a service.
    pub fn find(&self, service: &str) -> Option<GateKey> {
        self.names.get(service).copied()
    }

    /// Returns a gate.
    pub fn gate(&self, gate: GateKey) -> &ServiceGate {
        &self.gates[gate]
    }

    /// Returns a gate for change.
    pub fn gate_mut(&mut self, gate: GateKey) -> &mut ServiceGate {
        &mut self.gates[gate]
    }

    /// Tells whether a request of this service may start now.
    pub fn may_start(&self, gate: GateKey) -> bool {
        let gate = &self.gates[gate];
        self.running < self.limit && gate.has_capacity() && gate.queue.is_empty()
    }

    /// Returns how many requests of this service are at work together when the
    /// instance is full: its weight's part of the limit, within its own.
    pub fn parallelism(&self, gate: GateKey) -> u32 {
        let busy = |gate: &ServiceGate| gate.running > 0 || !gate.queue.is_empty();
        let weights: f64 = self
            .gates
            .iter()
            .filter(|(_, gate)| busy(gate))
            .map(|(_, gate)| gate.weight())
            .sum();
        let gate = &self.gates[gate];
        let part = f64::from(self.limit) * gate.weight() / weights.max(gate.weight());
        let own = gate.row.as_ref().map_or(1, |row| row.in_flight);
        (part as u32).clamp(1, own)
    }

    /// Counts a request that starts.
    pub fn start(&mut self, gate: GateKey) {
        self.running += 1;
        let gate = &mut self.gates[gate];
        gate.running += 1;
        gate.virtual_time = gate.virtual_time.max(self.virtual_now) + 1.0 / gate.weight();
    }

    /// Counts a request that ends.
    pub fn end(&mut self, gate: GateKey) {
        self.running -= 1;
        self.gates[gate].running -= 1;
    }

    /// Takes the waiting request that goes next, if one may start.
    ///
    /// Among the services that may start one, the service goes first that has
    /// had the least work for its weight.
    pub fn pop_next(&mut self) -> Option<SlotKey> {
        if self.running >= self.limit {
            return None;
        }
        let ready = |gate: &ServiceGate| !gate.queue.is_empty() && gate.has_capacity();
        let next = self
            .gates
            .iter()
            .filter(|(_, gate)| ready(gate))
            .min_by(|(_, a), (_, b)| a.virtual_time.total_cmp(&b.virtual_time))
            .map(|(key, _)| key)?;
        let gate = &mut self.gates[next];
        self.virtual_now = self.virtual_now.max(gate.virtual_time);
        gate.queue.pop_front()
    }

    /// Iterates over all gates by the name of their service.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &ServiceGate)> {
        self.names
            .iter()
            .map(|(name, gate)| (&**name, &self.gates[*gate]))
    }
}
