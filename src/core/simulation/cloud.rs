//! The simulated cloud.

use super::cluster::World;
use crate::cloud::{CloudOutcome, CloudRequest};
use crate::wire::{ListedMachine, ListedState};

impl World {
    pub(super) fn call_cloud(&mut self, request: CloudRequest) -> CloudOutcome {
        self.cloud_calls += 1;
        if self.cloud_down {
            return CloudOutcome::Trouble("503".into());
        }
        match request {
            CloudRequest::Types => CloudOutcome::Types(self.types.clone()),
            CloudRequest::List => CloudOutcome::Listed(
                self.workers
                    .iter()
                    .map(|(id, w)| ListedMachine {
                        id: id.clone(),
                        addr: Some("127.0.0.1:9000".into()),
                        kind: w.kind.clone(),
                        zone: w.zone.clone(),
                        spot: w.spot,
                        state: if self.now < w.up_at {
                            ListedState::Booting
                        } else {
                            ListedState::Running
                        },
                        age_s: 1.0,
                    })
                    .collect(),
            ),
            CloudRequest::Rent(body) => {
                if let Some(ids) = self.hires.get(&body.request) {
                    return CloudOutcome::Rented(ids.clone());
                }
                if self.drained.contains(&body.zone) {
                    return CloudOutcome::NoCapacity;
                }
                let mut ids = Vec::new();
                for _ in 0..body.count {
                    let left = self
                        .capacity
                        .entry((body.kind.clone(), body.spot))
                        .or_default();
                    if *left == 0 {
                        break;
                    }
                    *left -= 1;
                    if body.spot {
                        self.rented.0 += 1;
                    } else {
                        self.rented.1 += 1;
                    }
                    let id = self.add_machine(&body.kind, &body.zone);
                    if let Some(w) = self.workers.get_mut(&id) {
                        w.spot = body.spot;
                        w.up_at = self.now + self.boot;
                        w.lease_from = w.up_at;
                    }
                    ids.push(id);
                }
                if ids.is_empty() {
                    return CloudOutcome::NoCapacity;
                }
                self.hires.insert(body.request, ids.clone());
                if self.rentals_unheard {
                    return CloudOutcome::Trouble("timeout".into());
                }
                CloudOutcome::Rented(ids)
            }
            CloudRequest::Delete(names) => {
                for id in &names {
                    if let Some(w) = self.workers.remove(id) {
                        *self.capacity.entry((w.kind, w.spot)).or_default() += 1;
                    }
                }
                CloudOutcome::Deleted(names)
            }
        }
    }
}
