//! Pending responses to single heartbeats and to batches from delegates, which wait for the end of the step or for
//! the next planning round. This module holds only the data.

use crate::core::ids::Ticket;
use crate::http::Response;
use crate::job::MachineId;
use std::sync::Arc;

/// A processed batch of heartbeats from a delegate whose response is pending.
pub struct PendingBatch {
    /// Request to respond to.
    pub ticket: Ticket,
    /// Number of the batch.
    pub number: u64,
    /// Name of the delegate that sent the batch.
    pub from: Arc<str>,
    /// Number of workers that the delegate has yet to probe.
    pub probes_pending: usize,
    /// Ids of the heartbeats within the batch, each with the machine that sent the heartbeat, or with the error
    /// response if the heartbeat was refused.
    pub heartbeats: Vec<(u64, Result<MachineId, Response>)>,
}

impl PendingBatch {
    /// Returns the machines whose heartbeats were accepted.
    pub(in crate::core) fn machines(&self) -> impl Iterator<Item = &MachineId> {
        let accepted = self.heartbeats.iter();
        accepted.filter_map(|(_, machine)| machine.as_ref().ok())
    }
}

/// Responses that are due at the end of the step, or that wait for the next planning round.
#[derive(Default)]
pub struct DeferredResponses {
    /// Requests with a single heartbeat, each with the machine that sent it.
    pub heartbeats: Vec<(Ticket, MachineId)>,
    /// Batches from delegates.
    pub batches: Vec<PendingBatch>,
}

impl DeferredResponses {
    /// Appends the responses of `other`.
    pub(in crate::core) fn append(&mut self, other: DeferredResponses) {
        self.heartbeats.extend(other.heartbeats);
        self.batches.extend(other.batches);
    }
}
