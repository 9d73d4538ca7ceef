//! Contract of the operators' and health interfaces: docs/INTERFACES.md, against a real daemon.

mod support;

use support::raw::{self, OPERATOR, Row, row};

fn token_rows() -> Vec<Row> {
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
const FULL: &[&str] = &[OPERATOR, "if-match: 1", "eelgrassvalve-request-id: r"];
const SECOND: &[&str] = &[OPERATOR, "if-match: 1", "eelgrassvalve-request-id: r2"];
const THIRD: &[&str] = &[OPERATOR, "if-match: 1", "eelgrassvalve-request-id: r3"];

fn config_rows() -> Vec<Row> {
    let bad = (400, "bad_request");
    let unsatisfiable = (422, "unsatisfiable");
    let mut rows = vec![
        row(PUT, &[OPERATOR, "eelgrassvalve-request-id: r"], "{}", bad),
        row(PUT, &[OPERATOR, "if-match: x", "eelgrassvalve-request-id: r"], "{}", bad),
        row(PUT, &[OPERATOR, "if-match: 1", "if-match: 2"], "{}", bad),
        row(PUT, &[OPERATOR, "if-match: 1"], "{}", bad),
        row(PUT, &[OPERATOR, "if-match: 1", "eelgrassvalve-request-id:"], "{}", bad),
        row(
            PUT,
            &[OPERATOR, "if-match: 7", "eelgrassvalve-request-id: c"],
            "{}",
            (409, "conflict"),
        ),
        row(PUT, FULL, r#"{"kinds":[],"kinds":[]}"#, bad),
        row(PUT, FULL, r#"{"claims":{"capacity":-1}}"#, bad),
        row(PUT, FULL, r#"{"customers":[{"name":"a","colour":1}]}"#, bad),
        row(PUT, FULL, r#"{"customers":[{"name":"A b"}]}"#, unsatisfiable),
        // A resend gets the first outcome; the id can't be used for another document.
        row(PUT, FULL, r#"{"customers":[{"name":"A b"}]}"#, unsatisfiable),
        row(PUT, FULL, "{}", (422, "key_reused")),
        row(PUT, SECOND, r#"{"customers":[{"name":"a"},{"name":"a"}]}"#, unsatisfiable),
        row(PUT, THIRD, r#"{"placement":{"policy":"none"}}"#, unsatisfiable),
        row(PUT, FULL, vec![b' '; (4 << 20) + 1], (413, "too_large")),
    ];
    for line in [PUT, "POST /v1/config/check"] {
        for body in raw::malformed_bodies() {
            rows.push(row(line, FULL, body, bad));
        }
    }
    rows
}

fn other_rows() -> Vec<Row> {
    let bad = (400, "bad_request");
    let missing = (404, "not_found");
    let mut rows = vec![
        row("POST /v1/members", &[OPERATOR], r#"{"name":"A b"}"#, bad),
        row("DELETE /v1/members/xyz", &[OPERATOR], "", bad),
        row("POST /v1/workers/A/drain", &[OPERATOR], r#"{"draining":true}"#, bad),
        row("POST /v1/workers/a/drain", &[OPERATOR], r#"{"draining":1}"#, bad),
        row("POST /v1/upstreams/none/drain", &[OPERATOR], r#"{"draining":true}"#, missing),
    ];
    for line in ["POST /v1/members", "POST /v1/workers/a/drain"] {
        for body in raw::malformed_bodies() {
            rows.push(row(line, &[OPERATOR], body, bad));
        }
    }
    let lines = ["GET /", "DELETE /v1/config", "GET /v1/config/check", "PUT /v1/status", "GET /v1"];
    for line in lines {
        rows.push(row(line, &[OPERATOR], "", missing));
    }
    for line in ["POST /v1/jobs", "GET /v1/members/a", "GET /v1/workers/a/drain"] {
        rows.push(row(line, &[OPERATOR], "", missing));
    }
    rows
}

#[tokio::test(flavor = "multi_thread")]
async fn the_operators_interface_keeps_its_contract() {
    let cluster = raw::start_with_tokens().await;
    raw::configure(&cluster).await;
    let address = cluster.hosts[0].operators();
    for rows in [token_rows(), config_rows(), other_rows()] {
        raw::check_refusals(address, &rows).await;
    }
    // A resend with the same id gets the first outcome, whatever its version says now.
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
    let checked: serde_json::Value = serde_json::from_str(&checked.body).expect("is JSON");
    let paths: Vec<_> = checked["faults"].as_array().expect("a list").iter().collect();
    assert_eq!(paths[0]["path"], "placement.policy");
    assert_eq!(paths[1]["path"], "placement.completion_weight");
    let drain = br#"{"draining":true}"#;
    let drained = raw::send(address, "POST /v1/workers/a/drain", &[OPERATOR], drain).await;
    assert_eq!(drained.status, 200, "{drained:?}");

    let health = cluster.hosts[0].health();
    for (path, begins) in [("/livez", "live"), ("/readyz", "ready"), ("/metrics", "# ")] {
        let reply = raw::send(health, &format!("GET {path}"), &[], b"").await;
        assert!(reply.status == 200 && reply.body.starts_with(begins), "{reply:?}");
        let scraped = reply.body.contains("eelgrassvalve_lease_age_ms");
        assert_eq!(scraped, path == "/metrics");
    }
    let missing = [
        row("GET /", &[], "", (404, "not_found")),
        row("POST /livez", &[], "", (404, "not_found")),
    ];
    raw::check_refusals(health, &missing).await;
}
