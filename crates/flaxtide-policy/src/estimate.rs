//! Estimates of what can't be known in advance.

use std::collections::HashMap;
use std::time::Duration;

use flaxtide_core::{ClassId, OrganisationId};

/// How much the newest sample moves a running mean.
const NEWEST_WEIGHT: f64 = 0.05;

/// How many samples a mean takes equally before it decays.
const MAX_SAMPLES: f64 = 1.0 / NEWEST_WEIGHT;

/// The expected answer length before any answer of a class has ended, in tokens.
const DEFAULT_OUTPUT_TOKENS: f64 = 128.0;

/// A decayed mean.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayedMean {
    /// The mean.
    mean: f64,
    /// How many samples it is made of, up to [`WARM_SAMPLES`].
    samples: f64,
}

impl DecayedMean {
    /// Takes in a sample.
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        self.mean += (sample - self.mean) / self.samples;
    }

    /// Returns the mean, if there is any sample.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.mean)
    }
}

/// The answer lengths and service times of classes and organisations.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkEstimates {
    /// Tokens of an answer, by class and organisation.
    output_tokens: HashMap<(ClassId, OrganisationId), DecayedMean>,
    /// Tokens of an answer, by class.
    class_output_tokens: HashMap<ClassId, DecayedMean>,
    /// Seconds from dispatch to the end of the answer, by class.
    service_seconds: HashMap<ClassId, DecayedMean>,
}

impl WorkEstimates {
    /// Takes in a finished request.
    pub(crate) fn add(
        &mut self,
        class: ClassId,
        organisation: OrganisationId,
        tokens: u32,
        span: Duration,
    ) {
        let tokens = f64::from(tokens);
        self.output_tokens
            .entry((class, organisation))
            .or_default()
            .add(tokens);
        self.class_output_tokens.entry(class).or_default().add(tokens);
        self.service_seconds.entry(class).or_default().add(span.as_secs_f64());
    }

    /// Returns the expected answer length, in tokens.
    pub(crate) fn output_tokens(
        &self,
        class: ClassId,
        organisation: OrganisationId,
    ) -> f64 {
        let own = self
            .output_tokens
            .get(&(class, organisation))
            .and_then(DecayedMean::get);
        let shared = || self.class_output_tokens.get(&class).and_then(DecayedMean::get);
        own.or_else(shared).unwrap_or(DEFAULT_OUTPUT_TOKENS)
    }

    /// Returns the expected time from dispatch to the end, if a request of the class has
    /// ended.
    pub(crate) fn service_seconds(&self, class: ClassId) -> Option<f64> {
        self.service_seconds.get(&class).and_then(DecayedMean::get)
    }
}
