//! Threads that serve connections: as many as there are requests under way, kept for a short time.

use std::{
    collections::VecDeque,
    io,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

/// Stack of a thread in bytes.
const STACK: usize = 512 * 1024;
/// Time after which a thread without work ends.
const REST: Duration = Duration::from_secs(1);

/// Work for one thread.
type Job = Box<dyn FnOnce() + Send>;

/// Threads that begin any work at once: one more is started where all are busy.
#[derive(Clone, Default)]
pub(super) struct Pool {
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

impl Pool {
    /// Runs `job` on a thread of its own.
    ///
    /// # Errors
    /// No further thread can be started; the job is not run.
    pub(super) fn run(&self, job: impl FnOnce() + Send + 'static) -> io::Result<()> {
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
            .name("conn".into())
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
