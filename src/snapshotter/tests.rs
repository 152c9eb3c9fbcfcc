use super::*;
use crate::http::Response;
use crate::store_client::list_tests::{FakeStore, serve_store};
use std::sync::Mutex;

/// Guards against snapshots that never begin: each refused page made the list of the store begin again.
#[test]
fn a_snapshot_continues_its_list_after_a_refused_page() {
    const JOBS: usize = 95;
    const PAGE_ITEMS: usize = 5;
    /// Each attempt ends with a refused request, after two others of the 21 that the list takes.
    const ATTEMPTS: usize = 11;
    let store = FakeStore::with_ended_jobs(JOBS, PAGE_ITEMS);
    let revision = store.revision;
    let served = Mutex::new(0);
    let addr = serve_store(move |request| {
        let mut served = served.lock().unwrap();
        *served += 1;
        if *served % 3 == 0 {
            return Response::new(429, b"{}".to_vec());
        }
        store.respond(request)
    });
    let dir = tempfile::tempdir().unwrap();
    let limiter = SharedRateLimiter::new(1e6);
    let mut snapshotter = Snapshotter::open(addr, limiter, dir.path()).unwrap();
    let snapshot = (0..ATTEMPTS).find_map(|_| snapshotter.take_snapshot().ok());
    assert_eq!(snapshot, Some(revision));
    let timeline = select_timeline(Archive::open(dir.path()).unwrap().list().unwrap());
    assert_eq!(
        summary(&timeline.unwrap().timeline.unwrap().image).ended,
        JOBS
    );
}
