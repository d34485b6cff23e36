//! The scenarios: the classes of both deployments, and what happens to them.

use std::time::Duration;

use flaxtide_core::{ClassId, OrganisationId, PoolId, TierRank};
use flaxtide_policy::{CallArrival, ClassRule, OrganisationRule, RuleSet, ServerRule};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How many engines there are.
pub const ENGINES: u32 = 60;

/// How many entry instances there are.
pub const INSTANCES: usize = 8;

/// How many requests an engine works on at once.
pub const SLOTS: usize = 8;

/// How long a step takes, in milliseconds.
pub const STEP_MS: u64 = 4;

/// How long requests come, in milliseconds.
pub const LOAD_MS: u64 = 18_000;

/// How long a run lasts, in milliseconds.
pub const RUN_MS: u64 = 24_000;

/// When bursts begin, and when engines crash and instances are lost.
pub const EVENT_MS: u64 = 6_000;

/// When bursts end.
pub const BURST_END_MS: u64 = 12_000;

/// How many organisations there are.
pub const ORGANISATIONS: u16 = 10;

/// The tokens that all engines make in a second.
pub const CAPACITY: f64 = ENGINES as f64 * SLOTS as f64 * 1000.0 / STEP_MS as f64;

/// A request class of the bench.
pub struct LabClass {
    /// Its name.
    pub name: &'static str,
    /// Its tier.
    pub tier: TierRank,
    /// Its first-token target, in milliseconds.
    pub first_token_ms: u64,
    /// The mean length of its answers, in tokens.
    pub length: f64,
    /// Its part of the tokens of steady work.
    pub part: f64,
    /// The length of its prompts, in tokens.
    pub prompt: u32,
}

/// The classes: of the cinemas, then of the vehicle dealers.
pub const CLASSES: [LabClass; 5] = [
    LabClass {
        name: "grid-draft",
        tier: 0,
        first_token_ms: 800,
        length: 150.0,
        part: 0.2,
        prompt: 600,
    },
    LabClass {
        name: "print-notes",
        tier: 2,
        first_token_ms: 20_000,
        length: 250.0,
        part: 0.15,
        prompt: 900,
    },
    LabClass {
        name: "counter",
        tier: 0,
        first_token_ms: 1000,
        length: 100.0,
        part: 0.15,
        prompt: 400,
    },
    LabClass {
        name: "question",
        tier: 1,
        first_token_ms: 1300,
        length: 80.0,
        part: 0.25,
        prompt: 400,
    },
    LabClass {
        name: "leasing-batch",
        tier: 2,
        first_token_ms: 60_000,
        length: 300.0,
        part: 0.25,
        prompt: 900,
    },
];

/// What happens in a run.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// The steady load, in parts of the capacity.
    pub load: f64,
    /// The class with a burst, and the total load with it, in parts of the capacity.
    pub burst: Option<(ClassId, f64)>,
    /// How many engines are five times as slow.
    pub stragglers: u32,
    /// How many engines crash, for three seconds.
    pub crashes: u32,
    /// How old load reports are, in milliseconds.
    pub report_lag: u64,
    /// Whether the first organisation sends several times its part of the questions.
    pub large_organisation: bool,
    /// Whether the first instance is lost.
    pub instance_lost: bool,
    /// Whether the balancer sends the drafts to a quarter of the instances.
    pub skewed: bool,
    /// Whether instances hear nothing of each other.
    pub peers_cut: bool,
}

/// A steady load without any trouble.
const STEADY: Scenario = Scenario {
    name: "steady 70%",
    load: 0.7,
    burst: None,
    stragglers: 0,
    crashes: 0,
    report_lag: 500,
    large_organisation: false,
    instance_lost: false,
    skewed: false,
    peers_cut: false,
};

