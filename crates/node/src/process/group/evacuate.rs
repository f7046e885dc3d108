//! Evacuation orders: an operator takes a failure domain out of use, or puts it back
//! into use. Any control instance accepts the order and proposes it to the leader.

use std::rc::Rc;

use wheelmast_core::process::control::evacuation::{EvacuationChange, EvacuationOutcome};
use wheelmast_core::process::control::state::{CommandOutcome, ControlCommand};
use wheelmast_wire::group::LeaderReply;

use crate::process::group::node::GroupNode;
use crate::process::group::order::OrderDeadline;

impl GroupNode {
    /// Takes a failure domain out of use if `evacuated` is set, else puts it back into
    /// use. Returns `None` if no quorum confirmed the change by the deadline; the change
    /// may still be committed later.
    pub async fn evacuate(
        self: &Rc<Self>,
        domain: &str,
        evacuated: bool,
        deadline: OrderDeadline,
    ) -> Option<EvacuationOutcome> {
        let time_left = deadline.time_left(self.now())?;
        let proposal = self.propose_evacuation(domain, evacuated, deadline);
        tokio::time::timeout(time_left, proposal)
            .await
            .ok()
            .flatten()
    }

    /// Proposes the change based on the revision of the domain that this instance
    /// knows. If the leader answers that a later revision exists, proposes the change
    /// again based on that one, until the deadline.
    async fn propose_evacuation(
        self: &Rc<Self>,
        domain: &str,
        evacuated: bool,
        deadline: OrderDeadline,
    ) -> Option<EvacuationOutcome> {
        let mut base = self.local_revision(domain)?;
        loop {
            // The deadline is checked after the base was read: if the process is suspended
            // in between, this check fails, and if it is suspended later, the base is
            // outdated.
            deadline.time_left(self.now())?;
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

    fn local_revision(&self, domain: &str) -> Option<u64> {
        let state = self.state.borrow();
        let replica = state.replica.as_ref()?;
        Some(replica.state().evacuations().revision_of(domain))
    }
}
