//! Responses to heartbeats, single ones and batches from delegates, that wait for the end of a step or for the next
//! planning round. Data.

use crate::core::Ticket;
use crate::http::Answer;
use crate::job::MachineId;
use std::sync::Arc;

/// A frame that is answered at the end of the step.
pub struct PendingBatch {
    pub ticket: Ticket,
    pub number: u64,
    pub from: Arc<str>,
    /// Workers that the sender has still to ask.
    pub probes_pending: usize,
    pub heartbeats: Vec<(u64, Result<MachineId, Answer>)>,
}

impl PendingBatch {
    /// The machines whose reports it answers.
    pub(in crate::core) fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.heartbeats
            .iter()
            .filter_map(|(_, taken)| taken.as_ref().ok())
    }
}

#[derive(Default)]
pub struct DeferredResponses {
    pub heartbeats: Vec<(Ticket, MachineId)>,
    pub batches: Vec<PendingBatch>,
}
