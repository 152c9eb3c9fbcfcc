//! What lies between the parties: links, deliveries, copies and what is held up.

use super::cluster::Simulation;
use super::store::STORE_TIMEOUT;
use crate::cloud::CloudOutcome;
use crate::core::{Ask, Command, Effect, Ticket, UserRequest};
use crate::http::Answer;
use crate::job::MachineId;
use crate::link;
use crate::peer::{self, PeerAnswer, PeerRequest};
use crate::recall::{self, Recall};
use crate::wire::{DirectBody, JobAnswer, Report, Txn};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Messages on their way, and those that are kept for later.
#[derive(Default)]
pub struct Network {
    /// Requests of users that one controller passed on to another: who did, and its own ticket.
    pub(super) forwards: BTreeMap<Ticket, (usize, Ticket)>,
    /// Frames of controllers that serve workers: who sent them, their numbers, and when.
    pub(super) syncs: BTreeMap<Ticket, (usize, u64, Instant)>,
    /// Requests between controllers for what they remember: who asked whom, and for what.
    pub(super) recalls: BTreeMap<Ticket, (usize, String, Recall)>,
    /// Answers that nobody has fetched yet.
    pub(super) answers: BTreeMap<Ticket, Answer>,
    /// Duplicates of reports: when each arrives, and at which controller.
    pub(super) delayed_reports: Vec<(Instant, usize, Report)>,
    /// Direct commands that are late or duplicates: when each arrives, and at which machine.
    pub(super) delayed_commands: Vec<(Instant, MachineId, DirectBody)>,
    /// Transactions that are carried out late.
    pub(super) delayed_transactions: Vec<(Instant, Txn)>,
    /// Answers of the state service: when each arrives, and at which controller.
    pub(super) delayed_answers: Vec<(Instant, usize, Command)>,
    /// Reports that arrive everywhere when the next leadership begins.
    pub(super) reports_to_replay: Vec<Report>,
    /// Questions asked because of an answer to somebody else.
    pub(super) follow_up_queries: BTreeMap<Ticket, (String, Instant)>,
    /// Cancellations whose answers nobody waits for, and what they were about.
    pub(super) unawaited_cancellations: BTreeMap<Ticket, (String, Instant)>,
    /// Transactions that are held until `Simulation::release`.
    pub held_transactions: Vec<Txn>,
    /// Direct commands that are held until then.
    pub held_commands: Vec<(MachineId, DirectBody)>,
}

/// How a node's calls to one service go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Link {
    Good,
    Refused,
    /// Requests are carried out, answers are lost.
    AnswersLost,
    /// Requests are kept by the network and may be let through later.
    Held,
    /// Only transactions are.
    WritesHeld,
}

impl Link {
    pub(super) fn reads(self) -> bool {
        matches!(self, Link::Good | Link::WritesHeld)
    }
}

