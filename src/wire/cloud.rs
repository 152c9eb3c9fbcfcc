//! The interface of the cloud, which provisions machines.

use crate::job::{MachineId, Resources};
use serde::{Deserialize, Serialize};

/// A type of machine on offer.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct MachineType {
    /// Its name.
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
    /// Disk for images, in GB.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// How fast a machine fetches images, in GB a second.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine, per hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Present price of a spot machine, per hour; `None` where there are none.
    #[serde(rename = "low_price", default)]
    pub spot_price: Option<f64>,
    /// Nominal seconds until the worker of a new machine sends heartbeats.
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    /// Zones in which it is offered.
    #[serde(rename = "parcels", default)]
    pub zones: Vec<String>,
}

impl MachineType {
    /// The resources of a machine for tasks.
    pub fn capacity(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            ram: self.ram,
        }
    }
}

/// The machine types on offer.
#[derive(Deserialize, Serialize)]
pub struct MachineTypeList {
    /// All types.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// A request for more machines.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ScaleOutRequest {
    /// Makes the request idempotent: repeated with this id, it gets the same answer and provisions
    /// nothing. Ids are never used again.
    #[serde(rename = "hire")]
    pub request_id: String,
    /// The type's name.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Where the machines are to be.
    #[serde(rename = "parcel")]
    pub zone: String,
    /// Whether they may be preempted by the cloud.
    #[serde(rename = "gleanable")]
    pub spot: bool,
    /// How many machines.
    pub count: u32,
}

/// Ids of machines: those that were provisioned, or are to be deleted.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct MachineIds {
    /// The ids.
    #[serde(rename = "drones")]
    pub machines: Vec<MachineId>,
}

/// A machine's state, as the cloud knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum ListedState {
    /// It has been provisioned and does not work yet.
    #[serde(rename = "starting")]
    Booting,
    /// It works.
    #[serde(rename = "running")]
    Running,
    /// It has failed; it costs nothing and stays in the list until it is deleted.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedMachine {
    /// The machine's id.
    #[serde(rename = "name_id")]
    pub id: MachineId,
    /// Its worker's address, once it works.
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    /// The type's name.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Where it is.
    #[serde(rename = "parcel")]
    pub zone: String,
    /// Whether the cloud may preempt it.
    #[serde(rename = "gleanable", default)]
    pub spot: bool,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: ListedState,
    /// Seconds since it was provisioned.
    #[serde(default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Deserialize, Serialize)]
pub struct MachineListPage {
    /// In the order of their ids.
    #[serde(rename = "drones")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are machines after these.
    #[serde(default)]
    pub more: bool,
}
