//! The public interface: which command a request becomes, and what is answered at once.

use super::inbox::{Inbox, Reply};
use crate::core::{Command, UserAction, UserRequest};
use crate::http::{Answer, Class, Handler, Request, Responder};
use crate::wire::{
    self, PATH_CANCEL, PATH_HEARTBEAT, PATH_JOBS, PATH_METRICS, PATH_READY, PATH_SETTLE,
    PATH_SNAPSHOT, PATH_STATUS, SnapshotPage,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

const OTHER_PATHS: [&str; 7] = [
    PATH_SETTLE,
    PATH_SNAPSHOT,
    PATH_READY,
    PATH_HEARTBEAT,
    PATH_JOBS,
    PATH_STATUS,
    PATH_METRICS,
];
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

pub struct Routes {
    inbox: Inbox,
    ready: Arc<AtomicBool>,
}

impl Routes {
    pub fn new(inbox: Inbox, ready: Arc<AtomicBool>) -> Routes {
        Routes { inbox, ready }
    }

    fn health(&self) -> Answer {
        if self.ready.load(Ordering::Relaxed) {
            Answer::new(200, b"{}".to_vec())
        } else {
            Answer::busy("not ready", 1)
        }
    }

    fn ask_for_user(&self, what: UserAction, responder: Responder) {
        let received = Instant::now();
        let command = |ticket| {
            Command::User(UserRequest {
                ticket,
                action: what,
                forwarded: false,
                tried: Vec::new(),
                received,
            })
        };
        self.inbox.ask(command, Reply::Public(responder));
    }

    fn submit(&self, body: &[u8], responder: Responder) {
        match wire::parse_submission(body) {
            Ok(spec) => self.ask_for_user(UserAction::Submit(Box::new(spec)), responder),
            Err(e) => {
                let refusal = Answer::error(400, &e);
                // An accepted job's id gets 200 whatever else the body holds.
                match wire::submitted_id(body) {
                    Some(id) => self.ask_for_user(UserAction::Malformed(id, refusal), responder),
                    None => responder.answer(&refusal),
                }
            }
        }
    }

    fn offer(&self, body: &[u8], responder: Responder) {
        match serde_json::from_slice::<SnapshotPage>(body) {
            Ok(offer) => {
                let command = |ticket| Command::Offer {
                    ticket,
                    store: offer.store,
                    last: offer.last,
                    items: offer.items,
                };
                self.inbox.ask(command, Reply::Public(responder));
            }
            Err(e) => responder.answer(&Answer::error(400, &e.to_string())),
        }
    }

    fn figures(&self, responder: Responder) {
        let lanes = self.inbox.waiting();
        let command = |ticket| Command::Figures {
            ticket,
            queue_lengths: lanes,
        };
        self.inbox
            .ask(command, Reply::Typed(responder, METRICS_TYPE));
    }

    /// A path under that of jobs: an id, and what to do with it.
    fn job(&self, method: &str, rest: &str, responder: Responder) {
        let (id, action) = rest.split_once('/').unwrap_or((rest, ""));
        if !wire::is_job_id(id) {
            responder.answer(&Answer::error(404, "no such job"));
            return;
        }
        match (method, action) {
            ("GET", "") => self.ask_for_user(UserAction::Show(id.to_string()), responder),
            ("POST", PATH_CANCEL) => {
                self.ask_for_user(UserAction::Cancel(id.to_string()), responder)
            }
            ("GET" | "POST", _) => responder.answer(&Answer::error(404, "no such path")),
            _ => responder.answer(&Answer::error(405, "wrong method")),
        }
    }
}

/// The path without its query.
fn path_of(request: &Request) -> &str {
    request.path.split('?').next().unwrap_or_default()
}

impl Handler for Routes {
    fn class(&self, request: &Request) -> Class {
        match (request.method.as_str(), path_of(request)) {
            ("POST", PATH_HEARTBEAT) => Class::Worker,
            (_, PATH_READY) => Class::HealthCheck,
            _ => Class::Other,
        }
    }

    fn holds_back(&self) -> bool {
        self.inbox.renewal().is_late()
    }

    fn handle(&mut self, request: Request, responder: Responder) {
        let public = Reply::Public;
        match (request.method.as_str(), path_of(&request)) {
            ("GET", PATH_READY) => responder.answer(&self.health()),
            ("POST", PATH_HEARTBEAT) => self.inbox.heartbeat(request.body, responder),
            ("POST", PATH_JOBS) => self.submit(&request.body, responder),
            ("GET", PATH_STATUS) => self.inbox.ask(Command::Status, public(responder)),
            ("POST", PATH_SETTLE) => self.inbox.ask(Command::Settle, public(responder)),
            ("POST", PATH_SNAPSHOT) => self.offer(&request.body, responder),
            ("GET", PATH_METRICS) => self.figures(responder),
            (method, path) => {
                let job = (path.strip_prefix(PATH_JOBS)).and_then(|p| p.strip_prefix('/'));
                match job {
                    Some(rest) => self.job(method, rest, responder),
                    None if OTHER_PATHS.contains(&path) => {
                        responder.answer(&Answer::error(405, "wrong method"));
                    }
                    None => responder.answer(&Answer::error(404, "no such path")),
                }
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        self.inbox.give_up_late(now);
    }
}
