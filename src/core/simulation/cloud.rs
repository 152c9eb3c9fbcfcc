//! The simulated cloud.

use super::cluster::Simulation;
use crate::cloud_client::{CloudOutcome, CloudRequest};
use crate::wire::{ListedMachine, ListedState};

impl Simulation {
    /// Performs a call to the cloud and returns its outcome, subject to the injected faults.
    pub(super) fn call_cloud(&mut self, request: CloudRequest) -> CloudOutcome {
        self.counters.cloud_calls += 1;
        if self.faults.cloud_down {
            return CloudOutcome::Failed("503".into());
        }
        match request {
            CloudRequest::Types => CloudOutcome::Types(self.machine_types.clone()),
            CloudRequest::List => CloudOutcome::Listed(
                self.workers
                    .iter()
                    .map(|(id, worker)| ListedMachine {
                        id: id.clone(),
                        addr: Some("127.0.0.1:9000".into()),
                        machine_type: worker.machine_type.clone(),
                        zone: worker.zone.clone(),
                        spot: worker.spot,
                        state: if self.now < worker.up_at {
                            ListedState::Booting
                        } else {
                            ListedState::Running
                        },
                        age_s: 1.0,
                    })
                    .collect(),
            ),
            CloudRequest::ScaleOut(body) => {
                if let Some(ids) = self.provisioned_by_request.get(&body.request_id) {
                    return CloudOutcome::Provisioned(ids.clone());
                }
                if self.faults.zones_without_capacity.contains(&body.zone) {
                    return CloudOutcome::NoCapacity;
                }
                let mut ids = Vec::new();
                for _ in 0..body.count {
                    let left = self
                        .capacity
                        .entry((body.machine_type.clone(), body.spot))
                        .or_default();
                    if *left == 0 {
                        break;
                    }
                    *left -= 1;
                    if body.spot {
                        self.counters.provisioned.0 += 1;
                    } else {
                        self.counters.provisioned.1 += 1;
                    }
                    let id = self.add_machine(&body.machine_type, &body.zone);
                    if let Some(worker) = self.workers.get_mut(&id) {
                        worker.spot = body.spot;
                        worker.up_at = self.now + self.boot_time;
                        worker.lease_start = worker.up_at;
                    }
                    ids.push(id);
                }
                if ids.is_empty() {
                    return CloudOutcome::NoCapacity;
                }
                self.provisioned_by_request
                    .insert(body.request_id, ids.clone());
                if self.faults.scale_out_responses_lost {
                    return CloudOutcome::Failed("timeout".into());
                }
                CloudOutcome::Provisioned(ids)
            }
            CloudRequest::Delete(names) => {
                for id in &names {
                    if let Some(worker) = self.workers.remove(id) {
                        *self
                            .capacity
                            .entry((worker.machine_type, worker.spot))
                            .or_default() += 1;
                    }
                }
                CloudOutcome::Deleted(names)
            }
        }
    }
}
