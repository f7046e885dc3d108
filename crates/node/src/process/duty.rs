//! Starts the threads of an instance. Each thread runs one long-lived task (its
//! "duty") on a single-threaded tokio runtime of its own.

use std::net::SocketAddr;
use std::thread::JoinHandle;

use anyhow::Context;
use axum::middleware::from_fn_with_state;
use axum::Router;
use tokio::sync::{oneshot, watch};

use crate::connection::listener::BoundListener;
use crate::process::request_bounds::{bound_request, RequestBounds};

/// Waits until all `threads` have ended, and logs those that panicked.
pub fn join_threads(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        if thread.join().is_err() {
            tracing::error!("instance: a thread panicked");
        }
    }
}

/// Starts a thread named `wm-{name}` that runs `run`.
///
/// # Errors
///
/// Fails if the operating system cannot create the thread.
pub fn start_thread(
    name: &str,
    run: impl FnOnce() + Send + 'static,
) -> anyhow::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name(format!("wm-{name}"))
        .spawn(run)
        .with_context(|| format!("could not start thread {name}"))
}

/// Starts threads that each run one task until it ends or the instance is
/// killed.
#[derive(Debug, Clone)]
pub struct ThreadSpawner {
    /// Becomes true when the instance is killed.
    pub killed: watch::Receiver<bool>,
}

impl ThreadSpawner {
    /// Starts a thread that runs `task` on a tokio runtime of its own, until
    /// the task ends or the instance is killed.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot create the thread or the runtime.
    pub fn start(
        &self,
        name: &str,
        task: impl std::future::Future<Output = ()> + Send + 'static,
    ) -> anyhow::Result<JoinHandle<()>> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .with_context(|| format!("could not make a runtime for {name}"))?;
        let mut killed = self.killed.clone();
        start_thread(name, move || {
            runtime.block_on(async move {
                tokio::select! {
                    () = task => {}
                    Ok(_) = killed.wait_for(|killed| *killed) => {}
                }
            });
        })
    }
}

/// The configuration of an HTTP listener that runs in a thread of its own.
#[derive(Debug)]
pub struct ListenerThread {
    name: &'static str,
    address: SocketAddr,
    max_connections: usize,
    bounds: Option<RequestBounds>,
}

impl ListenerThread {
    /// Returns a listener configuration: the thread's name, the address to
    /// bind, and the most connections that are open at a time.
    pub fn new(name: &'static str, address: SocketAddr, max_connections: usize) -> ListenerThread {
        ListenerThread {
            name,
            address,
            max_connections,
            bounds: None,
        }
    }

    /// Bounds what the clients of the listener make the process hold.
    pub fn with_bounds(self, bounds: RequestBounds) -> ListenerThread {
        ListenerThread {
            bounds: Some(bounds),
            ..self
        }
    }

    /// Starts the thread and waits until its listener is bound. Returns the
    /// bound address, and a receiver that completes when the thread ends.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the thread cannot be started.
    pub fn start(
        self,
        router: Router,
        stop: watch::Receiver<bool>,
        spawner: &ThreadSpawner,
        threads: &mut Vec<JoinHandle<()>>,
    ) -> anyhow::Result<(SocketAddr, oneshot::Receiver<()>)> {
        let (bound_sender, bound) = std::sync::mpsc::sync_channel(1);
        let (end_sender, end) = oneshot::channel();
        let router = match self.bounds {
            Some(bounds) => router.layer(from_fn_with_state(bounds, bound_request)),
            None => router,
        };
        let task = async move {
            match BoundListener::bind(self.address, self.max_connections).await {
                Ok(listener) => {
                    let _ = bound_sender.send(listener.address());
                    listener.serve(router, stop).await;
                }
                Err(error) => {
                    let _ = bound_sender.send(Err(error));
                }
            }
            let _ = end_sender.send(());
        };
        threads.push(spawner.start(self.name, task)?);
        let address = bound.recv().context("could not start a listener")??;
        Ok((address, end))
    }
}
