//! The client of the cloud, which rents and deletes machines.

use crate::http::{CallError, Client};
use crate::job::MachineId;
use crate::wire::{
    ListedMachine, MachineIds, MachineListPage, MachineType, MachineTypeList, PATH_DELETE,
    PATH_MACHINES, PATH_TYPES, ScaleOutRequest, to_json,
};
use std::net::SocketAddrV4;
use std::time::Duration;

const CONNECT: Duration = Duration::from_millis(1000);
const TIMEOUT: Duration = Duration::from_millis(3000);
/// Most names that one deletion may carry.
pub const MAX_DELETED_PER_CALL: usize = 100;
/// Machines on one page of the list.
pub const PAGE: usize = 500;

#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    Types,
    List,
    Rent(ScaleOutRequest),
    Delete(Vec<MachineId>),
}

#[derive(Clone, Debug)]
pub enum CloudOutcome {
    Types(Vec<MachineType>),
    Listed(Vec<ListedMachine>),
    Rented(Vec<MachineId>),
    NoCapacity,
    Deleted(Vec<MachineId>),
    /// The request itself is at fault.
    Invalid(String),
    /// Not done, or not known to be: the same request may be repeated.
    Trouble(String),
}

pub struct CloudClient {
    http: Client,
}

impl CloudClient {
    pub fn new(addr: SocketAddrV4) -> CloudClient {
        CloudClient {
            http: Client::new(addr, CONNECT),
        }
    }

    fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        repeatable: bool,
    ) -> Result<Vec<u8>, CloudOutcome> {
        let trouble = |e: CallError| CloudOutcome::Trouble(e.to_string());
        let (status, body) = self
            .http
            .call(method, path, body, TIMEOUT, repeatable)
            .map_err(trouble)?;
        let text = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
        match status {
            200 => Ok(body),
            503 if text.contains("no capacity") => Err(CloudOutcome::NoCapacity),
            400 => Err(CloudOutcome::Invalid(text)),
            s => Err(CloudOutcome::Trouble(format!("{s} {text}"))),
        }
    }

    pub fn perform(&mut self, request: &CloudRequest) -> CloudOutcome {
        self.run(request).unwrap_or_else(|e| e)
    }

    fn run(&mut self, request: &CloudRequest) -> Result<CloudOutcome, CloudOutcome> {
        fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, CloudOutcome> {
            serde_json::from_slice(body)
                .map_err(|e| CloudOutcome::Trouble(format!("malformed answer: {e}")))
        }
        match request {
            CloudRequest::Types => {
                let body = self.call("GET", PATH_TYPES, b"", true)?;
                let types = parse::<MachineTypeList>(&body)?.types;
                let sane = |t: &MachineType| {
                    [t.cpus, t.gpus, t.ram, t.price, t.boot_s, t.fetch_gb_per_s]
                        .iter()
                        .all(|x| x.is_finite() && *x >= 0.0)
                };
                Ok(CloudOutcome::Types(
                    types.into_iter().filter(sane).collect(),
                ))
            }
            CloudRequest::List => {
                let mut all: Vec<ListedMachine> = Vec::new();
                loop {
                    let after = all
                        .last()
                        .map_or(String::new(), |m| format!("since={}&", m.id));
                    let path = format!("{PATH_MACHINES}?{after}page={PAGE}");
                    let page: MachineListPage = parse(&self.call("GET", &path, b"", true)?)?;
                    let empty = page.machines.is_empty();
                    all.extend(page.machines);
                    if !page.more || empty {
                        return Ok(CloudOutcome::Listed(all));
                    }
                }
            }
            CloudRequest::Rent(body) => {
                // The request's name makes a repetition harmless.
                let body = self.call("POST", PATH_MACHINES, &to_json(body), true)?;
                Ok(CloudOutcome::Rented(parse::<MachineIds>(&body)?.machines))
            }
            CloudRequest::Delete(names) => {
                let body = to_json(&MachineIds {
                    machines: names.clone(),
                });
                self.call("POST", PATH_DELETE, &body, true)?;
                Ok(CloudOutcome::Deleted(names.clone()))
            }
        }
    }
}
