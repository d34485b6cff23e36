//! The report of an engine.

use std::time::Duration;

/// What an engine reports of its work and memory. It is some hundred milliseconds old when
/// the watcher receives it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The number of requests that wait in the engine.
    pub waiting: u32,
    /// The number of requests that the engine runs.
    pub running: u32,
    /// How many of the running requests have produced no output yet: their prompts are
    /// being prefilled. `None` if the engine doesn't say.
    pub prefilling: Option<u32>,
    /// The prompt tokens of the first waiting request; 0 if none waits.
    pub next_tokens: u32,
    /// The tokens in memory that can't be evicted.
    pub memory_used: u32,
    /// The tokens that fit into the memory; 0 if the engine doesn't say.
    pub memory_total: u32,
    /// How much longer the engine ran as of the report, if it says so.
    pub leaves_in: Option<Duration>,
}

impl EngineReport {
    /// Returns the fraction of the memory that can't be evicted, from 0 to 1.
    ///
    /// ```
    /// use flaxtide_policy::EngineReport;
    /// let report = EngineReport { memory_used: 30, memory_total: 40, ..Default::default() };
    /// assert_eq!(report.memory_fraction(), 0.75);
    /// ```
    #[must_use]
    pub fn memory_fraction(&self) -> f64 {
        if self.memory_total == 0 {
            return 0.0;
        }
        (f64::from(self.memory_used) / f64::from(self.memory_total)).min(1.0)
    }
}
