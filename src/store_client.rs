//! The client of the state service, a consensus-backed key-value store: single requests, the lease,
//! and the watch.

use crate::http::{CallError, Client, ClientResponse};
use crate::wire::{
    CompareAndSwap, CompareAndSwapResponse, Item, KeyValuePage, LeaseRequest, LeaseResponse,
    WatchEvent, WatchResponse, to_json,
};
use serde::de::DeserializeOwned;
use std::net::SocketAddrV4;
use std::time::Duration;

/// All of burlusher's keys begin with this.
pub const PREFIX: &str = "burlusher/";
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Less than the others': a renewal without an answer is to be repeated before the lease expires.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(900);
/// For one page of a whole list.
const LIST_TIMEOUT: Duration = Duration::from_millis(3000);
const LIST_PAGE_ITEMS: usize = 500;
/// A watch is given up this long after the state service should have answered it.
const WATCH_MARGIN: Duration = Duration::from_secs(3);
/// Of an answer that reports an error, so many bytes go into ours.
const MAX_ERROR_BYTES: usize = 200;

/// A request of `core` to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Reads one key.
    Get(String),
    /// Applies all changes, or none if a condition does not hold.
    CompareAndSwap(CompareAndSwap),
    /// Reads some items under a prefix.
    Page {
        /// The prefix of their keys.
        prefix: String,
        /// Only keys after this one; empty for all.
        after: String,
        /// How many items at the most.
        limit: usize,
    },
    /// Whether a lease, somebody else's, has not expired: asked by renewing it, as there is no other
    /// way.
    CheckLease(u64),
}

/// What became of a request.
#[derive(Clone, Debug)]
pub enum StoreOutcome {
    /// The item that was read.
    Found(Item),
    /// A page of items.
    Page {
        /// In the order of their keys.
        items: Vec<Item>,
        /// Whether there are items after these.
        more: bool,
        /// The page is no older than this revision.
        revision: u64,
    },
    /// Whether a lease runs; one that does not is not known any more.
    LeaseAlive(bool),
    /// The key does not exist.
    Missing {
        /// As of this revision.
        revision: u64,
    },
    /// All changes were applied.
    Committed {
        /// The revision that has them.
        revision: u64,
    },
    /// A condition failed: nothing was changed.
    Conflict {
        /// Keys of the conditions that did not hold.
        failed: Vec<String>,
        /// As of this revision.
        revision: u64,
    },
    /// Refused for now; it was not executed.
    Refused(String),
    /// Refused for good: the request itself is at fault.
    Invalid(String),
    /// No answer: it may have been executed, or may yet be.
    Unknown(String),
}

/// How a request failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// Refused for now; it was not executed.
    #[error("refused: {0}")]
    Refused(String),
    /// Refused for good: the request itself is at fault.
    #[error("invalid request: {0}")]
    Invalid(String),
    /// No answer: it may have been executed, or may yet be.
    #[error("no answer: {0}")]
    Unknown(String),
}

impl From<StoreError> for StoreOutcome {
    fn from(error: StoreError) -> StoreOutcome {
        match error {
            StoreError::Refused(text) => StoreOutcome::Refused(text),
            StoreError::Invalid(text) => StoreOutcome::Invalid(text),
            StoreError::Unknown(text) => StoreOutcome::Unknown(text),
        }
    }
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> StoreError {
        match error {
            CallError::NotSent(text) => StoreError::Refused(text),
            CallError::Unknown(text) => StoreError::Unknown(text),
        }
    }
}

/// All items under our prefix.
pub struct Listing {
    /// In the order of their keys.
    pub items: Vec<Item>,
    /// The list is no older than this; items may be newer.
    pub revision: u64,
}

/// What a watch brought.
pub enum WatchResult {
    /// Changes, none if the time was over.
    Changes {
        /// In the order in which they were made.
        events: Vec<WatchEvent>,
        /// The revision to watch from next.
        revision: u64,
    },
    /// The revision to watch from is too old: the store has to be listed again.
    TooOld,
}

/// A blocking client that keeps its connection between calls.
pub struct StoreClient {
    http: Client,
}

impl StoreClient {
    /// A client of the state service at this address; connects with the first call.
    pub fn new(addr: SocketAddrV4) -> StoreClient {
        StoreClient {
            http: Client::new(addr, CONNECT_TIMEOUT),
        }
    }

    /// Carries out one request of `core`.
    pub fn perform(&mut self, request: &StoreRequest) -> StoreOutcome {
        let result = match request {
            StoreRequest::Get(key) => self.get(key),
            StoreRequest::CompareAndSwap(transaction) => self.compare_and_swap(transaction),
            StoreRequest::Page {
                prefix,
                after,
                limit,
            } => self.read_page(prefix, after, *limit),
            StoreRequest::CheckLease(lease) => self.renew(*lease).map(StoreOutcome::LeaseAlive),
        };
        result.unwrap_or_else(StoreOutcome::from)
    }

    fn get(&mut self, key: &str) -> Result<StoreOutcome, StoreError> {
        let response = self.read(&format!("/kv/{key}"), TIMEOUT)?;
        match response.status {
            200 => Ok(StoreOutcome::Found(parse(&response.body)?)),
            404 => Ok(StoreOutcome::Missing {
                revision: parse::<CompareAndSwapResponse>(&response.body)?.revision,
            }),
            _ => Err(error_from_response(&response)),
        }
    }

