//! `flaxctl demo`: all of it in one process, on loopback.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use flaxtide::{DecisionRecord, EntryInstance, InstanceConfig, StepKind};
use flaxtide_core::{SettingsTree, hash_key};
use flaxtide_platform::{InstanceRole, InstanceState, ListedInstance};
use flaxtide_standin::{EngineOptions, EngineStandin, PlatformStandin, ServiceStandin};
use serde_json::Value;

use crate::client::AdminClient;
use crate::fault::CommandFault;
use crate::load::{
    LoadBurst, LoadPlan, LoadReport, LoadStream, LoadTargets, StreamTarget, draw_plot,
    print_report, send_load,
};
use crate::output::{print_json, wants_json};
use crate::status::print_record;

/// The data centres.
const DATA_CENTRES: [&str; 2] = ["scl-1", "scl-2"];

/// Entry instances in each data centre.
const INSTANCES: usize = 2;

/// Engines in each data centre.
const ENGINES: usize = 3;

/// How many requests an engine works on at once.
const ENGINE_SLOTS: usize = 12;

/// How long the load lasts when the command line says nothing.
const LOAD_SECONDS: u64 = 8;

/// How long instances may take to be ready.
const READY_WAIT: Duration = Duration::from_secs(10);

/// The key of the operator.
const OPERATOR_KEY: &str = "demo-operator";

/// The key of the small organisation.
const SMALL_KEY: &str = "demo-arica";

/// The key of the large organisation.
const LARGE_KEY: &str = "demo-santiago";

/// The settings, but for the data centres.
const SETTINGS: &str = include_str!("demo.yaml");

/// The parts of the demo; they run until it is dropped.
struct DemoFleet {
    /// The platform.
    platform: PlatformStandin,
    /// The engines, by data centre.
    engines: Vec<EngineStandin>,
    /// The plain service's servers, one in each data centre.
    services: Vec<ServiceStandin>,
    /// The entry instances.
    instances: Vec<EntryInstance>,
    /// Where callers reach them.
    entries: Vec<SocketAddr>,
    /// Where the operator reaches them.
    admins: Vec<SocketAddr>,
}

/// Runs `flaxctl demo`.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), CommandFault> {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(LOAD_SECONDS);
    let fleet = DemoFleet::start()?;
    let plan = plan(seed, seconds);
    if !wants_json(matches) {
        println!(
            "{} entry instances and {} engines in {} data centres; {seconds} s of load \
             with a burst in the middle",
            fleet.instances.len(),
            fleet.engines.len(),
            DATA_CENTRES.len(),
        );
    }
    let outcomes = send_load(&plan, &fleet.entries);
    let report = LoadReport::new(&plan, &outcomes, &fleet.targets(), 0);
    if let Some(file) = matches.get_one::<String>("plot") {
        draw_plot(&plan, &outcomes, file)
            .map_err(|cause| CommandFault::file(file, &cause))?;
    }
    let records = fleet.records()?;
    fleet.stop();
    if wants_json(matches) {
        print_json(&report);
        return Ok(());
    }
    print_report(&report);
    println!("Some decisions, as `flaxctl explain` shows them:");
    for record in pick_records(&records) {
        print_record(record);
    }
    Ok(())
}

impl DemoFleet {
    /// Starts everything and waits until every instance is ready.
    fn start() -> Result<Self, CommandFault> {
        let any = loopback(0);
        let started = |what: &str| {
            let what = what.to_owned();
            move |cause: std::io::Error| CommandFault::start(&what, &cause)
        };
        let platform = PlatformStandin::start(any).map_err(started("the platform"))?;
        let mut engines = vec![];
        let mut services = vec![];
        for _ in DATA_CENTRES {
            for _ in 0..ENGINES {
                let options =
                    EngineOptions { slots: ENGINE_SLOTS, ..EngineOptions::default() };
                let engine = EngineStandin::start(any, options);
                engines.push(engine.map_err(started("an engine"))?);
            }
            services.push(ServiceStandin::start(any).map_err(started("a service"))?);
        }
        let mut fleet = Self {
            platform,
            engines,
            services,
            instances: vec![],
            entries: vec![],
            admins: vec![],
        };
        fleet.start_instances()?;
        Ok(fleet)
    }

