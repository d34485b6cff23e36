//! What instances hear: load reports and shares.

use std::time::Duration;

use flaxtide_policy::{PolicyEvent, SlotDemand, divide_slots};

use super::{NAMES, PERIOD_MS, PolicyKind, World};
use crate::lab::baseline::Router;
use crate::lab::scenario::{ENGINES, INSTANCES, SLOTS};

impl World {
    /// Has load reports and shares reach the instances.
    pub(super) fn spread_news(&mut self) {
        let lag = self.scenario.report_lag;
        let now = self.now;
        let reports: Vec<_> = self
            .engines
            .iter_mut()
            .filter_map(|engine| engine.report(now, lag))
            .collect();
        for index in 0..self.routers.len() {
            for report in &reports {
                self.tell(index, PolicyEvent::Report(*report));
            }
        }
        if self.kind != PolicyKind::Flaxtide || self.scenario.peers_cut {
            return;
        }
        let live: Vec<usize> = (0..INSTANCES)
            .filter(|index| self.routers[*index].is_some())
            .collect();
        let names: Vec<&str> = live.iter().map(|index| NAMES[*index]).collect();
        // Each engine is divided by what its watcher heard a period ago.
        let told = std::mem::take(&mut self.told);
        let part = f64::from(1u16) / f64::from(ENGINES);
        let until = Duration::from_millis(now + 3 * PERIOD_MS);
        for server in 0..ENGINES {
            let demands: Vec<SlotDemand> =
                live.iter().map(|index| told[*index].clone()).collect();
            let shares = divide_slots(SLOTS as u32, u64::from(server), &names, &demands);
            for (index, slots) in live.iter().zip(shares) {
                self.tell(*index, PolicyEvent::Share { server, slots, until });
            }
        }
        let demand = |router: &Option<Box<dyn Router>>| {
            let tiers = router.as_ref().map_or(vec![], |router| router.demand());
            SlotDemand {
                tiers: tiers.iter().map(|count| count * part).collect(),
            }
        };
        self.told = self.routers.iter().map(demand).collect();
    }
}
