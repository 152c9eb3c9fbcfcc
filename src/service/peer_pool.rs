//! Thread pools for requests to the other controllers: forwarded user requests, requests for pages of
//! a peer's cached copy of the store, and batches of heartbeats for the leader.

use super::inbox::Inbox;
use super::threads::ThreadPool;
use crate::core::{Command, Ticket};
use crate::peer::cache_exchange::{self, CachePage, CacheRequest};
use crate::peer::heartbeat_batch;
use crate::peer::{self, PeerRequest};
use crate::settings::Peer;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Number of threads for each peer.
pub(super) const PEER_THREADS: usize = 3;
/// Timeout of a forwarded request: a submission should be accepted well within 300 ms even if the leader
/// has just failed.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of a batch of heartbeats; much shorter than the leader's lease, so that a delegation grant stays
/// valid when one batch is lost.
const HEARTBEAT_BATCH_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout of a request for a page of the cached copy. Building a page takes a while, and only the request
/// for the next page waits for it.
const CACHE_REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// One request to a peer.
pub(super) enum PeerCall {
    /// Forwards a user's request.
    Forward {
        ticket: Ticket,
        request: PeerRequest,
    },
    /// Requests a page of the peer's cached copy of the store.
    CachePage(CacheRequest),
}

/// A batch of heartbeats for the leader.
pub(super) struct HeartbeatBatchCall {
    pub(super) peer: String,
    pub(super) number: u64,
    pub(super) frame: Vec<u8>,
}

/// Starts one pool for each peer; the key is the peer's name.
pub(super) fn start(
    peers: &[Peer],
    inbox: &Inbox,
) -> io::Result<BTreeMap<String, ThreadPool<PeerCall>>> {
    let mut pools = BTreeMap::new();
    for peer in peers {
        let pool = ThreadPool::start("peer", PEER_THREADS, || {
            let (inbox, name) = (inbox.clone(), peer.name.clone());
            let mut connection = PeerConnection::new(peer.addr);
            move |call| inbox.put(perform(&mut connection, &name, call))
        })?;
        pools.insert(peer.name.clone(), pool);
    }
    Ok(pools)
}

/// Starts the thread that sends batches of heartbeats, one at a time.
pub(super) fn start_heartbeat_batches(
    peers: &[Peer],
    inbox: &Inbox,
) -> io::Result<ThreadPool<HeartbeatBatchCall>> {
    ThreadPool::start("heartbeat-batch", 1, || {
        let inbox = inbox.clone();
        let mut connections: BTreeMap<String, PeerConnection> = (peers.iter())
            .map(|peer| (peer.name.clone(), PeerConnection::new(peer.addr)))
            .collect();
        move |call: HeartbeatBatchCall| inbox.put(send_batch(&mut connections, &call))
    })
}

fn perform(connection: &mut PeerConnection, peer: &str, call: PeerCall) -> Command {
    match call {
        PeerCall::Forward { ticket, request } => {
            let frame = peer::encode_request(&request);
            let response = connection.exchange(&frame, FORWARD_TIMEOUT, peer::decode_answer);
            Command::ForwardResponse {
                ticket,
                peer: peer.to_string(),
                response: logged(peer, response),
            }
        }
        PeerCall::CachePage(request) => {
            let frame = cache_exchange::encode_cache_request(&request);
            let response = connection.exchange(&frame, CACHE_REQUEST_TIMEOUT, decode_cache_page);
            Command::CachePage {
                peer: peer.to_string(),
                request,
                response: logged(peer, response).map(Box::new),
            }
        }
    }
}

fn decode_cache_page(kind: u8, body: &[u8]) -> Option<CachePage> {
    (kind == cache_exchange::KIND_CACHE_PAGE).then(|| cache_exchange::decode_cache_page(body))?
}

fn send_batch(
    connections: &mut BTreeMap<String, PeerConnection>,
    call: &HeartbeatBatchCall,
) -> Command {
    // Batches go only to the leader; connections to earlier leaders are no longer needed.
    for (name, connection) in connections.iter_mut() {
        if *name != call.peer {
            connection.close();
        }
    }
    let response = match connections.get_mut(&call.peer) {
        Some(connection) => {
            connection.exchange(&call.frame, HEARTBEAT_BATCH_TIMEOUT, |kind, body: &[u8]| {
                (kind == heartbeat_batch::KIND_HEARTBEAT_BATCH_RESPONSE)
                    .then(|| heartbeat_batch::decode_batch_response(body))?
            })
        }
        None => Err(io::ErrorKind::NotFound.into()),
    };
    Command::HeartbeatBatchResponse {
        number: call.number,
        response: logged(&call.peer, response).map(Box::new),
    }
}

/// Logs the error of a failed request; `core` learns only that there is no response.
fn logged<T>(peer: &str, response: io::Result<T>) -> Option<T> {
    response
        .inspect_err(|error| tracing::debug!(peer, %error, "peer request failed"))
        .ok()
}

/// Connection to one peer that stays open between requests.
struct PeerConnection {
    addr: SocketAddrV4,
    idle: Option<TcpStream>,
}

impl PeerConnection {
    fn new(addr: SocketAddrV4) -> PeerConnection {
        PeerConnection { addr, idle: None }
    }

    fn close(&mut self) {
        self.idle = None;
    }

    /// Sends a frame and reads the response. All requests between controllers are idempotent, so a request
    /// that fails early on a reused connection is repeated once on a new one.
    fn exchange<T>(
        &mut self,
        frame: &[u8],
        timeout: Duration,
        decode: impl Fn(u8, &[u8]) -> Option<T>,
    ) -> io::Result<T> {
        if let Some(stream) = self.idle.take() {
            let started = Instant::now();
            match self.exchange_on(stream, frame, timeout, &decode) {
                Err(_) if started.elapsed() <= timeout / 2 => {}
                result => return result,
            }
        }
        let stream = TcpStream::connect_timeout(&SocketAddr::V4(self.addr), CONNECT_TIMEOUT)?;
        let _ = stream.set_nodelay(true);
        self.exchange_on(stream, frame, timeout, &decode)
    }

    /// Sends a frame on `stream` and reads the response. Keeps the connection only on success.
    fn exchange_on<T>(
        &mut self,
        mut stream: TcpStream,
        frame: &[u8],
        timeout: Duration,
        decode: &impl Fn(u8, &[u8]) -> Option<T>,
    ) -> io::Result<T> {
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        peer::write_frame(&mut stream, frame)?;
        let (kind, body) = peer::read_frame(&mut stream)?;
        let response = decode(kind, &body).ok_or(io::ErrorKind::InvalidData)?;
        self.idle = Some(stream);
        Ok(response)
    }
}
