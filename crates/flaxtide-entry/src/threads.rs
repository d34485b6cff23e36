//! The threads and tasks that an instance needs until it stops. Without one of them, it isn't ready.

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use prometheus::IntGaugeVec;

/// Which threads and tasks have ended.
pub(crate) struct EndedThreads {
    /// By name, 1 for those that have ended.
    gauge: IntGaugeVec,
    /// Whether any has.
    any: AtomicBool,
}

impl EndedThreads {
    /// Creates a record in which none has ended, exported by a gauge with names as labels.
    pub(crate) fn new(gauge: IntGaugeVec) -> Self {
        Self { gauge, any: AtomicBool::new(false) }
    }

    /// Returns the exported gauge.
    pub(crate) fn gauge(&self) -> &IntGaugeVec {
        &self.gauge
    }

    /// Returns whether any has ended.
    pub(crate) fn has_any(&self) -> bool {
        self.any.load(Ordering::SeqCst)
    }

    /// Runs a thread, and records its end, whether it returns or panics.
    pub(crate) fn run(&self, name: &'static str, run: impl FnOnce()) {
        let _end = self.watch(name, true);
        run();
    }

    /// Runs a task, and records its end if it panics. Tasks that are left at the end of the process
    /// are dropped.
    pub(crate) async fn run_task(
        &self,
        name: &'static str,
        task: impl Future<Output = ()>,
    ) {
        let _end = self.watch(name, false);
        task.await;
    }

    /// Starts to watch a thread or task.
    fn watch(&self, name: &'static str, records_return: bool) -> EndGuard<'_> {
        self.gauge.with_label_values(&[name]).set(0);
        EndGuard { threads: self, name, records_return }
    }
}

/// Records the end of a thread or task when it is dropped.
struct EndGuard<'a> {
    /// The record.
    threads: &'a EndedThreads,
    /// The name of the thread or task.
    name: &'static str,
    /// Whether an end without a panic is recorded too.
    records_return: bool,
}

impl Drop for EndGuard<'_> {
    fn drop(&mut self) {
        let panicked = thread::panicking();
        if !panicked && !self.records_return {
            return;
        }
        self.threads.any.store(true, Ordering::SeqCst);
        self.threads.gauge.with_label_values(&[self.name]).set(1);
        // A thread that returns does so because the instance stops.
        let level = if panicked { log::Level::Error } else { log::Level::Info };
        log::log!(level, thread = self.name, panicked; "thread ended, not ready from now on");
    }
}
