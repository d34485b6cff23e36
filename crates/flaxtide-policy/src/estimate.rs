//! Running means that estimate the length and service time of requests.

use std::collections::HashMap;
use std::time::Duration;

use flaxtide_core::{ClassId, OrganisationId};

/// The weight of the newest sample in a running mean.
const NEWEST_WEIGHT: f64 = 0.05;

/// The number of samples up to which a mean weights all equally; later samples have
/// [`NEWEST_WEIGHT`].
const MAX_SAMPLES: f64 = 1.0 / NEWEST_WEIGHT;

/// The response length assumed before any response of a class has ended, in tokens.
const DEFAULT_OUTPUT_TOKENS: f64 = 128.0;

/// A running mean in which old samples lose weight exponentially.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayedMean {
    /// The current mean.
    mean: f64,
    /// The number of samples so far, up to [`MAX_SAMPLES`].
    samples: f64,
}

impl DecayedMean {
    /// Adds a sample.
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        self.mean += (sample - self.mean) / self.samples;
    }

    /// Returns the mean, or `None` without samples.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.mean)
    }
}

/// Estimates of response lengths and service times from finished requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkEstimates {
    /// The tokens of a response, by class and organisation.
    output_tokens: HashMap<(ClassId, OrganisationId), DecayedMean>,
    /// The tokens of a response, by class; used for organisations without finished
    /// requests.
    class_output_tokens: HashMap<ClassId, DecayedMean>,
    /// The seconds from dispatch to the end of the response, by class.
    service_seconds: HashMap<ClassId, DecayedMean>,
}

impl WorkEstimates {
    /// Adds a finished request.
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

    /// Returns the expected length of a response, in tokens.
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

    /// Returns the expected seconds from dispatch to the end of the response; `None`
    /// before a request of the class has finished.
    pub(crate) fn service_seconds(&self, class: ClassId) -> Option<f64> {
        self.service_seconds.get(&class).and_then(DecayedMean::get)
    }
}
