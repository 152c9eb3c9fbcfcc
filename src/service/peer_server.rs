//! Serves the other controllers. There are few connections, and each has its own blocking thread.

use super::inbox::Inbox;
use super::threads::spawn;
use crate::core::{Command, UserAction, UserRequest};
use crate::http::Response;
use crate::peer::cache_exchange;
use crate::peer::heartbeat_batch;
use crate::peer::{self, PeerAnswer, PeerRequest};
use crate::wire::JobStatus;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Maximum number of open connections; further ones are closed as soon as they are accepted.
pub const MAX_PEER_CONNECTIONS: usize = 32;
/// Time after which a connection without requests is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failure to accept a connection, for example for lack of sockets.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Starts the thread that accepts connections of the other controllers until the process ends.
pub fn start(listener: TcpListener, inbox: Inbox) -> io::Result<()> {
    spawn("peer-listener", move || {
        accept_connections(&listener, &inbox)
    })
    .map(drop)
}

/// Permit for one open connection, returned when it is dropped.
struct ConnectionPermit(Arc<AtomicUsize>);

impl ConnectionPermit {
    /// Returns a permit; `None` if the maximum number of connections is open.
    fn acquire(open: &Arc<AtomicUsize>) -> Option<ConnectionPermit> {
        let permit = ConnectionPermit(open.clone());
        (open.fetch_add(1, Ordering::Relaxed) < MAX_PEER_CONNECTIONS).then_some(permit)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn accept_connections(listener: &TcpListener, inbox: &Inbox) {
    let open = Arc::new(AtomicUsize::new(0));
    let mut spawn_failure_logged = false;
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::debug!(%error, "peer connection not accepted");
                std::thread::sleep(ACCEPT_RETRY);
                continue;
            }
        };
        let Some(permit) = ConnectionPermit::acquire(&open) else {
            continue;
        };
        let inbox = inbox.clone();
        let spawned = spawn("peer-conn", move || {
            let _permit = permit;
            if let Err(error) = serve(stream, &inbox)
                && error.kind() != io::ErrorKind::UnexpectedEof
            {
                tracing::debug!(%error, "peer connection failed");
            }
        });
        if let Err(error) = spawned
            && !std::mem::replace(&mut spawn_failure_logged, true)
        {
            tracing::warn!(%error, "no thread for a peer connection");
        }
    }
}

fn serve(mut stream: TcpStream, inbox: &Inbox) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    loop {
        let (kind, body) = peer::read_frame(&mut stream)?;
        // Without a response the connection is closed, which the peer treats as a missing response.
        let Some(frame) = handle(kind, &body, inbox)? else {
            return Ok(());
        };
        peer::write_frame(&mut stream, &frame)?;
    }
}

/// Returns the response frame to a request; `None` if there is no response.
fn handle(kind: u8, body: &[u8], inbox: &Inbox) -> io::Result<Option<Vec<u8>>> {
    match kind {
        heartbeat_batch::KIND_HEARTBEAT_BATCH => handle_heartbeat_batch(body, inbox),
        cache_exchange::KIND_CACHE_REQUEST => handle_cache_request(body, inbox),
        _ => handle_user_request(kind, body, inbox),
    }
}

fn handle_heartbeat_batch(body: &[u8], inbox: &Inbox) -> io::Result<Option<Vec<u8>>> {
    let batch = heartbeat_batch::decode_batch(body).ok_or(io::ErrorKind::InvalidData)?;
    let batch = Box::new(batch);
    let response = inbox.request_and_wait(|ticket| Command::HeartbeatBatch { ticket, batch });
    let is_frame = response.status == 200;
    Ok((is_frame && !response.expired()).then_some(response.body))
}

fn handle_cache_request(body: &[u8], inbox: &Inbox) -> io::Result<Option<Vec<u8>>> {
    let request = cache_exchange::decode_cache_request(body).ok_or(io::ErrorKind::InvalidData)?;
    let response = inbox.request_and_wait(|ticket| Command::CacheRequest { ticket, request });
    Ok((response.status == 200).then_some(response.body))
}

/// Handles a user's request that the peer forwards.
fn handle_user_request(kind: u8, body: &[u8], inbox: &Inbox) -> io::Result<Option<Vec<u8>>> {
    let request = peer::decode_request(kind, body).ok_or(io::ErrorKind::InvalidData)?;
    let action = match request {
        PeerRequest::Submit(spec) => UserAction::Submit(spec),
        PeerRequest::Show(id) => UserAction::Show(id),
        PeerRequest::Cancel(id) => UserAction::Cancel(id),
    };
    let received = Instant::now();
    let response = inbox.request_and_wait(|ticket| {
        Command::User(UserRequest {
            ticket,
            forwarded: true,
            tried: Vec::new(),
            received,
            action,
        })
    });
    Ok((!response.expired()).then(|| encode_response(&response)))
}

fn encode_response(response: &Response) -> Vec<u8> {
    let status: Option<JobStatus> = serde_json::from_slice(&response.body).ok();
    peer::encode_answer(&PeerAnswer {
        status: response.status,
        state: status.as_ref().map(|job| job.state),
        retry_after: response.retry_after,
        done: status.as_ref().and_then(|job| job.done),
        running: status.as_ref().and_then(|job| job.running),
    })
}
