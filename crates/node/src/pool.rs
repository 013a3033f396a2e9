use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

const THREAD_STACK_BYTES: usize = 512 * 1024;

type Job = Box<dyn FnOnce() + Send>;

/// A fixed-size thread pool with a bounded queue; jobs that find the queue full are rejected.
#[derive(Debug)]
pub(crate) struct ThreadPool {
    jobs: SyncSender<Job>,
}

impl ThreadPool {
    /// Starts `threads` threads with a queue of `queue_capacity` jobs.
    pub(crate) fn new(name: &str, threads: usize, queue_capacity: usize) -> io::Result<Self> {
        let (jobs, queue) = sync_channel::<Job>(queue_capacity);
        let queue = Arc::new(Mutex::new(queue));
        for _ in 0..threads {
            let queue = queue.clone();
            thread::Builder::new()
                .name(name.to_owned())
                .stack_size(THREAD_STACK_BYTES)
                .spawn(move || run_jobs(&queue))?;
        }
        Ok(Self { jobs })
    }

    /// Enqueues a job, or returns `false` if the queue is full.
    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) -> bool {
        self.jobs.try_send(Box::new(job)).is_ok()
    }
}

fn run_jobs(queue: &Mutex<Receiver<Job>>) {
    loop {
        let job = queue.lock().unwrap_or_else(PoisonError::into_inner).recv();
        match job {
            // Catch panics so that they don't terminate the worker thread.
            Ok(job) => {
                if catch_unwind(AssertUnwindSafe(job)).is_err() {
                    tracing::error!("job_panicked");
                }
            }
            Err(_) => return,
        }
    }
}
