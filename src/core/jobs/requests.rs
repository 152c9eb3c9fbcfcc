//! Users' requests to a controller. Plain data.

use crate::core::Ticket;
use crate::http::Response;
use crate::job::JobSpec;
use crate::peer::PeerRequest;
use std::time::Instant;

/// A user's request, received here or forwarded by another controller.
#[derive(Debug)]
pub struct UserRequest {
    /// Ticket by which the request is answered.
    pub ticket: Ticket,
    /// Requested action.
    pub action: UserAction,
    /// Whether another controller forwarded the request; it is not forwarded again.
    pub forwarded: bool,
    /// Peers to which it has been forwarded already.
    pub tried: Vec<String>,
    /// When it arrived at this controller.
    pub received: Instant,
}

/// Action that a user requests.
#[derive(Debug)]
pub enum UserAction {
    /// Accept a job.
    Submit(Box<JobSpec>),
    /// Accept a job of which only the id can be parsed; with the response for the case that no job has this id.
    Malformed(String, Response),
    /// Return the state of the job with this id.
    Show(String),
    /// Cancel the job with this id.
    Cancel(String),
}

impl UserAction {
    /// Returns the id of the job that the request is about.
    pub fn job_id(&self) -> &str {
        match self {
            UserAction::Submit(spec) => &spec.id,
            UserAction::Malformed(id, _) | UserAction::Show(id) | UserAction::Cancel(id) => id,
        }
    }

    /// Returns the request that asks a peer for the same action. A malformed submission becomes a query.
    pub fn peer_request(&self) -> PeerRequest {
        match self {
            UserAction::Submit(spec) => PeerRequest::Submit(spec.clone()),
            UserAction::Cancel(id) => PeerRequest::Cancel(id.clone()),
            UserAction::Show(id) | UserAction::Malformed(id, _) => PeerRequest::Show(id.clone()),
        }
    }
}