    /// Never repeated by itself: the outcome of the first try may be unknown.
    fn compare_and_swap(
        &mut self,
        transaction: &CompareAndSwap,
    ) -> Result<StoreOutcome, StoreError> {
        let body = to_json(transaction);
        let response = self.http.call("POST", "/txn", &body, TIMEOUT)?;
        match response.status {
            200 => Ok(StoreOutcome::Committed {
                revision: parse::<CompareAndSwapResponse>(&response.body)?.revision,
            }),
            409 => {
                let conflict: CompareAndSwapResponse = parse(&response.body)?;
                Ok(StoreOutcome::Conflict {
                    failed: conflict.failed,
                    revision: conflict.revision,
                })
            }
            _ => Err(error_from_response(&response)),
        }
    }

    fn read_page(
        &mut self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<StoreOutcome, StoreError> {
        let page = self.fetch_page(prefix, after, limit, TIMEOUT)?;
        Ok(StoreOutcome::Page {
            items: page.items,
            more: page.more,
            revision: page.revision,
        })
    }

    fn fetch_page(
        &mut self,
        prefix: &str,
        after: &str,
        limit: usize,
        timeout: Duration,
    ) -> Result<KeyValuePage, StoreError> {
        let since = if after.is_empty() {
            String::new()
        } else {
            format!("&since={after}")
        };
        let path = format!("/kv?under={prefix}{since}&page={limit}");
        let response = self.read(&path, timeout)?;
        match response.status {
            200 => parse(&response.body),
            _ => Err(error_from_response(&response)),
        }
    }

    /// Requests a new lease that expires after `ttl` unless it is renewed; returns its id.
    ///
    /// # Errors
    /// The request was refused or got no readable answer.
    pub fn grant(&mut self, ttl: Duration) -> Result<u64, StoreError> {
        let body = to_json(&LeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        });
        let response = (self.http).call_idempotent("POST", "/leases", &body, TIMEOUT)?;
        match response.status {
            200 => Ok(parse::<LeaseResponse>(&response.body)?.lease),
            _ => Err(error_from_response(&response)),
        }
    }

    /// Renews a lease; `Ok(false)` when it has expired.
    ///
    /// # Errors
    /// The request was refused or got no readable answer.
    pub fn renew(&mut self, lease: u64) -> Result<bool, StoreError> {
        let path = format!("/leases/{lease}/renew");
        let response = (self.http).call_idempotent("POST", &path, b"", RENEWAL_TIMEOUT)?;
        match response.status {
            200 => Ok(true),
            404 => Ok(false),
            _ => Err(error_from_response(&response)),
        }
    }

    /// Ends a lease. If that fails, it expires by itself.
    pub fn revoke(&mut self, lease: u64) {
        let path = format!("/leases/{lease}");
        if let Err(error) = self.http.call_idempotent("DELETE", &path, b"", TIMEOUT) {
            tracing::info!(lease, %error, "lease not revoked");
        }
    }

    /// Reads all items under our prefix, page by page.
    ///
    /// # Errors
    /// A page was refused or got no readable answer.
    pub fn list(&mut self) -> Result<Listing, StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut first_revision = None;
        loop {
            let after = items.last().map_or(String::new(), |item| item.key.clone());
            let page = self.fetch_page(PREFIX, &after, LIST_PAGE_ITEMS, LIST_TIMEOUT)?;
            // A watch from there on brings changes made while the pages are read once more.
            let revision = *first_revision.get_or_insert(page.revision);
            let is_last = !page.more || page.items.is_empty();
            items.extend(page.items);
            if is_last {
                return Ok(Listing { items, revision });
            }
        }
    }

    /// Waits up to `wait` for changes after the revision `since`.
    ///
    /// # Errors
    /// The request was refused or got no readable answer.
    pub fn watch(&mut self, since: u64, wait: Duration) -> Result<WatchResult, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!("/changes?under={PREFIX}&since={since}&wait_ms={wait_ms}");
        let response = self.read(&path, wait + WATCH_MARGIN)?;
        match response.status {
            200 => {
                let WatchResponse { revision, events } = parse(&response.body)?;
                Ok(WatchResult::Changes { events, revision })
            }
            410 => Ok(WatchResult::TooOld),
            _ => Err(error_from_response(&response)),
        }
    }

    fn read(&mut self, path: &str, timeout: Duration) -> Result<ClientResponse, StoreError> {
        Ok(self.http.call_idempotent("GET", path, b"", timeout)?)
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|e| StoreError::Unknown(format!("malformed answer: {e}")))
}

/// The error that a status other than the expected ones stands for.
fn error_from_response(response: &ClientResponse) -> StoreError {
    let status = response.status;
    let text = response.body_excerpt(MAX_ERROR_BYTES);
    match status {
        429 | 503 => StoreError::Refused(format!("{status}")),
        400..=499 => StoreError::Invalid(format!("{status} {text}")),
        _ => StoreError::Unknown(format!("{status} {text}")),
    }
}
