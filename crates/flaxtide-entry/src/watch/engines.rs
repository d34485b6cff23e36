//! The engines that this instance watches.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use flaxtide_core::ServerId;
use tokio::task::{AbortHandle, spawn_local};

use super::host::WatchHost;
use super::watcher::EngineWatcher;
use crate::contract::EngineDialect;

/// The maximum number of engines that an instance watches.
const MAX_WATCHED_ENGINES: usize = 64;

/// The engines that this instance watches, each with a task.
pub(crate) struct EngineWatches {
    /// Translates the calls to engines.
    dialect: Arc<dyn EngineDialect>,
    /// The watches by engine.
    watches: BTreeMap<ServerId, EngineWatch>,
}

/// The watch of one engine. Dropping it ends its task and closes its connection.
struct EngineWatch {
    /// The rank of this instance among the watchers of the engine, shared with the task.
    rank: Rc<Cell<usize>>,
    /// The task.
    task: AbortHandle,
}

impl Drop for EngineWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EngineWatches {
    /// Creates an empty set of watches.
    pub(crate) fn new(dialect: Arc<dyn EngineDialect>) -> Self {
        Self { dialect, watches: BTreeMap::new() }
    }

    /// Returns the number of watched engines.
    pub(crate) fn len(&self) -> usize {
        self.watches.len()
    }

    /// Watches exactly the wanted engines, which come with the rank of this instance. If
    /// there are too many, those are left out of which it is the second watcher. A watch
    /// whose task has ended is started again.
    pub(crate) fn update<Host: WatchHost + 'static>(
        &mut self,
        host: &Rc<Host>,
        mut wanted: Vec<(ServerId, usize)>,
    ) {
        wanted.sort_unstable_by_key(|(server, rank)| (*rank, *server));
        wanted.truncate(MAX_WATCHED_ENGINES);
        let wanted: BTreeMap<ServerId, usize> = wanted.into_iter().collect();
        self.watches.retain(|server, watch| {
            let keeps = wanted.contains_key(server) && !watch.task.is_finished();
            if !keeps {
                end_watch(&**host, *server, watch.rank.get());
            }
            keeps
        });
        for (server, rank) in wanted {
            match self.watches.get(&server) {
                Some(watch) => watch.rank.set(rank),
                None => self.start(host, server, rank),
            }
        }
    }

    /// Starts to watch an engine.
    fn start<Host: WatchHost + 'static>(
        &mut self,
        host: &Rc<Host>,
        server: ServerId,
        rank: usize,
    ) {
        log::info!(server = host.name_of(server), rank; "engine watch started");
        let rank = Rc::new(Cell::new(rank));
        let watcher =
            EngineWatcher::new(host.clone(), self.dialect.clone(), server, rank.clone());
        let task = spawn_local(watcher.run()).abort_handle();
        self.watches.insert(server, EngineWatch { rank, task });
    }
}

/// Ends the watch of an engine.
fn end_watch(host: &impl WatchHost, server: ServerId, rank: usize) {
    log::info!(server = host.name_of(server), rank; "engine watch ended");
    host.remove_sighting(server);
}