/// All scenarios.
pub const SCENARIOS: [Scenario; 12] = [
    STEADY,
    Scenario {
        name: "burst of grid-draft 1.5x",
        burst: Some((0, 1.5)),
        ..STEADY
    },
    Scenario {
        name: "burst of grid-draft 3x",
        burst: Some((0, 3.0)),
        ..STEADY
    },
    Scenario {
        name: "burst of leasing-batch 3x",
        burst: Some((4, 3.0)),
        ..STEADY
    },
    Scenario { name: "stragglers", stragglers: 3, ..STEADY },
    Scenario { name: "crashes", crashes: 3, ..STEADY },
    Scenario { name: "stale reports", report_lag: 2000, ..STEADY },
    Scenario {
        name: "large organisation",
        large_organisation: true,
        ..STEADY
    },
    Scenario {
        name: "all together",
        burst: Some((0, 1.5)),
        stragglers: 3,
        crashes: 3,
        report_lag: 2000,
        large_organisation: true,
        ..STEADY
    },
    Scenario {
        name: "instance lost",
        instance_lost: true,
        ..STEADY
    },
    Scenario {
        name: "skewed balancer",
        skewed: true,
        burst: Some((0, 1.2)),
        ..STEADY
    },
    Scenario {
        name: "skewed, peers cut off",
        skewed: true,
        peers_cut: true,
        burst: Some((0, 1.2)),
        ..STEADY
    },
];

/// A request that will come.
#[derive(Debug, Clone)]
pub struct LabArrival {
    /// When, in milliseconds.
    pub at: u64,
    /// What the instance is told.
    pub arrival: CallArrival,
    /// How many tokens the answer has, which nobody is told.
    pub length: u32,
}

/// Draws all requests of a scenario, in the order in which they come.
pub fn draw_arrivals(scenario: &Scenario, seed: u64) -> Vec<LabArrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = vec![];
    for at in 0..LOAD_MS {
        for class in 0..CLASSES.len() as ClassId {
            let mut expected = rate_at(scenario, class, at) / 1000.0;
            while expected > 0.0 {
                if random.random::<f64>() < expected {
                    let request = arrivals.len() as u64;
                    arrivals.push(draw(scenario, &mut random, request, class, at));
                }
                expected -= 1.0;
            }
        }
    }
    arrivals
}

/// Returns the rate of a class at a time, in requests a second.
fn rate_at(scenario: &Scenario, class: ClassId, at: u64) -> f64 {
    let shape = &CLASSES[usize::from(class)];
    let mut tokens = scenario.load * shape.part * CAPACITY;
    if let Some((burst, total)) = scenario.burst
        && burst == class
        && (EVENT_MS..BURST_END_MS).contains(&at)
    {
        tokens += (total - scenario.load) * CAPACITY;
    }
    if scenario.large_organisation && class == 3 {
        tokens *= 3.0;
    }
    tokens / shape.length
}

/// Draws one request.
fn draw(
    scenario: &Scenario,
    random: &mut ChaCha8Rng,
    request: u64,
    class: ClassId,
    at: u64,
) -> LabArrival {
    let shape = &CLASSES[usize::from(class)];
    // Two thirds of a large organisation's class are its own.
    let large = scenario.large_organisation && class == 3;
    let organisation = match random.random_range(0..3) {
        0 | 1 if large => 0,
        _ => random.random_range(0..ORGANISATIONS),
    };
    // Lengths are exponential: most are short, a few are long.
    let length = (-(1.0 - random.random::<f64>()).ln() * shape.length) as u32 + 1;
    let document = random.random_range(0..4u64);
    let prefix = u64::from(class) * 1000 + u64::from(organisation) * 10 + document;
    let arrival = CallArrival {
        request,
        pool: 0,
        class,
        organisation,
        prompt_tokens: shape.prompt,
        prefix: Some(prefix),
        give_up: None,
        first_token: None,
        repeatable: true,
    };
    LabArrival { at, arrival, length }
}

/// Returns the rules of the bench.
pub fn rules() -> RuleSet {
    let pool: PoolId = 0;
    let class = |shape: &LabClass| ClassRule {
        tier: shape.tier,
        first_token: Duration::from_millis(shape.first_token_ms),
        give_up: Duration::from_millis(shape.first_token_ms),
        starvation_bound: Duration::from_secs(5),
        priority: 1,
        repeatable: true,
    };
    let organisation = OrganisationRule { priority: 1, requests_per_second: None };
    let server = ServerRule { pools: vec![pool], slots: SLOTS as u32 };
    RuleSet {
        classes: CLASSES
            .iter()
            .enumerate()
            .map(|(id, shape)| (id as ClassId, class(shape)))
            .collect(),
        organisations: (0..ORGANISATIONS)
            .map(|id: OrganisationId| (id, organisation.clone()))
            .collect(),
        servers: (0..ENGINES).map(|id| (id, server.clone())).collect(),
    }
}
