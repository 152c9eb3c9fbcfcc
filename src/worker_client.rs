//! Client of a worker's address: commands that the leader sends without waiting for the worker's next
//! heartbeat.

use crate::http::{CallError, Client, ClientResponse};
use crate::wire::{DirectCommands, Heartbeat, PATH_COMMANDS, to_json};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Number of threads that make direct calls, and so the maximum number of concurrent calls.
pub const CALL_THREADS: usize = 24;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_millis(1500);
/// The incarnation that most workers are in.
const FIRST_INCARNATION: u64 = 1;

/// A request from `core` to a worker.
#[derive(Clone, Debug)]
pub enum DirectRequest {
    /// Sends commands for tasks.
    Commands(DirectCommands),
    /// Requests a heartbeat, and makes the worker record a fencing token.
    Status {
        /// Fencing token of the leader.
        token: u64,
    },
}

/// Outcome of a request.
#[derive(Clone, Debug)]
pub enum DirectOutcome {
    /// The worker responded.
    Heartbeat {
        /// Status of the worker after the commands.
        heartbeat: Box<Heartbeat>,
        /// Whether the commands were executed; false if the worker refused all of them.
        executed: bool,
    },
    /// The request was not sent or was rejected as malformed, so it has no effect.
    NotSent(String),
    /// The commands may have been executed, or may be executed at any later time.
    Unknown(String),
}

impl From<CallError> for DirectOutcome {
    fn from(error: CallError) -> DirectOutcome {
        match error {
            CallError::NotSent(text) => DirectOutcome::NotSent(text),
            CallError::Unknown(text) => DirectOutcome::Unknown(text),
        }
    }
}

/// Sends one request to a worker on a new connection.
pub fn perform(addr: SocketAddrV4, request: &DirectRequest) -> DirectOutcome {
    let mut http = Client::new(addr, CONNECT_TIMEOUT);
    match request {
        DirectRequest::Commands(commands) => send(&mut http, commands),
        DirectRequest::Status { token } => request_status(&mut http, *token),
    }
}

/// Sends an empty list of commands, whose only effect is that the worker records the token. A worker in
/// another incarnation refuses the list with a heartbeat that contains its incarnation; the request is
/// then repeated with that one.
fn request_status(http: &mut Client, fencing_token: u64) -> DirectOutcome {
    let no_commands = |incarnation| DirectCommands {
        fencing_token,
        incarnation,
        commands: Vec::new(),
    };
    match send(http, &no_commands(FIRST_INCARNATION)) {
        DirectOutcome::Heartbeat {
            heartbeat,
            executed: false,
        } if heartbeat.incarnation > FIRST_INCARNATION => {
            send(http, &no_commands(heartbeat.incarnation))
        }
        outcome => outcome,
    }
}

fn send(http: &mut Client, commands: &DirectCommands) -> DirectOutcome {
    match http.call("POST", PATH_COMMANDS, &to_json(commands), TIMEOUT) {
        Ok(response) => outcome_from_response(&response),
        Err(error) => DirectOutcome::from(error),
    }
}

fn outcome_from_response(response: &ClientResponse) -> DirectOutcome {
    let heartbeat = serde_json::from_slice::<Heartbeat>(&response.body);
    match (response.status, heartbeat) {
        (status @ (200 | 409), Ok(heartbeat)) => DirectOutcome::Heartbeat {
            heartbeat: Box::new(heartbeat),
            executed: status == 200,
        },
        (400, _) => DirectOutcome::NotSent("rejected as malformed".into()),
        (status, Err(error)) => DirectOutcome::Unknown(format!("status {status}: {error}")),
        (status, Ok(_)) => DirectOutcome::Unknown(format!("status {status}")),
    }
}
