//! A stand-in for the platform: table service, object store, instance list.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use crossbeam::sync::ShardedLock;
use flaxtide_platform::{CommitResult, ListedInstance, TableRow, TableTransaction};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::{Method, Request, Response};

use crate::listen::{StandinListener, query_param, read_json, respond_json};

/// A platform stand-in that runs until it is dropped.
pub struct PlatformStandin {
    /// The listener.
    listener: StandinListener,
    /// What it holds.
    state: Arc<PlatformState>,
}

/// The faults of a platform stand-in.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Answer everything with 503, doing nothing.
    pub down: bool,
    /// Answer this much later, in milliseconds.
    pub delay_ms: u64,
    /// Do this many writes more without answering them.
    pub lose_answers: u64,
    /// Let this many writes more take effect only after [`Self::late_ms`], unanswered.
    pub late_writes: u64,
    /// How much later late writes take effect, in milliseconds.
    pub late_ms: u64,
}

/// What a platform stand-in has been asked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads of rows, ranges, objects and the list.
    pub reads: u64,
    /// Writes: commits of one or more transactions, and objects.
    pub writes: u64,
}

/// What a platform holds, whichever door it is asked at.
#[derive(Default)]
struct PlatformData {
    /// The table.
    table: ShardedLock<BTreeMap<String, TableRow>>,
    /// The number of the last write.
    version: AtomicU64,
    /// The object store.
    objects: ShardedLock<BTreeMap<String, Vec<u8>>>,
}

/// One door of a platform.
#[derive(Default)]
struct PlatformState {
    /// What the platform holds.
    data: Arc<PlatformData>,
    /// The instance list.
    instances: ShardedLock<Vec<ListedInstance>>,
    /// The faults in force.
    faults: ShardedLock<PlatformFaults>,
    /// Reads so far.
    reads: AtomicU64,
    /// Writes so far.
    writes: AtomicU64,
    /// Whether it is to stop.
    stopped: AtomicBool,
}

impl PlatformStandin {
    /// Starts a stand-in with an empty table.
    ///
    /// ```
    /// use std::time::Duration;
    /// use flaxtide_platform::{PlatformClient, TableService};
    /// use flaxtide_standin::PlatformStandin;
    /// let platform = PlatformStandin::start("127.0.0.1:0".parse().unwrap()).unwrap();
    /// let client = PlatformClient::new(&platform.url(), Duration::from_secs(5));
    /// assert_eq!(client.read("nothing"), Ok(None));
    /// ```
    ///
    /// # Errors
    ///
    /// Returns the fault if it can't listen on the address.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        Self::open(address, PlatformState::default())
    }

    /// Opens another door to the same table and objects, with faults and a list of its
    /// own: what another data centre sees of the platform.
    ///
    /// # Errors
    ///
    /// Returns the fault if it can't listen on the address.
    pub fn open_door(&self, address: SocketAddr) -> io::Result<Self> {
        let data = self.state.data.clone();
        Self::open(address, PlatformState { data, ..PlatformState::default() })
    }

    /// Opens a door.
    fn open(address: SocketAddr, state: PlatformState) -> io::Result<Self> {
        let state = Arc::new(state);
        let (late, writes) = sync_channel(LATE_WRITES);
        let applied = state.clone();
        thread::spawn(move || apply_late(&applied, &writes));
        let answered = state.clone();
        let listener = StandinListener::start(address, move |request| {
            answered.answer(request, &late);
        })?;
        Ok(Self { listener, state })
    }

    /// Returns its address as a URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.listener.address())
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *write(&self.state.faults) = faults;
    }

    /// Sets the instance list.
    pub fn set_instances(&self, instances: Vec<ListedInstance>) {
        *write(&self.state.instances) = instances;
    }

    /// Returns what it has been asked.
    #[must_use]
    pub fn counts(&self) -> PlatformCounts {
        self.state.counts()
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
    }
}

/// How many late writes may wait.
const LATE_WRITES: usize = 1024;

impl PlatformState {
    /// Answers one request.
    fn answer(&self, mut request: Request, late: &SyncSender<Vec<TableTransaction>>) {
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or_default();
        match (request.method(), path) {
            (Method::Post, "/faults") => return self.answer_faults(request),
            (Method::Get, "/counts") => {
                return respond_json(request, 200, &self.counts());
            }
            (Method::Put, "/instances") => {
                if let Some(instances) = read_json(&mut request) {
                    *write(&self.instances) = instances;
                }
                return respond_json(request, 200, &json!({}));
            }
            _ => {}
        }
        let faults = read(&self.faults).clone();
        thread::sleep(Duration::from_millis(faults.delay_ms));
        if faults.down {
            return respond_json(request, 503, &json!({ "error": "down" }));
        }
        match (request.method(), path) {
            (Method::Post, "/table/transactions") => self.answer_commit(request, late),
            (Method::Get, "/table/row") => {
                self.reads.fetch_add(1, Ordering::SeqCst);
                let key = query_param(&url, "key").unwrap_or_default();
                let row = read(&self.data.table).get(&key).cloned();
                respond_json(request, 200, &row);
            }
            (Method::Get, "/table/rows") => {
                self.reads.fetch_add(1, Ordering::SeqCst);
                respond_json(request, 200, &self.scan(&url));
            }
            (Method::Get, "/instances") => {
                self.reads.fetch_add(1, Ordering::SeqCst);
                let instances = read(&self.instances).clone();
                respond_json(request, 200, &instances);
            }
            (Method::Get | Method::Put, "/objects") => self.answer_object(request, &url),
            _ => respond_json(request, 404, &json!({ "error": "no such path" })),
        }
    }

