//! Serves the other controllers: few connections, each with a thread.

use super::inbox::Inbox;
use super::spawn;
use crate::core::{Command, UserAction, UserRequest};
use crate::peer::heartbeat_batch;
use crate::peer::memory_exchange;
use crate::peer::{self, PeerAnswer, PeerRequest};
use crate::wire::JobStatus;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

pub const MOST_PEER_CONNECTIONS: usize = 32;

pub fn serve_peers(listener: TcpListener, inbox: Inbox) -> io::Result<()> {
    let open = Arc::new(AtomicUsize::new(0));
    spawn("back", move || {
        let mut reported = false;
        loop {
            let stream = match listener.accept() {
                Ok((s, _)) => s,
                Err(e) => {
                    tracing::debug!("accept: {e}");
                    std::thread::sleep(Duration::from_millis(50));
                    continue;
                }
            };
            if open.fetch_add(1, Ordering::Relaxed) >= MOST_PEER_CONNECTIONS {
                open.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let (inbox, count) = (inbox.clone(), open.clone());
            let spawned = spawn("peerconn", move || {
                if let Err(e) = serve_peer(stream, &inbox)
                    && e.kind() != io::ErrorKind::UnexpectedEof
                {
                    tracing::debug!("a controller's connection: {e}");
                }
                count.fetch_sub(1, Ordering::Relaxed);
            });
            if let Err(e) = spawned {
                if !std::mem::replace(&mut reported, true) {
                    tracing::warn!("no thread for a controller's connection: {e}");
                }
                open.fetch_sub(1, Ordering::Relaxed);
            }
        }
    })
}

fn serve_peer(mut stream: TcpStream, inbox: &Inbox) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(Duration::from_secs(120)))?;
    stream.set_write_timeout(Some(Duration::from_secs(2)))?;
    loop {
        let (kind, body) = peer::read_frame(&mut stream)?;
        if kind == heartbeat_batch::KIND_HEARTBEAT_BATCH {
            let sync = heartbeat_batch::decode_sync(&body).ok_or(io::ErrorKind::InvalidData)?;
            let sync = Box::new(sync);
            let answer = inbox.ask_and_wait(|ticket| Command::HeartbeatBatch { ticket, sync });
            // Too late, or no frame at all: the asker counts it as no answer.
            if answer.expired() || answer.status != 200 {
                return Ok(());
            }
            peer::write_frame(&mut stream, &answer.body)?;
            continue;
        }
        if kind == memory_exchange::KIND_MEMORY_REQUEST {
            let recall = memory_exchange::decode_recall(&body).ok_or(io::ErrorKind::InvalidData)?;
            let answer = inbox.ask_and_wait(|ticket| Command::MemoryRequest { ticket, recall });
            if answer.status != 200 {
                return Ok(());
            }
            peer::write_frame(&mut stream, &answer.body)?;
            continue;
        }
        let Some(request) = peer::decode_request(kind, &body) else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let received = Instant::now();
        let answer = inbox.ask_and_wait(|ticket| {
            Command::User(UserRequest {
                ticket,
                forwarded: true,
                tried: Vec::new(),
                received,
                action: match request {
                    PeerRequest::Submit(spec) => UserAction::Submit(spec),
                    PeerRequest::Show(id) => UserAction::Show(id),
                    PeerRequest::Cancel(id) => UserAction::Cancel(id),
                },
            })
        });
        if answer.expired() {
            return Ok(());
        }
        let told: Option<JobStatus> = serde_json::from_slice(&answer.body).ok();
        let frame = peer::encode_answer(&PeerAnswer {
            status: answer.status,
            state: told.as_ref().map(|t| t.state),
            retry_after: answer.retry_after,
            done: told.as_ref().and_then(|t| t.done),
            running: told.as_ref().and_then(|t| t.running),
        });
        peer::write_frame(&mut stream, &frame)?;
    }
}
