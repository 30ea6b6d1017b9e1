//! A pool of threads for jobs that may block: one thread for each running job, reused for a short time.

use std::{
    collections::VecDeque,
    fmt, io,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

/// Stack size of a pool thread in bytes.
const STACK_BYTES: usize = 512 * 1024;
/// Time after which a pool thread without a job ends.
const IDLE_MAX: Duration = Duration::from_millis(1500);

/// Starts a thread with the name `name`.
///
/// # Panics
/// The system cannot start another thread.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) {
    let started = thread::Builder::new().name(name.into()).spawn(run);
    started.expect("thread");
}

type Job = Box<dyn FnOnce() + Send>;

/// A pool that starts each job at once: if all threads are busy, it starts another.
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
    /// Number of threads that wait for a job.
    free: usize,
}

impl fmt::Debug for Inner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Inner")
    }
}

impl Pool {
    /// A pool without threads; `name` is the name of each thread that it starts.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            inner: Arc::default(),
        }
    }

    /// Runs `job` on an idle thread or a new one.
    ///
    /// # Errors
    /// No thread can be started; the job is dropped without a run.
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
            .stack_size(STACK_BYTES)
            .spawn(move || work(&inner, first))
            .map(drop)
    }
}

fn work(inner: &Inner, first: Job) {
    let mut next = Some(first);
    while let Some(job) = next {
        job();
        next = next_job(inner);
    }
}

/// The next job, or `None` if there is none within `IDLE_MAX`.
fn next_job(inner: &Inner) -> Option<Job> {
    let mut queue = inner.queue.lock().expect("pool");
    queue.free += 1;
    let result = inner
        .queued
        .wait_timeout_while(queue, IDLE_MAX, |q| q.jobs.is_empty());
    queue = result.expect("pool").0;
    queue.free -= 1;
    queue.jobs.pop_front()
}
