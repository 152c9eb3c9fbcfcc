//! Keeps the lease that leadership depends on. A separate thread does this, so that renewals continue
//! while the owner thread is busy.

use super::inbox::Inbox;
use super::threads::{lock, spawn};
use crate::core::{Command, LEASE_TTL, LeadershipProof};
use crate::store_client::{StoreClient, StoreOutcome, StoreRequest};
use crate::wire::CompareAndSwap;
use std::io;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Pause after a failed request for a lease.
const GRANT_RETRY: Duration = Duration::from_millis(300);
/// Pause after a renewal that failed or did not confirm leadership.
const RENEWAL_RETRY: Duration = Duration::from_millis(150);
/// Pause before a new lease is requested after the previous one has expired.
const EXPIRED_RETRY: Duration = Duration::from_millis(50);
/// Longest uninterrupted sleep, so that requests of the owner thread take effect soon.
const SLEEP_STEP: Duration = Duration::from_millis(200);

/// Requests of the owner thread to the lease thread.
#[derive(Default)]
pub(super) struct LeaseControl {
    release: AtomicBool,
    replace: AtomicBool,
    /// Conditions of leadership, checked with each renewal; `None` while this process is not the leader.
    proof: Mutex<Option<LeadershipProof>>,
}

impl LeaseControl {
    /// Requests the revocation of the lease, which ends leadership.
    pub(super) fn release(&self) {
        self.release.store(true, Ordering::Relaxed);
    }

    /// Requests a new lease; the present one is neither renewed nor revoked.
    pub(super) fn replace(&self) {
        self.replace.store(true, Ordering::Relaxed);
    }

    /// Sets the conditions that must hold for this process to be the leader; `None` if it is not the leader.
    pub(super) fn set_proof(&self, proof: Option<LeadershipProof>) {
        *lock(&self.proof) = proof;
    }

    fn is_leading(&self) -> bool {
        lock(&self.proof).is_some()
    }

    /// Returns whether the owner thread has made a request that is not handled yet.
    fn has_pending_request(&self) -> bool {
        self.release.load(Ordering::Relaxed) || self.replace.load(Ordering::Relaxed)
    }
}

/// Starts the thread that keeps a lease until the process ends.
pub(super) fn start(
    store_addr: SocketAddrV4,
    inbox: &Inbox,
    control: Arc<LeaseControl>,
) -> io::Result<()> {
    let keeper = LeaseKeeper {
        client: StoreClient::new(store_addr),
        inbox: inbox.clone(),
        control,
        lease: None,
    };
    spawn("lease", move || keeper.run()).map(drop)
}

struct LeaseKeeper {
    client: StoreClient,
    inbox: Inbox,
    control: Arc<LeaseControl>,
    lease: Option<u64>,
}

impl LeaseKeeper {
    fn run(mut self) -> ! {
        let mut due = Instant::now();
        loop {
            let started = Instant::now();
            // The process was suspended or got no processor time. The log line helps to explain a lease that
            // expires as a result.
            let late = started.saturating_duration_since(due);
            if exceeds_log_threshold(late) {
                tracing::warn!(late_ms = millis(late), "lease renewal late");
            }
            self.handle_requests();
            let pause = self.renew_or_grant(started);
            let took = started.elapsed();
            if exceeds_log_threshold(took) {
                tracing::warn!(took_ms = millis(took), "lease renewal slow");
            }
            due = Instant::now() + pause;
            self.inbox.renewal().set_due(due);
            self.sleep_until(due);
        }
    }

    fn handle_requests(&mut self) {
        if self.control.replace.swap(false, Ordering::Relaxed) {
            self.lease = None;
        }
        if self.control.release.swap(false, Ordering::Relaxed)
            && let Some(lease) = self.lease.take()
        {
            self.client.revoke(lease);
        }
    }

    /// Renews the lease, or requests one, and returns the pause before the next iteration.
    fn renew_or_grant(&mut self, started: Instant) -> Duration {
        match self.lease {
            Some(lease) => self.renew(lease, started),
            None => self.grant(started),
        }
    }

    fn grant(&mut self, started: Instant) -> Duration {
        match self.client.grant(LEASE_TTL) {
            Ok(lease) => {
                self.lease = Some(lease);
                self.report_renewal(lease, started, None);
                renewal_interval()
            }
            Err(error) => {
                tracing::debug!(%error, "lease not granted");
                GRANT_RETRY
            }
        }
    }

    fn renew(&mut self, lease: u64, started: Instant) -> Duration {
        match self.client.renew(lease) {
            Ok(true) => {
                let confirmed = self.confirm_leadership();
                self.report_renewal(lease, started, confirmed);
                // The state service may have refused the check because of its rate limit. Leadership is not
                // extended without a confirmation, so the next attempt follows soon.
                if confirmed.is_none() && self.control.is_leading() {
                    RENEWAL_RETRY
                } else {
                    renewal_interval()
                }
            }
            Ok(false) => {
                self.lease = None;
                self.inbox.put(Command::LeaseLost);
                EXPIRED_RETRY
            }
            Err(error) => {
                tracing::debug!(lease, %error, "lease not renewed");
                RENEWAL_RETRY
            }
        }
    }

    fn report_renewal(&self, lease: u64, sent: Instant, confirmed_key_version: Option<u64>) {
        self.inbox.put(Command::LeaseRenewed {
            lease,
            sent,
            confirmed_key_version,
        });
    }

    /// Returns the version of the leader key if the conditions of leadership still hold; `None` if this
    /// process is not the leader, or if the check has no conclusive result.
    fn confirm_leadership(&mut self) -> Option<u64> {
        let proof = lock(&self.control.proof).clone()?;
        let key_version = proof.key_version;
        let check = StoreRequest::CompareAndSwap(CompareAndSwap {
            conditions: proof.conditions,
            changes: Vec::new(),
        });
        match self.client.perform(&check) {
            StoreOutcome::Committed { .. } => Some(key_version),
            StoreOutcome::Conflict { .. } => {
                self.inbox.put(Command::LeadershipDisproved { key_version });
                None
            }
            outcome => {
                tracing::debug!(?outcome, "leadership not confirmed");
                None
            }
        }
    }

    /// Sleeps until `end`, or until the owner thread makes a request.
    fn sleep_until(&self, end: Instant) {
        while Instant::now() < end && !self.control.has_pending_request() {
            let remaining = end.saturating_duration_since(Instant::now());
            std::thread::sleep(remaining.min(SLEEP_STEP));
        }
    }
}

/// Returns the interval between renewals, which allows several to fail before the lease expires.
fn renewal_interval() -> Duration {
    LEASE_TTL / 5
}

/// Returns whether a delay is a large enough part of the lease's duration to be logged.
fn exceeds_log_threshold(duration: Duration) -> bool {
    duration > LEASE_TTL / 4
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
