//! Settings files: the examples are valid, and all faults are reported together with their keys.

use std::path::{Path, PathBuf};

use eelgrassvalve::entry::token;
use eelgrassvalve::settings::Settings;
use eelgrassvalve::state::document::Document;
use rstest::rstest;

fn examples_folder(user: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(user)
}

#[rstest]
#[case::tiffinpath("tiffinpath")]
#[case::kinisi("kinisi")]
fn examples_are_valid(#[case] user: &str) {
    let folder = examples_folder(user);
    for number in 1..=6 {
        let path = folder.join(format!("{user}-{number}.toml"));
        let settings = Settings::load(&path).unwrap_or_else(|faults| panic!("{faults:?}"));
        assert_eq!(settings.peers.len(), 5);
        assert_eq!(settings.is_control, number <= 5);
    }
    token::Table::load(&folder.join("tokens.toml")).expect("the token file is valid");
    let text =
        std::fs::read_to_string(folder.join("config.json")).expect("the document is readable");
    let document: Document = serde_json::from_str(&text).expect("the document is well-formed");
    assert_eq!(document.faults(), []);
    assert_eq!(document.customers.len(), 4);
}

const VALID: &str = r#"
[daemon]
name = "host-1"
zone = "zone-1"
[listen]
callers = "127.0.0.1:7001"
operators = "127.0.0.1:7002"
platform = "127.0.0.1:7003"
health = "127.0.0.1:7004"
mesh = "127.0.0.1:7005"
[mesh]
key_file = "key"
[tokens]
none = true
"#;

#[test]
fn all_faults_are_reported_with_line_and_key() {
    let text = VALID
        .replace("\"127.0.0.1:7002\"", "\"here\"")
        .replace("none = true", "none = true\n[times]\nelection_ms = 1\nelectoin_ms = 5");
    let faults = Settings::parse(&text, "a.toml", Path::new(".")).expect_err("three faults");
    let reported: Vec<_> =
        faults.faults().iter().map(|fault| (fault.line, fault.key.as_str())).collect();
    assert_eq!(
        reported,
        [(7, "listen.operators"), (16, "times.election_ms"), (17, "times.electoin_ms")]
    );
}

#[rstest]
#[case::missing_name("name = \"host-1\"", "", "daemon.name")]
#[case::bad_name("\"host-1\"", "\"Host 1\"", "daemon.name")]
#[case::wrong_type("\"zone-1\"", "7", "daemon.zone")]
#[case::no_tokens("none = true", "", "tokens")]
#[case::control_without_folder(
    "zone = \"zone-1\"",
    "zone = \"zone-1\"\ncontrol = true",
    "daemon.data_folder"
)]
#[case::bad_address("127.0.0.1:7005", "127.0.0.1", "listen.mesh")]
#[case::unknown_table("[tokens]", "[tokns]\na = 1\n[tokens]", "tokns")]
#[case::unsupported_orders(
    "[tokens]",
    "[batch]\non = true\norders = \"call\"\n[tokens]",
    "batch.orders"
)]
#[case::head_limit_too_low("[tokens]", "[limits]\nhead_bytes = 100\n[tokens]", "limits.head_bytes")]
#[case::syntax("[tokens]", "[tokens", "(syntax)")]
fn each_fault_is_reported_with_its_key(#[case] from: &str, #[case] to: &str, #[case] key: &str) {
    let text = VALID.replace(from, to);
    let faults = Settings::parse(&text, "a.toml", Path::new(".")).expect_err("a fault");
    assert!(faults.faults().iter().any(|fault| fault.key == key), "{:?}", faults.faults());
}

#[rstest]
#[case::default("", Ok(1_024))]
#[case::least("memory_mb = 48", Ok(48))]
#[case::too_little("memory_mb = 47", Err("limits.memory_mb"))]
fn memory_of_the_process_is_checked(
    #[case] line: &str,
    #[case] expected: Result<usize, &'static str>,
) {
    let text = format!("{VALID}[limits]\n{line}\n");
    let settings = Settings::parse(&text, "a.toml", Path::new("."));
    let found = match &settings {
        Ok(settings) => Ok(settings.limits.memory_mb),
        Err(faults) => Err(faults.faults()[0].key.as_str()),
    };
    assert_eq!(found, expected);
    if let Ok(settings) = settings {
        assert_eq!(settings.limits.buffer_bytes(), (settings.limits.memory_mb << 20) / 3);
    }
}
