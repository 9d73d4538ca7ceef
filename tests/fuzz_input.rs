//! Property tests: arbitrary and mutated input gives a value or a typed error, never a panic.

use std::path::Path;

use eelgrassvalve::entry::platform::Poll;
use eelgrassvalve::entry::{http, token};
use eelgrassvalve::error::Code;
use eelgrassvalve::routing::upstream::Announcement;
use eelgrassvalve::settings::Settings;
use eelgrassvalve::state::document::Document;
use eelgrassvalve::state::job::Spec;
use eelgrassvalve::verdict::Verdict;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::RngSeed;

const SETTINGS: &str = include_str!("../examples/tiffinpath/tiffinpath-1.toml");
const TOKENS: &str = include_str!("../examples/tiffinpath/tokens.toml");
const DOCUMENT: &str = include_str!("../examples/kinisi/config.json");
const SPEC: &str = r#"{"kind":"train","parts":2,"accelerators":8,"run_ms":5,"deadline_ms":9,
    "idempotent":true,"adjacency":"rack","payload":"p"}"#;
const POLL: &str = r#"{"seen":1,"report":{"incarnation":1,"rack":"r","zone":"z","shape":
    {"accelerators":8,"cores":64,"memory_mib":9},"tasks":[{"job":"j","part":0,"epoch":1,
    "state":"running","checkpoint":"c","usage_percent":5}]}}"#;
const ANNOUNCE: &str = r#"{"address":"127.0.0.1:9","zone":"z","slots":8,"connections":60,
    "kinds":["plan"],"incarnation":1,"sequence":1,"state":"leaving"}"#;

// Text that parsers treat specially, or a few random bytes.
fn fragment() -> impl Strategy<Value = Vec<u8>> {
    let special = select(vec![
        "\"",
        "\\u0000",
        "\\ud800",
        "[",
        "]]",
        "{",
        "}",
        "=",
        ".",
        ",",
        "\n",
        "\r\n",
        "'''",
        "é",
        "\u{10ffff}",
        "-1",
        "1e999",
        "99999999999999999999",
        "0x7f",
        "null",
        "[[peer]]",
        "#",
        "",
    ]);
    prop_oneof![special.prop_map(|text| text.as_bytes().to_vec()), vec(any::<u8>(), 0..6),]
}

// A valid text in which some ranges are replaced.
fn mutated_input(valid: &'static str) -> impl Strategy<Value = Vec<u8>> {
    vec((any::<Index>(), 0..12usize, fragment()), 1..5).prop_map(move |changes| {
        let mut bytes = valid.as_bytes().to_vec();
        for (position, length, fragment) in changes {
            let start = position.index(bytes.len() + 1);
            let end = (start + length).min(bytes.len());
            bytes.splice(start..end, fragment);
        }
        bytes
    })
}

fn arbitrary_input() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        vec(any::<u8>(), 0..400),
        vec(fragment(), 0..60).prop_map(|fragments| fragments.concat())
    ]
}

fn input(valid: &'static str) -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![mutated_input(valid), arbitrary_input()]
}

fn check_json<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<(), TestCaseError> {
    if let Err(error) = http::parse_json::<T>(bytes) {
        prop_assert_eq!((error.code, error.verdict), (Code::BadRequest, Verdict::NotRun));
        prop_assert!(error.message.len() < 1_000 + bytes.len());
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..<_>::default() })]

    #[test]
    fn settings_faults_lie_inside_the_text(bytes in input(SETTINGS)) {
        let text = String::from_utf8_lossy(&bytes);
        if let Err(faults) = Settings::parse(&text, "a.toml", Path::new(".")) {
            let lines = text.matches('\n').count() + 1;
            for fault in faults.faults() {
                prop_assert!((1..=lines).contains(&fault.line), "{fault:?}");
                prop_assert!(fault.span.start <= fault.span.end, "{fault:?}");
                prop_assert!(fault.span.end <= text.len(), "{fault:?}");
            }
            // The rendered report uses the same spans.
            let report = format!("{:?}", miette::Report::new(faults));
            prop_assert!(!report.is_empty());
        }
    }

    #[test]
    fn token_file_errors_have_details(bytes in input(TOKENS)) {
        let text = String::from_utf8_lossy(&bytes);
        if let Err(detail) = token::Table::parse(&text) {
            prop_assert!(!detail.is_empty());
        }
    }

    #[test]
    fn documents_give_typed_errors_or_round_trip(bytes in input(DOCUMENT)) {
        check_json::<Document>(&bytes)?;
        if let Ok(document) = http::parse_json::<Document>(&bytes) {
            for fault in document.faults() {
                prop_assert!(!fault.path.is_empty() && !fault.message.is_empty());
            }
            let text = serde_json::to_vec(&document).expect("a document encodes");
            prop_assert_eq!(
                http::parse_json::<Document>(&text).expect("the document decodes"),
                document
            );
        }
    }

    #[test]
    fn request_bodies_give_typed_errors(
        spec in input(SPEC), poll in input(POLL), announce in input(ANNOUNCE),
    ) {
        check_json::<Spec>(&spec)?;
        check_json::<Poll>(&poll)?;
        check_json::<Announcement>(&announce)?;
    }
}
