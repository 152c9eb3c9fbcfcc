//! Holds processes to their share of the processor, as DEPLOY describes: "A process that uses more than its share falls
//! behind. Its timers fire late, and its answers wait."

use crate::platform::signal;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;
/// Use below the share is saved up for at most this many seconds of use.
const SAVED_S: f64 = 0.1;

/// What a process has used of the processor, in seconds, by the kernel's account of its threads.
fn used(pid: u32) -> Option<f64> {
    let mut nanos = 0u64;
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))
        .ok()?
        .flatten()
    {
        let stat = std::fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        nanos += stat
            .split_whitespace()
            .next()
            .and_then(|n| n.parse::<u64>().ok())
            .unwrap_or(0);
    }
    Some(nanos as f64 / 1e9)
}

/// Account of one process: what it used, and for how long it was held back, in seconds.
#[derive(Clone, Copy, Default)]
pub struct Account {
    pub used_s: f64,
    pub held_s: f64,
}

/// Stops a process that has used more than its share of a core, and continues it as soon as its share has caught up.
pub struct Governor {
    accounts: Arc<Mutex<Vec<Account>>>,
    over: Arc<Mutex<bool>>,
}

impl Governor {
    pub fn start(pids: Vec<u32>, share: f64) -> Governor {
        let accounts = Arc::new(Mutex::new(vec![Account::default(); pids.len()]));
        let over = Arc::new(Mutex::new(false));
        for (n, pid) in pids.into_iter().enumerate() {
            let (accounts, over) = (accounts.clone(), over.clone());
            std::thread::spawn(move || {
                let (mut last, mut at) = (used(pid).unwrap_or(0.0), Instant::now());
                let (mut debt, mut held) = (0.0f64, false);
                loop {
                    std::thread::sleep(Duration::from_millis(4));
                    // The lock is held while a signal is sent: none follows `release`.
                    let over = over.lock().unwrap();
                    let Some(now_used) = used(pid).filter(|_| !*over) else {
                        return;
                    };
                    let passed = at.elapsed().as_secs_f64();
                    at = Instant::now();
                    debt = (debt + now_used - last - share * passed).max(-SAVED_S);
                    let mut accounts = accounts.lock().unwrap();
                    accounts[n].used_s += now_used - last;
                    if held {
                        accounts[n].held_s += passed;
                    }
                    last = now_used;
                    if held != (debt > 0.0) {
                        held = !held;
                        signal(pid, if held { SIGSTOP } else { SIGCONT });
                    }
                }
            });
        }
        Governor { accounts, over }
    }

    pub fn accounts(&self) -> Vec<Account> {
        self.accounts.lock().unwrap().clone()
    }

    /// Sends no more signals.
    pub fn release(&self) {
        *self.over.lock().unwrap() = true;
    }
}
