//! Client of the cloud's API, which provisions and deletes machines.

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
/// Number of bytes of an error response that are read for the message.
const MAX_ERROR_BYTES: usize = 200;
/// Maximum number of machines in one deletion request.
pub const MAX_DELETED_PER_CALL: usize = 100;
/// Number of machines requested per page of the list.
pub const MACHINES_PER_PAGE: usize = 500;

/// A request from `core` to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// Lists the machine types that the cloud offers.
    Types,
    /// Lists all machines of this cluster.
    List,
    /// Provisions machines of one type.
    ScaleOut(ScaleOutRequest),
    /// Deletes at most `MAX_DELETED_PER_CALL` machines.
    Delete(Vec<MachineId>),
}

/// Outcome of a request.
#[derive(Clone, Debug)]
pub enum CloudOutcome {
    /// The machine types that the cloud offers, without those that have invalid amounts.
    Types(Vec<MachineType>),
    /// All machines of this cluster.
    Listed(Vec<ListedMachine>),
    /// The machines that were provisioned.
    Provisioned(Vec<MachineId>),
    /// The cloud has no capacity for the type in the zone at present.
    NoCapacity,
    /// The machines whose deletion was accepted.
    Deleted(Vec<MachineId>),
    /// The request is invalid.
    Invalid(String),
    /// The request failed or its outcome is unknown; it may be repeated.
    Failed(String),
}

/// Reason why a request failed.
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
    /// Creates a client of the cloud at this address; it connects with the first call.
    pub fn new(addr: SocketAddrV4) -> CloudClient {
        CloudClient {
            http: Client::new(addr, CONNECT_TIMEOUT),
        }
    }

    /// Performs one request from `core`.
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
        types.retain(has_valid_amounts);
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

    /// Provisions machines. The request's id makes the call idempotent.
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

    /// Sends a request and returns the body of a response with status 200. All requests to the cloud
    /// are idempotent, so the HTTP client may repeat them.
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
    serde_json::from_slice(body).map_err(|e| CloudError::Failed(format!("malformed response: {e}")))
}

/// Returns whether all amounts are finite and none is negative.
fn has_valid_amounts(machine_type: &MachineType) -> bool {
    [
        machine_type.cpus,
        machine_type.gpus,
        machine_type.ram,
        machine_type.price,
        machine_type.boot_s,
        machine_type.fetch_gb_per_s,
    ]
    .iter()
    .all(|amount| amount.is_finite() && *amount >= 0.0)
}
