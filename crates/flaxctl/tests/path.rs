//! The whole path, every program a process of its own.

use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// The operator's key.
const KEY: &str = "operator-key";

/// A process that ends with the test.
struct TestProcess {
    /// The process.
    child: Child,
    /// The first line that it printed.
    line: String,
}

impl TestProcess {
    /// Starts a program and waits for its first line.
    fn start(program: &Path, args: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .env("FLAXTIDE_LOG", "error")
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        Self { child, line }
    }

    /// Returns the address at the end of the first line.
    fn address(&self) -> &str {
        let word = self.line.split_whitespace().last().unwrap();
        word.trim_start_matches("http://")
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the operators' program.
fn flaxctl() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_flaxctl"))
}

/// Returns the entry instance's program, which is built beside the operators'. A test run
/// of this package alone doesn't build it, so that is done here.
fn flaxtide() -> PathBuf {
    let path = flaxctl().with_file_name("flaxtide");
    if !path.exists() {
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "-p", "flaxtide", "--bin", "flaxtide"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        assert!(build.status().unwrap().success());
    }
    path
}

/// Runs the operators' program and returns what it printed as JSON.
fn run(args: &[&str]) -> Value {
    let output = Command::new(flaxctl()).args(args).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let faults = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{args:?}: {faults}");
    let last = text.lines().last().unwrap_or_default();
    serde_json::from_str(last).unwrap_or_else(|_| panic!("{args:?}: {text}"))
}

/// Writes a file for this test.
fn write_file(name: &str, text: &str) -> String {
    let file = format!("flaxtide-path-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

/// Hashes a key by the operators' program.
fn hash_key(key: &str) -> String {
    let mut child = Command::new(flaxctl())
        .args(["settings", "hash-key"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(key.as_bytes()).unwrap();
    let output = child.wait_with_output().unwrap();
    String::from_utf8(output.stdout).unwrap().trim().to_owned()
}

/// Streams a request through an instance and returns its id.
fn stream(listen: &str, prompt: &str) -> String {
    let body = json!({
        "model": "m",
        "stream": true,
        "max_tokens": 20,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let response = attohttpc::post(format!("http://{listen}/v1/chat/completions"))
        .header("Authorization", "Bearer caller-key")
        .json(&body)
        .unwrap()
        .send()
        .unwrap();
    let id = response.headers()["X-Request-Id"].to_str().unwrap().to_owned();
    let text = response.text().unwrap();
    assert!(text.trim_end().ends_with("data: [DONE]"), "{text}");
    id
}

#[test]
fn a_request_and_a_setting_go_the_whole_way_through_separate_processes() {
    let any = ["--listen", "127.0.0.1:0"];
    let standin =
        |kind: &str| TestProcess::start(&flaxctl(), &["stand-in", kind, any[0], any[1]]);
    let platform = standin("platform");
    let engines = [standin("engine"), standin("engine")];
    let service = standin("service");
    let key_file = write_file("key", KEY);
    let hash = hash_key(KEY);
    let instances: Vec<TestProcess> = (0..2)
        .map(|number| {
            let text = format!(
                "name: i{number}\ndata_centre: dc\nlisten: 127.0.0.1:0\nadmin: 127.0.0.1:0\n\
                 fleet: 127.0.0.1:0\nplatform: http://{}\noperator_key_hashes: ['{hash}']\n\
                 settings_poll: 200ms\n",
                platform.address()
            );
            let file = write_file(&format!("i{number}.yaml"), &text);
            TestProcess::start(&flaxtide(), &["serve", "--config", &file])
        })
        .collect();
    let addresses: Vec<Value> = instances
        .iter()
        .map(|instance| serde_json::from_str(&instance.line).unwrap())
        .collect();
    let admin = |index: usize| addresses[index]["admin"].as_str().unwrap();
    let listen = |index: usize| addresses[index]["listen"].as_str().unwrap();
    let settings = format!(
        "tiers: {{fast: {{rank: 0}}}}\nclasses: {{clerk: {{tier: fast}}}}\nmodels: {{m: {{}}}}\n\
         services: {{registry: {{class: clerk, repeatable: true}}}}\n\
         organisations: {{arica: {{class: clerk, key_hashes: ['{}']}}}}\n\
         data_centres:\n  dc:\n    engines:\n\
         \x20     e0: {{address: '{}', models: [m], slots: 4}}\n\
         \x20     e1: {{address: '{}', models: [m], slots: 4}}\n\
         \x20   plain_servers:\n\
         \x20     s0: {{address: '{}', service: registry, slots: 4}}\n",
        hash_key("caller-key"),
        engines[0].address(),
        engines[1].address(),
        service.address(),
    );
    let file = write_file("settings.yaml", &settings);
    let to = |index: usize| ["--admin", admin(index), "--key-file", &key_file, "--json"];
    let with = |args: &[&str], index: usize| run(&[args, &to(index)].concat());
    assert_eq!(with(&["settings", "edit", &file], 0)["version"], 1);
    wait_for_version(&with, 1, 1);
    for index in 0..2 {
        let id = stream(listen(index), &format!("a prompt through {index}"));
        let record = with(&["explain", &id], index);
        let steps = record["steps"].as_array().unwrap();
        assert_eq!(steps.first().unwrap()["step"], "dispatched", "{record}");
        assert_eq!(steps.last().unwrap()["step"], "answered", "{record}");
    }
    let call =
        attohttpc::get(format!("http://{}/services/registry/titles?q=1", listen(1)));
    let call = call.header("Authorization", "Bearer caller-key").send().unwrap();
    assert_eq!(call.status().as_u16(), 200);
    let path = "classes.clerk.policy.target.first_token";
    assert_eq!(with(&["settings", "set", path, "900ms"], 0)["version"], 2);
    wait_for_version(&with, 1, 2);
    let effective = with(&["settings", "get", "--effective", "classes.clerk"], 1);
    assert_eq!(effective[0]["value"], "900ms");
    assert_eq!(effective[0]["source"], "classes.clerk");
    let audit = with(&["audit"], 1);
    assert_eq!(audit[1]["operator"], "instance-file");
}

/// Waits until an instance has a settings version in force.
fn wait_for_version(with: &dyn Fn(&[&str], usize) -> Value, index: usize, version: u64) {
    let start = Instant::now();
    loop {
        let status = with(&["status"], index);
        if status[0]["settings_version"].as_u64() >= Some(version) {
            return;
        }
        assert!(start.elapsed() < Duration::from_secs(30), "{status}");
        thread::sleep(Duration::from_millis(50));
    }
}
