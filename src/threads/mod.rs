//! Threads for work that may wait: as many as there is work under way, kept for a short time.

use std::{
    collections::VecDeque,
    fmt, io,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

/// Stack of a thread in bytes.
const STACK: usize = 512 * 1024;
/// Time after which a thread without work ends.
const REST: Duration = Duration::from_millis(1500);

/// Starts a thread called `name`.
///
/// # Panics
/// The system has no room for a thread.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) {
    let started = thread::Builder::new().name(name.into()).spawn(run);
    started.expect("thread");
}

/// Work for one thread.
type Job = Box<dyn FnOnce() + Send>;

/// Threads that begin any work at once: one more is started where all are busy.
#[derive(Debug, Clone)]
pub struct Pool {
    name: &'static str,
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    queue: Mutex<Queue>,
    queued: Condvar,
}

#[derive(Default)]
struct Queue {
    jobs: VecDeque<Job>,
    /// Threads that wait for work.
    free: usize,
}

impl fmt::Debug for Inner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Inner")
    }
}

impl Pool {
    /// No threads yet; they will be called `name`.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            inner: Arc::default(),
        }
    }

    /// Runs `job` on a thread of its own.
    ///
    /// # Errors
    /// No further thread can be started; the job is not run.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> io::Result<()> {
        let mut queue = self.inner.queue.lock().expect("pool");
        if queue.free > queue.jobs.len() {
            queue.jobs.push_back(Box::new(job));
            drop(queue);
            self.inner.queued.notify_one();
            return Ok(());
        }
        drop(queue);
        let inner = self.inner.clone();
        let first: Job = Box::new(job);
        thread::Builder::new()
            .name(self.name.into())
            .stack_size(STACK)
            .spawn(move || work(&inner, first))
            .map(drop)
    }
}

fn work(inner: &Inner, first: Job) {
    let mut next = Some(first);
    while let Some(job) = next {
        job();
        next = wait(inner);
    }
}

/// The next piece of work, if one comes before the thread has rested for long.
fn wait(inner: &Inner) -> Option<Job> {
    let mut queue = inner.queue.lock().expect("pool");
    queue.free += 1;
    let rested = inner
        .queued
        .wait_timeout_while(queue, REST, |q| q.jobs.is_empty());
    queue = rested.expect("pool").0;
    queue.free -= 1;
    queue.jobs.pop_front()
}
