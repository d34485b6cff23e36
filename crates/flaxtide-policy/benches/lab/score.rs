//! The score of a run.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::scenario::{CLASSES, LOAD_MS, ORGANISATIONS};

/// What a run came to.
#[derive(Debug, Clone, Default)]
pub struct RunScore {
    /// Requests of each class.
    pub sent: [u32; CLASSES.len()],
    /// Requests of each class that met their target.
    pub met: [u32; CLASSES.len()],
    /// Tokens of answers that met their target.
    pub good_tokens: u64,
    /// Tokens of whole answers.
    pub whole_tokens: u64,
    /// All tokens that engines made.
    pub made_tokens: u64,
    /// The longest wait for a first token in each class, in milliseconds.
    pub worst_wait: [u64; CLASSES.len()],
    /// Refused requests of the interactive tier by reason.
    pub refusals: BTreeMap<&'static str, u32>,
    /// Requests of questions by organisation, and those that met their target.
    pub organisations: [(u32, u32); ORGANISATIONS as usize],
}

impl RunScore {
    /// Returns the part of a class's requests that met their target.
    pub fn attainment(&self, class: usize) -> f64 {
        f64::from(self.met[class]) / f64::from(self.sent[class].max(1))
    }

    /// Returns the tokens a second of answers that met their target.
    pub fn goodput(&self) -> f64 {
        self.good_tokens as f64 * 1000.0 / LOAD_MS as f64
    }

    /// Returns the part of all tokens that reached nobody as part of a whole answer.
    pub fn wasted(&self) -> f64 {
        let wasted = self.made_tokens.saturating_sub(self.whole_tokens);
        wasted as f64 / self.made_tokens.max(1) as f64
    }

    /// Returns how evenly organisations fared in the class of questions: 1 is even (Jain,
    /// Chiu and Hawe, 1984). The first organisation may be a large one and is left out.
    pub fn fairness(&self) -> f64 {
        let parts = self.organisations[1..].iter();
        let parts: Vec<f64> = parts
            .map(|(sent, met)| f64::from(*met) / f64::from((*sent).max(1)))
            .collect();
        let sum: f64 = parts.iter().sum();
        let squares: f64 = parts.iter().map(|part| part * part).sum();
        sum * sum / (parts.len() as f64 * squares).max(1e-9)
    }

    /// Returns how many of the other organisations' questions met their target.
    pub fn small_attainment(&self) -> f64 {
        let (sent, met) = self.organisations[1..]
            .iter()
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        f64::from(met) / f64::from(sent.max(1))
    }

    /// Returns the score as JSON.
    pub fn to_json(&self) -> Value {
        let classes = CLASSES.iter().enumerate();
        let attainment: BTreeMap<_, _> = classes
            .clone()
            .map(|(id, class)| (class.name, round(self.attainment(id))))
            .collect();
        let waits: BTreeMap<_, _> =
            classes.map(|(id, class)| (class.name, self.worst_wait[id])).collect();
        json!({
            "attainment": attainment,
            "goodput": self.goodput().round(),
            "wasted": round(self.wasted()),
            "worst_wait_ms": waits,
            "interactive_refusals": self.refusals,
            "fairness": round(self.fairness()),
            "small_organisations": round(self.small_attainment()),
        })
    }
}

/// Rounds to four places.
fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
