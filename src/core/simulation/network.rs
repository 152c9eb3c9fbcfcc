//! The simulated network: links, message delivery, duplicates, and delayed or held messages.

use super::cluster::Simulation;
use super::store::STORE_TIMEOUT;
use crate::cloud_client::{CloudOutcome, CloudRequest};
use crate::core::command::PendingCall;
use crate::core::{CallId, Command, Effect, Ticket, UserAction, UserRequest};
use crate::http::Response;
use crate::job::MachineId;
use crate::peer::cache_exchange::{self, CacheRequest};
use crate::peer::heartbeat_batch;
use crate::peer::{self, PeerAnswer, PeerRequest};
use crate::store_client::StoreRequest;
use crate::wire::{
    CompareAndSwap, DirectCommands, Heartbeat, JobStatus, TaskCommand, parse_task_id,
};
use crate::worker_client::{DirectOutcome, DirectRequest};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Direct commands on their way to a machine.
#[derive(Clone, Debug)]
pub struct CommandCopy {
    /// Machine to which they were sent.
    pub machine: MachineId,
    /// Content of the request.
    pub body: DirectCommands,
    /// Time at which they were sent.
    pub sent: Instant,
}

/// Messages in flight, and messages that are delayed or held.
#[derive(Default)]
pub struct Network {
    /// User requests that one controller forwarded to another: the forwarding controller, and its own
    /// ticket of the request.
    pub(super) forwards: BTreeMap<Ticket, (usize, Ticket)>,
    /// Heartbeat batches from delegates to the leader: the sender, the number of the batch, and when it
    /// was sent.
    pub(super) heartbeat_batches: BTreeMap<Ticket, (usize, u64, Instant)>,
    /// Requests between controllers for pages of their cached copies: the requester, the name of the
    /// other controller, and the request.
    pub(super) cache_requests: BTreeMap<Ticket, (usize, String, CacheRequest)>,
    /// Responses that have not been fetched yet.
    pub(super) responses: BTreeMap<Ticket, Response>,
    /// Duplicate heartbeats: when each arrives, and at which controller.
    pub(super) delayed_heartbeats: Vec<(Instant, usize, Heartbeat)>,
    /// Delayed or duplicate direct commands: when each arrives, and at which machine.
    pub(super) delayed_commands: Vec<(Instant, CommandCopy)>,
    /// Delayed transactions, and when each is carried out.
    pub(super) delayed_transactions: Vec<(Instant, CompareAndSwap)>,
    /// Delayed responses of the state service: when each arrives, and at which controller.
    pub(super) delayed_store_responses: Vec<(Instant, usize, Command)>,
    /// Heartbeats that are delivered to every controller when the next leadership begins.
    pub(super) heartbeats_to_replay: Vec<Heartbeat>,
    /// Follow-up queries after a response to another user (`Simulation::query_after_responses`): the job,
    /// and when the query was sent.
    pub(super) follow_up_queries: BTreeMap<Ticket, (String, Instant)>,
    /// Cancellations whose responses no user waits for: the job, and when the request was sent.
    pub(super) unawaited_cancellations: BTreeMap<Ticket, (String, Instant)>,
    /// Transactions that are held until `Simulation::release_held`.
    pub held_transactions: Vec<CompareAndSwap>,
    /// Direct commands that are held until `Simulation::release_held`.
    pub held_commands: Vec<(MachineId, DirectCommands)>,
}

/// State of a controller's connection to the state service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Link {
    /// Requests are carried out, and their responses arrive.
    Good,
    /// Requests are refused.
    Refused,
    /// Requests are carried out, and their responses are lost.
    ResponsesLost,
    /// Requests get no response. Transactions are held by the network and may be delivered later.
    Held,
    /// Transactions are held as with `Held`; all other requests are served.
    WritesHeld,
}

impl Link {
    /// Returns whether reads and lease renewals are served.
    pub(super) fn serves_reads(self) -> bool {
        matches!(self, Link::Good | Link::WritesHeld)
    }
}

/// Returns the index of the controller with this name.
fn node_index(name: &str) -> usize {
    name[1..].parse().unwrap()
}

/// Converts the response to a forwarded request into the form that the forwarding controller receives.
fn peer_answer(response: &Response) -> PeerAnswer {
    let body: Option<JobStatus> = serde_json::from_slice(&response.body).ok();
    PeerAnswer {
        status: response.status,
        state: body.as_ref().map(|b| b.state),
        retry_after: response.retry_after,
        done: None,
        running: None,
    }
}

