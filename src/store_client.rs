//! The client of the state service: single calls, the lease's keeper, and the watch.

use crate::http::{CallError, Client};
use crate::wire::{
    CompareAndSwap, CompareAndSwapResponse, Item, KeyValuePage, LeaseRequest, LeaseResponse,
    WatchEvent, WatchResponse, to_json,
};
use serde::de::DeserializeOwned;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// All of burlusher's keys begin with this.
pub const PREFIX: &str = "burlusher/";
const CONNECT: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    Get(String),
    CompareAndSwap(CompareAndSwap),
    /// Some items under a prefix, from after a key on.
    Page {
        under: String,
        after: String,
        most: usize,
    },
    /// Whether a lease, somebody else's, still runs: asked by renewing it, as there is no other way.
    CheckLease(u64),
}

#[derive(Clone, Debug)]
pub enum StoreOutcome {
    Found(Item),
    /// A page, in the order of keys; with whether there is more.
    Page {
        items: Vec<Item>,
        more: bool,
        revision: u64,
    },
    /// A lease runs, or is not known any more.
    Runs(bool),
    /// The key does not exist, as of this revision.
    Missing {
        revision: u64,
    },
    Committed {
        revision: u64,
    },
    /// A condition failed: nothing was changed.
    Conflict {
        failed: Vec<String>,
        revision: u64,
    },
    /// Refused for now; it was not executed.
    Refused(String),
    /// Refused for good: the request itself is at fault.
    Invalid(String),
    /// No answer: it may have been executed, or may yet be.
    Unknown(String),
}

pub struct StoreClient {
    http: Client,
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreOutcome> {
    serde_json::from_slice(body)
        .map_err(|e| StoreOutcome::Unknown(format!("malformed answer: {e}")))
}

fn failed(e: CallError) -> StoreOutcome {
    match e {
        CallError::NotSent(e) => StoreOutcome::Refused(e),
        CallError::Unknown(e) => StoreOutcome::Unknown(e),
    }
}

fn by_status(status: u16, body: &[u8]) -> StoreOutcome {
    let text = String::from_utf8_lossy(&body[..body.len().min(200)]);
    match status {
        429 | 503 => StoreOutcome::Refused(format!("{status}")),
        400..=499 => StoreOutcome::Invalid(format!("{status} {text}")),
        _ => StoreOutcome::Unknown(format!("{status} {text}")),
    }
}

impl StoreClient {
    pub fn new(addr: SocketAddrV4) -> StoreClient {
        StoreClient {
            http: Client::new(addr, CONNECT),
        }
    }

    pub fn perform(&mut self, request: &StoreRequest) -> StoreOutcome {
        let run = |c: &mut StoreClient| -> Result<StoreOutcome, StoreOutcome> {
            match request {
                StoreRequest::Get(key) => {
                    let (status, body) = c
                        .http
                        .call("GET", &format!("/kv/{key}"), b"", TIMEOUT, true)
                        .map_err(failed)?;
                    match status {
                        200 => Ok(StoreOutcome::Found(parse(&body)?)),
                        404 => Ok(StoreOutcome::Missing {
                            revision: parse::<CompareAndSwapResponse>(&body)?.revision,
                        }),
                        s => Ok(by_status(s, &body)),
                    }
                }
                StoreRequest::Page { under, after, most } => {
                    let since = if after.is_empty() {
                        String::new()
                    } else {
                        format!("&since={after}")
                    };
                    let path = format!("/kv?under={under}{since}&page={most}");
                    let (status, body) = c
                        .http
                        .call("GET", &path, b"", TIMEOUT, true)
                        .map_err(failed)?;
                    if status != 200 {
                        return Err(by_status(status, &body));
                    }
                    let page: KeyValuePage = parse(&body)?;
                    Ok(StoreOutcome::Page {
                        items: page.items,
                        more: page.more,
                        revision: page.revision,
                    })
                }
                StoreRequest::CheckLease(lease) => c.renew(*lease).map(StoreOutcome::Runs),
                StoreRequest::CompareAndSwap(txn) => {
                    let (status, body) = c
                        .http
                        .call("POST", "/txn", &to_json(txn), TIMEOUT, false)
                        .map_err(failed)?;
                    match status {
                        200 => Ok(StoreOutcome::Committed {
                            revision: parse::<CompareAndSwapResponse>(&body)?.revision,
                        }),
                        409 => {
                            let told: CompareAndSwapResponse = parse(&body)?;
                            Ok(StoreOutcome::Conflict {
                                failed: told.failed,
                                revision: told.revision,
                            })
                        }
                        s => Ok(by_status(s, &body)),
                    }
                }
            }
        };
        run(self).unwrap_or_else(|e| e)
    }

