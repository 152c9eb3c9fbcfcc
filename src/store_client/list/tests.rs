use super::*;
use crate::http::{self, Request, Response};
use crate::wire::{Item, to_json};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::sync::{Arc, Mutex};

/// Key of the identity of the store in these tests.
const IDENTITY_KEY: &str = "burlusher/i/first";

impl ListedKeys for Vec<Item> {
    fn add_page(&mut self, items: &[RawItem<'_>]) {
        self.extend(items.iter().map(|item| item.parse().unwrap()));
    }
}

fn query<'a>(path: &'a str, name: &str) -> &'a str {
    let (_, query) = path.split_once('?').unwrap_or_default();
    let mut parameters = query.split('&').filter_map(|p| p.split_once('='));
    let found = parameters.find(|(parameter, _)| *parameter == name);
    found.map_or("", |(_, value)| value)
}

fn respond(status: u16, body: &Value) -> Response {
    Response::new(status, to_json(body))
}

/// Keys of a state service in memory, which responds to lists, reads of single keys and watches.
pub(crate) struct FakeStore {
    pub items: Vec<Item>,
    pub revision: u64,
    pub page_items: usize,
}

impl FakeStore {
    /// Returns a store with an identity and `jobs` ended jobs.
    pub(crate) fn with_ended_jobs(jobs: usize, page_items: usize) -> FakeStore {
        let item = |key: String, value: Value, version: usize| Item {
            key,
            value,
            version: version as u64,
            lease: None,
        };
        let identity = item(IDENTITY_KEY.into(), json!({"format": 1}), 1);
        let job = |n| {
            item(
                format!("burlusher/j/wk-{n:06}"),
                json!({"end": "Done"}),
                n + 2,
            )
        };
        FakeStore {
            items: std::iter::once(identity)
                .chain((0..jobs).map(job))
                .collect(),
            revision: jobs as u64 + 2,
            page_items,
        }
    }

    pub(crate) fn respond(&self, request: &Request) -> Response {
        let path = &request.path;
        if path.starts_with("/kv?") {
            return self.page(query(path, "since"));
        }
        match path.strip_prefix("/kv/") {
            Some(key) => self.get(key),
            None => respond(200, &json!({"ledger": self.revision, "news": []})),
        }
    }

    fn page(&self, since: &str) -> Response {
        let begin = self
            .items
            .partition_point(|item| item.key.as_str() <= since);
        let end = self.items.len().min(begin + self.page_items);
        let more = end < self.items.len();
        let items = &self.items[begin..end];
        respond(
            200,
            &json!({"items": items, "more": more, "ledger": self.revision}),
        )
    }

    fn get(&self, key: &str) -> Response {
        match self.items.iter().find(|item| item.key == key) {
            Some(item) => respond(200, &json!(item)),
            None => respond(404, &json!({"ledger": self.revision})),
        }
    }
}

/// Serves requests on loopback with `handle`.
pub(crate) fn serve_store(
    handle: impl Fn(&Request) -> Response + Send + Sync + 'static,
) -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let SocketAddr::V4(addr) = listener.local_addr().unwrap() else {
        unreachable!("bound to IPv4");
    };
    let respond = move |request: Request| Some(handle(&request));
    std::thread::spawn(move || http::serve(listener, 16, Arc::new(respond)));
    addr
}

/// Reads a list with at most `requests` requests. Also returns the number of those that failed.
fn read_list(addr: SocketAddrV4, requests: usize) -> (Option<Listing<Vec<Item>>>, usize) {
    let mut client = StoreClient::new(addr);
    let mut reader = ListReader::new(Vec::new());
    let mut failed = 0;
    for _ in 0..requests {
        match reader.read_next(&mut client) {
            Ok(Some(listing)) => return (Some(listing), failed),
            Ok(None) => {}
            Err(_) => failed += 1,
        }
    }
    (None, failed)
}

/// Guards against lists that never end: each refused page made the list begin again, so that a list with more pages
/// than the state service allows in a row was never complete.
#[test]
fn refused_pages_do_not_make_a_list_begin_again() {
    let store = FakeStore::with_ended_jobs(95, 5);
    let expected = store.items.len();
    let served = Mutex::new(0);
    let addr = serve_store(move |request| {
        let mut served = served.lock().unwrap();
        *served += 1;
        match *served % 4 {
            0 => respond(429, &json!({})),
            1 => respond(503, &json!({})),
            _ => store.respond(request),
        }
    });
    // 20 pages and the check of the identity; half of the requests fail.
    let (listing, failed) = read_list(addr, 44);
    let listing = listing.expect("the list is complete");
    assert_eq!((listing.keys.len(), listing.revision), (expected, 97));
    assert!(failed >= 20, "{failed}");
    assert!(listing.keys.is_sorted_by(|a, b| a.key < b.key));
}

/// Serves `before`, and `after` from request number `change_at` on.
fn serve_replaced_store(before: FakeStore, after: FakeStore, change_at: usize) -> SocketAddrV4 {
    let served = Mutex::new(0);
    serve_store(move |request| {
        let mut served = served.lock().unwrap();
        *served += 1;
        let store = if *served < change_at { &before } else { &after };
        store.respond(request)
    })
}

#[test]
fn pages_of_a_store_before_and_after_a_loss_of_data_are_not_combined() {
    // The store is restored to an earlier revision, when jobs that it then lacks have been listed.
    let restored = FakeStore::with_ended_jobs(50, 10);
    let expected = restored.items.len();
    let addr = serve_replaced_store(FakeStore::with_ended_jobs(90, 10), restored, 8);
    let (listing, failed) = read_list(addr, 40);
    assert_eq!((listing.unwrap().keys.len(), failed), (expected, 0));
    // The store is new, and its revision is higher than before by the time of the next page.
    let mut other = FakeStore::with_ended_jobs(20, 10);
    other.items[0].key = "burlusher/i/second".into();
    other.revision = 1000;
    let expected = other.items.len();
    let addr = serve_replaced_store(FakeStore::with_ended_jobs(90, 10), other, 5);
    let (listing, failed) = read_list(addr, 40);
    let listing = listing.unwrap();
    assert_eq!((listing.keys.len(), failed), (expected, 0));
    assert_eq!(listing.keys[0].key, "burlusher/i/second");
}
