//! Threads of the service and the locks they share.

use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{Builder, JoinHandle};

/// Small, as there are many threads and little memory.
const STACK_BYTES: usize = 192 * 1024;

/// Locks a mutex also after a thread panicked while it held it. What the service's mutexes guard
/// is consistent after each statement, so such a thread leaves nothing half done.
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

/// Threads that work through one queue of requests of type `T`.
///
/// The pool owns its threads: dropped, it closes the queue, and waits until the requests that are
/// still in it have been worked through.
pub(super) struct ThreadPool<T> {
    /// `None` only while the pool is dropped.
    queue: Option<Sender<T>>,
    threads: Vec<JoinHandle<()>>,
}

impl<T: Send + 'static> ThreadPool<T> {
    /// Starts `threads` threads; `make_worker` is called once for each, so that a thread can keep a
    /// connection of its own.
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

    /// Queues a request. There is no limit: the sender bounds the number of outstanding requests.
    pub(super) fn send(&self, request: T) {
        if let Some(queue) = &self.queue {
            // Fails only when all threads of the pool have panicked.
            let _ = queue.send(request);
        }
    }
}

impl<T> Drop for ThreadPool<T> {
    fn drop(&mut self) {
        drop(self.queue.take());
        for thread in self.threads.drain(..) {
            // A thread that panicked has printed why.
            let _ = thread.join();
        }
    }
}

fn process_queue<T>(requests: &Mutex<Receiver<T>>, mut worker: impl FnMut(T)) {
    loop {
        // The lock is held while one thread waits for the next request, not while it is worked on.
        let next = lock(requests).recv();
        match next {
            Ok(request) => worker(request),
            Err(_) => return,
        }
    }
}