impl Simulation {
    /// Applies an effect that a step of controller `from` returned.
    pub(super) fn apply_effect(&mut self, from: usize, effect: Effect) {
        match effect {
            Effect::Response { ticket, response } => self.deliver_response(from, ticket, response),
            Effect::Forward {
                ticket,
                peer,
                request,
            } => self.forward_request(from, ticket, peer, request),
            Effect::HeartbeatBatch {
                peer,
                number,
                frame,
            } => self.send_heartbeat_batch(from, &peer, number, &frame),
            Effect::CacheRequest {
                peer,
                request: cache_request,
            } => self.send_cache_request(from, peer, cache_request),
            Effect::StoreCall { call, request } => self.send_to_store(from, call, &request),
            Effect::CloudCall {
                call,
                request,
                not_after,
            } => self.send_to_cloud(from, call, request, not_after),
            Effect::DirectCall { call, request, .. } => self.send_to_worker(from, call, request),
            Effect::RereadStore => self.nodes[from].watch_revision = None,
            Effect::ReleaseLease => {
                if let Some(id) = self.nodes[from].lease.take() {
                    self.store.leases.insert(id, self.now);
                }
            }
            Effect::ReplaceLease => {
                self.nodes[from].lease = None;
                self.nodes[from].next_renewal = self.now;
            }
            Effect::LeadershipProof(leadership_proof) => {
                self.nodes[from].leadership_proof = leadership_proof
            }
            Effect::Ready(_) => {}
        }
    }

    /// Delivers a response to the requester: another controller, or a user. A response without a waiting
    /// requester is kept until it is fetched by its ticket.
    fn deliver_response(&mut self, from: usize, ticket: Ticket, response: Response) {
        if response.not_after.is_some_and(|t| self.now >= t) {
            return;
        }
        if let Some((requester, peer, request)) = self.network.cache_requests.remove(&ticket) {
            let (_, body) = peer::read_frame(&mut response.body.as_slice()).unwrap();
            let cache_page = cache_exchange::decode_cache_page(&body).unwrap();
            self.nodes[requester].inbox.push(Command::CachePage {
                peer,
                request,
                response: Some(Box::new(cache_page)),
            });
        } else if let Some((requester, number, _)) = self.network.heartbeat_batches.remove(&ticket)
        {
            // A response that cannot be delivered counts as lost.
            let delivered = self.connected(requester, from);
            let frame = peer::read_frame(&mut response.body.as_slice()).ok();
            let response =
                frame.and_then(|(_, body)| heartbeat_batch::decode_batch_response(&body));
            self.nodes[requester]
                .inbox
                .push(Command::HeartbeatBatchResponse {
                    number,
                    response: response.filter(|_| delivered).map(Box::new),
                });
        } else if let Some((requester, original)) = self.network.forwards.remove(&ticket) {
            self.nodes[requester].inbox.push(Command::ForwardResponse {
                ticket: original,
                peer: format!("n{from}"),
                response: Some(peer_answer(&response)),
            });
        } else if let Some((id, requested_at)) =
            self.network.unawaited_cancellations.remove(&ticket)
        {
            self.check_response(&id, requested_at, Some(&response));
        } else if let Some((id, requested_at)) = self.network.follow_up_queries.remove(&ticket) {
            let state = self.check_response(&id, requested_at, Some(&response));
            self.counters.follow_ups_answered += u32::from(state.is_some());
        } else {
            self.network.responses.insert(ticket, response);
        }
    }

    /// Returns whether the network connects two controllers.
    fn connected(&self, one: usize, other: usize) -> bool {
        self.nodes[one].peers_reachable && self.nodes[other].peers_reachable
    }

    /// Returns whether a controller can send a message to another one, which must be up to receive it.
    fn can_reach(&self, from: usize, to: usize) -> bool {
        self.nodes[to].up && self.connected(from, to)
    }

    /// Forwards a user's request to another controller.
    fn forward_request(&mut self, from: usize, ticket: Ticket, peer: String, request: PeerRequest) {
        let to = node_index(&peer);
        if !self.can_reach(from, to) {
            self.nodes[from].inbox.push(Command::ForwardResponse {
                ticket,
                peer,
                response: None,
            });
            return;
        }
        let forwarded_ticket = self.new_ticket();
        self.network
            .forwards
            .insert(forwarded_ticket, (from, ticket));
        let received = self.now;
        self.nodes[to].inbox.push(Command::User(UserRequest {
            ticket: forwarded_ticket,
            forwarded: true,
            tried: Vec::new(),
            received,
            action: match request {
                PeerRequest::Submit(spec) => UserAction::Submit(spec),
                PeerRequest::Show(id) => UserAction::Show(id),
                PeerRequest::Cancel(id) => UserAction::Cancel(id),
            },
        }));
    }

