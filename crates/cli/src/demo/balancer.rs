//! A stand-in for the platform's balancer: takes turns among ready instances.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use wheelmast_node::prelude::InstanceHandle;

use crate::client::HttpClient;

/// Interval at which the balancer asks instances whether they are ready.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// One instance behind the balancer.
#[derive(Debug)]
pub struct BalancerTarget {
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    ready: AtomicBool,
}

/// The balancer.
#[derive(Debug)]
pub struct DemoBalancer {
    targets: Vec<BalancerTarget>,
    next_index: AtomicUsize,
}

impl DemoBalancer {
    /// Returns a balancer over instances.
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

    /// Returns the instance whose turn it is.
    pub fn next(&self) -> &BalancerTarget {
        let next_index = self.next_index.fetch_add(1, Ordering::Relaxed);
        let count = self.targets.len();
        let mut candidates = (0..count).map(|step| &self.targets[(next_index + step) % count]);
        let ready = candidates.find(|target| target.ready.load(Ordering::Relaxed));
        ready.unwrap_or(&self.targets[next_index % count])
    }

    /// Asks all instances over and over whether they are ready.
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
