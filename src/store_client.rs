//! Client of the state service, a consensus-backed key-value store: reads, transactions, leases and
//! the watch. `list` reads the whole store.

mod list;

#[cfg(test)]
pub(crate) use list::tests as list_tests;
pub use list::{ListReader, ListedKeys, Listing};

use crate::http::{CallError, Client, ClientResponse};
use crate::wire::{
    CompareAndSwap, CompareAndSwapResponse, ErrorResponse, Item, KeyValuePage, LeaseRequest,
    LeaseResponse, NO_SUCH_LEASE, WatchEvent, WatchResponse, to_json,
};
use serde::Deserialize;
use std::error::Error;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Prefix of all keys of burlusher.
pub const PREFIX: &str = "burlusher/";
/// Prefix of the keys that name the identity of the store. A store is given a new identity after it has lost data.
pub const IDENTITY_PREFIX: &str = "burlusher/i/";
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a lease renewal. Shorter than the others, so that a renewal without a response can be
/// repeated before the lease expires.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time beyond a watch's waiting time after which the watch is given up.
const WATCH_MARGIN: Duration = Duration::from_secs(3);
/// Number of bytes of an error response that are copied into the error message.
const MAX_ERROR_BYTES: usize = 200;

/// A request from `core` to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Reads one key.
    Get(String),
    /// Applies all changes, or none if a condition does not hold.
    CompareAndSwap(CompareAndSwap),
    /// Reads a page of the items under a prefix.
    Page {
        /// Prefix of the keys.
        prefix: String,
        /// Key after which the page begins; empty for the first page.
        after: String,
        /// Maximum number of items.
        limit: usize,
    },
}

/// Outcome of a request.
#[derive(Clone, Debug)]
pub enum StoreOutcome {
    /// The item that was read.
    Found(Item),
    /// A page of items.
    Page {
        /// Items, sorted by key.
        items: Vec<Item>,
        /// Whether more pages follow.
        more: bool,
        /// Store revision that the page is at least as new as.
        revision: u64,
    },
    /// The key does not exist.
    Missing {
        /// Store revision at which the key did not exist.
        revision: u64,
    },
    /// All changes were applied.
    Committed {
        /// Store revision that contains the changes.
        revision: u64,
    },
    /// A condition failed: nothing was changed.
    Conflict {
        /// Keys of the conditions that did not hold.
        failed: Vec<String>,
        /// Store revision at which the conditions were checked.
        revision: u64,
    },
    /// A key was to be attached to a lease that has ended: nothing was changed. The conditions were not checked.
    LeaseEnded,
    /// The request was refused for now and was not executed.
    Refused(String),
    /// The request is invalid; a repetition would be refused too.
    Invalid(String),
    /// There was no response: the request may have been executed, or may still be.
    Unknown(String),
}

/// Reason why a request failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The request was refused for now and was not executed.
    #[error("refused: {0}")]
    Refused(String),
    /// The request is invalid; a repetition would be refused too.
    #[error("invalid request: {0}")]
    Invalid(String),
    /// There was no response: the request may have been executed, or may still be.
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

/// Result of a watch.
pub enum WatchResult {
    /// Changes; none if the waiting time ended without any.
    Changes {
        /// Changes, in the order in which they were made.
        events: Vec<WatchEvent>,
        /// Revision from which to watch next.
        revision: u64,
    },
    /// The requested revision is too old: the store has to be listed again.
    TooOld,
}

/// A blocking client that keeps its connection between calls.
pub struct StoreClient {
    http: Client,
}

impl StoreClient {
    /// Creates a client of the state service at this address; it connects with the first call.
    pub fn new(addr: SocketAddrV4) -> StoreClient {
        StoreClient {
            http: Client::new(addr, CONNECT_TIMEOUT),
        }
    }

    /// Performs one request from `core`.
    pub fn perform(&mut self, request: &StoreRequest) -> StoreOutcome {
        let result = match request {
            StoreRequest::Get(key) => self.get(key),
            StoreRequest::CompareAndSwap(transaction) => self.compare_and_swap(transaction),
            StoreRequest::Page {
                prefix,
                after,
                limit,
            } => self.read_page(prefix, after, *limit),
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

    /// Sends a transaction. It is never repeated here, as the outcome of the first attempt may be
    /// unknown.
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
            400 if is_ended_lease_error(&response.body) => Ok(StoreOutcome::LeaseEnded),
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
        let response = self.fetch_page(prefix, after, limit, TIMEOUT)?;
        let page: KeyValuePage = parse(&response.body)?;
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
    ) -> Result<ClientResponse, StoreError> {
        let since = if after.is_empty() {
            String::new()
        } else {
            format!("&since={after}")
        };
        let path = format!("/kv?under={prefix}{since}&page={limit}");
        let response = self.read(&path, timeout)?;
        match response.status {
            200 => Ok(response),
            _ => Err(error_from_response(&response)),
        }
    }

    /// Requests a new lease that expires after `ttl` unless it is renewed; returns its id.
    ///
    /// # Errors
    /// The request was refused or got no readable response.
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

    /// Renews a lease; returns `Ok(false)` if it has expired.
    ///
    /// # Errors
    /// The request was refused or got no readable response.
    pub fn renew(&mut self, lease: u64) -> Result<bool, StoreError> {
        let path = format!("/leases/{lease}/renew");
        let response = (self.http).call_idempotent("POST", &path, b"", RENEWAL_TIMEOUT)?;
        match response.status {
            200 => Ok(true),
            404 => Ok(false),
            _ => Err(error_from_response(&response)),
        }
    }

    /// Revokes a lease. If that fails, the lease ends when it expires.
    pub fn revoke(&mut self, lease: u64) {
        let path = format!("/leases/{lease}");
        if let Err(error) = self.http.call_idempotent("DELETE", &path, b"", TIMEOUT) {
            tracing::info!(lease, %error, "lease not revoked");
        }
    }

    /// Waits up to `wait` for changes after the revision `since`.
    ///
    /// # Errors
    /// The request was refused or got no readable response.
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

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, StoreError> {
    let malformed = |error: &dyn Error| StoreError::Unknown(format!("malformed response: {error}"));
    // The text is checked once as a whole, which is faster than each of its strings.
    let text = std::str::from_utf8(body).map_err(|error| malformed(&error))?;
    serde_json::from_str(text).map_err(|error| malformed(&error))
}

/// Returns whether this is the body of the response to a put under a lease that has ended.
fn is_ended_lease_error(body: &[u8]) -> bool {
    let error: Option<ErrorResponse> = serde_json::from_slice(body).ok();
    error.is_some_and(|body| body.error == NO_SUCH_LEASE)
}

/// Returns the error for a response with an unexpected status.
fn error_from_response(response: &ClientResponse) -> StoreError {
    let status = response.status;
    let text = response.body_excerpt(MAX_ERROR_BYTES);
    match status {
        429 | 503 => StoreError::Refused(format!("{status}")),
        400..=499 => StoreError::Invalid(format!("{status} {text}")),
        _ => StoreError::Unknown(format!("{status} {text}")),
    }
}

#[cfg(test)]
mod tests;