    /// Delivers a heartbeat batch of a delegate to the leader.
    fn send_heartbeat_batch(&mut self, from: usize, peer: &str, number: u64, frame: &[u8]) {
        let to = node_index(peer);
        if !self.can_reach(from, to) {
            self.nodes[from]
                .inbox
                .push(Command::HeartbeatBatchResponse {
                    number,
                    response: None,
                });
            return;
        }
        let (_, body) = peer::read_frame(&mut { frame }).unwrap();
        let batch = Box::new(heartbeat_batch::decode_batch(&body).unwrap());
        let ticket = self.new_ticket();
        self.network
            .heartbeat_batches
            .insert(ticket, (from, number, self.now));
        self.nodes[to]
            .inbox
            .push(Command::HeartbeatBatch { ticket, batch });
    }

    /// Sends a request for a page of another controller's cached copy of the store.
    fn send_cache_request(&mut self, from: usize, peer: String, cache_request: CacheRequest) {
        let to = node_index(&peer);
        if !self.can_reach(from, to) {
            self.nodes[from].inbox.push(Command::CachePage {
                peer,
                request: cache_request,
                response: None,
            });
            return;
        }
        let ticket = self.new_ticket();
        self.network
            .cache_requests
            .insert(ticket, (from, peer, cache_request.clone()));
        self.nodes[to].inbox.push(Command::CacheRequest {
            ticket,
            request: cache_request,
        });
    }

    /// Calls the state service. The response may be delayed.
    fn send_to_store(&mut self, from: usize, call: CallId, request: &StoreRequest) {
        let lost = self.counters.responses_lost;
        let outcome = self.call_store(from, request);
        let command = Command::StoreOutcome { call, outcome };
        if self.counters.responses_lost > lost {
            let at = self.now + STORE_TIMEOUT;
            return self
                .network
                .delayed_store_responses
                .push((at, from, command));
        }
        if self.faults.store_delay.is_zero() {
            return self.nodes[from].inbox.push(command);
        }
        let fraction = self.rng.random_range(0.0..1.0);
        let at = self.now + self.faults.store_delay.mul_f64(fraction);
        self.network
            .delayed_store_responses
            .push((at, from, command));
    }

    /// Calls the cloud.
    fn send_to_cloud(
        &mut self,
        from: usize,
        call: CallId,
        request: CloudRequest,
        not_after: Option<Instant>,
    ) {
        let outcome = if not_after.is_some_and(|t| self.now >= t) {
            CloudOutcome::Failed("late".into())
        } else {
            self.call_cloud(request)
        };
        self.nodes[from]
            .inbox
            .push(Command::CloudOutcome { call, outcome });
    }

    /// Calls a worker directly.
    fn send_to_worker(&mut self, from: usize, call: CallId, request: DirectRequest) {
        // All simulated workers share one address, so the machine is taken from the pending calls of
        // the core.
        let id = match self.nodes[from].core.pending.get(&call) {
            Some(PendingCall::DirectCall(id) | PendingCall::TokenProbe(id)) => id.clone(),
            _ => return,
        };
        let outcome = self.call_worker(from, &id, request);
        self.nodes[from]
            .inbox
            .push(Command::DirectOutcome { call, outcome });
    }

    /// Delivers a heartbeat to a controller, for example a delayed or duplicate one.
    pub fn deliver_heartbeat(&mut self, node: usize, heartbeat: Heartbeat) {
        let ticket = self.new_ticket();
        let heartbeat = Box::new(heartbeat);
        self.nodes[node]
            .inbox
            .push(Command::Heartbeat { ticket, heartbeat });
    }

    /// Drops heartbeat batches that got no response within a second, and reports that to their senders.
    pub(super) fn expire_batches(&mut self) {
        let deadline = self.now - Duration::from_secs(1);
        for (_, (requester, number, _)) in self
            .network
            .heartbeat_batches
            .extract_if(.., |_, (_, _, at)| *at < deadline)
        {
            self.nodes[requester]
                .inbox
                .push(Command::HeartbeatBatchResponse {
                    number,
                    response: None,
                });
        }
    }

