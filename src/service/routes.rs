//! Public HTTP interface: converts requests to commands, and answers some directly.

use super::inbox::{Inbox, ReplyTo};
use crate::core::{Command, UserAction, UserRequest};
use crate::http::{ConnectionClass, Handler, Request, Responder, Response};
use crate::wire::{
    self, PATH_CANCEL, PATH_HEARTBEAT, PATH_JOBS, PATH_METRICS, PATH_READY, PATH_SETTLE,
    PATH_SNAPSHOT, PATH_STATUS, SnapshotPage,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// Paths that exist; a request with a wrong method gets status 405.
const KNOWN_PATHS: [&str; 7] = [
    PATH_SETTLE,
    PATH_SNAPSHOT,
    PATH_READY,
    PATH_HEARTBEAT,
    PATH_JOBS,
    PATH_STATUS,
    PATH_METRICS,
];
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Converts requests to commands for the owner thread.
pub struct Routes {
    inbox: Inbox,
    ready: Arc<AtomicBool>,
}

impl Routes {
    /// Returns the handler. `ready` is the value that the health check reports.
    pub fn new(inbox: Inbox, ready: Arc<AtomicBool>) -> Routes {
        Routes { inbox, ready }
    }

    fn health(&self) -> Response {
        if self.ready.load(Ordering::Relaxed) {
            Response::new(200, b"{}".to_vec())
        } else {
            Response::busy("not ready", 1)
        }
    }

    fn user_request(&self, action: UserAction, responder: Responder) {
        let received = Instant::now();
        let command = |ticket| {
            Command::User(UserRequest {
                ticket,
                action,
                forwarded: false,
                tried: Vec::new(),
                received,
            })
        };
        self.inbox.request(command, ReplyTo::Client(responder));
    }

    fn submit(&self, body: &[u8], responder: Responder) {
        match wire::parse_submission(body) {
            Ok(spec) => self.user_request(UserAction::Submit(Box::new(spec)), responder),
            Err(error) => {
                let rejection = Response::error(400, &error.to_string());
                // Resubmitting the id of an accepted job gets status 200, whatever else the body contains.
                match wire::submitted_id(body) {
                    Some(id) => self.user_request(UserAction::Malformed(id, rejection), responder),
                    None => responder.send(&rejection),
                }
            }
        }
    }

    fn snapshot_page(&self, body: &[u8], responder: Responder) {
        match serde_json::from_slice::<SnapshotPage>(body) {
            Ok(page) => {
                let command = |ticket| Command::OfferSnapshot {
                    ticket,
                    store: page.store,
                    last: page.last,
                    items: page.items,
                };
                self.inbox.request(command, ReplyTo::Client(responder));
            }
            Err(error) => responder.send(&Response::error(400, &error.to_string())),
        }
    }

    fn metrics(&self, responder: Responder) {
        let queue_lengths = self.inbox.queue_lengths().to_array();
        let command = |ticket| Command::Metrics {
            ticket,
            queue_lengths,
        };
        let reply_to = ReplyTo::MetricsClient(responder, METRICS_CONTENT_TYPE);
        self.inbox.request(command, reply_to);
    }

    /// Handles a request for one job. `path` is relative to `PATH_JOBS`: the job's id, and optionally an
    /// action.
    fn job(&self, method: &str, path: &str, responder: Responder) {
        let (id, action) = path.split_once('/').unwrap_or((path, ""));
        if !wire::is_job_id(id) {
            responder.send(&Response::error(404, "no such job"));
            return;
        }
        match (method, action) {
            ("GET", "") => self.user_request(UserAction::Show(id.to_string()), responder),
            ("POST", PATH_CANCEL) => {
                self.user_request(UserAction::Cancel(id.to_string()), responder)
            }
            ("GET" | "POST", _) => responder.send(&Response::error(404, "no such path")),
            _ => responder.send(&Response::error(405, "wrong method")),
        }
    }

    fn job_or_error(&self, method: &str, path: &str, responder: Responder) {
        let job = (path.strip_prefix(PATH_JOBS)).and_then(|rest| rest.strip_prefix('/'));
        match job {
            Some(job) => self.job(method, job, responder),
            None if KNOWN_PATHS.contains(&path) => {
                responder.send(&Response::error(405, "wrong method"));
            }
            None => responder.send(&Response::error(404, "no such path")),
        }
    }
}

/// Returns the path of a request without its query.
fn path_without_query(request: &Request) -> &str {
    request.path.split('?').next().unwrap_or_default()
}

impl Handler for Routes {
    fn class(&self, request: &Request) -> ConnectionClass {
        match (request.method.as_str(), path_without_query(request)) {
            ("POST", PATH_HEARTBEAT) => ConnectionClass::Worker,
            (_, PATH_READY) => ConnectionClass::HealthCheck,
            _ => ConnectionClass::Other,
        }
    }

    fn defers_requests(&self) -> bool {
        self.inbox.renewal().is_late()
    }

    fn handle(&mut self, request: Request, responder: Responder) {
        let client = ReplyTo::Client;
        match (request.method.as_str(), path_without_query(&request)) {
            ("GET", PATH_READY) => responder.send(&self.health()),
            ("POST", PATH_HEARTBEAT) => self.inbox.receive_heartbeat(request.body, responder),
            ("POST", PATH_JOBS) => self.submit(&request.body, responder),
            ("GET", PATH_STATUS) => self.inbox.request(Command::Status, client(responder)),
            ("POST", PATH_SETTLE) => self
                .inbox
                .request(Command::AcceptIncompleteStore, client(responder)),
            ("POST", PATH_SNAPSHOT) => self.snapshot_page(&request.body, responder),
            ("GET", PATH_METRICS) => self.metrics(responder),
            (method, path) => self.job_or_error(method, path, responder),
        }
    }

    fn tick(&mut self, now: Instant) {
        self.inbox.expire_requests(now);
    }
}
