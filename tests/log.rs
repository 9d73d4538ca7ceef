//! Rate limit of the log, and search for the lines about an id.

use std::io::Write;
use std::sync::{Arc, Mutex};

use eelgrassvalve::cmd::explain::{Line, find_deciding_line, find_lines};
use eelgrassvalve::telemetry::Limiter;
use rstest::rstest;
use tracing_subscriber::layer::{Layer, SubscriberExt};

/// Rate limit for each kind of line.
const LINES_PER_SECOND: u64 = 50;

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no writer panicked").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// 10,000 lines of one kind stay within the rate limit for the time that they take. A rare line of
/// another kind is still written, and dropped lines are counted.
#[test]
fn rate_limit_applies_to_each_kind_of_line() {
    let buffer = Buffer::default();
    let writer = buffer.clone();
    let layer = tracing_subscriber::fmt::layer().json().with_writer(move || writer.clone());
    let layer = layer.with_filter(Limiter::new(LINES_PER_SECOND));
    let subscriber = tracing_subscriber::registry().with(layer);
    let start = std::time::Instant::now();
    tracing::subscriber::with_default(subscriber, || {
        for task in 0..10_000 {
            tracing::info!(target: "decision", task, "task started");
        }
        tracing::info!(target: "decision", "rare");
    });
    let seconds = start.elapsed().as_secs() + 2;
    let text = String::from_utf8(buffer.0.lock().expect("no writer panicked").clone())
        .expect("the log is UTF-8");
    let written = text.matches("task started").count() as u64;
    assert!(
        written >= LINES_PER_SECOND && written <= LINES_PER_SECOND * seconds,
        "{written} lines"
    );
    assert!(text.contains("rare"));
    assert_eq!(Limiter::take_dropped(), 10_000 - written);
}

#[rstest]
#[case::own_log(
    r#"{"timestamp":"t1","level":"INFO","message":"job accepted","job":"00"}"#,
    Some("core-1")
)]
#[case::collected(
    r#"  1.5 core-9 {"timestamp":"t1","message":"job accepted","job":"00"}"#,
    Some("core-9")
)]
#[case::not_json("panicked at", None)]
#[case::truncated(r#"{"timestamp":"t1""#, None)]
fn line_is_parsed_with_its_process(#[case] text: &str, #[case] process: Option<&str>) {
    let line = Line::parse(text, "core-1");
    assert_eq!(line.as_ref().map(|line| line.process.as_str()), process);
}

#[test]
fn lines_about_a_job_are_ordered_and_include_the_deciding_one() {
    let first_leader = r#"{"timestamp":"t2","message":"job accepted","job":"00ab"}
{"timestamp":"t4","message":"run ended","task":"00ab.0.0.0","how":"lapsed"}
{"timestamp":"t3","message":"job accepted","job":"00cd"}"#;
    let second_leader = r#"{"timestamp":"t6","message":"job ended","job":"00ab","phase":"completed","took_ms":9000}"#;
    let entry = r#"{"timestamp":"t1","message":"request refused","subject":"/plan/00ab","code":"no_quorum"}"#;
    let logs: Vec<(String, String)> =
        [("core-1", first_leader), ("core-2", second_leader), ("entry-1", entry)]
            .map(|(file, text)| (file.into(), text.into()))
            .into();
    let lines = find_lines("00ab", &logs);
    let order: Vec<&str> = lines.iter().map(|line| line.message.as_str()).collect();
    assert_eq!(order, ["request refused", "job accepted", "run ended", "job ended"]);
    assert_eq!(find_deciding_line(&lines).map(|line| line.process.as_str()), Some("core-2"));
    assert!(find_lines("00ef", &logs).is_empty());
}
