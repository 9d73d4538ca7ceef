//! Contract of the operators' and health interfaces (docs/INTERFACES.md), checked on a real daemon.

mod support;

use support::raw::{self, OPERATOR, Row, row};

fn token_refusals() -> Vec<Row> {
    let lines = [
        "GET /v1/config",
        "PUT /v1/config",
        "POST /v1/config/check",
        "GET /v1/status",
        "GET /v1/workers",
        "GET /v1/upstreams",
        "GET /v1/members",
        "POST /v1/members",
        "DELETE /v1/members/a",
        "POST /v1/workers/a/drain",
        "POST /v1/upstreams/a/drain",
        "GET /v1/jobs/a/explain",
    ];
    let mut rows = Vec::new();
    for line in lines {
        rows.push(row(line, &[], "", (401, "unauthorized")));
        rows.push(row(line, &["authorization: Bearer wrong"], "", (401, "unauthorized")));
        rows.push(row(line, &["authorization: Bearer caller"], "", (403, "forbidden")));
        rows.push(row(line, &["authorization: Bearer upstream"], "", (403, "forbidden")));
    }
    rows
}

const PUT: &str = "PUT /v1/config";
const FIRST_CHANGE: &[&str] = &[OPERATOR, "if-match: 1", "eelgrassvalve-request-id: r"];
const SECOND_CHANGE: &[&str] = &[OPERATOR, "if-match: 1", "eelgrassvalve-request-id: r2"];
const THIRD_CHANGE: &[&str] = &[OPERATOR, "if-match: 1", "eelgrassvalve-request-id: r3"];

