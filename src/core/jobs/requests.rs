//! What users ask of a controller, as data.

use crate::core::Ticket;
use crate::http::Response;
use crate::job::JobSpec;
use crate::peer::PeerRequest;
use std::time::Instant;

/// A user's request, received here or forwarded by another controller.
#[derive(Debug)]
pub struct UserRequest {
    /// Whom to answer.
    pub ticket: Ticket,
    /// What is asked for.
    pub action: UserAction,
    /// It was forwarded by another controller, and is not forwarded again.
    pub forwarded: bool,
    /// Peers to which it has been forwarded already.
    pub tried: Vec<String>,
    /// When it arrived at this controller.
    pub received: Instant,
}

/// What a user's request asks for.
#[derive(Debug)]
pub enum UserAction {
    /// Accept a job.
    Submit(Box<JobSpec>),
    /// Accept a job that cannot be read, though its id can; with the answer if it is not known.
    Malformed(String, Response),
    /// Tell the state of the job with this id.
    Show(String),
    /// Cancel the job with this id.
    Cancel(String),
}

impl UserAction {
    /// The id of the job that the request is about.
    pub fn job_id(&self) -> &str {
        match self {
            UserAction::Submit(spec) => &spec.id,
            UserAction::Malformed(id, _) | UserAction::Show(id) | UserAction::Cancel(id) => id,
        }
    }

    /// The request that asks a peer for the same.
    pub fn peer_request(&self) -> PeerRequest {
        match self {
            UserAction::Submit(spec) => PeerRequest::Submit(spec.clone()),
            UserAction::Cancel(id) => PeerRequest::Cancel(id.clone()),
            UserAction::Show(id) | UserAction::Malformed(id, _) => PeerRequest::Show(id.clone()),
        }
    }
}
