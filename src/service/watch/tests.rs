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

fn unlimited() -> SharedRateLimiter {
    SharedRateLimiter::new(1e6)
}

/// Returns the number of ended jobs in the first list that a watch delivers, if it does before `deadline`.
fn jobs_listed(inbox: &Inbox, deadline: Instant) -> Option<usize> {
    while Instant::now() < deadline {
        for command in inbox.next_commands(Duration::from_millis(100)) {
            if let Command::StoreListed { list, .. } = command {
                let mut cache = crate::core::StoreCache::default();
                cache.reset(list, 1);
                return Some(cache.ended_jobs.len());
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
        let share = |part: f64| SharedRateLimiter::new(STORE_RPS / CONTROLLERS as f64 * part);
        StoreWatch::new(addr, &share(0.5), share(0.3), inbox, usize::MAX)
            .restart()
            .unwrap();
    }
    let deadline = Instant::now() + Duration::from_secs(20);
    for inbox in &inboxes {
        assert_eq!(jobs_listed(inbox, deadline), Some(jobs));
    }
    assert_eq!(*lock(&refused), 0, "the lists stay within their share");
}

/// Guards against watches that use up the rate limit of the state service: each change was fetched at once by every
/// controller, and renewals of leases could be refused.
#[test]
fn watch_of_a_store_that_always_changes_stays_within_its_share() {
    const WATCHES_PER_SECOND: f64 = 10.0;
    const OBSERVED: Duration = Duration::from_millis(1500);
    let store = Mutex::new(FakeStore::with_ended_jobs(1, PAGE_ITEMS));
    let watches = Arc::new(Mutex::new(0));
    let counted = watches.clone();
    let addr = serve_store(move |request| {
        let mut store = lock(&store);
        if request.path.starts_with("/changes") {
            *lock(&counted) += 1;
            store.revision += 1;
        }
        store.respond(request)
    });
    let inbox = Inbox::new(Duration::from_secs(60));
    let share = SharedRateLimiter::new(WATCHES_PER_SECOND);
    let begun = Instant::now();
    StoreWatch::new(addr, &unlimited(), share, &inbox, usize::MAX)
        .restart()
        .unwrap();
    std::thread::sleep(OBSERVED);
    let count = *lock(&watches);
    // A burst of a second's worth, and the watch that is being sent.
    let allowed = WATCHES_PER_SECOND * (begun.elapsed().as_secs_f64() + 1.0) + 1.0;
    assert!(count >= 5, "{count}");
    assert!(f64::from(count) <= allowed, "{count}");
}