    /// Sets the faults in force from a request's body.
    fn answer_faults(&self, mut request: Request) {
        let Some(faults) = read_json(&mut request) else {
            return respond_json(
                request,
                400,
                &json!({ "error": "not a set of faults" }),
            );
        };
        *write(&self.faults) = faults;
        respond_json(request, 200, &json!({}));
    }

    /// Commits transactions, or does with them what the faults say.
    fn answer_commit(
        &self,
        mut request: Request,
        late: &SyncSender<Vec<TableTransaction>>,
    ) {
        /// The body of a commit.
        #[derive(Deserialize)]
        struct CommitBody {
            /// The transactions.
            transactions: Vec<TableTransaction>,
        }
        let Some(body) = read_json::<CommitBody>(&mut request) else {
            return respond_json(request, 400, &json!({ "error": "not transactions" }));
        };
        self.writes.fetch_add(1, Ordering::SeqCst);
        if take_one(&self.faults, |faults| &mut faults.late_writes) {
            let _ = late.try_send(body.transactions);
            return hang_up(request);
        }
        let results: Vec<_> =
            body.transactions.iter().map(|one| self.commit(one)).collect();
        if take_one(&self.faults, |faults| &mut faults.lose_answers) {
            return hang_up(request);
        }
        respond_json(request, 200, &results);
    }

    /// Commits one transaction.
    fn commit(&self, transaction: &TableTransaction) -> CommitResult {
        let mut table = write(&self.data.table);
        let holds = transaction.conditions.iter().all(|condition| {
            table.get(&condition.key).map(|row| row.version) == condition.version
        });
        if !holds {
            let keys = transaction.conditions.iter().map(|condition| &condition.key);
            return CommitResult::Conflict {
                rows: keys.map(|key| table.get(key).cloned()).collect(),
            };
        }
        let version = self.data.version.fetch_add(1, Ordering::SeqCst) + 1;
        for put in &transaction.puts {
            let row = TableRow {
                key: put.key.clone(),
                version,
                value: put.value.clone(),
            };
            table.insert(put.key.clone(), row);
        }
        CommitResult::Committed { version }
    }

    /// Reads a range of rows.
    fn scan(&self, url: &str) -> Vec<TableRow> {
        let prefix = query_param(url, "prefix").unwrap_or_default();
        let after = query_param(url, "after").unwrap_or_default();
        let limit = query_param(url, "limit").and_then(|text| text.parse().ok());
        let table = read(&self.data.table);
        let rows = table.range(prefix.clone()..).map(|(_, row)| row);
        let rows = rows.take_while(|row| row.key.starts_with(&prefix));
        let rows = rows.filter(|row| row.key > after);
        rows.take(limit.unwrap_or(usize::MAX)).cloned().collect()
    }

    /// Stores or reads an object.
    fn answer_object(&self, mut request: Request, url: &str) {
        let key = query_param(url, "key").unwrap_or_default();
        if *request.method() == Method::Get {
            self.reads.fetch_add(1, Ordering::SeqCst);
            let object = read(&self.data.objects).get(&key).cloned();
            let Some(object) = object else {
                return respond_json(request, 404, &json!({ "error": "no such object" }));
            };
            let _ = request.respond(Response::from_data(object));
            return;
        }
        self.writes.fetch_add(1, Ordering::SeqCst);
        let mut content = vec![];
        if request.as_reader().read_to_end(&mut content).is_ok() {
            write(&self.data.objects).insert(key, content);
        }
        respond_json(request, 200, &json!({}));
    }

    /// Returns what it has been asked.
    fn counts(&self) -> PlatformCounts {
        PlatformCounts {
            reads: self.reads.load(Ordering::SeqCst),
            writes: self.writes.load(Ordering::SeqCst),
        }
    }
}

/// Lets late writes take effect until the stand-in is dropped.
fn apply_late(state: &PlatformState, writes: &Receiver<Vec<TableTransaction>>) {
    while let Ok(transactions) = writes.recv() {
        let late = read(&state.faults).late_ms;
        thread::sleep(Duration::from_millis(late));
        for transaction in &transactions {
            state.commit(transaction);
        }
    }
}

/// Counts a fault down, and tells whether it was in force.
fn take_one(
    faults: &ShardedLock<PlatformFaults>,
    field: impl Fn(&mut PlatformFaults) -> &mut u64,
) -> bool {
    let mut faults = write(faults);
    let left = field(&mut faults);
    let taken = *left > 0;
    *left = left.saturating_sub(1);
    taken
}

/// Closes a request's connection without an answer.
fn hang_up(request: Request) {
    drop(request.into_writer());
}

/// Locks for reading. A panic elsewhere doesn't spoil the data of a stand-in.
fn read<T>(lock: &ShardedLock<T>) -> crossbeam::sync::ShardedLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Locks for writing.
fn write<T>(lock: &ShardedLock<T>) -> crossbeam::sync::ShardedLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(std::sync::PoisonError::into_inner)
}