fn config_refusals() -> Vec<Row> {
    let bad_request = (400, "bad_request");
    let unsatisfiable = (422, "unsatisfiable");
    let mut rows = vec![
        row(PUT, &[OPERATOR, "eelgrassvalve-request-id: r"], "{}", bad_request),
        row(PUT, &[OPERATOR, "if-match: x", "eelgrassvalve-request-id: r"], "{}", bad_request),
        row(PUT, &[OPERATOR, "if-match: 1", "if-match: 2"], "{}", bad_request),
        row(PUT, &[OPERATOR, "if-match: 1"], "{}", bad_request),
        row(PUT, &[OPERATOR, "if-match: 1", "eelgrassvalve-request-id:"], "{}", bad_request),
        row(
            PUT,
            &[OPERATOR, "if-match: 7", "eelgrassvalve-request-id: c"],
            "{}",
            (409, "conflict"),
        ),
        row(PUT, FIRST_CHANGE, r#"{"kinds":[],"kinds":[]}"#, bad_request),
        row(PUT, FIRST_CHANGE, r#"{"claims":{"capacity":-1}}"#, bad_request),
        row(PUT, FIRST_CHANGE, r#"{"customers":[{"name":"a","colour":1}]}"#, bad_request),
        row(PUT, FIRST_CHANGE, r#"{"customers":[{"name":"A b"}]}"#, unsatisfiable),
        // A resend gets the first outcome; the request id cannot be reused for another document.
        row(PUT, FIRST_CHANGE, r#"{"customers":[{"name":"A b"}]}"#, unsatisfiable),
        row(PUT, FIRST_CHANGE, "{}", (422, "key_reused")),
        row(PUT, SECOND_CHANGE, r#"{"customers":[{"name":"a"},{"name":"a"}]}"#, unsatisfiable),
        row(PUT, THIRD_CHANGE, r#"{"placement":{"policy":"none"}}"#, unsatisfiable),
        row(PUT, FIRST_CHANGE, vec![b' '; (4 << 20) + 1], (413, "too_large")),
    ];
    for line in [PUT, "POST /v1/config/check"] {
        for body in raw::malformed_bodies() {
            rows.push(row(line, FIRST_CHANGE, body, bad_request));
        }
    }
    rows
}

fn other_refusals() -> Vec<Row> {
    let bad_request = (400, "bad_request");
    let not_found = (404, "not_found");
    let mut rows = vec![
        row("POST /v1/members", &[OPERATOR], r#"{"name":"A b"}"#, bad_request),
        row("DELETE /v1/members/xyz", &[OPERATOR], "", bad_request),
        row("POST /v1/workers/A/drain", &[OPERATOR], r#"{"draining":true}"#, bad_request),
        row("POST /v1/workers/a/drain", &[OPERATOR], r#"{"draining":1}"#, bad_request),
        row("POST /v1/upstreams/none/drain", &[OPERATOR], r#"{"draining":true}"#, not_found),
        row("POST /v1/upstreams/none/drain", &[OPERATOR], "", not_found),
        row(
            "POST /v1/upstreams/none/drain",
            &[OPERATOR],
            r#"{"draining":false}"#,
            (422, "unsatisfiable"),
        ),
    ];
    for line in ["POST /v1/members", "POST /v1/workers/a/drain"] {
        for body in raw::malformed_bodies() {
            rows.push(row(line, &[OPERATOR], body, bad_request));
        }
    }
    let lines = ["GET /", "DELETE /v1/config", "GET /v1/config/check", "PUT /v1/status", "GET /v1"];
    for line in lines {
        rows.push(row(line, &[OPERATOR], "", not_found));
    }
    for line in ["POST /v1/jobs", "GET /v1/members/a", "GET /v1/workers/a/drain"] {
        rows.push(row(line, &[OPERATOR], "", not_found));
    }
    rows
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_and_health_interfaces_follow_their_contract() {
    let cluster = raw::start_with_tokens().await;
    raw::configure(&cluster).await;
    let address = cluster.hosts[0].operators();
    for rows in [token_refusals(), config_refusals(), other_refusals()] {
        raw::check_refusals(address, &rows).await;
    }
    // A resend with the same request id gets the first outcome, whatever its version is now.
    raw::configure(&cluster).await;
    let config = raw::send(address, "GET /v1/config", &[OPERATOR], b"").await;
    assert!(config.body.starts_with("{\"version\":1,\"document\":{"), "{config:?}");
    let reads = ["/v1/status", "/v1/workers", "/v1/upstreams", "/v1/members", "/v1/jobs/a/explain"];
    for path in reads {
        let reply = raw::send(address, &format!("GET {path}"), &[OPERATOR], b"").await;
        assert_eq!((reply.status, reply.header("eelgrassvalve-verdict")), (200, Some("ran")));
    }
    let faulty = br#"{"placement":{"policy":"none","completion_weight":2.0}}"#;
    let checked = raw::send(address, "POST /v1/config/check", &[OPERATOR], faulty).await;
    let checked: serde_json::Value =
        serde_json::from_str(&checked.body).expect("the answer is JSON");
    let faults: Vec<_> = checked["faults"].as_array().expect("a list").iter().collect();
    assert_eq!(faults[0]["path"], "placement.policy");
    assert_eq!(faults[1]["path"], "placement.completion_weight");
    let drain = br#"{"draining":true}"#;
    let drained = raw::send(address, "POST /v1/workers/a/drain", &[OPERATOR], drain).await;
    assert_eq!(drained.status, 200, "{drained:?}");

    let health = cluster.hosts[0].health();
    for (path, prefix) in [("/livez", "live"), ("/readyz", "ready"), ("/metrics", "# ")] {
        let reply = raw::send(health, &format!("GET {path}"), &[], b"").await;
        assert!(reply.status == 200 && reply.body.starts_with(prefix), "{reply:?}");
        let has_metrics = reply.body.contains("eelgrassvalve_lease_age_ms");
        assert_eq!(has_metrics, path == "/metrics");
    }
    let not_found_rows = [
        row("GET /", &[], "", (404, "not_found")),
        row("POST /livez", &[], "", (404, "not_found")),
    ];
    raw::check_refusals(health, &not_found_rows).await;
}
