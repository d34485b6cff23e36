//! The queue of one pool: tiers, then classes, then organisations.
//!
//! Across tiers the order is strict, but for starvation turns. Within a tier the class
//! whose head is most urgent goes first. Within a class, organisations share by start-time
//! fair queueing (Goyal, Vin and Cheng, 1996) over expected tokens, with a window within
//! which the most urgent goes first; within an organisation, first in first out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use flaxtide_core::{ClassId, OrganisationId, RequestId, TierRank};

/// Tokens are counted in this many parts in virtual time, so that it can be an integer.
const VIRTUAL_SCALE: f64 = 1024.0;

/// Organisations whose turns are this close, in tokens of virtual time, go by due time: a
/// strict order would make one wait that sends a little more than the others just now.
const FAIRNESS_WINDOW: u64 = 2000 * VIRTUAL_SCALE as u64;

/// At most so many organisations are compared for one turn.
const MAX_COMPARED_FLOWS: usize = 16;

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct QueueEntry {
    /// The request.
    pub(crate) request: RequestId,
    /// When it arrived.
    pub(crate) arrived: Duration,
    /// When it is more urgent than others; see [`PoolQueue::next`].
    pub(crate) due_at: Duration,
    /// Its expected work, in tokens.
    pub(crate) work: f64,
}

/// The waiting requests of one pool.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolQueue {
    /// The classes with their waiting requests.
    classes: BTreeMap<(TierRank, ClassId), ClassQueue>,
    /// How many requests wait.
    len: usize,
}

/// The waiting requests of one class.
#[derive(Debug, Clone, Default)]
struct ClassQueue {
    /// The organisations with waiting requests, by the virtual time of their turn.
    by_start_tag: BTreeSet<(u64, OrganisationId)>,
    /// The waiting requests of each organisation, and its virtual time.
    flows: BTreeMap<OrganisationId, Flow>,
    /// The virtual time of the last turn.
    virtual_time: u64,
    /// How many requests wait.
    len: usize,
    /// When the class last had a turn, or its first request since came.
    last_served: Duration,
}

/// The waiting requests of one organisation in one class.
#[derive(Debug, Clone, Default)]
struct Flow {
    /// The requests, oldest first.
    entries: VecDeque<QueueEntry>,
    /// The virtual time at which it may have its next turn.
    start_tag: u64,
}

/// The place of the next request in a queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct QueueHead {
    /// The tier.
    pub(crate) tier: TierRank,
    /// The class.
    pub(crate) class: ClassId,
    /// The organisation.
    pub(crate) organisation: OrganisationId,
    /// The request.
    pub(crate) entry: QueueEntry,
}

impl PoolQueue {
    /// Returns how many requests wait.
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

    /// Returns the next request in order: of the highest tier that has any, that of the
    /// class whose head is most urgent.
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

    /// Returns the head of the class that has gone longest over its starvation bound,
    /// among classes below the highest tier that has waiting requests.
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

    /// Takes out a head that [`next`](Self::next) or [`starved`](Self::starved) returned,
    /// and charges its organisation by `weight`.
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

    /// Takes out a request that isn't to be served, wherever it stands.
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

    /// Returns the youngest request of the lowest tier below `tier`.
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

    /// Returns how many requests of each class are to be served before one of the given
    /// class and organisation that comes now.
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
                // Organisations take turns, so a short flow isn't held up by a long one.
                let own =
                    queue.flows.get(&organisation).map_or(0, |flow| flow.entries.len());
                (other, queue.len.min((own + 1) * queue.by_start_tag.len()))
            })
    }

    /// Returns how many requests wait in each tier.
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

    /// Drops flows that have nothing waiting and owe nothing, once there are many.
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
