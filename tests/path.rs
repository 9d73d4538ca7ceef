//! End-to-end test with three daemon processes.

mod support;

use std::time::Duration;

use eelgrassvalve::entry::operator::Config;
use eelgrassvalve::state::document::Document;
use eelgrassvalve::state::job::{Job, Phase};
use http::Method;
use support::cluster::Cluster;
use support::upstream::Upstream;
use support::wait_until;
use support::worker::{Behavior, Worker};

fn document() -> Document {
    serde_json::from_value(serde_json::json!({
        "kinds": [{ "name": "plan", "rank": 0 }, { "name": "train", "rank": 1 }],
        "customers": [{ "name": "anyone" }],
    }))
    .expect("the document is valid")
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_jobs_and_configuration_work_through_any_of_three_daemons() {
    let cluster = Cluster::start(3, 3).await;
    let configured = cluster.apply(1, &document()).await.expect("the document is accepted");
    assert_eq!((configured.version, configured.state.as_str()), (1, "in_force"));
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();

    let upstream =
        Upstream::start("runner-1", &["plan"], Duration::from_millis(5), &platform).await;
    let _workers = [
        Worker::start("worker-1", "rack-1", "zone-1", Behavior::Normal, &platform),
        Worker::start("worker-2", "rack-1", "zone-1", Behavior::Normal, &platform),
    ];

    for entry in 0..3 {
        let payload = format!("round {entry}");
        let key = format!("key-{entry}");
        let headers = [("idempotency-key", key.as_str())];
        let client = cluster.caller_client(entry);
        let answer = client
            .send(Method::POST, "/v1/requests/plan", &headers, payload.clone().into())
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        assert_eq!(answer.body, format!("plan:{payload}"));
        assert_eq!(upstream.count(&payload), 1);

        // A resend through another entry gets the recorded answer.
        let client = cluster.caller_client((entry + 1) % 3);
        let resent = client
            .send(Method::POST, "/v1/requests/plan", &headers, payload.clone().into())
            .await
            .expect("an answer");
        assert_eq!(resent.body, answer.body);
        assert_eq!(upstream.count(&payload), 1);
    }

    let spec = serde_json::json!({
        "kind": "train", "parts": 2, "accelerators": 8, "payload": "100",
    });
    let job: Job = cluster
        .caller_client(2)
        .json(Method::POST, "/v1/jobs", &[], Some(&spec))
        .await
        .expect("the job is accepted");
    let path = format!("/v1/jobs/{}?wait_ms=1000", job.id);
    let ended = wait_until("the job to end", || async {
        let job: Job = cluster.caller_client(0).get(&path).await.ok()?;
        job.phase.is_terminal().then_some(job)
    })
    .await;
    assert_eq!(ended.phase, Phase::Finished);

    let mut changed = document();
    changed.kinds[0].deadline_ms = 5_000;
    let configured = cluster.apply(0, &changed).await.expect("the change is accepted");
    assert_eq!((configured.version, configured.state.as_str()), (2, "in_force"));
    for entry in 0..3 {
        let config: Config = cluster.config(entry).await.expect("the configuration is readable");
        assert_eq!((config.version, &config.document), (2, &changed));
    }
}
