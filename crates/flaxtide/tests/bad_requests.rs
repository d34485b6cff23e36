//! Bad input gets a clear error that names the remedy.

mod common;

use attohttpc::RequestBuilder;
use common::{FleetShape, ORGANISATION_KEYS, TestFleet};
use flaxtide_core::{FailureBody, RanState};

#[test]
fn every_fault_of_a_request_is_named_with_its_remedy() {
    let fleet = TestFleet::start(&FleetShape { instances: 1, ..FleetShape::default() });
    let listen = fleet.instances[0].addresses.listen;
    let post = |path: &str| attohttpc::post(format!("http://{listen}{path}"));
    let known = format!("Bearer {}", ORGANISATION_KEYS[0]);
    let auth = |request: RequestBuilder| request.header("Authorization", known.clone());
    let chat = || auth(post("/v1/chat/completions"));
    let ask = "{\"model\": \"m\", \"messages\": []}";
    let long = "x".repeat((1 << 20) + 1);
    let cases = [
        ("no key", post("/v1/chat/completions"), ask),
        (
            "unknown key",
            post("/v1/chat/completions").header("Authorization", "Bearer nobody's"),
            ask,
        ),
        ("no such path", auth(post("/v2/chat")), ask),
        ("not POST", auth(attohttpc::get(format!("http://{listen}/v1/completions"))), ""),
        ("not JSON", chat(), "{\"model\": "),
        ("no model", chat(), "{}"),
        ("unknown model", chat(), "{\"model\": \"n\", \"prompt\": \"p\"}"),
        ("no prompt", chat(), "{\"model\": \"m\"}"),
        ("unknown class", chat().header("X-Request-Class", "royal"), ask),
        ("bad deadline", chat().header("X-Deadline-Ms", "soon"), ask),
        ("too long", chat(), long.as_str()),
        ("unknown service", auth(post("/services/nothing/x")), ""),
        ("no idempotency key", auth(post("/services/registry/x")), ""),
        (
            "bad idempotency key",
            auth(post("/services/registry/x")).header("Idempotency-Key", "a/b"),
            "",
        ),
    ];
    let mut report = vec![];
    for (name, request, body) in cases {
        let response = request.text(body).send().unwrap();
        let status = response.status().as_u16();
        let failure: FailureBody = response.json().unwrap();
        // With any idempotency key, an earlier attempt may have run.
        let keyed = name == "bad idempotency key";
        let expected = if keyed { RanState::Unknown } else { RanState::No };
        assert_eq!(failure.ran, expected, "{name}");
        assert_eq!(status, failure.reason.status(), "{name}");
        report.push(format!("{name}: {status} {}; {}", failure.message, failure.remedy));
    }
    insta::assert_snapshot!(report.join("\n"));
}
