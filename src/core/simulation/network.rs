//! What lies between the parties: links, deliveries, copies and what is held up.

use super::cluster::World;
use super::store::NO_ANSWER;
use crate::cloud::CloudOutcome;
use crate::core::{Ask, Command, Effect, UserRequest};
use crate::job::MachineId;
use crate::link;
use crate::peer::{self, PeerAnswer, PeerRequest};
use crate::recall;
use crate::wire::{DirectBody, JobAnswer, Report};
use rand::RngExt;
use std::time::Duration;

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

impl World {
    pub(super) fn carry_out(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Answer { ticket, answer } => {
                if answer.not_after.is_some_and(|t| self.now >= t) {
                    return;
                }
                if let Some((asker, peer, asked)) = self.recalls.remove(&ticket) {
                    let (_, body) = peer::read_frame(&mut answer.body.as_slice()).unwrap();
                    let told = recall::decode_recalled(&body).unwrap();
                    self.nodes[asker].inbox.push(Command::Recalled {
                        peer,
                        asked,
                        answer: Some(Box::new(told)),
                    });
                } else if let Some((asker, number, _)) = self.syncs.remove(&ticket) {
                    // What cannot get through is as good as lost.
                    let through = self.nodes[asker].peers && self.nodes[i].peers;
                    let frame = peer::read_frame(&mut answer.body.as_slice()).ok();
                    let synced = frame.and_then(|(_, body)| link::decode_synced(&body));
                    self.nodes[asker].inbox.push(Command::Synced {
                        number,
                        answer: synced.filter(|_| through).map(Box::new),
                    });
                } else if let Some((asker, original)) = self.forwards.remove(&ticket) {
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
                } else if let Some((id, asked)) = self.cancelling.remove(&ticket) {
                    self.heard(&id, asked, Some(&answer));
                } else if let Some((id, asked)) = self.looks.remove(&ticket) {
                    let state = self.heard(&id, asked, Some(&answer));
                    self.looks_answered += u32::from(state.is_some());
                } else {
                    self.answers.insert(ticket, answer);
                }
            }
            Effect::Forward {
                ticket,
                peer,
                request,
            } => {
                let to = peer[1..].parse::<usize>().unwrap();
                if !self.nodes[to].up || !self.nodes[to].peers || !self.nodes[i].peers {
                    self.nodes[i].inbox.push(Command::Forwarded {
                        ticket,
                        peer,
                        answer: None,
                    });
                    return;
                }
                let passed = self.next_ticket;
                self.next_ticket += 1;
                self.forwards.insert(passed, (i, ticket));
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
                if !self.nodes[to].up || !self.nodes[to].peers || !self.nodes[i].peers {
                    self.nodes[i].inbox.push(Command::Synced {
                        number,
                        answer: None,
                    });
                    return;
                }
                let (_, body) = peer::read_frame(&mut frame.as_slice()).unwrap();
                let sync = Box::new(link::decode_sync(&body).unwrap());
                let ticket = self.next_ticket;
                self.next_ticket += 1;
                self.syncs.insert(ticket, (i, number, self.now));
                self.nodes[to].inbox.push(Command::Sync { ticket, sync });
            }
            Effect::Recall { peer, recall } => {
                let to = peer[1..].parse::<usize>().unwrap();
                if !self.nodes[to].up || !self.nodes[to].peers || !self.nodes[i].peers {
                    self.nodes[i].inbox.push(Command::Recalled {
                        peer,
                        asked: recall,
                        answer: None,
                    });
                    return;
                }
                let ticket = self.next_ticket;
                self.next_ticket += 1;
                self.recalls.insert(ticket, (i, peer, recall.clone()));
                self.nodes[to]
                    .inbox
                    .push(Command::Recall { ticket, recall });
            }
            Effect::ReadAfresh => self.nodes[i].seen = None,
            Effect::State { call, request } => {
                let lost = self.answers_lost;
                let outcome = self.call_state(i, &request);
                let answer = Command::State { call, outcome };
                if self.answers_lost > lost {
                    let at = self.now + NO_ANSWER;
                    return self.slow_answers.push((at, i, answer));
                }
                if self.slow.is_zero() {
                    return self.nodes[i].inbox.push(answer);
                }
                let at = self.now + self.slow.mul_f64(self.rng.random_range(0.0..1.0));
                self.slow_answers.push((at, i, answer));
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
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let report = Box::new(report);
        self.nodes[node]
            .inbox
            .push(Command::Report { ticket, report });
    }

    /// Frames that nobody answered within a second.
    pub(super) fn give_up_syncs(&mut self) {
        let late = self.now - Duration::from_secs(1);
        for (_, (asker, number, _)) in self.syncs.extract_if(.., |_, (_, _, at)| *at < late) {
            self.nodes[asker].inbox.push(Command::Synced {
                number,
                answer: None,
            });
        }
    }

    /// Copies whose time has come.
    pub(super) fn deliver_copies(&mut self) {
        let now = self.now;
        let due = self.late_reports.extract_if(.., |(at, ..)| *at <= now);
        for (_, node, report) in due.collect::<Vec<_>>() {
            if self.nodes[node].up {
                self.deliver(node, report);
            }
        }
        let due = self.late_commands.extract_if(.., |(at, ..)| *at <= now);
        for (_, id, body) in due.collect::<Vec<_>>() {
            if self.workers.get(&id).is_some_and(|w| !w.hung && !w.deaf) {
                self.direct(&id, &body);
            }
        }
    }

    /// Copies of what workers reported arrive at every controller.
    pub fn keep_reports(&mut self, reports: Vec<Report>) {
        self.kept_reports.extend(reports);
    }

    /// Commands of which copies are under way.
    pub fn copied_commands(&self) -> Vec<(MachineId, DirectBody)> {
        let all = self.late_commands.iter();
        all.map(|(_, id, body)| (id.clone(), body.clone()))
            .collect()
    }

    /// Lets everything through that was held.
    pub fn release(&mut self) {
        let late = std::mem::take(&mut self.late_txns);
        let late = late.into_iter().map(|(_, txn)| txn);
        for txn in late.chain(std::mem::take(&mut self.held_txns)) {
            self.state.txn(&txn);
        }
        for (id, body) in std::mem::take(&mut self.held_commands) {
            if self.workers.get(&id).is_some_and(|w| !w.hung) {
                self.direct(&id, &body);
            } else {
                self.held_commands.push((id, body));
            }
        }
    }
}