    /// Starts the entry instances and puts the settings in force.
    fn start_instances(&mut self) -> Result<(), CommandFault> {
        let mut listed = vec![];
        for data_centre in DATA_CENTRES {
            for number in 0..INSTANCES {
                let name = format!("{data_centre}-{number}");
                let config = instance_config(&name, data_centre, &self.platform.url());
                let instance = EntryInstance::start(config)
                    .map_err(|fault| CommandFault::start("an entry instance", &fault))?;
                let addresses = instance.addresses();
                self.entries.push(addresses.listen);
                self.admins.push(addresses.admin);
                listed.push(ListedInstance {
                    name,
                    data_centre: data_centre.into(),
                    role: InstanceRole::Entry,
                    state: InstanceState::Live,
                    address: addresses.fleet,
                });
                self.instances.push(instance);
            }
        }
        self.platform.set_instances(listed);
        let client = AdminClient::new(&self.admins[0].to_string(), OPERATOR_KEY);
        client.change::<Value>("/settings", 0, &self.settings()?)?;
        let start = Instant::now();
        while !self.instances.iter().all(EntryInstance::ready) {
            if start.elapsed() > READY_WAIT {
                return Err(CommandFault::start("the fleet", &"instances aren't ready"));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Builds the settings tree with the addresses of this run.
    fn settings(&self) -> Result<SettingsTree, CommandFault> {
        let mut text = SETTINGS
            .replace("HASH_OF_ARICA", &hash_key(SMALL_KEY))
            .replace("HASH_OF_SANTIAGO", &hash_key(LARGE_KEY));
        text.push_str("data_centres:\n");
        for (index, data_centre) in DATA_CENTRES.iter().enumerate() {
            text.push_str(&format!("  {data_centre}:\n    region: chile-central\n"));
            text.push_str("    engines:\n");
            let engines = self.engines.iter().skip(index * ENGINES).take(ENGINES);
            for (number, engine) in engines.enumerate() {
                text.push_str(&format!(
                    "      {data_centre}-engine-{number}: {{address: '{}', \
                     models: [proyecta-8b], slots: {ENGINE_SLOTS}}}\n",
                    engine.address()
                ));
            }
            text.push_str(&format!(
                "    plain_servers:\n      {data_centre}-booking: {{address: '{}', \
                 service: booking, slots: 64}}\n",
                self.services[index].address()
            ));
        }
        SettingsTree::parse(&text)
            .map_err(|fault| CommandFault::start("the settings", &fault))
    }

    /// Returns what the load is sent to.
    fn targets(&self) -> LoadTargets {
        LoadTargets {
            entries: self.entries.clone(),
            engines: self.engines.iter().map(EngineStandin::address).collect(),
            services: self.services.iter().map(ServiceStandin::address).collect(),
        }
    }

    /// Reads the newest decisions of every instance.
    fn records(&self) -> Result<Vec<DecisionRecord>, CommandFault> {
        let mut records = vec![];
        for admin in &self.admins {
            let client = AdminClient::new(&admin.to_string(), OPERATOR_KEY);
            let newest: Vec<DecisionRecord> = client.get("/decisions?count=2000")?;
            records.extend(newest);
        }
        Ok(records)
    }

    /// Stops the entry instances, all at once.
    fn stop(self) {
        let stops: Vec<_> = self
            .instances
            .into_iter()
            .map(|instance| std::thread::spawn(move || instance.stop()))
            .collect();
        for stop in stops {
            // A thread that panicked has said so.
            let _ = stop.join();
        }
    }
}

/// Builds the instance file of one instance.
fn instance_config(name: &str, data_centre: &str, platform: &str) -> InstanceConfig {
    let text = format!(
        "name: {name}\ndata_centre: {data_centre}\nlisten: 127.0.0.1:0\nadmin: 127.0.0.1:0\n\
         fleet: 127.0.0.1:0\nplatform: {platform}\noperator_key_hashes: ['{}']\nsettings_poll: 500ms\n\
         beat_period: 500ms\nstop_notice: 100ms\n",
        hash_key(OPERATOR_KEY),
    );
    InstanceConfig::parse(&text).expect("the file is written right above")
}

/// Plans the load: clerks' drafts with a burst, questions, batches, and confirmations.
fn plan(seed: u64, seconds: u64) -> LoadPlan {
    let millis = seconds * 1000;
    let burst = LoadBurst {
        at_ms: millis * 2 / 5,
        for_ms: millis / 5,
        factor: 12.0,
    };
    let model = || StreamTarget::Model("proyecta-8b".into());
    let stream = |class: &str, key: &str, rate: f64, target, first_token_ms| LoadStream {
        class: class.into(),
        key: key.into(),
        rate,
        target,
        burst: None,
        first_token_ms,
        between_tokens_ms: 67,
        prompt_bytes: 800,
    };
    let confirmations = StreamTarget::Service("booking".into());
    let mut drafts = stream("grid-draft", SMALL_KEY, 40.0, model(), 800);
    drafts.burst = Some(burst);
    let mut questions = stream("question", LARGE_KEY, 40.0, model(), 1300);
    questions.burst = Some(burst);
    let streams = vec![
        drafts,
        questions,
        stream("summary", LARGE_KEY, 30.0, model(), 20_000),
        stream("confirmation", SMALL_KEY, 10.0, confirmations, 1000),
    ];
    LoadPlan { seed, millis, streams }
}

/// Picks a few records that show unlike decisions.
fn pick_records(records: &[DecisionRecord]) -> Vec<&DecisionRecord> {
    let has = |wanted: fn(&StepKind) -> bool| {
        records
            .iter()
            .find(|record| record.steps.iter().any(|step| wanted(&step.kind)))
    };
    let picked = [
        has(|kind| matches!(kind, StepKind::Refused { .. })),
        has(|kind| matches!(kind, StepKind::Queued { .. })),
        has(|kind| matches!(kind, StepKind::Claimed)),
    ];
    picked.into_iter().flatten().collect()
}

/// Returns an address of loopback.
fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
