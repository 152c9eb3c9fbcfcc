use super::*;
use crate::http::Response;
use crate::rate_limiter::RateLimiter;
use crate::store_client::list_tests::{FakeStore, serve_store};
use std::time::Instant;

/// Requests a second that the state service grants to all controllers.
const STORE_RPS: f64 = 60.0;
const CONTROLLERS: usize = 3;
const PAGES: usize = 40;
const PAGE_ITEMS: usize = 5;

/// Returns the number of ended jobs in the first list that a watch delivers, if it does before `deadline`.
fn jobs_listed(inbox: &Inbox, deadline: Instant) -> Option<usize> {
    while Instant::now() < deadline {
        for command in inbox.next_commands(Duration::from_millis(100)) {
            if let Command::StoreListed { list, .. } = command {
                let mut cache = crate::core::StoreCache::default();
                cache.reset(list, 1);
                return Some(cache.finished.len());
            }
        }
    }
    None
}

/// Guards against controllers that are never ready after a crash of all of them: their lists of a store with many keys
/// exceeded its rate limit together, and each refusal made a list begin again.
#[test]
fn all_controllers_read_a_large_store_at_once_within_its_rate_limit() {
    let jobs = PAGES * PAGE_ITEMS - 1;
    let store = FakeStore::with_ended_jobs(jobs, PAGE_ITEMS);
    let limit = Mutex::new(RateLimiter::new(STORE_RPS, Instant::now()));
    let refused = Arc::new(Mutex::new(0));
    let refused_by_store = refused.clone();
    let addr = serve_store(move |request| {
        if !lock(&limit).try_take(Instant::now()) {
            *lock(&refused_by_store) += 1;
            return Response::new(429, b"{}".to_vec());
        }
        if request.path.starts_with("/changes") {
            std::thread::sleep(WATCH_WAIT);
        }
        store.respond(request)
    });
    let inboxes: Vec<Inbox> = (0..CONTROLLERS)
        .map(|_| Inbox::new(Duration::from_secs(60)))
        .collect();
    for inbox in &inboxes {
        let share = SharedRateLimiter::new(STORE_RPS / CONTROLLERS as f64 / 2.0);
        StoreWatch::new(addr, &share, inbox).restart().unwrap();
    }
    let deadline = Instant::now() + Duration::from_secs(20);
    for inbox in &inboxes {
        assert_eq!(jobs_listed(inbox, deadline), Some(jobs));
    }
    assert_eq!(*lock(&refused), 0, "the lists stay within their share");
}
