//! A relay that plays a bad network between two parties.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// What a relay does to what passes through it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFault {
    /// Nothing: all passes.
    None,
    /// New connections and bytes in both directions are swallowed without a word.
    Drop,
    /// New connections are closed at once, and open ones too.
    Cut,
    /// Bytes towards the target pass; those back are swallowed.
    HalfCut,
    /// Every piece passes this many milliseconds later.
    Delay(u64),
}

/// A TCP relay that runs until it is dropped.
pub struct NetworkRelay {
    /// Where it listens.
    address: SocketAddr,
    /// The fault in force.
    state: Arc<RelayState>,
}

/// What all threads of a relay share.
struct RelayState {
    /// The fault, as a number.
    fault: AtomicU8,
    /// The delay, in milliseconds.
    delay: AtomicU64,
    /// Whether it is to stop.
    stopped: AtomicBool,
    /// How many connections are open.
    open: AtomicUsize,
    /// How often the open connections have fallen silent.
    silences: AtomicU64,
}

/// How often a relay looks at its fault.
const POLL_PERIOD: Duration = Duration::from_millis(20);

impl NetworkRelay {
    /// Starts a relay to `target` on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns the fault if it can't listen.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(RelayState {
            fault: AtomicU8::new(0),
            delay: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            silences: AtomicU64::new(0),
        });
        let accepting = state.clone();
        thread::spawn(move || accept(&listener, target, &accepting));
        Ok(Self { address, state })
    }

    /// Returns where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many connections go through it.
    #[must_use]
    pub fn open(&self) -> usize {
        self.state.open.load(Ordering::SeqCst)
    }

    /// Has all open connections swallow what comes, for good. New ones work.
    pub fn silence_open(&self) {
        self.state.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// Sets the fault in force.
    pub fn set_fault(&self, fault: RelayFault) {
        let (number, delay) = match fault {
            RelayFault::None => (0, 0),
            RelayFault::Drop => (1, 0),
            RelayFault::Cut => (2, 0),
            RelayFault::HalfCut => (3, 0),
            RelayFault::Delay(delay) => (4, delay),
        };
        self.state.delay.store(delay, Ordering::SeqCst);
        self.state.fault.store(number, Ordering::SeqCst);
    }
}

impl Drop for NetworkRelay {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread.
        let _ = TcpStream::connect(self.address);
    }
}

impl RelayState {
    /// Returns the fault in force.
    fn fault(&self) -> RelayFault {
        match self.fault.load(Ordering::SeqCst) {
            0 => RelayFault::None,
            1 => RelayFault::Drop,
            2 => RelayFault::Cut,
            3 => RelayFault::HalfCut,
            _ => RelayFault::Delay(self.delay.load(Ordering::SeqCst)),
        }
    }

    /// Returns how often the open connections have fallen silent.
    fn silences(&self) -> u64 {
        self.silences.load(Ordering::SeqCst)
    }

    /// Tells whether the relay is to stop.
    fn stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }
}

/// Accepts connections and passes them on.
fn accept(listener: &TcpListener, target: SocketAddr, state: &Arc<RelayState>) {
    for inbound in listener.incoming() {
        if state.stopped() {
            return;
        }
        let Ok(inbound) = inbound else { continue };
        let state = state.clone();
        state.open.fetch_add(1, Ordering::SeqCst);
        thread::spawn(move || {
            connect(inbound, target, &state);
            state.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// Passes one connection on in both directions.
fn connect(inbound: TcpStream, target: SocketAddr, state: &Arc<RelayState>) {
    if state.fault() == RelayFault::Cut {
        return;
    }
    while state.fault() == RelayFault::Drop && !state.stopped() {
        thread::sleep(POLL_PERIOD);
    }
    let Ok(outbound) = TcpStream::connect(target) else { return };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (Ok(back_from), Ok(back_to)) = (outbound.try_clone(), inbound.try_clone()) else {
        return;
    };
    let opened = state.silences();
    let back_state = state.clone();
    let back = thread::spawn(move || pass(back_from, back_to, &back_state, opened, true));
    pass(inbound, outbound, state, opened, false);
    let _ = back.join();
}

/// Passes bytes in one direction until either side closes. `opened` is how often connections had
/// fallen silent before this one was opened.
fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    state: &RelayState,
    opened: u64,
    back: bool,
) {
    let _ = from.set_read_timeout(Some(POLL_PERIOD));
    let mut piece = [0; 16 * 1024];
    loop {
        let fault = state.fault();
        if fault == RelayFault::Cut || state.stopped() {
            let _ = from.shutdown(Shutdown::Both);
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
        let length = match from.read(&mut piece) {
            Ok(0) => break,
            Ok(length) => length,
            Err(cause) if is_timeout(&cause) => continue,
            Err(_) => break,
        };
        match state.fault() {
            _ if state.silences() > opened => continue,
            RelayFault::Drop => continue,
            RelayFault::HalfCut if back => continue,
            RelayFault::Delay(delay) => thread::sleep(Duration::from_millis(delay)),
            _ => {}
        }
        if to.write_all(&piece[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

/// Tells whether a read only found nothing in time.
fn is_timeout(cause: &io::Error) -> bool {
    matches!(cause.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
