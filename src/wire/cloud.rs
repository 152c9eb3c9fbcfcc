//! Messages of the cloud's API, which provisions and deletes machines.

use crate::job::{MachineId, Resources};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Upper bound on a type's boot time, in seconds.
const MAX_BOOT_S: f64 = 1e6;

/// A machine type that the cloud offers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "label")]
    pub name: String,
    /// CPUs of a machine.
    #[serde(default)]
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    #[serde(rename = "ram_gb", default)]
    pub ram: f64,
    /// Disk space for cached images, in GB.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine, per hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Current price of a spot machine, per hour; `None` if the type has none.
    #[serde(rename = "low_price", default)]
    pub spot_price: Option<f64>,
    /// Nominal time, in seconds, until the worker of a new machine sends heartbeats.
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    /// Zones in which the type is offered.
    #[serde(rename = "parcels", default)]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Returns the resources that a machine of this type has for tasks.
    pub fn capacity(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            ram: self.ram,
        }
    }

    /// Returns the nominal time until the worker of a new machine sends heartbeats.
    pub fn boot_time(&self) -> Duration {
        Duration::from_secs_f64(self.boot_s.clamp(0.0, MAX_BOOT_S))
    }
}

/// The list of machine types that the cloud offers.
#[derive(Deserialize, Serialize)]
pub struct MachineTypeList {
    /// All types.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// A request to provision machines.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ScaleOutRequest {
    /// Idempotency key: a repeated request with the same id gets the same response and provisions
    /// nothing. Ids are never reused.
    #[serde(rename = "hire")]
    pub request_id: String,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone of the machines.
    #[serde(rename = "parcel")]
    pub zone: String,
    /// Whether to request spot machines, which the cloud may preempt.
    #[serde(rename = "gleanable")]
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

/// Ids of machines that were provisioned, or that are to be deleted.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct MachineIds {
    /// The ids.
    #[serde(rename = "drones")]
    pub machines: Vec<MachineId>,
}

/// State of a machine in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum ListedState {
    /// The machine has been provisioned and is booting.
    #[serde(rename = "starting")]
    Booting,
    /// The machine is up.
    #[serde(rename = "running")]
    Running,
    /// The machine has failed; it costs nothing and stays in the list until it is deleted.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedMachine {
    /// Id of the machine.
    #[serde(rename = "name_id")]
    pub id: MachineId,
    /// Address of the machine's worker, once the machine is up.
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "parcel")]
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may preempt.
    #[serde(rename = "gleanable", default)]
    pub spot: bool,
    /// State of the machine.
    #[serde(rename = "standing")]
    pub state: ListedState,
    /// Seconds since the machine was provisioned.
    #[serde(default)]
    pub age_s: f64,
}

/// A page of the cloud's list of machines.
#[derive(Deserialize, Serialize)]
pub struct MachineListPage {
    /// Machines, sorted by id.
    #[serde(rename = "drones")]
    pub machines: Vec<ListedMachine>,
    /// Whether more pages follow.
    #[serde(default)]
    pub more: bool,
}
