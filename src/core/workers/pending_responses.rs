//! Responses to heartbeats, single ones and batches from delegates, that wait for the end of a step or for the next
//! planning round. Data.

use crate::core::ids::Ticket;
use crate::http::Response;
use crate::job::MachineId;
use std::sync::Arc;

/// A batch of heartbeats from a delegate, to be answered at the end of the step.
pub struct PendingBatch {
    /// The delegate's request.
    pub ticket: Ticket,
    /// The batch's number.
    pub number: u64,
    /// The delegate that sent it.
    pub from: Arc<str>,
    /// How many workers the delegate has still to probe.
    pub probes_pending: usize,
    /// The batch's numbers of its heartbeats, each with the machine that sent it, or with the answer where the
    /// heartbeat was refused.
    pub heartbeats: Vec<(u64, Result<MachineId, Response>)>,
}

impl PendingBatch {
    /// The machines whose heartbeats it answers.
    pub(in crate::core) fn machines(&self) -> impl Iterator<Item = &MachineId> {
        let accepted = self.heartbeats.iter();
        accepted.filter_map(|(_, machine)| machine.as_ref().ok())
    }
}

/// Responses that are due, or that wait for the next planning round.
#[derive(Default)]
pub struct DeferredResponses {
    /// To single heartbeats, each with the machine that sent it.
    pub heartbeats: Vec<(Ticket, MachineId)>,
    /// To batches from delegates.
    pub batches: Vec<PendingBatch>,
}

impl DeferredResponses {
    /// Adds these responses after those that are here.
    pub(in crate::core) fn append(&mut self, other: DeferredResponses) {
        self.heartbeats.extend(other.heartbeats);
        self.batches.extend(other.batches);
    }
}
