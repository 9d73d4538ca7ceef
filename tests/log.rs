//! The bounded log, and finding one's way in it.

use std::io::Write;
use std::sync::{Arc, Mutex};

use eelgrassvalve::cmd::explain::{Line, find_deciding_line, find_lines};
use eelgrassvalve::telemetry::Limiter;
use rstest::rstest;
use tracing_subscriber::layer::{Layer, SubscriberExt};

/// Lines a second of one kind in these tests.
const BUDGET: u64 = 50;

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no writer panicked").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// 10,000 decisions of one kind stay within the budget of the seconds that they take; a rare line of
/// another kind still gets through, and what was kept out is counted.
#[test]
fn the_volume_is_bounded_for_each_kind_of_line() {
    let sink = Sink::default();
    let writer = sink.clone();
    let lines = tracing_subscriber::fmt::layer().json().with_writer(move || writer.clone());
    let lines = lines.with_filter(Limiter::new(BUDGET));
    let subscriber = tracing_subscriber::registry().with(lines);
    let begun = std::time::Instant::now();
    tracing::subscriber::with_default(subscriber, || {
        for task in 0..10_000 {
            tracing::info!(target: "decision", task, "start told");
        }
        tracing::info!(target: "decision", "rare");
    });
    let seconds = begun.elapsed().as_secs() + 2;
    let text = String::from_utf8(sink.0.lock().expect("no writer panicked").clone()).expect("text");
    let common = text.matches("start told").count() as u64;
    assert!(common >= BUDGET && common <= BUDGET * seconds, "{common} lines");
    assert!(text.contains("rare"));
    assert_eq!(Limiter::take_dropped(), 10_000 - common);
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
#[case::no_json("panicked at", None)]
#[case::broken(r#"{"timestamp":"t1""#, None)]
fn a_line_names_its_process(#[case] text: &str, #[case] process: Option<&str>) {
    let line = Line::parse(text, "core-1");
    assert_eq!(line.as_ref().map(|line| line.process.as_str()), process);
}

#[test]
fn lines_about_a_job_come_in_order_and_name_what_decided() {
    let leader = r#"{"timestamp":"t2","message":"job accepted","job":"00ab"}
{"timestamp":"t4","message":"run ended","task":"00ab.0.0.0","how":"lapsed"}
{"timestamp":"t3","message":"job accepted","job":"00cd"}"#;
    let next = r#"{"timestamp":"t6","message":"job ended","job":"00ab","phase":"completed","took_ms":9000}"#;
    let entry = r#"{"timestamp":"t1","message":"request refused","subject":"/plan/00ab","code":"no_quorum"}"#;
    let logs: Vec<(String, String)> = [("core-1", leader), ("core-2", next), ("entry-1", entry)]
        .map(|(file, text)| (file.into(), text.into()))
        .into();
    let lines = find_lines("00ab", &logs);
    let order: Vec<&str> = lines.iter().map(|line| line.message.as_str()).collect();
    assert_eq!(order, ["request refused", "job accepted", "run ended", "job ended"]);
    assert_eq!(find_deciding_line(&lines).map(|line| line.process.as_str()), Some("core-2"));
    assert!(find_lines("00ef", &logs).is_empty());
}
