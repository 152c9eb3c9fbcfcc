//! Users and operators: their requests to controllers, with and without waiting for the response.

use super::cluster::Simulation;
use super::store::Backup;
use crate::core::{Command, Ticket, UserAction, UserRequest};
use crate::http::Response;
use crate::job::{JobSpec, TaskId};
use crate::wire::JobState;
use std::time::Duration;

impl Simulation {
    /// Sends a request to a controller, and returns the ticket under which the response can be fetched.
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

    /// Sends a request to a controller and waits up to 3 s for the response.
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

    /// Submits a job and waits up to 3 s for the response. Returns its status, 0 if there is none.
    pub fn submit(&mut self, node: usize, spec: &JobSpec) -> u16 {
        // A repeated submission may have another specification; the job keeps its first one.
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

    /// Submits a job repeatedly, with this pause between attempts, until it is accepted.
    pub fn submit_until_accepted(&mut self, node: usize, spec: &JobSpec, pause_seconds: f64) {
        while !matches!(self.submit(node, spec), 200 | 201) {
            self.run(pause_seconds);
        }
    }

    /// Sends `n` queries for a job within one step, and returns the statuses of the responses that arrive
    /// within 2 s.
    pub fn query_burst(&mut self, node: usize, id: &str, n: u32) -> Vec<u16> {
        let send = |_| self.send_request(node, UserAction::Show(id.into()));
        let tickets: Vec<Ticket> = (0..n).map(send).collect();
        self.run(2.0);
        let responses = tickets
            .iter()
            .filter_map(|t| self.network.responses.remove(t));
        responses.map(|a| a.status).collect()
    }

    /// Submits a job without waiting for the response. The job must be known to the checker
    /// (`register_job`).
    pub fn submit_without_waiting(&mut self, node: usize, spec: &JobSpec) {
        self.send_request(node, UserAction::Submit(Box::new(spec.clone())));
    }

    /// Queries a job's state and waits up to 3 s for the response. Returns its status, 0 if there is
    /// none, and the state.
    pub fn show(&mut self, node: usize, id: &str) -> (u16, Option<JobState>) {
        let requested_at = self.now;
        let response = self.request_and_wait(node, UserAction::Show(id.into()));
        let state = self.check_response(id, requested_at, response.as_ref());
        (response.map_or(0, |a| a.status), state)
    }

    /// Requests the cancellation of a job and waits up to 3 s for the response. Returns the same as
    /// `show`.
    pub fn cancel(&mut self, node: usize, id: &str) -> (u16, Option<JobState>) {
        self.checker.cancellation_requests.insert(id.into());
        let requested_at = self.now;
        let response = self.request_and_wait(node, UserAction::Cancel(id.into()));
        let state = self.check_response(id, requested_at, response.as_ref());
        (response.map_or(0, |a| a.status), state)
    }

    /// Requests the cancellation of a job without waiting for the response.
    pub fn cancel_without_waiting(&mut self, node: usize, id: &str) {
        self.checker.cancellation_requests.insert(id.into());
        let ticket = self.send_request(node, UserAction::Cancel(id.into()));
        self.network
            .unawaited_cancellations
            .insert(ticket, (id.into(), self.now));
    }

    /// Returns the final state that users received for a job, if any.
    pub fn reported_final_state(&self, id: &str) -> Option<JobState> {
        self.checker
            .reported_final_states
            .get(id)
            .map(|(state, _)| *state)
    }

    /// Sends an operator's command to a controller to accept a store that has lost data as it is. Returns
    /// the status of the response.
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

    /// Offers a snapshot to a controller for the rebuild of the store. Returns the status of the response.
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

    /// Returns the status view of a controller.
    pub fn status(&mut self, node: usize) -> serde_json::Value {
        let ticket = self.new_ticket();
        self.nodes[node].inbox.push(Command::Status(ticket));
        self.run(0.1);
        let response = self.network.responses.remove(&ticket);
        response.map_or(serde_json::Value::Null, |a| {
            serde_json::from_slice(&a.body).unwrap()
        })
    }

    /// Registers a job with the checker: one that is in the store without a submission, or that is
    /// submitted without waiting for the response.
    pub fn register_job(&mut self, spec: &JobSpec) {
        self.checker.specs.insert(spec.id.to_string(), spec.clone());
    }

    /// Queries random controllers for a job until it is done. Fails after this many seconds.
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

    /// Returns whether any task of a job has run to completion.
    pub fn any_task_completed(&self, id: &str) -> bool {
        self.checker.completed.iter().any(|key| &*key.job == id)
    }

    /// Returns whether all tasks of a job have run to completion.
    pub fn all_tasks_completed(&self, id: &str) -> bool {
        let spec = &self.checker.specs[id];
        (0..spec.tasks).all(|index| {
            let job = spec.id.clone();
            self.checker.completed.contains(&TaskId { job, index })
        })
    }

    /// Queries every controller for a job at once, and repeats its submission at each of them. The
    /// responses are checked when they arrive.
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