impl Simulation {
    pub(super) fn apply_effect(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Answer { ticket, answer } => {
                if answer.not_after.is_some_and(|t| self.now >= t) {
                    return;
                }
                if let Some((asker, peer, asked)) = self.network.recalls.remove(&ticket) {
                    let (_, body) = peer::read_frame(&mut answer.body.as_slice()).unwrap();
                    let told = recall::decode_recalled(&body).unwrap();
                    self.nodes[asker].inbox.push(Command::Recalled {
                        peer,
                        asked,
                        answer: Some(Box::new(told)),
                    });
                } else if let Some((asker, number, _)) = self.network.syncs.remove(&ticket) {
                    // What cannot get through is as good as lost.
                    let through =
                        self.nodes[asker].peers_reachable && self.nodes[i].peers_reachable;
                    let frame = peer::read_frame(&mut answer.body.as_slice()).ok();
                    let synced = frame.and_then(|(_, body)| link::decode_synced(&body));
                    self.nodes[asker].inbox.push(Command::Synced {
                        number,
                        answer: synced.filter(|_| through).map(Box::new),
                    });
                } else if let Some((asker, original)) = self.network.forwards.remove(&ticket) {
                    let told: Option<JobAnswer> = serde_json::from_slice(&answer.body).ok();
                    self.nodes[asker].inbox.push(Command::Forwarded {
                        ticket: original,
                        peer: format!("n{i}"),
                        answer: Some(PeerAnswer {
                            status: answer.status,
                            state: told.as_ref().map(|t| t.state),
                            retry_after: answer.retry_after,
                            done: None,
                            running: None,
                        }),
                    });
                } else if let Some((id, asked)) =
                    self.network.unawaited_cancellations.remove(&ticket)
                {
                    self.check_answer(&id, asked, Some(&answer));
                } else if let Some((id, asked)) = self.network.follow_up_queries.remove(&ticket) {
                    let state = self.check_answer(&id, asked, Some(&answer));
                    self.counters.follow_ups_answered += u32::from(state.is_some());
                } else {
                    self.network.answers.insert(ticket, answer);
                }
            }
            Effect::Forward {
                ticket,
                peer,
                request,
            } => {
                let to = peer[1..].parse::<usize>().unwrap();
                if !self.nodes[to].up
                    || !self.nodes[to].peers_reachable
                    || !self.nodes[i].peers_reachable
                {
                    self.nodes[i].inbox.push(Command::Forwarded {
                        ticket,
                        peer,
                        answer: None,
                    });
                    return;
                }
                let passed = self.new_ticket();
                self.network.forwards.insert(passed, (i, ticket));
                let received = self.now;
                self.nodes[to].inbox.push(Command::User(UserRequest {
                    ticket: passed,
                    forwarded: true,
                    tried: Vec::new(),
                    received,
                    what: match request {
                        PeerRequest::Submit(s) => Ask::Submit(s),
                        PeerRequest::Show(id) => Ask::Show(id),
                        PeerRequest::Cancel(id) => Ask::Cancel(id),
                    },
                }));
            }
            Effect::Sync {
                peer,
                number,
                frame,
            } => {
                let to = peer[1..].parse::<usize>().unwrap();
                if !self.nodes[to].up
                    || !self.nodes[to].peers_reachable
                    || !self.nodes[i].peers_reachable
                {
                    self.nodes[i].inbox.push(Command::Synced {
                        number,
                        answer: None,
                    });
                    return;
                }
                let (_, body) = peer::read_frame(&mut frame.as_slice()).unwrap();
                let sync = Box::new(link::decode_sync(&body).unwrap());
                let ticket = self.new_ticket();
                self.network.syncs.insert(ticket, (i, number, self.now));
                self.nodes[to].inbox.push(Command::Sync { ticket, sync });
            }
            Effect::Recall { peer, recall } => {
                let to = peer[1..].parse::<usize>().unwrap();
                if !self.nodes[to].up
                    || !self.nodes[to].peers_reachable
                    || !self.nodes[i].peers_reachable
                {
                    self.nodes[i].inbox.push(Command::Recalled {
                        peer,
                        asked: recall,
                        answer: None,
                    });
                    return;
                }
                let ticket = self.new_ticket();
                self.network
                    .recalls
                    .insert(ticket, (i, peer, recall.clone()));
                self.nodes[to]
                    .inbox
                    .push(Command::Recall { ticket, recall });
            }
            Effect::ReadAfresh => self.nodes[i].seen = None,
            Effect::State { call, request } => {
                let lost = self.counters.answers_lost;
                let outcome = self.call_state(i, &request);
                let answer = Command::State { call, outcome };
                if self.counters.answers_lost > lost {
                    let at = self.now + STORE_TIMEOUT;
                    return self.network.delayed_answers.push((at, i, answer));
                }
                if self.faults.store_delay.is_zero() {
                    return self.nodes[i].inbox.push(answer);
                }
                let at = self.now
                    + self
                        .faults
                        .store_delay
                        .mul_f64(self.rng.random_range(0.0..1.0));
                self.network.delayed_answers.push((at, i, answer));
            }
            Effect::Cloud {
                call,
                request,
                not_after,
            } => {
                let outcome = if not_after.is_some_and(|t| self.now >= t) {
                    CloudOutcome::Trouble("late".into())
                } else {
                    self.call_cloud(request)
                };
                self.nodes[i].inbox.push(Command::Cloud { call, outcome });
            }
            Effect::Direct { call, request, .. } => {
                // All workers share an address here; the call's machine is the core's own note.
                let id = match self.nodes[i].core.pending.get(&call) {
                    Some(crate::core::Pending::Direct(id) | crate::core::Pending::Show(id)) => {
                        id.clone()
                    }
                    _ => return,
                };
                let outcome = self.call_worker(i, &id, request);
                self.nodes[i].inbox.push(Command::Direct { call, outcome });
            }
            Effect::GiveUpLease => {
                if let Some(id) = self.nodes[i].lease.take() {
                    self.state.leases.insert(id, self.now);
                }
            }
            Effect::ChangeLease => {
                self.nodes[i].lease = None;
                self.nodes[i].next_renewal = self.now;
            }
            Effect::Stand(stand) => self.nodes[i].stand = stand,
            Effect::Ready(_) => {}
        }
    }

    /// A report comes to a node late.
    pub fn deliver(&mut self, node: usize, report: Report) {
        let ticket = self.new_ticket();
        let report = Box::new(report);
        self.nodes[node]
            .inbox
            .push(Command::Report { ticket, report });
    }

    /// Frames that nobody answered within a second.
    pub(super) fn give_up_syncs(&mut self) {
        let late = self.now - Duration::from_secs(1);
        for (_, (asker, number, _)) in self
            .network
            .syncs
            .extract_if(.., |_, (_, _, at)| *at < late)
        {
            self.nodes[asker].inbox.push(Command::Synced {
                number,
                answer: None,
            });
        }
    }

    /// Copies whose time has come.
    pub(super) fn deliver_delayed(&mut self) {
        let now = self.now;
        let due = self
            .network
            .delayed_reports
            .extract_if(.., |(at, ..)| *at <= now);
        for (_, node, report) in due.collect::<Vec<_>>() {
            if self.nodes[node].up {
                self.deliver(node, report);
            }
        }
        let due = self
            .network
            .delayed_commands
            .extract_if(.., |(at, ..)| *at <= now);
        for (_, id, body) in due.collect::<Vec<_>>() {
            if self
                .workers
                .get(&id)
                .is_some_and(|worker| !worker.hung && !worker.inbound_partitioned)
            {
                self.direct(&id, &body);
            }
        }
    }

    /// Copies of what workers reported arrive at every controller.
    pub fn replay_at_next_leadership(&mut self, reports: Vec<Report>) {
        self.network.reports_to_replay.extend(reports);
    }

    /// Commands of which copies are under way.
    pub fn delayed_command_copies(&self) -> Vec<(MachineId, DirectBody)> {
        let all = self.network.delayed_commands.iter();
        all.map(|(_, id, body)| (id.clone(), body.clone()))
            .collect()
    }

    /// Lets everything through that was held.
    pub fn release(&mut self) {
        let late = std::mem::take(&mut self.network.delayed_transactions);
        let late = late.into_iter().map(|(_, txn)| txn);
        for txn in late.chain(std::mem::take(&mut self.network.held_transactions)) {
            self.state.txn(&txn);
        }
        for (id, body) in std::mem::take(&mut self.network.held_commands) {
            if self.workers.get(&id).is_some_and(|worker| !worker.hung) {
                self.direct(&id, &body);
            } else {
                self.network.held_commands.push((id, body));
            }
        }
    }
}
