//! The command-line tool and the subcommands of the daemon, run as processes.

mod support;

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use rstest::rstest;
use support::cluster::{Cluster, daemon_path, tool_path};
use support::upstream::Upstream;
use support::wait_until;
use support::worker::{Behavior, Worker};

fn run(program: PathBuf, arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(program)
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut pipe = child.stdin.take().expect("stdin is piped");
    // The write fails if the program exits without reading its input.
    let _ = pipe.write_all(input.as_bytes());
    drop(pipe);
    child.wait_with_output().expect("the program ends")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

struct Tool {
    callers: String,
    operators: String,
}

impl Tool {
    async fn run(&self, arguments: &[&str]) -> (i32, String) {
        let mut all_arguments = vec!["--callers", &self.callers, "--operators", &self.operators];
        all_arguments.extend_from_slice(arguments);
        let output = tokio::task::block_in_place(|| run(tool_path(), &all_arguments, ""));
        (output.status.code().expect("no signal ended the tool"), stdout(&output))
    }
}

#[rstest]
#[case::help(&["--help"], 0)]
#[case::no_arguments(&[], 2)]
#[case::unknown_command(&["frobnicate"], 2)]
#[case::bad_address(&["--operators", "here", "status"], 2)]
#[case::missing_file(&["config", "check", "/none/config.json"], 2)]
#[case::bad_deadline(&["request", "plan", "x", "--deadline-ms", "0"], 2)]
#[case::connection_refused(&["--callers", "127.0.0.1:9", "request", "plan", "x"], 3)]
#[case::bad_path(&["request", "a b", "x"], 3)]
#[case::bad_key(&["request", "plan", "x", "--key", "a\nb"], 3)]
fn arguments_determine_the_exit_code(#[case] arguments: &[&str], #[case] code: i32) {
    let output = run(tool_path(), arguments, "");
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}

#[test]
fn help_lists_examples_and_exit_codes() {
    let help = stdout(&run(tool_path(), &["--help"], ""));
    for part in ["Examples:", "Exit codes:", "config apply", "may have run"] {
        assert!(help.contains(part), "{part}: {help}");
    }
    assert!(stdout(&run(daemon_path(), &["--help"], "")).contains("bootstrap --settings"));
}

#[test]
fn daemon_prints_the_digest_of_a_token() {
    let output = run(daemon_path(), &["token"], "example-operator\n");
    let digest = "f667d28fdd54353c116d8688b1e9bf80c68f77428253075a24833bc4f8dad41e\n";
    assert_eq!(stdout(&output), digest);
    for input in ["", "\n", "two words", "\u{e9}"] {
        assert_eq!(run(daemon_path(), &["token"], input).status.code(), Some(2), "{input:?}");
    }
}

#[test]
fn check_reports_all_faults_with_line_and_key() {
    let cluster = Cluster::new(1, 1);
    cluster.write_settings(0, &|peer| peer.mesh());
    let path = cluster.settings_path(0);
    let text = std::fs::read_to_string(&path).expect("the settings were written");
    let faulty = text
        .replace(&cluster.hosts[0].operators().to_string(), "here")
        .replace("[mesh]", "[times]\nelection_ms = 1\nelectoin_ms = 5\n[mesh]");
    let path_text = path.to_str().expect("is UTF-8");
    assert_eq!(run(daemon_path(), &["check", "--settings", path_text], "").status.code(), Some(0));
    std::fs::write(&path, faulty).expect("the folder can be written");
    let output = run(daemon_path(), &["check", "--settings", path_text], "");
    assert_eq!(output.status.code(), Some(2));
    let report = String::from_utf8_lossy(&output.stderr).replace('\n', " ");
    let parts =
        ["3 faults", "host-1.toml", "line 8, listen.operators", "line 13, times.election_ms"];
    for part in parts.iter().chain(&["line 14, times.electoin_ms"]) {
        assert!(report.contains(part), "{part}: {report}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn tool_operates_a_daemon() {
    let cluster = Cluster::start(1, 1).await;
    let host = &cluster.hosts[0];
    let tool =
        Tool { callers: host.callers().to_string(), operators: host.operators().to_string() };
    let document = cluster.folder.join("config.json");
    let job = cluster.folder.join("job.json");
    let (document, job) = (document.to_str().expect("UTF-8"), job.to_str().expect("UTF-8"));
    let text = r#"{"kinds":[{"name":"plan","rank":0},{"name":"slow","rank":0}],
        "customers":[{"name":"anyone"}]}"#;
    std::fs::write(document, text).expect("the folder can be written");
    std::fs::write(job, r#"{"kind":"plan","accelerators":8,"payload":"20"}"#)
        .expect("the folder can be written");

    assert_eq!(tool.run(&["config", "check", document]).await, (0, "faults  none\n".into()));
    let (code, text) = tool.run(&["config", "apply", document]).await;
    assert!(code == 0 && text.contains("in_force"), "{text}");
    let (code, _) = tool.run(&["config", "apply", document, "--version", "7"]).await;
    assert_eq!(code, 3);
    let (code, text) = tool.run(&["config", "get", "--output", "json"]).await;
    let config: serde_json::Value = serde_json::from_str(&text).expect("the output is JSON");
    assert_eq!((code, &config["version"]), (0, &1.into()));

    check_verdicts(&cluster, &tool).await;
    check_jobs(&cluster, &tool, job).await;
    let (_, members) = tool.run(&["members"]).await;
    assert!(members.starts_with("ID "), "{members}");
    let (code, _) = tool.run(&["drain", "upstream", "none"]).await;
    assert_eq!(code, 3);
}

async fn check_verdicts(cluster: &Cluster, tool: &Tool) {
    let platform = [cluster.hosts[0].platform()];
    let fast = Upstream::start("runner-1", &["plan"], Duration::ZERO, &platform);
    let slow = Upstream::start("runner-2", &["slow"], Duration::from_secs(5), &platform);
    let _upstreams = (fast.await, slow.await);
    wait_until("the upstreams to be listed", || async {
        let (_, text) = tool.run(&["upstreams"]).await;
        // The table shows no raw JSON.
        assert!(!text.contains('{') && !text.contains('['), "{text}");
        (text.contains("runner-1") && text.contains("runner-2")).then_some(())
    })
    .await;
    let result = tool.run(&["request", "plan", "round 7", "--key", "k"]).await;
    assert_eq!(result, (0, "plan:round 7".into()));
    let failures = [
        (&["request", "plan", "other", "--key", "k"][..], 3),
        (&["request", "none", "x"], 3),
        (&["request", "slow", "x", "--deadline-ms", "100"], 4),
    ];
    for (arguments, expected) in failures {
        let (code, _) = tool.run(arguments).await;
        assert_eq!(code, expected, "{arguments:?}");
    }
}

async fn check_jobs(cluster: &Cluster, tool: &Tool, file: &str) {
    let platform = [cluster.hosts[0].platform()];
    let _worker = Worker::start("worker-1", "rack-1", "zone-1", Behavior::Normal, &platform);
    let (code, text) = tool.run(&["job", "submit", file, "--key", "night-1"]).await;
    assert!(code == 0 && text.contains("anyone.night-1"), "{text}");
    let (code, text) = tool.run(&["job", "wait", "anyone.night-1"]).await;
    assert!(code == 0 && text.contains("finished"), "{text}");
    let (_, text) = tool.run(&["workers"]).await;
    assert!(text.contains("worker-1") && !text.contains('{'), "{text}");
    let (code, _) = tool.run(&["job", "get", "anyone.none"]).await;
    assert_eq!(code, 3);
}
