//! The queue of one pool, ordered by tier, class and organisation.
//!
//! Tiers are served in strict order, except for starved classes. Within a tier, the class
//! whose head is due earliest goes first. Within a class, organisations share by
//! start-time fair queueing (Goyal, Vin and Cheng, 1996) over expected tokens; among
//! organisations whose start tags lie within [`FAIRNESS_WINDOW`], the head that is due
//! earliest goes first. Requests of one organisation are served first in, first out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use flaxtide_core::{ClassId, OrganisationId, RequestId, TierRank};

/// Units of virtual time per token, so that virtual time can be an integer.
const VIRTUAL_SCALE: f64 = 1024.0;

/// Organisations whose start tags are this close, in units of virtual time, are served by
/// due time. A strict order would hold back an organisation that sends slightly more than
/// the others at the moment.
const FAIRNESS_WINDOW: u64 = 2000 * VIRTUAL_SCALE as u64;

/// At most this many organisations are compared to find the next request of a class.
const MAX_COMPARED_FLOWS: usize = 16;

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct QueueEntry {
    /// The id of the request.
    pub(crate) request: RequestId,
    /// When the request arrived.
    pub(crate) arrived: Duration,
    /// When the request should be served; of several heads, the earliest is served first.
    /// See [`PoolQueue::next`].
    pub(crate) due_at: Duration,
    /// The expected work of the request, in tokens.
    pub(crate) work: f64,
}

/// The waiting requests of one pool.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolQueue {
    /// The queue of each class, highest tier first.
    classes: BTreeMap<(TierRank, ClassId), ClassQueue>,
    /// The number of waiting requests.
    len: usize,
}

/// The waiting requests of one class.
#[derive(Debug, Clone, Default)]
struct ClassQueue {
    /// The organisations with waiting requests, by their start tags.
    by_start_tag: BTreeSet<(u64, OrganisationId)>,
    /// The waiting requests and start tag of each organisation. A flow without requests
    /// is kept at least while its start tag lies ahead of the virtual time.
    flows: BTreeMap<OrganisationId, Flow>,
    /// The highest start tag that has been served.
    virtual_time: u64,
    /// The number of waiting requests.
    len: usize,
    /// When a request of the class was last served, or the queue last became non-empty.
    last_served: Duration,
}

/// The waiting requests of one organisation in one class.
#[derive(Debug, Clone, Default)]
struct Flow {
    /// The requests, oldest first.
    entries: VecDeque<QueueEntry>,
    /// The virtual time from which the next request may be served.
    start_tag: u64,
}

/// The next request to be served, with its place in the queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct QueueHead {
    /// The tier of the request.
    pub(crate) tier: TierRank,
    /// The class of the request.
    pub(crate) class: ClassId,
    /// The organisation of the request.
    pub(crate) organisation: OrganisationId,
    /// The request itself.
    pub(crate) entry: QueueEntry,
}

impl PoolQueue {
    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Adds a request.
    pub(crate) fn push(
        &mut self,
        tier: TierRank,
        class: ClassId,
        organisation: OrganisationId,
        entry: QueueEntry,
        now: Duration,
    ) {
        let queue = self.classes.entry((tier, class)).or_default();
        if queue.len == 0 {
            queue.last_served = now;
        }
        queue.len += 1;
        self.len += 1;
        let flow = queue.flows.entry(organisation).or_default();
        if flow.entries.is_empty() {
            flow.start_tag = flow.start_tag.max(queue.virtual_time);
            queue.by_start_tag.insert((flow.start_tag, organisation));
        }
        flow.entries.push_back(entry);
    }

    /// Returns the next request: in the highest tier with waiting requests, the head of
    /// the class that is due earliest.
    pub(crate) fn next(&self) -> Option<QueueHead> {
        let mut best: Option<QueueHead> = None;
        for (&(tier, class), queue) in &self.classes {
            if best.is_some_and(|best| best.tier < tier) {
                break;
            }
            let Some(head) = queue.head(tier, class) else { continue };
            if best.is_none_or(|best| head.entry.due_at < best.entry.due_at) {
                best = Some(head);
            }
        }
        best
    }

    /// Returns the head of the class that has exceeded its starvation bound by the most,
    /// among the classes below the highest tier with waiting requests.
    pub(crate) fn starved(
        &self,
        now: Duration,
        bound: impl Fn(ClassId) -> Duration,
    ) -> Option<QueueHead> {
        let top_tier = self.next()?.tier;
        let overdue = |class: ClassId, queue: &ClassQueue| {
            now.saturating_sub(queue.last_served).checked_sub(bound(class))
        };
        let classes = self.classes.iter().filter(|((tier, _), _)| *tier > top_tier);
        let (&(tier, class), queue) = classes
            .filter(|((_, class), queue)| {
                queue.len > 0 && overdue(*class, queue).is_some()
            })
            .max_by_key(|((_, class), queue)| overdue(*class, queue))?;
        queue.head(tier, class)
    }

