//! An entry instance: its threads, their start and their end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crossbeam::channel::bounded;
use flaxtide_fleet::FleetCommand;
use serde::{Deserialize, Serialize};
use tiny_http::Server;

use crate::accept::{accept, listen};
use crate::admin::administrate;
use crate::claim::write_claims;
use crate::config::InstanceConfig;
use crate::decide::decide;
use crate::error::InstanceError;
use crate::fleet::{feed_fleet, open_fleet};
use crate::orders::give_orders;
use crate::settings::follow_settings;
use crate::settle::settle_claims;
use crate::shared::{SharedRings, SharedState};
use crate::watch::watch;

/// The length of the ring to the decision thread.
const DECISION_RING: usize = 8192;

/// The length of the rings to the claim and settle threads.
const CLAIM_RING: usize = 1024;

/// The length of the ring to the settings thread.
const NEWS_RING: usize = 16;

/// The length of the ring to the fleet thread.
const FLEET_RING: usize = 256;

/// How often a stopping instance looks whether its calls have ended.
const DRAIN_PERIOD: Duration = Duration::from_millis(10);

/// How long a stopping instance tries to settle claims while the platform is out.
const SETTLE_WAIT: Duration = Duration::from_secs(5);

/// How long an instance without calls waits for answers to leave its sockets.
const LINGER: Duration = Duration::from_millis(100);

/// Where an instance listens, as the system gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceAddresses {
    /// For callers.
    pub listen: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For peers.
    pub fleet: SocketAddr,
}

/// An entry instance that runs on threads of this process.
pub struct EntryInstance {
    /// What all threads share.
    shared: Arc<SharedState>,
    /// Where it listens.
    addresses: InstanceAddresses,
    /// The threads.
    threads: Vec<JoinHandle<()>>,
}

impl EntryInstance {
    /// Starts an instance. It is ready once it has settings.
    ///
    /// # Errors
    ///
    /// Returns the fault if it can't listen on its addresses or start its threads.
    pub fn start(config: InstanceConfig) -> Result<Self, InstanceError> {
        let callers = listen_on("listen", config.listen)?;
        let operators = listen_on("admin", config.admin)?;
        let mut addresses = InstanceAddresses {
            listen: ip_address(&callers, config.listen),
            admin: ip_address(&operators, config.admin),
            fleet: config.fleet,
        };
        let (decisions, decision_ring) = bounded(DECISION_RING);
        let (claim_jobs, claim_ring) = bounded(CLAIM_RING);
        let (settle_jobs, settle_ring) = bounded(CLAIM_RING);
        let (settings_news, news_ring) = bounded(NEWS_RING);
        let (fleet, fleet_ring) = bounded(FLEET_RING);
        let rings = SharedRings {
            decisions,
            claim_jobs,
            settle_jobs,
            settings_news,
            fleet,
        };
        let shared = Arc::new(SharedState::new(config, rings));
        let fleet = open_fleet(&shared)?;
        addresses.fleet = fleet.address().unwrap_or(addresses.fleet);
        let mut instance = Self { shared, addresses, threads: vec![] };
        instance.spawn("decide", move |shared| decide(shared, &decision_ring))?;
        instance.spawn("claim", move |shared| write_claims(shared, &claim_ring))?;
        instance.spawn("settle", move |shared| settle_claims(shared, &settle_ring))?;
        instance.spawn("settings", move |shared| follow_settings(shared, &news_ring))?;
        instance.spawn("fleet", move |_| fleet.run(&fleet_ring))?;
        instance.spawn("feed", feed_fleet)?;
        instance.spawn("watch", watch)?;
        instance.spawn("orders", give_orders)?;
        instance.spawn("admin", move |shared| administrate(shared, &operators))?;
        instance.spawn("accept", move |shared| accept(shared, &callers))?;
        Ok(instance)
    }

    /// Starts the thread of a duty.
    fn spawn(
        &mut self,
        duty: &'static str,
        run: impl FnOnce(&Arc<SharedState>) + Send + 'static,
    ) -> Result<(), InstanceError> {
        let shared = self.shared.clone();
        let thread = thread::Builder::new().name(duty.into());
        let thread = thread
            .spawn(move || run(&shared))
            .map_err(|cause| InstanceError::Spawn { duty, cause })?;
        self.threads.push(thread);
        Ok(())
    }

    /// Returns where the instance listens. A port 0 in the instance file is a free port
    /// here.
    #[must_use]
    pub fn addresses(&self) -> InstanceAddresses {
        self.addresses
    }

    /// Tells whether the instance has settings and isn't leaving.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.shared.ready()
    }

    /// Returns the settings version in force.
    #[must_use]
    pub fn settings_version(&self) -> u64 {
        self.shared.view().version
    }

    /// Shuts down gracefully: says that it isn't ready, still takes requests until the
    /// balancer has noticed, finishes every call and settles its claims.
    pub fn stop(self) {
        let shared = &self.shared;
        log::info!("stopping: not ready any more");
        shared.leave();
        shared.update_fleet(|node, _| node.leave());
        shared.hurry_fleet();
        thread::sleep(shared.config.stop_notice);
        shared.close();
        while shared.open_calls() > 0 {
            thread::sleep(DRAIN_PERIOD);
        }
        let give_up = shared.now() + SETTLE_WAIT;
        while shared.unsettled.load(Ordering::SeqCst) > 0 && shared.now() < give_up {
            thread::sleep(DRAIN_PERIOD);
        }
        thread::sleep(LINGER);
        shared.stop();
        // The fleet thread takes events all the time, so its ring has room soon.
        let _ = shared.fleet.send(FleetCommand::Stop);
        for thread in self.threads {
            // A thread that panicked has said so.
            let _ = thread.join();
        }
        log::info!("stopped");
    }
}

/// Opens a listener for a field of the instance file.
fn listen_on(field: &'static str, address: SocketAddr) -> Result<Server, InstanceError> {
    listen(address).map_err(|cause| InstanceError::Listen { field, address, cause })
}

/// Returns where a listener listens.
fn ip_address(server: &Server, asked: SocketAddr) -> SocketAddr {
    server.server_addr().to_ip().unwrap_or(asked)
}
