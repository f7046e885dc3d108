//! Cuts between failure domains, by the address a connection comes from.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Interval at which a hanging request looks whether the cut has healed.
const HEAL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct NetworkState {
    domains: HashMap<IpAddr, String>,
    cut: Option<String>,
}

/// Which failure domain is cut off from the others.
#[derive(Debug, Default)]
pub struct FakeNetwork {
    state: Mutex<NetworkState>,
}

impl FakeNetwork {
    fn state(&self) -> MutexGuard<'_, NetworkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Names the failure domain of an instance's source address.
    pub fn place(&self, address: IpAddr, domain: &str) {
        self.state().domains.insert(address, domain.to_string());
    }

    /// Cuts a failure domain off from the others.
    pub fn cut(&self, domain: &str) {
        self.state().cut = Some(domain.to_string());
    }

    /// Heals the cut.
    pub fn heal(&self) {
        self.state().cut = None;
    }

    /// Tells whether `address` and a server in `domain` are cut off from each
    /// other.
    pub fn is_cut(&self, address: IpAddr, domain: &str) -> bool {
        let state = self.state();
        let Some(cut) = &state.cut else {
            return false;
        };
        let Some(from) = state.domains.get(&address) else {
            return false;
        };
        from != domain && (from == cut || domain == cut)
    }

    /// Tells whether `address` is in another failure domain than `domain`.
    pub fn is_far(&self, address: IpAddr, domain: &str) -> bool {
        let state = self.state();
        state
            .domains
            .get(&address)
            .is_some_and(|from| from != domain)
    }

    /// Waits until a cut has healed: to the two ends it is silence.
    pub async fn wait_healed(&self, address: IpAddr, domain: &str) {
        while self.is_cut(address, domain) {
            tokio::time::sleep(HEAL_INTERVAL).await;
        }
    }
}