    pub fn grant(&mut self, ttl: Duration) -> Result<u64, StoreOutcome> {
        let body = to_json(&LeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        });
        let (status, body) = self
            .http
            .call("POST", "/leases", &body, TIMEOUT, true)
            .map_err(failed)?;
        match status {
            200 => Ok(parse::<LeaseResponse>(&body)?.lease),
            s => Err(by_status(s, &body)),
        }
    }

    /// `Ok(false)` when the lease has ended.
    pub fn renew(&mut self, lease: u64) -> Result<bool, StoreOutcome> {
        let path = format!("/leases/{lease}/renew");
        let timeout = Duration::from_millis(900);
        let (status, body) = self
            .http
            .call("POST", &path, b"", timeout, true)
            .map_err(failed)?;
        match status {
            200 => Ok(true),
            404 => Ok(false),
            s => Err(by_status(s, &body)),
        }
    }

    pub fn revoke(&mut self, lease: u64) {
        let path = format!("/leases/{lease}");
        if let Err(e) = self.http.call("DELETE", &path, b"", TIMEOUT, true) {
            tracing::info!("state service: ending lease {lease}: {e}");
        }
    }

    /// All items under the prefix, and a revision that the list is no older than.
    pub fn list(&mut self) -> Result<(Vec<Item>, u64), StoreOutcome> {
        let mut items: Vec<Item> = Vec::new();
        let mut first = None;
        loop {
            let after = items
                .last()
                .map_or(String::new(), |i| format!("&since={}", i.key));
            let path = format!("/kv?under={PREFIX}{after}&page=500");
            let (status, body) = self
                .http
                .call("GET", &path, b"", TIMEOUT * 2, true)
                .map_err(failed)?;
            if status != 200 {
                return Err(by_status(status, &body));
            }
            let page: KeyValuePage = parse(&body)?;
            // Changes made while the pages are read are told once more by the watch.
            let revision = *first.get_or_insert(page.revision);
            let empty = page.items.is_empty();
            items.extend(page.items);
            if !page.more || empty {
                return Ok((items, revision));
            }
        }
    }

    /// Waits for changes after `since`; `Ok(None)` when `since` is too old.
    pub fn watch(
        &mut self,
        since: u64,
        wait: Duration,
    ) -> Result<Option<(u64, Vec<WatchEvent>)>, StoreOutcome> {
        let path = format!(
            "/changes?under={PREFIX}&since={since}&wait_ms={}",
            wait.as_millis()
        );
        let (status, body) = self
            .http
            .call("GET", &path, b"", wait + Duration::from_secs(3), true)
            .map_err(failed)?;
        match status {
            200 => {
                let b: WatchResponse = parse(&body)?;
                Ok(Some((b.revision, b.events)))
            }
            410 => Ok(None),
            s => Err(by_status(s, &body)),
        }
    }
}

/// Spreads calls over time so that one process stays within its part of a shared limit.
pub struct RateLimiter {
    per_second: f64,
    burst: f64,
    left: f64,
    at: Instant,
}

impl RateLimiter {
    pub fn new(per_second: f64, now: Instant) -> RateLimiter {
        let burst = per_second.max(1.0);
        RateLimiter {
            per_second,
            burst,
            left: burst,
            at: now,
        }
    }

    /// What may be used at once.
    pub fn left(&mut self, now: Instant) -> f64 {
        let gained = now.saturating_duration_since(self.at).as_secs_f64() * self.per_second;
        self.at = self.at.max(now);
        self.left = (self.left + gained).min(self.burst);
        self.left
    }

    pub fn spend(&mut self, n: usize) {
        self.left -= n as f64;
    }

    /// Takes one call from the budget if it can be made at once.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let yes = self.left(now) >= 1.0;
        if yes {
            self.spend(1);
        }
        yes
    }

    /// Takes one call from the budget and says how long to wait before making it.
    pub fn take(&mut self, now: Instant) -> Duration {
        self.left = self.left(now) - 1.0;
        if self.left >= 0.0 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(-self.left / self.per_second)
        }
    }
}

#[cfg(test)]
mod tests;
