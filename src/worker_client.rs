//! The client of a worker's own address: direct commands.

use crate::http::{CallError, Client};
use crate::wire::{DirectCommands, Heartbeat, PATH_COMMANDS, to_json};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Threads that make direct calls, and so how many of them are made at a time.
pub const CALL_THREADS: usize = 24;
const CONNECT: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Clone, Debug)]
pub enum DirectRequest {
    Commands(DirectCommands),
    /// Asks for a report; with a token, shows it to the worker at once.
    Status {
        token: u64,
    },
}

#[derive(Clone, Debug)]
pub enum DirectOutcome {
    /// The worker's report after the commands; `executed` is false if it refused them all.
    Heartbeat {
        heartbeat: Box<Heartbeat>,
        executed: bool,
    },
    /// The request never left, so nothing will come of it.
    NotSent(String),
    /// The commands may have been executed, or may be at any later time.
    Unknown(String),
}

fn parse(status: u16, body: &[u8]) -> DirectOutcome {
    match (status, serde_json::from_slice::<Heartbeat>(body)) {
        (200 | 409, Ok(heartbeat)) => DirectOutcome::Heartbeat {
            heartbeat: Box::new(heartbeat),
            executed: status == 200,
        },
        (400, _) => DirectOutcome::NotSent("refused as malformed".into()),
        (s, Err(e)) => DirectOutcome::Unknown(format!("status {s}: {e}")),
        (s, _) => DirectOutcome::Unknown(format!("status {s}")),
    }
}

fn failed(e: CallError) -> DirectOutcome {
    match e {
        CallError::NotSent(e) => DirectOutcome::NotSent(e),
        CallError::Unknown(e) => DirectOutcome::Unknown(e),
    }
}

/// Sends one request to a worker on a connection of its own.
pub fn perform(addr: SocketAddrV4, request: &DirectRequest) -> DirectOutcome {
    let mut http = Client::new(addr, CONNECT);
    match request {
        DirectRequest::Commands(body) => command(&mut http, body),
        DirectRequest::Status { token } => {
            // An empty list of commands has no effect but the token's. Most workers are in their
            // first session; one that is not answers with its report, which says which it is in.
            let show = |incarnation| DirectCommands {
                fencing_token: *token,
                incarnation: incarnation,
                commands: Vec::new(),
            };
            match command(&mut http, &show(1)) {
                DirectOutcome::Heartbeat {
                    heartbeat,
                    executed,
                } if !executed && heartbeat.incarnation > 1 => {
                    command(&mut http, &show(heartbeat.incarnation))
                }
                other => other,
            }
        }
    }
}

fn command(http: &mut Client, body: &DirectCommands) -> DirectOutcome {
    match http.call("POST", PATH_COMMANDS, &to_json(body), TIMEOUT, false) {
        Ok((status, answer)) => parse(status, &answer),
        Err(e) => failed(e),
    }
}
