//! Contract of the platform's interface (docs/INTERFACES.md), checked on a real daemon with tokens.

mod support;

use std::time::Duration;

use support::raw::{self, Row, row};

const ANNOUNCE: &str = "POST /v1/upstreams/runner-1/announce";
const POLL: &str = "POST /v1/workers/worker-1/poll";
const UPSTREAM: &str = "authorization: Bearer upstream";
const WORKER: &str = "authorization: Bearer worker";
const REPORT: &str = r#"{"report":{"incarnation":1,"rack":"rack-1","zone":"zone-1",
    "shape":{"accelerators":8,"cores":64,"memory_mib":262144}}}"#;
const ANNOUNCEMENT: &str = r#"{"address":"127.0.0.1:9","zone":"zone-1","slots":8,"connections":60,
    "kinds":["plan"],"incarnation":1,"sequence":1,"state":"serving"}"#;

fn refusals() -> Vec<Row> {
    let bad_request = (400, "bad_request");
    let mut rows = vec![
        row(ANNOUNCE, &[], "", (401, "unauthorized")),
        row(ANNOUNCE, &["authorization: Bearer wrong"], "", (401, "unauthorized")),
        row(ANNOUNCE, &["authorization: Bearer worker"], "", (403, "forbidden")),
        row(POLL, &[], "", (401, "unauthorized")),
        row(POLL, &["authorization: Bearer upstream"], "", (403, "forbidden")),
        row(POLL, &["authorization: Bearer caller"], "", (403, "forbidden")),
        row("POST /v1/upstreams/Runner/announce", &[UPSTREAM], ANNOUNCEMENT, bad_request),
        row("POST /v1/upstreams/r%31/announce", &[UPSTREAM], ANNOUNCEMENT, bad_request),
        row("POST /v1/workers/w.1/poll", &[WORKER], REPORT, bad_request),
        row("POST /v1/upstreams//announce", &[UPSTREAM], ANNOUNCEMENT, (404, "not_found")),
        row("POST /v1/workers//poll", &[WORKER], REPORT, (404, "not_found")),
        row("GET /v1/workers/worker-1/poll", &[WORKER], "", (404, "not_found")),
        row("PUT /v1/upstreams/runner-1/announce", &[UPSTREAM], "", (404, "not_found")),
        row("GET /v1/status", &[WORKER], "", (404, "not_found")),
        row(ANNOUNCE, &[UPSTREAM], vec![b' '; (1 << 20) + 1], (413, "too_large")),
        row(POLL, &[WORKER], vec![b' '; (1 << 20) + 1], (413, "too_large")),
    ];
    for body in raw::malformed_bodies() {
        rows.push(row(ANNOUNCE, &[UPSTREAM], &body, bad_request));
        rows.push(row(POLL, &[WORKER], &body, bad_request));
    }
    let announcement_changes = [
        ("127.0.0.1:9", "runner:9"),
        ("127.0.0.1:9", "127.0.0.1"),
        ("\"slots\":8", "\"slots\":-8"),
        ("\"slots\":8", "\"slots\":4294967296"),
        ("\"slots\":8", "\"slots\":8,\"slots\":8"),
        ("\"slots\":8,", ""),
        ("serving", "asleep"),
        ("[\"plan\"]", "\"plan\""),
        ("\"zone\"", "\"colour\":1,\"zone\""),
    ];
    for (from, to) in announcement_changes {
        rows.push(row(ANNOUNCE, &[UPSTREAM], ANNOUNCEMENT.replace(from, to), bad_request));
    }
    let report_changes = [
        ("\"accelerators\":8", "\"accelerators\":33"),
        ("\"accelerators\":8", "\"accelerators\":8.5"),
        ("\"rack\":\"rack-1\",", ""),
        ("\"rack\"", "\"colour\":1,\"rack\""),
        ("\"zone\"", "\"tasks\":{},\"zone\""),
        ("{\"report\"", "{\"seen\":-1,\"report\""),
    ];
    for (from, to) in report_changes {
        rows.push(row(POLL, &[WORKER], REPORT.replace(from, to), bad_request));
    }
    rows
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_interface_follows_its_contract() {
    let cluster = raw::start_with_tokens().await;
    raw::configure(&cluster).await;
    let address = cluster.hosts[0].platform();
    raw::check_refusals(address, &refusals()).await;

    let upstream = raw::start_echo_upstream(Duration::ZERO).await;
    let reply = raw::announce(&cluster, "runner-1", upstream, 1).await;
    let announced: serde_json::Value =
        serde_json::from_str(&reply.body).expect("the answer is JSON");
    assert!(announced["next_ms"].as_u64().is_some_and(|ms| ms > 0), "{reply:?}");
    assert_eq!(announced["entries"][0], address.to_string());

    let reply = raw::send(address, POLL, &[WORKER], REPORT.as_bytes()).await;
    let polled: serde_json::Value = serde_json::from_str(&reply.body).expect("the answer is JSON");
    assert!(polled["lease_ms"].as_u64().is_some_and(|ms| ms > 0), "{reply:?}");
    assert!(polled["next_ms"].is_u64() && polled["revision"].is_u64(), "{reply:?}");
    assert_eq!(polled["orders"], serde_json::json!([]));
    assert_eq!(polled["entries"][0], address.to_string());
    assert_eq!(reply.header("eelgrassvalve-verdict"), Some("ran"));
}
