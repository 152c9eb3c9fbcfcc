//! Helpers for the threads of the service: locking, spawning, and a thread pool.

use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{Builder, JoinHandle};

/// Stack size of a thread; small because there are many threads and little memory.
const STACK_BYTES: usize = 192 * 1024;

/// Locks a mutex, ignoring poisoning. The data behind the service's mutexes is consistent after each
/// statement, so a thread that panics while it holds the lock leaves no partial update.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a named thread with a small stack.
pub(super) fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new()
        .name(name.into())
        .stack_size(STACK_BYTES)
        .spawn(run)
}

/// Threads that process one shared queue of requests of type `T`.
///
/// Dropping the pool closes the queue, waits until the threads have processed the remaining requests,
/// and joins the threads.
pub(super) struct ThreadPool<T> {
    /// `None` only while the pool is being dropped.
    queue: Option<Sender<T>>,
    threads: Vec<JoinHandle<()>>,
}

impl<T: Send + 'static> ThreadPool<T> {
    /// Starts `threads` threads. `make_worker` is called once for each, so that each thread can have its
    /// own connection.
    pub(super) fn start<W>(
        name: &str,
        threads: usize,
        make_worker: impl Fn() -> W,
    ) -> io::Result<ThreadPool<T>>
    where
        W: FnMut(T) + Send + 'static,
    {
        let (sender, receiver) = channel::<T>();
        let receiver = Arc::new(Mutex::new(receiver));
        let mut pool = ThreadPool {
            queue: Some(sender),
            threads: Vec::with_capacity(threads),
        };
        for _ in 0..threads {
            let (receiver, worker) = (receiver.clone(), make_worker());
            let thread = spawn(name, move || process_queue(&receiver, worker))?;
            pool.threads.push(thread);
        }
        Ok(pool)
    }

    /// Queues a request. The queue is unbounded, because its sender limits the number of outstanding
    /// requests.
    pub(super) fn send(&self, request: T) {
        if let Some(queue) = &self.queue {
            // Sending fails only if all threads of the pool have panicked.
            let _ = queue.send(request);
        }
    }
}

impl<T> Drop for ThreadPool<T> {
    fn drop(&mut self) {
        drop(self.queue.take());
        for thread in self.threads.drain(..) {
            // The message of a panic has already been printed.
            let _ = thread.join();
        }
    }
}

fn process_queue<T>(requests: &Mutex<Receiver<T>>, mut worker: impl FnMut(T)) {
    loop {
        // The lock is held while one thread waits for the next request, not while it processes one.
        let next = lock(requests).recv();
        match next {
            Ok(request) => worker(request),
            Err(_) => return,
        }
    }
}
