//! Tasks of a node, and what happens when one of them panics.
//!
//! The runtime keeps a panic to the task in which it happens. A node that lost a background task
//! would go on half dead: it would still be leader without running batches, or follow the store no
//! more. So a [`Supervisor`] reports such a panic, the node ends, and the platform starts it again.
//! A task that serves one connection or runs one item can be lost alone: its panic ends that
//! connection, or the planner stops that run. If the item itself is the cause, each node that took
//! it over would end. A task that scores an item ends the node, because nothing else ends the
//! scoring.

use std::future::Future;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinHandle};

/// Starts the background tasks of a node and reports the first one that panics.
pub(crate) struct Supervisor {
    /// The name of the task that panicked.
    panicked: watch::Sender<Option<&'static str>>,
}

impl Supervisor {
    pub(crate) fn new() -> Self {
        Self {
            panicked: watch::Sender::new(None),
        }
    }

    /// Starts a background task.
    pub(crate) fn spawn(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + 'static,
    ) -> AbortHandle {
        tokio::task::spawn_local(self.supervise(name, task)).abort_handle()
    }

    /// Returns a background task that reports its panic. It is for a caller that starts the task
    /// itself, for instance in a [`JoinSet`](tokio::task::JoinSet).
    pub(crate) fn supervise(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + 'static,
    ) -> impl Future<Output = ()> + 'static {
        let report = PanicReport {
            name,
            panicked: Some(self.panicked.clone()),
        };
        async move {
            let _report = report;
            task.await;
        }
    }

    /// Waits until a background task panics, and returns its name.
    pub(crate) async fn panicked_task(&self) -> &'static str {
        let mut panicked = self.panicked.subscribe();
        loop {
            if let Some(name) = *panicked.borrow_and_update() {
                return name;
            }
            // Fails only if the sender is dropped, and `self` owns it.
            let _ = panicked.changed().await;
        }
    }
}

/// Starts a task that serves one connection, request or item, whose panic does not end the node.
pub(crate) fn spawn_isolated<T: 'static>(
    name: &'static str,
    task: impl Future<Output = T> + 'static,
) -> JoinHandle<T> {
    let report = PanicReport {
        name,
        panicked: None,
    };
    tokio::task::spawn_local(async move {
        let _report = report;
        task.await
    })
}

/// Reports a panic of the task that owns it, when the panic drops it.
struct PanicReport {
    name: &'static str,
    /// Receives the name, unless the task is isolated.
    panicked: Option<watch::Sender<Option<&'static str>>>,
}

impl Drop for PanicReport {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let ends_node = self.panicked.is_some();
        tracing::error!(task = self.name, ends_node, "task_panicked");
        if let Some(panicked) = &self.panicked {
            panicked.send_replace(Some(self.name));
        }
    }
}
