//! The client of the cloud, which provisions and deletes machines.

use crate::http::{CallError, Client};
use crate::job::MachineId;
use crate::wire::{
    ListedMachine, MachineIds, MachineListPage, MachineType, MachineTypeList, PATH_DELETE_MACHINES,
    PATH_MACHINE_TYPES, PATH_MACHINES, ScaleOutRequest, to_json,
};
use serde::de::DeserializeOwned;
use std::net::SocketAddrV4;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const TIMEOUT: Duration = Duration::from_millis(3000);
/// Of an answer that reports an error, so many bytes are looked at.
const MAX_ERROR_BYTES: usize = 200;
/// Most names that one deletion may carry.
pub const MAX_DELETED_PER_CALL: usize = 100;
/// Machines on one page of the list.
pub const MACHINES_PER_PAGE: usize = 500;

/// A request of `core` to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// The machine types on offer.
    Types,
    /// All machines of ours.
    List,
    /// More machines of one type.
    ScaleOut(ScaleOutRequest),
    /// Deletes machines, `MAX_DELETED_PER_CALL` at the most.
    Delete(Vec<MachineId>),
}

/// What became of a request.
#[derive(Clone, Debug)]
pub enum CloudOutcome {
    /// The machine types on offer, without those whose figures make no sense.
    Types(Vec<MachineType>),
    /// All machines of ours.
    Listed(Vec<ListedMachine>),
    /// The machines that were provisioned.
    Provisioned(Vec<MachineId>),
    /// The cloud has no machine of the type and zone at present.
    NoCapacity,
    /// The machines whose deletion was accepted.
    Deleted(Vec<MachineId>),
    /// The request itself is at fault.
    Invalid(String),
    /// Not done, or not known to be: the same request may be repeated.
    Failed(String),
}

/// How a request failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
enum CloudError {
    #[error("no capacity")]
    NoCapacity,
    #[error("invalid request: {0}")]
    Invalid(String),
    #[error("{0}")]
    Failed(String),
}

impl From<CloudError> for CloudOutcome {
    fn from(error: CloudError) -> CloudOutcome {
        match error {
            CloudError::NoCapacity => CloudOutcome::NoCapacity,
            CloudError::Invalid(text) => CloudOutcome::Invalid(text),
            CloudError::Failed(text) => CloudOutcome::Failed(text),
        }
    }
}

impl From<CallError> for CloudError {
    fn from(error: CallError) -> CloudError {
        CloudError::Failed(error.to_string())
    }
}

/// A blocking client that keeps its connection between calls.
pub struct CloudClient {
    http: Client,
}

impl CloudClient {
    /// A client of the cloud at this address; connects with the first call.
    pub fn new(addr: SocketAddrV4) -> CloudClient {
        CloudClient {
            http: Client::new(addr, CONNECT_TIMEOUT),
        }
    }

    /// Carries out one request of `core`.
    pub fn perform(&mut self, request: &CloudRequest) -> CloudOutcome {
        let result = match request {
            CloudRequest::Types => self.types().map(CloudOutcome::Types),
            CloudRequest::List => self.list().map(CloudOutcome::Listed),
            CloudRequest::ScaleOut(request) => {
                self.scale_out(request).map(CloudOutcome::Provisioned)
            }
            CloudRequest::Delete(machines) => self.delete(machines).map(CloudOutcome::Deleted),
        };
        result.unwrap_or_else(CloudOutcome::from)
    }

    fn types(&mut self) -> Result<Vec<MachineType>, CloudError> {
        let body = self.call("GET", PATH_MACHINE_TYPES, b"")?;
        let mut types = parse::<MachineTypeList>(&body)?.types;
        types.retain(has_valid_figures);
        Ok(types)
    }

    fn list(&mut self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut machines: Vec<ListedMachine> = Vec::new();
        loop {
            let after = machines
                .last()
                .map_or(String::new(), |machine| format!("since={}&", machine.id));
            let path = format!("{PATH_MACHINES}?{after}page={MACHINES_PER_PAGE}");
            let page: MachineListPage = parse(&self.call("GET", &path, b"")?)?;
            let is_last = !page.more || page.machines.is_empty();
            machines.extend(page.machines);
            if is_last {
                return Ok(machines);
            }
        }
    }

    /// The request's id makes a repetition harmless.
    fn scale_out(&mut self, request: &ScaleOutRequest) -> Result<Vec<MachineId>, CloudError> {
        let body = self.call("POST", PATH_MACHINES, &to_json(request))?;
        Ok(parse::<MachineIds>(&body)?.machines)
    }

    fn delete(&mut self, machines: &[MachineId]) -> Result<Vec<MachineId>, CloudError> {
        let machines = machines.to_vec();
        let request = MachineIds { machines };
        self.call("POST", PATH_DELETE_MACHINES, &to_json(&request))?;
        Ok(request.machines)
    }

    /// Returns the body of an answer with status 200. All requests to the cloud are idempotent.
    fn call(&mut self, method: &str, path: &str, body: &[u8]) -> Result<Vec<u8>, CloudError> {
        let response = self.http.call_idempotent(method, path, body, TIMEOUT)?;
        let text = response.body_excerpt(MAX_ERROR_BYTES);
        match response.status {
            200 => Ok(response.body),
            503 if text.contains("no capacity") => Err(CloudError::NoCapacity),
            400 => Err(CloudError::Invalid(text)),
            status => Err(CloudError::Failed(format!("{status} {text}"))),
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, CloudError> {
    serde_json::from_slice(body).map_err(|e| CloudError::Failed(format!("malformed answer: {e}")))
}

/// Whether all amounts are finite and none is negative.
fn has_valid_figures(machine_type: &MachineType) -> bool {
    [
        machine_type.cpus,
        machine_type.gpus,
        machine_type.ram,
        machine_type.price,
        machine_type.boot_s,
        machine_type.fetch_gb_per_s,
    ]
    .iter()
    .all(|figure| figure.is_finite() && *figure >= 0.0)
}
