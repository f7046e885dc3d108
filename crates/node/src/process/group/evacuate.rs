//! Taking failure domains out of use, at whatever instance the order comes.

use std::rc::Rc;

use wheelmast_core::process::control::evacuation::{EvacuationChange, EvacuationOutcome};
use wheelmast_core::process::control::state::{CommandOutcome, ControlCommand};
use wheelmast_wire::group::LeaderReply;

use crate::process::group::node::{GroupNode, ORDER_TIME};

impl GroupNode {
    /// Takes a failure domain out of use, or back into use. None if no quorum
    /// said in time that it is so; the change may be made all the same.
    pub async fn evacuate(
        self: &Rc<Self>,
        domain: &str,
        evacuated: bool,
    ) -> Option<EvacuationOutcome> {
        let order = self.propose_evacuation(domain, evacuated);
        tokio::time::timeout(ORDER_TIME, order).await.ok().flatten()
    }

    /// Proposes the change on the revision that is known here, and on the one
    /// that the log says if this instance lags.
    async fn propose_evacuation(
        self: &Rc<Self>,
        domain: &str,
        evacuated: bool,
    ) -> Option<EvacuationOutcome> {
        let mut base = self.known_revision(domain)?;
        loop {
            let command = ControlCommand::Evacuate(EvacuationChange {
                domain: domain.into(),
                evacuated,
                base,
            });
            let LeaderReply::Done(CommandOutcome::Evacuate(outcome)) = self.propose(command).await
            else {
                return None;
            };
            match outcome {
                EvacuationOutcome::Conflict(revision) => base = revision,
                _ => return Some(outcome),
            }
        }
    }

    fn known_revision(&self, domain: &str) -> Option<u64> {
        let state = self.state.borrow();
        let replica = state.replica.as_ref()?;
        Some(replica.state().evacuations().revision_of(domain))
    }
}
