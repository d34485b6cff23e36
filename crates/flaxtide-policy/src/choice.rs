//! The choice of a server for one request.

use std::time::Duration;

use flaxtide_core::{ServerId, TierRank};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::action::{ChoiceRule, ServerChoice};
use crate::options::PolicyOptions;
use crate::rendezvous::rendezvous_weight;
use crate::server::{BackendServer, ServerTable};

/// What a choice is made for.
pub(crate) struct ChoiceQuery<'a> {
    /// The tier whose slots may be used.
    pub(crate) tier: TierRank,
    /// Servers that have failed the request.
    pub(crate) excluded: &'a [ServerId],
    /// The hash of the prompt's prefix.
    pub(crate) prefix: Option<u64>,
    /// The time.
    pub(crate) now: Duration,
}

/// The servers of one pool, with what is typical of them.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServerPool {
    /// The servers.
    pub(crate) members: Vec<ServerId>,
    /// Their places in the table.
    pub(crate) places: Vec<usize>,
    /// The mean reported load, in requests for each slot.
    pub(crate) typical_load: f64,
    /// The median of seconds for each token.
    pub(crate) typical_pace: f64,
}

/// Chooses a server with a free slot for a request: the one that caches its prefix if it
/// isn't too loaded, else the least loaded of a few drawn at random.
///
/// Choosing the single least loaded of all would send every instance to the same server,
/// as all see the same late reports (Mitzenmacher, 2001).
pub(crate) fn choose_server(
    query: &ChoiceQuery<'_>,
    pool: &ServerPool,
    servers: &ServerTable,
    options: &PolicyOptions,
    random: &mut ChaCha8Rng,
) -> Option<ServerChoice> {
    let eligible: Vec<&BackendServer> = servers
        .at(&pool.places)
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
    let drawn = draw(&eligible, options.sampled_servers, random);
    let mut ranked: Vec<(f64, ServerId)> =
        drawn.iter().map(|server| (cost(server), server.server)).collect();
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

/// Chooses the server that caches the prefix, if it has a slot and isn't too loaded.
fn choose_by_prefix(
    query: &ChoiceQuery<'_>,
    pool: &ServerPool,
    eligible: &[&BackendServer],
    options: &PolicyOptions,
    cost: &impl Fn(&BackendServer) -> f64,
) -> Option<ServerChoice> {
    let prefix = query.prefix?;
    // The owner is found among all members, not just those with a slot, so that a busy
    // moment doesn't spread the prefix over the pool.
    let owner = *pool
        .members
        .iter()
        .max_by_key(|server| rendezvous_weight(prefix, u64::from(**server)))?;
    let server = eligible.iter().find(|server| server.server == owner)?;
    let load = cost(server);
    if load > pool.typical_load * options.affinity_bound + 1.0 / f64::from(server.slots) {
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

/// Returns the load of a server, weighted by how slow it is against its pool.
fn server_cost(
    server: &BackendServer,
    pool: &ServerPool,
    options: &PolicyOptions,
    now: Duration,
) -> f64 {
    let load = server.load(now, options.report_half_life, pool.typical_load);
    let slowness = match server.pace() {
        Some(pace) if pool.typical_pace > 0.0 => (pace / pool.typical_pace).max(1.0),
        _ => 1.0,
    };
    (load + 1.0 / f64::from(server.slots.max(1))) * slowness
}

/// Draws up to `count` different servers.
fn draw<'a>(
    servers: &[&'a BackendServer],
    count: usize,
    random: &mut ChaCha8Rng,
) -> Vec<&'a BackendServer> {
    if servers.len() <= count {
        return servers.to_vec();
    }
    let mut drawn: Vec<usize> = vec![];
    while drawn.len() < count {
        let index = random.random_range(0..servers.len());
        if !drawn.contains(&index) {
            drawn.push(index);
        }
    }
    drawn.into_iter().map(|index| servers[index]).collect()
}
