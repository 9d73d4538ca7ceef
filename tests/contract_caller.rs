//! Contract of the callers' interface (docs/INTERFACES.md), checked on a real daemon with tokens.

mod support;

use std::time::Duration;

use support::cluster::Cluster;
use support::raw::{self, CALLER, Row, row};

const JOB: &str = r#"{"kind":"train","parts":2,"accelerators":8}"#;
const OTHER_CALLER: &str = "authorization: Bearer other";

fn token_refusals() -> Vec<Row> {
    let mut rows = Vec::new();
    for line in ["POST /v1/requests/plan", "POST /v1/jobs", "GET /v1/jobs", "GET /v1/jobs/a"] {
        rows.push(row(line, &[], "x", (401, "unauthorized")));
        rows.push(row(line, &["authorization: Bearer wrong"], "x", (401, "unauthorized")));
        rows.push(row(line, &["authorization: Basic caller"], "x", (401, "unauthorized")));
        rows.push(row(line, &["authorization: Bearer operator"], "x", (403, "forbidden")));
        rows.push(row(line, &["authorization: Bearer worker"], "x", (403, "forbidden")));
    }
    rows.push(row("POST /v1/jobs/cancel", &[], r#"{"ids":[]}"#, (401, "unauthorized")));
    rows.push(row("DELETE /v1/jobs/a", &[], "", (401, "unauthorized")));
    rows
}

fn request_refusals() -> Vec<Row> {
    const LINE: &str = "POST /v1/requests/plan";
    let bad_request = (400, "bad_request");
    let not_found = (404, "not_found");
    let long_body = vec![b'x'; raw::BODY_BYTES + 1];
    vec![
        row(LINE, &[CALLER], "x", bad_request),
        row(LINE, &[CALLER, "idempotency-key:"], "x", bad_request),
        row(LINE, &[CALLER, "idempotency-key: a", "idempotency-key: b"], "x", bad_request),
        row(LINE, &[CALLER, "idempotency-key: \u{e9}"], "x", bad_request),
        row(LINE, &[CALLER, LONG_KEY], "x", bad_request),
        row(
            LINE,
            &[CALLER, "idempotency-key: a", "eelgrassvalve-idempotent: yes"],
            "x",
            bad_request,
        ),
        row(
            LINE,
            &[CALLER, "idempotency-key: a", "eelgrassvalve-deadline-ms: soon"],
            "x",
            bad_request,
        ),
        row(
            LINE,
            &[CALLER, "idempotency-key: a", "eelgrassvalve-deadline-ms: 0"],
            "x",
            bad_request,
        ),
        row(
            LINE,
            &[CALLER, "idempotency-key: a", "eelgrassvalve-deadline-ms: -1"],
            "x",
            bad_request,
        ),
        row(LINE, &[CALLER, "idempotency-key: a", MAX_DEADLINE], "x", bad_request),
        row(LINE, &[CALLER, "idempotency-key: a"], long_body, (413, "too_large")),
        row("POST /v1/requests/none", &[CALLER, "idempotency-key: a"], "x", not_found),
        row("POST /v1/requests/Plan", &[CALLER, "idempotency-key: a"], "x", bad_request),
        row("POST /v1/requests/pl%61n", &[CALLER, "idempotency-key: a"], "x", bad_request),
        row("POST /v1/requests/%ff", &[CALLER, "idempotency-key: a"], "x", bad_request),
        row(
            "POST /v1/requests/train",
            &[CALLER, "idempotency-key: a", "eelgrassvalve-deadline-ms: 50"],
            "x",
            (503, "no_upstream"),
        ),
    ]
}

const MAX_DEADLINE: &str = "eelgrassvalve-deadline-ms: 18446744073709551615";
const LONG_KEY: &str = "idempotency-key: 012345678901234567890123456789012345678901234567890123456789\
    01234567890123456789012345678901234567890123456789012345678901234567890123456789\
    01234567890123456789012345678901234567890123456789012345678901234567890123456789\
    0123456789012345678901234567890123456789";

fn job_refusals() -> Vec<Row> {
    const LINE: &str = "POST /v1/jobs";
    let bad_request = (400, "bad_request");
    let mut rows = Vec::new();
    for body in raw::malformed_bodies() {
        // Bodies over the limit are refused before they are parsed.
        let expected = if body.len() > raw::BODY_BYTES { (413, "too_large") } else { bad_request };
        rows.push(row(LINE, &[CALLER], body, expected));
    }
    let refused = [
        r#"{"kind":"train"}"#,
        r#"{"kind":"train","accelerators":"8"}"#,
        r#"{"kind":"train","accelerators":-1}"#,
        r#"{"kind":"train","accelerators":33}"#,
        r#"{"kind":"train","accelerators":8,"accelerators":8}"#,
        r#"{"kind":"train","accelerators":8,"parts":0}"#,
        r#"{"kind":"train","accelerators":8,"parts":33}"#,
        r#"{"kind":"train","accelerators":8,"colour":"red"}"#,
        r#"{"kind":"train","accelerators":8,"deadline_ms":0}"#,
        r#"{"kind":"train","accelerators":8,"deadline_ms":18446744073709551615}"#,
        r#"{"kind":"train","accelerators":8,"run_ms":18446744073709551615}"#,
        r#"{"kind":"train","accelerators":8,"memory_mib":18446744073709551615}"#,
        r#"{"kind":"train","accelerators":8,"adjacency":"near"}"#,
    ];
    for body in refused {
        rows.push(row(LINE, &[CALLER], body, bad_request));
    }
    let nested = format!("{{\"payload\":{}", "[".repeat(2_000));
    rows.push(row(LINE, &[CALLER], nested, bad_request));
    rows.push(row(LINE, &[CALLER, "idempotency-key: A b"], JOB, bad_request));
    let unknown = JOB.replace("train", "none");
    rows.push(row(LINE, &[CALLER], unknown, (404, "not_found")));
    rows.push(row("GET /v1/jobs/none", &[CALLER], "", (404, "not_found")));
    rows.push(row("GET /v1/jobs/none?wait_ms=x", &[CALLER], "", bad_request));
    rows.push(row("GET /v1/jobs/none?wait_ms=", &[CALLER], "", bad_request));
    rows.push(row("GET /v1/jobs/none?colour=1", &[CALLER], "", bad_request));
    rows.push(row("POST /v1/jobs/cancel", &[CALLER], r#"{"ids":["a"],"x":1}"#, bad_request));
    rows.push(row("POST /v1/jobs/cancel", &[CALLER], r#"{"ids":"a"}"#, bad_request));
    rows
}

fn path_refusals() -> Vec<Row> {
    let lines = [
        "GET /",
        "GET /v1/requests/plan",
        "POST /v1/requests/",
        "POST /v1/requests",
        "PUT /v1/jobs",
        "PATCH /v1/jobs/a",
        "GET /v2/jobs",
        "POST /v1/jobs//",
        "GET /v1/config",
    ];
    let mut rows = Vec::new();
    for line in lines {
        rows.push(row(line, &[CALLER], "", (404, "not_found")));
    }
    rows
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_interface_follows_its_contract() {
    let cluster = raw::start_with_tokens().await;
    raw::configure(&cluster).await;
    let address = cluster.hosts[0].callers();
    for rows in [token_refusals(), request_refusals(), job_refusals(), path_refusals()] {
        raw::check_refusals(address, &rows).await;
    }
    check_resend(&cluster).await;
    check_request(&cluster).await;
    check_jobs(&cluster).await;
    check_malformed(&cluster).await;
}

// The refusal of a declared resend must not be `not_run`: an earlier send may have run.
async fn check_resend(cluster: &Cluster) {
    let address = cluster.hosts[0].callers();
    let key = "idempotency-key: again";
    let deadline = "eelgrassvalve-deadline-ms: 50";
    let rows = [("false", "not_run"), ("true", "may_have_run")];
    for line in ["POST /v1/requests/none", "POST /v1/requests/train"] {
        for (value, verdict) in rows {
            let resend = format!("eelgrassvalve-resend: {value}");
            let reply = raw::send(address, line, &[CALLER, key, deadline, &resend], b"x").await;
            assert!(!(200..300).contains(&reply.status), "{reply:?}");
            assert_eq!(reply.header("eelgrassvalve-verdict"), Some(verdict), "{line} {reply:?}");
            assert!(reply.body.contains(verdict), "{reply:?}");
        }
    }
    let bad_request = row(
        "POST /v1/requests/plan",
        &[CALLER, "idempotency-key: a", "eelgrassvalve-resend: 1"],
        "x",
        (400, "bad_request"),
    );
    raw::check_refusals(address, &[bad_request]).await;
}

async fn check_request(cluster: &Cluster) {
    let upstream = raw::start_echo_upstream(Duration::from_millis(1)).await;
    let announced = raw::announce(cluster, "runner-1", upstream, 1).await;
    assert_eq!(announced.status, 200, "{announced:?}");
    let address = cluster.hosts[0].callers();
    const LINE: &str = "POST /v1/requests/plan";
    let key = "idempotency-key: k-1";
    for _ in 0..2 {
        let reply = raw::send(address, LINE, &[CALLER, key], b"round").await;
        assert_eq!((reply.status, reply.body.as_str()), (200, FIRST_ANSWER));
        assert_eq!(reply.header("eelgrassvalve-verdict"), Some("ran"));
    }
    let reused = row(LINE, &[CALLER, "idempotency-key: k-1"], "other", (422, "key_reused"));
    raw::check_refusals(address, &[reused]).await;
    // Each customer has its own idempotency keys, and a caller cannot act for another customer.
    let customer = "eelgrassvalve-customer: first";
    let reply = raw::send(address, LINE, &[OTHER_CALLER, key, customer], b"other").await;
    assert!(reply.body.ends_with("|second|other"), "{reply:?}");
    let idempotent = "eelgrassvalve-idempotent: true";
    let reply = raw::send(address, LINE, &[CALLER, idempotent], b"round").await;
    assert_eq!((reply.status, reply.body.as_str()), (200, FIRST_ANSWER));
}

const FIRST_ANSWER: &str = "post /v1/run/plan http/1.1|first|round";

async fn check_jobs(cluster: &Cluster) {
    let address = cluster.hosts[0].callers();
    let key = "idempotency-key: night-1";
    let mut submit_times = Vec::new();
    for _ in 0..2 {
        let reply = raw::send(address, "POST /v1/jobs", &[CALLER, key], JOB.as_bytes()).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        let job: serde_json::Value = serde_json::from_str(&reply.body).expect("the answer is JSON");
        assert_eq!((&job["id"], &job["customer"]), (&"first.night-1".into(), &"first".into()));
        submit_times.push(job["submitted_ms"].clone());
    }
    assert_eq!(submit_times[0], submit_times[1], "a resend returns the same job");
    let of_other_customer =
        row("GET /v1/jobs/first.night-1", &[OTHER_CALLER], "", (404, "not_found"));
    raw::check_refusals(address, &[of_other_customer]).await;
    let listed = raw::send(address, "GET /v1/jobs", &[OTHER_CALLER], b"").await;
    assert_eq!((listed.status, listed.body.as_str()), (200, "[]"));
    let ids = br#"{"ids":["first.night-1","first.none"]}"#;
    for (token, cancelled) in [(OTHER_CALLER, 0), (CALLER, 1), (CALLER, 0)] {
        let reply = raw::send(address, "POST /v1/jobs/cancel", &[token], ids).await;
        assert_eq!(reply.body, format!("{{\"cancelled\":{cancelled}}}"));
    }
    let reply = raw::send(address, "GET /v1/jobs/first.night-1?wait_ms=100", &[CALLER], b"").await;
    assert!(reply.body.contains("\"phase\":\"cancelled\""), "{reply:?}");
}

// Answers that the HTTP library generates carry no verdict. The daemon keeps running.
async fn check_malformed(cluster: &Cluster) {
    let address = cluster.hosts[0].callers();
    let long_header = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "x".repeat(1 << 20));
    let many_headers = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(500));
    let two_lengths = "POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nxx";
    let inputs = [
        "\0\0\0\0\r\n\r\n",
        "GET\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        &long_header,
        &many_headers,
        two_lengths,
    ];
    for input in inputs {
        let reply = raw::exchange(address, input.as_bytes()).await;
        assert!(matches!(reply.status, 0 | 400 | 431), "{reply:?}");
    }
    // A stalled body is refused after `times.read_ms`.
    let head = format!("POST /v1/requests/plan HTTP/1.1\r\nhost: test\r\n{CALLER}\r\n");
    let stalled = format!("{head}idempotency-key: s\r\ncontent-length: 10\r\n\r\nab");
    let reply = raw::exchange(address, stalled.as_bytes()).await;
    assert_eq!((reply.status, reply.header("eelgrassvalve-verdict")), (400, Some("not_run")));
    // A stalled head does not block other connections.
    let mut stalled = tokio::net::TcpStream::connect(address).await.expect("the listener accepts");
    tokio::io::AsyncWriteExt::write_all(&mut stalled, b"GET / HT")
        .await
        .expect("the connection is open");
    let reply = raw::send(address, "GET /v1/jobs", &[CALLER], b"").await;
    assert_eq!(reply.status, 200);
}
