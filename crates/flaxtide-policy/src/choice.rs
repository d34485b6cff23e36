//! The choice of a server for one request.

use std::time::Duration;

use flaxtide_core::{ServerId, TierRank};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::action::{ChoiceRule, ServerChoice};
use crate::options::PolicyOptions;
use crate::rendezvous::rendezvous_weight;
use crate::server::{BackendServer, ServerTable};

/// The properties of a request that its server is chosen by.
pub(crate) struct ChoiceQuery<'a> {
    /// The tier whose slots the request may use.
    pub(crate) tier: TierRank,
    /// Servers that have failed the request.
    pub(crate) excluded: &'a [ServerId],
    /// The hash of the prompt's prefix; `None` if the prefix isn't worth caching.
    pub(crate) prefix: Option<u64>,
    /// The current time.
    pub(crate) now: Duration,
}

/// The servers of one pool, with statistics that are updated now and then.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServerPool {
    /// The servers of the pool.
    pub(crate) members: Vec<ServerId>,
    /// The indices of the servers in the [`ServerTable`].
    pub(crate) indices: Vec<usize>,
    /// The mean reported load, in requests per slot.
    pub(crate) mean_load: f64,
    /// The median time per token of the servers, in seconds; zero before any is known.
    pub(crate) median_token_seconds: f64,
}

/// Chooses a server with a free slot for a request: the one that caches its prefix,
/// unless it is too loaded, or else the least loaded of a few drawn at random.
///
/// The least loaded of all servers would be the same for every instance, as all see the
/// same delayed reports, and they would overload it together (Mitzenmacher, 2001).
pub(crate) fn choose_server(
    query: &ChoiceQuery<'_>,
    pool: &ServerPool,
    servers: &ServerTable,
    options: &PolicyOptions,
    random: &mut ChaCha8Rng,
) -> Option<ServerChoice> {
    let eligible: Vec<&BackendServer> = servers
        .at(&pool.indices)
        .filter(|server| server.has_slot(query.tier, query.now, options.idle_part))
        .filter(|server| !query.excluded.contains(&server.server))
        .collect();
    if eligible.is_empty() {
        return None;
    }
    let cost = |server: &BackendServer| server_cost(server, pool, options, query.now);
    if let Some(choice) = choose_by_prefix(query, pool, &eligible, options, &cost) {
        return Some(choice);
    }
    let sampled = sample(&eligible, options.sampled_servers, random);
    let mut ranked: Vec<(f64, ServerId)> =
        sampled.iter().map(|server| (cost(server), server.server)).collect();
    ranked.sort_by(|one, other| one.0.total_cmp(&other.0));
    let (load, server) = *ranked.first()?;
    let rule = if eligible.len() == 1 { ChoiceRule::Only } else { ChoiceRule::Sampled };
    let runner_up = ranked.get(1).map(|(load, server)| (*server, *load));
    Some(ServerChoice {
        server,
        rule,
        load,
        runner_up,
        eligible: eligible.len(),
    })
}

/// Chooses the server that caches the prefix, if it has a free slot and isn't too loaded.
fn choose_by_prefix(
    query: &ChoiceQuery<'_>,
    pool: &ServerPool,
    eligible: &[&BackendServer],
    options: &PolicyOptions,
    cost: &impl Fn(&BackendServer) -> f64,
) -> Option<ServerChoice> {
    let prefix = query.prefix?;
    // The owner is chosen among all members, not only those with a free slot, so that a
    // short peak doesn't spread the prefix over the pool.
    let owner = *pool
        .members
        .iter()
        .max_by_key(|server| rendezvous_weight(prefix, u64::from(**server)))?;
    let server = eligible.iter().find(|server| server.server == owner)?;
    let load = cost(server);
    if load > pool.mean_load * options.affinity_bound + 1.0 / f64::from(server.slots) {
        return None;
    }
    let rule = ChoiceRule::Affinity;
    Some(ServerChoice {
        server: owner,
        rule,
        load,
        runner_up: None,
        eligible: eligible.len(),
    })
}

/// Returns the load of a server, multiplied by how slow it is compared with the median of
/// its pool.
fn server_cost(
    server: &BackendServer,
    pool: &ServerPool,
    options: &PolicyOptions,
    now: Duration,
) -> f64 {
    let load = server.load(now, options.report_half_life, pool.mean_load);
    let slowness = match server.token_seconds() {
        Some(seconds) if pool.median_token_seconds > 0.0 => {
            (seconds / pool.median_token_seconds).max(1.0)
        }
        _ => 1.0,
    };
    (load + 1.0 / f64::from(server.slots.max(1))) * slowness
}

/// Draws up to `count` different servers at random.
fn sample<'a>(
    servers: &[&'a BackendServer],
    count: usize,
    random: &mut ChaCha8Rng,
) -> Vec<&'a BackendServer> {
    if servers.len() <= count {
        return servers.to_vec();
    }
    let mut sampled: Vec<usize> = vec![];
    while sampled.len() < count {
        let index = random.random_range(0..servers.len());
        if !sampled.contains(&index) {
            sampled.push(index);
        }
    }
    sampled.into_iter().map(|index| servers[index]).collect()
}
