//! Stand-in for the platform's load balancer: round robin over the instances that
//! report themselves ready.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use wheelmast_node::prelude::InstanceHandle;

use crate::client::HttpClient;

/// Interval between two readiness checks of the same instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// An instance behind the balancer.
#[derive(Debug)]
pub struct BalancerTarget {
    /// Address of the instance's listener for callers.
    pub address: SocketAddr,
    /// Address of the instance's listener for operators.
    pub operators: SocketAddr,
    ready: AtomicBool,
}

/// Round-robin balancer over the instances of a demo run.
#[derive(Debug)]
pub struct DemoBalancer {
    targets: Vec<BalancerTarget>,
    next_index: AtomicUsize,
}

impl DemoBalancer {
    /// Creates a balancer that treats all given instances as ready until the first
    /// readiness check.
    pub fn new(instances: &[InstanceHandle]) -> Arc<DemoBalancer> {
        let targets = instances.iter().map(|instance| BalancerTarget {
            address: instance.callers,
            operators: instance.operators,
            ready: AtomicBool::new(true),
        });
        Arc::new(DemoBalancer {
            targets: targets.collect(),
            next_index: AtomicUsize::new(0),
        })
    }

    /// Returns the next ready instance in round-robin order, or the next instance
    /// if none is ready.
    pub fn next(&self) -> &BalancerTarget {
        let next_index = self.next_index.fetch_add(1, Ordering::Relaxed);
        let count = self.targets.len();
        let mut candidates = (0..count).map(|step| &self.targets[(next_index + step) % count]);
        let ready = candidates.find(|target| target.ready.load(Ordering::Relaxed));
        ready.unwrap_or(&self.targets[next_index % count])
    }

    /// Polls `/ready` of all instances in an endless loop and records which of them
    /// are ready.
    pub async fn poll_readiness(self: Arc<Self>) {
        let client = HttpClient::default();
        let mut ticks = tokio::time::interval(PROBE_INTERVAL);
        loop {
            ticks.tick().await;
            for target in &self.targets {
                let response = client.get(target.address, "/ready").await;
                let is_ready = response.is_ok_and(|response| response.status == StatusCode::OK);
                target.ready.store(is_ready, Ordering::Relaxed);
            }
        }
    }
}