    /// Removes a head that [`next`](Self::next) or [`starved`](Self::starved) returned,
    /// and charges its work to its organisation, divided by `weight`.
    pub(crate) fn pop(&mut self, head: &QueueHead, weight: u32, now: Duration) {
        let Some(queue) = self.classes.get_mut(&(head.tier, head.class)) else { return };
        let Some(flow) = queue.flows.get_mut(&head.organisation) else { return };
        queue.by_start_tag.remove(&(flow.start_tag, head.organisation));
        queue.virtual_time = queue.virtual_time.max(flow.start_tag);
        flow.entries.pop_front();
        flow.start_tag +=
            (head.entry.work * VIRTUAL_SCALE) as u64 / u64::from(weight.max(1));
        if !flow.entries.is_empty() {
            queue.by_start_tag.insert((flow.start_tag, head.organisation));
        }
        queue.len -= 1;
        queue.last_served = now;
        self.len -= 1;
        queue.drop_idle_flows();
    }

    /// Removes a request at any position without charging its organisation. Returns
    /// whether the queue held it.
    pub(crate) fn remove(
        &mut self,
        tier: TierRank,
        class: ClassId,
        organisation: OrganisationId,
        request: RequestId,
    ) -> bool {
        let Some(queue) = self.classes.get_mut(&(tier, class)) else { return false };
        let Some(flow) = queue.flows.get_mut(&organisation) else { return false };
        let Some(index) = flow.entries.iter().position(|entry| entry.request == request)
        else {
            return false;
        };
        flow.entries.remove(index);
        if flow.entries.is_empty() {
            queue.by_start_tag.remove(&(flow.start_tag, organisation));
        }
        queue.len -= 1;
        self.len -= 1;
        true
    }

    /// Returns the newest request of the lowest tier, if that tier is below `tier`.
    pub(crate) fn eviction_candidate(&self, tier: TierRank) -> Option<RequestId> {
        let lowest = self
            .classes
            .iter()
            .filter(|((rank, _), queue)| *rank > tier && queue.len > 0)
            .map(|((rank, _), _)| *rank)
            .max()?;
        let classes = self.classes.iter().filter(|((rank, _), _)| *rank == lowest);
        let flows = classes.flat_map(|(_, queue)| queue.flows.values());
        let newest = flows.filter_map(|flow| flow.entries.back());
        newest
            .max_by_key(|entry| (entry.arrived, entry.request))
            .map(|entry| entry.request)
    }

    /// Returns, for each class, how many requests would be served before one of the given
    /// class and organisation that arrives now.
    pub(crate) fn ahead(
        &self,
        tier: TierRank,
        class: ClassId,
        organisation: OrganisationId,
    ) -> impl Iterator<Item = (ClassId, usize)> + '_ {
        let classes = self.classes.range(..=(tier, ClassId::MAX));
        classes
            .filter(|(_, queue)| queue.len > 0)
            .map(move |(&(_, other), queue)| {
                if other != class {
                    return (other, queue.len);
                }
                // Organisations alternate, so a short flow isn't delayed by a long one.
                let own =
                    queue.flows.get(&organisation).map_or(0, |flow| flow.entries.len());
                (other, queue.len.min((own + 1) * queue.by_start_tag.len()))
            })
    }

    /// Returns the number of waiting requests in each tier.
    pub(crate) fn count_by_tier(&self) -> BTreeMap<TierRank, usize> {
        let mut counts = BTreeMap::new();
        for ((tier, _), queue) in &self.classes {
            *counts.entry(*tier).or_default() += queue.len;
        }
        counts
    }
}

impl ClassQueue {
    /// Returns the next request of the class.
    fn head(&self, tier: TierRank, class: ClassId) -> Option<QueueHead> {
        let (earliest, _) = *self.by_start_tag.first()?;
        let window_end = earliest + FAIRNESS_WINDOW;
        let near = self.by_start_tag.iter().take(MAX_COMPARED_FLOWS);
        let near = near.take_while(|(tag, _)| *tag <= window_end);
        let heads = near.filter_map(|(_, organisation)| {
            let entry = *self.flows.get(organisation)?.entries.front()?;
            Some(QueueHead { tier, class, organisation: *organisation, entry })
        });
        heads.min_by_key(|head| head.entry.due_at)
    }

    /// Drops flows that are empty and whose start tag isn't ahead of the virtual time,
    /// once there are many.
    fn drop_idle_flows(&mut self) {
        const MIN_KEPT_FLOWS: usize = 64;
        if self.flows.len() <= MIN_KEPT_FLOWS.max(2 * self.by_start_tag.len()) {
            return;
        }
        let time = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.entries.is_empty() || flow.start_tag > time);
    }
}
