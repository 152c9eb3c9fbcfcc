//! A token bucket, which keeps this process within its part of a rate limit that it shares with
//! others.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A budget of calls that refills at a constant rate, up to a burst of one second's worth of calls.
pub struct RateLimiter {
    per_second: f64,
    burst: f64,
    /// Calls that may be made immediately, as of `updated`; negative while reserved calls wait.
    available: f64,
    updated: Instant,
}

impl RateLimiter {
    /// Returns a limiter with a full budget. The burst is `per_second` calls, and at least one.
    pub fn new(per_second: f64, now: Instant) -> RateLimiter {
        let burst = per_second.max(1.0);
        RateLimiter {
            per_second,
            burst,
            available: burst,
            updated: now,
        }
    }

    /// Returns how many calls may be made immediately.
    pub fn available(&mut self, now: Instant) -> f64 {
        let gained = now.saturating_duration_since(self.updated).as_secs_f64() * self.per_second;
        self.updated = self.updated.max(now);
        self.available = (self.available + gained).min(self.burst);
        self.available
    }

    /// Takes `calls` from the budget, which may become negative.
    pub fn spend(&mut self, calls: usize) {
        self.available -= calls as f64;
    }

    /// Takes one call from the budget if it may be made immediately; returns whether it may.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let allowed = self.available(now) >= 1.0;
        if allowed {
            self.spend(1);
        }
        allowed
    }

    /// Takes one call from the budget and returns how long to wait before making it.
    pub fn reserve(&mut self, now: Instant) -> Duration {
        self.available = self.available(now) - 1.0;
        if self.available >= 0.0 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(-self.available / self.per_second)
        }
    }
}

/// A budget of calls that several threads share.
#[derive(Clone)]
pub struct SharedRateLimiter(Arc<Mutex<RateLimiter>>);

impl SharedRateLimiter {
    /// Returns a limiter with a full budget of `per_second` calls.
    pub fn new(per_second: f64) -> SharedRateLimiter {
        let limiter = RateLimiter::new(per_second, Instant::now());
        SharedRateLimiter(Arc::new(Mutex::new(limiter)))
    }

    /// Takes one call from the budget if it may be made immediately; returns whether it may.
    pub fn try_take(&self) -> bool {
        self.lock().try_take(Instant::now())
    }

    /// Takes one call from the budget and sleeps until it may be made.
    pub fn wait(&self) {
        let wait = self.reserve();
        if !wait.is_zero() {
            std::thread::sleep(wait);
        }
    }

    fn reserve(&self) -> Duration {
        self.lock().reserve(Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, RateLimiter> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
