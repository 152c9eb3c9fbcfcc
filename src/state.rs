//! The client of the state service: single calls, the lease's keeper, and the watch.

use crate::http::{CallError, Client};
use crate::wire::{
    Event, EventsBody, Item, ItemsBody, LeaseAnswer, LeaseBody, Txn, TxnAnswer, to_json,
};
use serde::de::DeserializeOwned;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// All of burlusher's keys begin with this.
pub const PREFIX: &str = "burlusher/";
const CONNECT: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Clone, Debug, PartialEq)]
pub enum StateRequest {
    Get(String),
    Txn(Txn),
    /// Some items under a prefix, from after a key on.
    Page {
        under: String,
        after: String,
        most: usize,
    },
    /// Whether a lease, somebody else's, still runs: asked by renewing it, as there is no other way.
    LeaseRuns(u64),
}

#[derive(Clone, Debug)]
pub enum StateOutcome {
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

pub struct StateClient {
    http: Client,
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StateOutcome> {
    serde_json::from_slice(body)
        .map_err(|e| StateOutcome::Unknown(format!("malformed answer: {e}")))
}

fn failed(e: CallError) -> StateOutcome {
    match e {
        CallError::NotSent(e) => StateOutcome::Refused(e),
        CallError::Unknown(e) => StateOutcome::Unknown(e),
    }
}

fn by_status(status: u16, body: &[u8]) -> StateOutcome {
    let text = String::from_utf8_lossy(&body[..body.len().min(200)]);
    match status {
        429 | 503 => StateOutcome::Refused(format!("{status}")),
        400..=499 => StateOutcome::Invalid(format!("{status} {text}")),
        _ => StateOutcome::Unknown(format!("{status} {text}")),
    }
}

impl StateClient {
    pub fn new(addr: SocketAddrV4) -> StateClient {
        StateClient {
            http: Client::new(addr, CONNECT),
        }
    }

    pub fn perform(&mut self, request: &StateRequest) -> StateOutcome {
        let run = |c: &mut StateClient| -> Result<StateOutcome, StateOutcome> {
            match request {
                StateRequest::Get(key) => {
                    let (status, body) = c
                        .http
                        .call("GET", &format!("/kv/{key}"), b"", TIMEOUT, true)
                        .map_err(failed)?;
                    match status {
                        200 => Ok(StateOutcome::Found(parse(&body)?)),
                        404 => Ok(StateOutcome::Missing {
                            revision: parse::<TxnAnswer>(&body)?.revision,
                        }),
                        s => Ok(by_status(s, &body)),
                    }
                }
                StateRequest::Page { under, after, most } => {
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
                    let page: ItemsBody = parse(&body)?;
                    Ok(StateOutcome::Page {
                        items: page.items,
                        more: page.more,
                        revision: page.revision,
                    })
                }
                StateRequest::LeaseRuns(lease) => c.renew(*lease).map(StateOutcome::Runs),
                StateRequest::Txn(txn) => {
                    let (status, body) = c
                        .http
                        .call("POST", "/txn", &to_json(txn), TIMEOUT, false)
                        .map_err(failed)?;
                    match status {
                        200 => Ok(StateOutcome::Committed {
                            revision: parse::<TxnAnswer>(&body)?.revision,
                        }),
                        409 => {
                            let told: TxnAnswer = parse(&body)?;
                            Ok(StateOutcome::Conflict {
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

    pub fn grant(&mut self, ttl: Duration) -> Result<u64, StateOutcome> {
        let body = to_json(&LeaseBody {
            ttl_ms: ttl.as_millis() as u64,
        });
        let (status, body) = self
            .http
            .call("POST", "/leases", &body, TIMEOUT, true)
            .map_err(failed)?;
        match status {
            200 => Ok(parse::<LeaseAnswer>(&body)?.lease),
            s => Err(by_status(s, &body)),
        }
    }

    /// `Ok(false)` when the lease has ended.
    pub fn renew(&mut self, lease: u64) -> Result<bool, StateOutcome> {
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
    pub fn list(&mut self) -> Result<(Vec<Item>, u64), StateOutcome> {
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
            let page: ItemsBody = parse(&body)?;
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
    ) -> Result<Option<(u64, Vec<Event>)>, StateOutcome> {
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
                let b: EventsBody = parse(&body)?;
                Ok(Some((b.revision, b.events)))
            }
            410 => Ok(None),
            s => Err(by_status(s, &body)),
        }
    }
}

/// Spreads calls over time so that one process stays within its part of a shared limit.
pub struct Budget {
    per_second: f64,
    burst: f64,
    left: f64,
    at: Instant,
}

impl Budget {
    pub fn new(per_second: f64, now: Instant) -> Budget {
        let burst = per_second.max(1.0);
        Budget {
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