    /// Delivers the heartbeats and direct commands whose delay is over.
    pub(super) fn deliver_delayed(&mut self) {
        let now = self.now;
        let due = self
            .network
            .delayed_heartbeats
            .extract_if(.., |(at, ..)| *at <= now);
        for (_, node, heartbeat) in due.collect::<Vec<_>>() {
            if self.nodes[node].up {
                self.deliver_heartbeat(node, heartbeat);
            }
        }
        let due = self
            .network
            .delayed_commands
            .extract_if(.., |(at, _)| *at <= now);
        for (_, copy) in due.collect::<Vec<_>>() {
            self.deliver_command(copy);
        }
    }

    /// Delivers a delayed or duplicate direct command, unless the machine cannot receive it.
    ///
    /// No controller can prevent that a worker which has restarted with reset counters, and has seen no higher token
    /// since, carries out what was sent before. Such a copy therefore starts only tasks there that the leader expects on
    /// the machine.
    pub fn deliver_command(&mut self, copy: CommandCopy) {
        let CommandCopy {
            machine,
            mut body,
            sent,
        } = copy;
        let Some(worker) = self.workers.get(&machine) else {
            return;
        };
        if worker.hung || worker.inbound_partitioned {
            return;
        }
        if worker.accepts_from_before_reset(sent) {
            let before = body.commands.len();
            body.commands.retain(|command| match command {
                TaskCommand::Start { task, attempt } => {
                    self.is_expected_start(&machine, task, *attempt)
                }
                _ => true,
            });
            self.counters.starts_withheld += (before - body.commands.len()) as u32;
        }
        let outcome = self.execute_direct(&machine, &body);
        let executed = matches!(
            outcome,
            Some(DirectOutcome::Heartbeat { executed: true, .. })
        );
        self.counters.delayed_commands_executed += u32::from(executed);
    }

    /// Returns whether the leader expects this attempt of a task on the machine.
    fn is_expected_start(&self, id: &MachineId, task: &str, attempt: u64) -> bool {
        let leader = self
            .leader()
            .and_then(|n| self.nodes[n].core.leader.as_ref());
        let machine = leader.and_then(|leader| leader.machines.get(id));
        let key = parse_task_id(task).unwrap();
        machine
            .and_then(|machine| machine.tasks.get(&key))
            .is_some_and(|placement| placement.attempt == attempt && placement.stopping.is_none())
    }

    /// Delivers the responses of the state service whose delay is over.
    pub(super) fn deliver_delayed_store_responses(&mut self) {
        let now = self.now;
        let responses = &mut self.network.delayed_store_responses;
        for (_, node, command) in responses.extract_if(.., |(at, ..)| *at <= now) {
            self.nodes[node].inbox.push(command);
        }
    }

    /// Keeps heartbeats to be delivered to every controller when the next leadership begins.
    pub fn replay_at_next_leadership(&mut self, heartbeats: Vec<Heartbeat>) {
        self.network.heartbeats_to_replay.extend(heartbeats);
    }

    /// Returns copies of the direct commands that are under way with a delay.
    pub fn delayed_command_copies(&self) -> Vec<CommandCopy> {
        let all = self.network.delayed_commands.iter();
        all.map(|(_, copy)| copy.clone()).collect()
    }

    /// Delivers the heartbeats kept for the beginning of a leadership to every controller.
    pub(super) fn replay_heartbeats(&mut self) {
        for heartbeat in std::mem::take(&mut self.network.heartbeats_to_replay) {
            for node in 0..self.nodes.len() {
                if self.nodes[node].up {
                    self.counters.heartbeats_replayed += 1;
                    self.deliver_heartbeat(node, heartbeat.clone());
                }
            }
        }
    }

    /// Delivers all held messages and delayed transactions. Direct commands to hung workers stay held.
    pub fn release_held(&mut self) {
        let late = std::mem::take(&mut self.network.delayed_transactions);
        let late = late.into_iter().map(|(_, txn)| txn);
        for txn in late.chain(std::mem::take(&mut self.network.held_transactions)) {
            self.store.txn(&txn);
        }
        for (id, body) in std::mem::take(&mut self.network.held_commands) {
            if self.workers.get(&id).is_some_and(|worker| !worker.hung) {
                self.execute_direct(&id, &body);
            } else {
                self.network.held_commands.push((id, body));
            }
        }
    }
}
