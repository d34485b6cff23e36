//! The links of an instance: one TCP connection with a tarpc client to each peer, shared by all
//! calls.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tarpc::client::{self, RpcError};
use tarpc::context::{self, Context};
use tarpc::serde_transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;

use crate::counted::{CountedStream, LinkBytes};
use crate::wire::PeerLinkClient;

/// How long a link may take to open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// How long no new attempt is made after a link couldn't be opened. Calls that waited for the
/// link fail together with the attempt, instead of each trying in turn.
pub(crate) const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// How long a call is awaited past its deadline. tarpc doesn't end a call at its deadline if
/// the call couldn't be written, because the peer reads nothing.
const WRITE_MARGIN: Duration = Duration::from_millis(100);

/// The links of one instance to its peers.
#[derive(Default)]
pub(crate) struct PeerLinks {
    /// The state of the link to each address.
    links: Mutex<HashMap<SocketAddr, Arc<LinkEntry>>>,
    /// The number of the next link.
    next_number: AtomicU64,
    /// The counters of the bytes on all links.
    pub(crate) bytes: LinkBytes,
}

/// The state of the link to one address, locked while the link is being opened.
type LinkEntry = tokio::sync::Mutex<LinkState>;

/// The state of the link to one address.
#[derive(Default)]
struct LinkState {
    /// The link, if it is open.
    open: Option<OpenLink>,
    /// When the link last couldn't be opened.
    failed_at: Option<Instant>,
}

/// An open link.
#[derive(Clone)]
pub(crate) struct OpenLink {
    /// Distinguishes the link from earlier and later ones to the same address.
    number: u64,
    /// The client that calls the peer.
    pub(crate) client: PeerLinkClient,
}

impl PeerLinks {
    /// Returns the link to an address, opening it if needed. Calls that arrive while it is
    /// being opened wait for it. Returns `None` if it can't be opened.
    pub(crate) async fn open(&self, address: SocketAddr) -> Option<OpenLink> {
        let entry = self.entry(address);
        let mut state = entry.lock().await;
        if state.open.is_some() {
            return state.open.clone();
        }
        if state.failed_at.is_some_and(|at| at.elapsed() < RECONNECT_PAUSE) {
            return None;
        }
        let stream =
            tokio::time::timeout(OPEN_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = stream else {
            state.failed_at = Some(Instant::now());
            return None;
        };
        let _ = stream.set_nodelay(true);
        let transport = transport(stream, &self.bytes);
        let client = PeerLinkClient::new(client::Config::default(), transport).spawn();
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        state.open = Some(OpenLink { number, client });
        state.open.clone()
    }

    /// Closes a link unless another one has replaced it.
    pub(crate) async fn close(&self, address: SocketAddr, link: &OpenLink) {
        let entry = self.entry(address);
        let mut state = entry.lock().await;
        if state.open.as_ref().is_some_and(|open| open.number == link.number) {
            state.open = None;
        }
    }

    /// Drops the links to addresses that aren't wanted any more. An entry that a call is using
    /// is kept.
    pub(crate) fn retain(&self, wanted: impl Fn(&SocketAddr) -> bool) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|address, entry| wanted(address) || Arc::strong_count(entry) > 1);
    }

    /// Returns the entry of an address. Adding one removes unused entries.
    fn entry(&self, address: SocketAddr) -> Arc<LinkEntry> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = links.get(&address) {
            return entry.clone();
        }
        links.retain(|_, entry| {
            Arc::strong_count(entry) > 1
                || entry.try_lock().is_ok_and(|state| state.open.is_some())
        });
        links.entry(address).or_default().clone()
    }
}

/// Makes a call to a peer with a deadline.
///
/// # Errors
///
/// Returns why there is no answer.
pub(crate) async fn call_with_timeout<Answer, Call>(
    timeout: Duration,
    call: impl FnOnce(Context) -> Call,
) -> Result<Answer, RpcError>
where
    Call: Future<Output = Result<Answer, RpcError>>,
{
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    let answer = tokio::time::timeout(timeout + WRITE_MARGIN, call(context)).await;
    answer.unwrap_or(Err(RpcError::DeadlineExceeded))
}

/// The transport of a link: length-delimited bincode messages.
type LinkTransport<Item, SinkItem> =
    serde_transport::Transport<CountedStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Creates the transport of a link.
pub(crate) fn transport<Item, SinkItem>(
    stream: TcpStream,
    bytes: &LinkBytes,
) -> LinkTransport<Item, SinkItem>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let stream = CountedStream::new(stream, bytes.clone());
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    serde_transport::new(framed, Bincode::default())
}
