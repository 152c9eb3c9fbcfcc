//! Users and operators: what they ask of controllers, with and without waiting for the answer.

use super::cluster::Simulation;
use super::store::Backup;
use crate::core::{Command, Ticket, UserAction, UserRequest};
use crate::http::Response;
use crate::job::{JobSpec, TaskId};
use crate::wire::JobState;
use std::time::Duration;

impl Simulation {
    /// Asks a controller; the answer is fetched by this ticket.
    pub fn send_request(&mut self, node: usize, action: UserAction) -> Ticket {
        let ticket = self.new_ticket();
        let received = self.now;
        if self.nodes[node].up {
            self.nodes[node].inbox.push(Command::User(UserRequest {
                ticket,
                action,
                forwarded: false,
                tried: Vec::new(),
                received,
            }));
        }
        ticket
    }

    /// Asks one node and waits up to 3 s for its answer.
    pub(super) fn request_and_wait(&mut self, node: usize, action: UserAction) -> Option<Response> {
        let ticket = self.send_request(node, action);
        for _ in 0..60 {
            self.tick();
            if let Some(response) = self.network.responses.remove(&ticket) {
                return Some(response);
            }
        }
        None
    }

    /// Submits a job and waits up to 3 s; the answer's status, 0 if there is none.
    pub fn submit(&mut self, node: usize, spec: &JobSpec) -> u16 {
        // A repetition may carry anything; the job is what it was.
        let resubmitted = self.checker.specs.contains_key(&*spec.id);
        if !resubmitted {
            self.checker.specs.insert(spec.id.to_string(), spec.clone());
        }
        let requested_at = self.now;
        let response = self.request_and_wait(node, UserAction::Submit(Box::new(spec.clone())));
        let status = response.as_ref().map_or(0, |a| a.status);
        if !resubmitted && status == 422 {
            self.checker.specs.remove(&*spec.id);
        }
        self.check_response(&spec.id, requested_at, response.as_ref());
        status
    }

    /// Submits a job again and again, so many seconds apart, until it is accepted.
    pub fn submit_until_accepted(&mut self, node: usize, spec: &JobSpec, pause_seconds: f64) {
        while !matches!(self.submit(node, spec), 200 | 201) {
            self.run(pause_seconds);
        }
    }

    /// So many actions in one step; the answers' statuses.
    pub fn query_burst(&mut self, node: usize, id: &str, n: u32) -> Vec<u16> {
        let send = |_| self.send_request(node, UserAction::Show(id.into()));
        let tickets: Vec<Ticket> = (0..n).map(send).collect();
        self.run(2.0);
        let responses = tickets
            .iter()
            .filter_map(|t| self.network.responses.remove(t));
        responses.map(|a| a.status).collect()
    }

    /// A submission is repeated, and its answer not waited for.
    pub fn submit_without_waiting(&mut self, node: usize, spec: &JobSpec) {
        self.send_request(node, UserAction::Submit(Box::new(spec.clone())));
    }

    /// Asks for a job's state and waits up to 3 s; the answer's status, 0 if there is none, and the state.
    pub fn show(&mut self, node: usize, id: &str) -> (u16, Option<JobState>) {
        let requested_at = self.now;
        let response = self.request_and_wait(node, UserAction::Show(id.into()));
        let state = self.check_response(id, requested_at, response.as_ref());
        (response.map_or(0, |a| a.status), state)
    }

    /// Asks to cancel a job and waits up to 3 s; as `show`.
    pub fn cancel(&mut self, node: usize, id: &str) -> (u16, Option<JobState>) {
        self.checker.cancellation_requests.insert(id.into());
        let requested_at = self.now;
        let response = self.request_and_wait(node, UserAction::Cancel(id.into()));
        let state = self.check_response(id, requested_at, response.as_ref());
        (response.map_or(0, |a| a.status), state)
    }

    /// Asks to cancel a job, and does not wait for the answer.
    pub fn cancel_without_waiting(&mut self, node: usize, id: &str) {
        self.checker.cancellation_requests.insert(id.into());
        let ticket = self.send_request(node, UserAction::Cancel(id.into()));
        self.network
            .unawaited_cancellations
            .insert(ticket, (id.into(), self.now));
    }

    /// The final state that its user received, if any.
    pub fn reported_final_state(&self, id: &str) -> Option<JobState> {
        self.checker
            .reported_final_states
            .get(id)
            .map(|(state, _)| *state)
    }

    /// An operator's command to a node to settle what remains of a lost store; the answer's status.
    pub fn settle_rebuild(&mut self, node: usize) -> u16 {
        let ticket = self.new_ticket();
        self.nodes[node]
            .inbox
            .push(Command::AcceptIncompleteStore(ticket));
        self.run(0.2);
        self.network
            .responses
            .remove(&ticket)
            .map_or(0, |a| a.status)
    }

    /// A snapshot is offered to a node; the answer's status.
    pub fn offer_snapshot(&mut self, node: usize, store: &str, backup: &Backup) -> u16 {
        let items = backup.0.keys.iter();
        let items = items.map(|(k, e)| (k.clone(), e.value.clone()));
        let ticket = self.new_ticket();
        self.nodes[node].inbox.push(Command::OfferSnapshot {
            ticket,
            store: store.into(),
            last: true,
            items: items.collect(),
        });
        self.run(0.2);
        self.network
            .responses
            .remove(&ticket)
            .map_or(0, |a| a.status)
    }

    /// A status view of a node.
    pub fn status(&mut self, node: usize) -> serde_json::Value {
        let ticket = self.new_ticket();
        self.nodes[node].inbox.push(Command::Status(ticket));
        self.run(0.1);
        let response = self.network.responses.remove(&ticket);
        response.map_or(serde_json::Value::Null, |a| {
            serde_json::from_slice(&a.body).unwrap()
        })
    }

    /// Takes note of a job that is in the store without a submission, or that is submitted without
    /// waiting for the answer.
    pub fn register_job(&mut self, spec: &JobSpec) {
        self.checker.specs.insert(spec.id.to_string(), spec.clone());
    }

    /// Asks any controller for a job until it is done; fails after so many seconds.
    pub fn run_until_done(&mut self, id: &str, seconds: f64) {
        let end = self.now + Duration::from_secs_f64(seconds);
        loop {
            let node = self.random(self.nodes.len());
            if self.show(node, id).1 == Some(JobState::Done) {
                return;
            }
            assert!(self.now < end, "{id} is not done within {seconds} s");
            self.run(0.5);
        }
    }

    /// Some task of a job has ended with a result.
    pub fn any_task_completed(&self, id: &str) -> bool {
        self.checker.completed.iter().any(|key| &*key.job == id)
    }

    /// All tasks of an array have ended with a result.
    pub fn all_tasks_completed(&self, id: &str) -> bool {
        let spec = &self.checker.specs[id];
        (0..spec.tasks).all(|index| {
            let job = spec.id.clone();
            self.checker.completed.contains(&TaskId { job, index })
        })
    }

    /// Asks every controller about a job at once, and repeats its submission.
    pub(super) fn query_all_nodes(&mut self, id: &str) {
        for node in 0..self.nodes.len() {
            let mut actions = vec![UserAction::Show(id.into())];
            actions.extend(
                self.checker
                    .specs
                    .get(id)
                    .map(|s| UserAction::Submit(Box::new(s.clone()))),
            );
            for action in actions {
                let ticket = self.send_request(node, action);
                self.network
                    .follow_up_queries
                    .insert(ticket, (id.into(), self.now));
            }
        }
    }
}
