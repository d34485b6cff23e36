//! Trouble: crashes, lost instances, callers who hang up, silent engines.

use flaxtide_policy::{PolicyEvent, ServerFault};

use super::{LabCall, PolicyKind, World};
use crate::lab::scenario::CLASSES;

/// A caller without any token hangs up after so many times its target.
const CALLER_PATIENCE: u64 = 3;

/// How long a crashed engine is down, in milliseconds.
const DOWN_MS: u64 = 3000;

impl World {
    /// Has engines crash and an instance be lost, as the scenario says.
    pub(super) fn strike(&mut self) {
        let first = self.scenario.stragglers;
        for number in first..first + self.scenario.crashes {
            let engine = &mut self.engines[number as usize];
            engine.down_until = self.now + DOWN_MS;
            for lost in std::mem::take(&mut engine.batch) {
                self.break_off(lost.request, lost.attempt, ServerFault::Broken);
            }
        }
        if self.scenario.instance_lost && self.kind != PolicyKind::Ideal {
            self.routers[0] = None;
            let lost: Vec<u64> = self
                .calls
                .iter()
                .filter(|(_, call)| call.instance == 0)
                .map(|(request, _)| *request)
                .collect();
            for request in lost {
                self.calls.remove(&request);
                for engine in &mut self.engines {
                    engine.cancel(request);
                }
            }
        }
    }

    /// Has callers hang up, and instances give up on silent engines.
    pub(super) fn lose_patience(&mut self) {
        let now = self.now;
        let gone = |call: &LabCall| {
            let target = CLASSES[usize::from(call.arrival.arrival.class)].first_token_ms;
            call.first.is_none() && now > call.arrival.at + CALLER_PATIENCE * target
        };
        let left: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| gone(call))
            .map(|(id, _)| *id)
            .collect();
        for request in left {
            let Some(call) = self.calls.remove(&request) else { continue };
            // The plain policy doesn't cancel what nobody waits for.
            if self.kind != PolicyKind::Plain {
                self.cancel(request);
            }
            self.tell(call.instance, PolicyEvent::CallerGone { request });
        }
        let silent = |call: &LabCall| {
            call.engine.is_some()
                && call.patience.is_some_and(|(from, span)| now > from + span)
        };
        let silent: Vec<(u64, u32)> = self
            .calls
            .iter()
            .filter(|(_, call)| silent(call))
            .map(|(id, call)| (*id, call.attempt))
            .collect();
        for (request, attempt) in silent {
            self.cancel(request);
            self.break_off(request, attempt, ServerFault::Stalled);
        }
    }
}
