//! The owner thread, which holds all state: passes commands to `core` in batches and executes the
//! resulting effects.

use super::cloud_pool::CloudCall;
use super::inbox::Inbox;
use super::lease_keeper::LeaseControl;
use super::peer_pool::{HeartbeatBatchCall, PeerCall};
use super::store_pool::StoreCall;
use super::threads::ThreadPool;
use super::watch::StoreWatch;
use super::worker_pool::WorkerCall;
use crate::core::{Core, Effect, Now, Ticket, Work, record};
use crate::http::Response;
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime};

/// Interval at which statistics are logged.
const STATS_INTERVAL: Duration = Duration::from_secs(60);

/// Response to one request.
pub(super) struct ResponseCall {
    ticket: Ticket,
    response: Response,
}

/// Handlers that execute effects; none of them blocks the owner thread.
pub(super) struct EffectHandlers {
    pub(super) store: ThreadPool<StoreCall>,
    pub(super) cloud: ThreadPool<CloudCall>,
    pub(super) workers: ThreadPool<WorkerCall>,
    /// Pools by the name of the peer.
    pub(super) peers: BTreeMap<String, ThreadPool<PeerCall>>,
    pub(super) heartbeat_batches: ThreadPool<HeartbeatBatchCall>,
    /// Sends the responses of one step together.
    pub(super) responses: ThreadPool<Vec<ResponseCall>>,
    pub(super) watch: Arc<StoreWatch>,
    pub(super) lease: Arc<LeaseControl>,
    /// Value that `/ready` reports.
    pub(super) ready: Arc<AtomicBool>,
}

/// Starts the thread that sends the responses of a step, so that the owner thread does not wait for it.
pub(super) fn start_responses(inbox: &Inbox) -> io::Result<ThreadPool<Vec<ResponseCall>>> {
    ThreadPool::start("response", 1, || {
        let inbox = inbox.clone();
        move |responses: Vec<ResponseCall>| {
            for ResponseCall { ticket, response } in responses {
                inbox.respond(ticket, response);
            }
        }
    })
}

/// Reads both clocks together.
pub(super) fn now() -> Now {
    Now {
        mono: Instant::now(),
        wall: SystemTime::now(),
    }
}

/// Runs `core` until the process ends.
pub(super) fn run(mut core: Core, inbox: &Inbox, handlers: &EffectHandlers) -> ! {
    let mut logged_at = Instant::now();
    let mut logged_work = core.stats.counts();
    loop {
        let commands = inbox.next_commands(core.idle_for());
        let started = Instant::now();
        let mut responses = Vec::new();
        for effect in core.step(now(), commands) {
            handlers.execute(effect, &mut responses);
        }
        if !responses.is_empty() {
            handlers.responses.send(responses);
        }
        record(&mut core.stats.step, started.elapsed().as_micros());
        core.stats.count(Work::Step, 1);
        if logged_at.elapsed() > STATS_INTERVAL {
            logged_at = Instant::now();
            tracing::info!("work:{}", core.stats.work_since(&mut logged_work));
            log_stats(&core);
        }
    }
}

fn log_stats(core: &Core) {
    let stats = &core.stats;
    tracing::info!(
        leads = core.is_active_leader(),
        accepted = stats.accept.len(),
        accept_p95_ms = stats.accept.value_at_quantile(0.95),
        started = stats.start.len(),
        start_p95_ms = stats.start.value_at_quantile(0.95),
        steps = stats.step.len(),
        step_p99_us = stats.step.value_at_quantile(0.99),
        "statistics"
    );
}

impl EffectHandlers {
    /// Executes an effect; adds a response to `responses`, because those of a step are sent together.
    fn execute(&self, effect: Effect, responses: &mut Vec<ResponseCall>) {
        match effect {
            Effect::Response { ticket, response } => {
                responses.push(ResponseCall { ticket, response });
            }
            Effect::Ready(ready) => self.ready.store(ready, Ordering::Relaxed),
            Effect::ReleaseLease => self.lease.release(),
            Effect::ReplaceLease => self.lease.replace(),
            Effect::LeadershipProof(proof) => self.lease.set_proof(proof),
            Effect::RereadStore => {
                if let Err(error) = self.watch.restart() {
                    tracing::error!(%error, "state service cannot be read afresh");
                }
            }
            Effect::StoreCall { call, request } => self.store.send(StoreCall { call, request }),
            Effect::CloudCall {
                call,
                request,
                not_after,
            } => self.cloud.send(CloudCall {
                call,
                request,
                not_after,
            }),
            Effect::DirectCall {
                call,
                addr,
                request,
                not_after,
            } => self.workers.send(WorkerCall {
                call,
                addr,
                request,
                not_after,
            }),
            Effect::Forward {
                ticket,
                peer,
                request,
            } => self.send_to_peer(&peer, PeerCall::Forward { ticket, request }),
            Effect::CacheRequest { peer, request } => {
                self.send_to_peer(&peer, PeerCall::CachePage(request));
            }
            Effect::HeartbeatBatch {
                peer,
                number,
                frame,
            } => self.heartbeat_batches.send(HeartbeatBatchCall {
                peer,
                number,
                frame,
            }),
        }
    }

    fn send_to_peer(&self, peer: &str, call: PeerCall) {
        if let Some(pool) = self.peers.get(peer) {
            pool.send(call);
        }
    }
}
