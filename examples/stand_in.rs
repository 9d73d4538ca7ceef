//! Starts simulated upstreams for measurements and announces them to entries.
//!
//! Usage: `stand_in KIND COUNT WORK_MS ENTRY...`

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::upstream::Upstream;

#[tokio::main]
async fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [kind, count, work_ms, entries @ ..] = arguments.as_slice() else {
        eprintln!("usage: stand_in KIND COUNT WORK_MS ENTRY...");
        return;
    };
    let entries: Vec<SocketAddr> =
        entries.iter().map(|text| text.parse().expect("ENTRY is IP:PORT")).collect();
    let work = Duration::from_millis(work_ms.parse().expect("WORK_MS is a whole number"));
    let mut upstreams = Vec::new();
    for index in 0..count.parse().expect("COUNT is a whole number") {
        let id = format!("runner-{index}");
        // Rotating the list makes each upstream prefer another entry.
        let mut ordered_entries = entries.clone();
        ordered_entries.rotate_left(index % entries.len());
        let upstream = Upstream::start(&id, &[kind], work, &ordered_entries).await;
        println!("{id} {}", upstream.address);
        upstreams.push(upstream);
    }
    std::future::pending::<()>().await;
}
