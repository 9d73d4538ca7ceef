//! Announces stand-in upstreams to entries, for measurements: `stand_in KIND COUNT WORK_MS ENTRY...`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::upstream::Upstream;

#[tokio::main]
async fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [kind, count, work_ms, entries @ ..] = arguments.as_slice() else {
        eprintln!("stand_in KIND COUNT WORK_MS ENTRY...");
        return;
    };
    let entries: Vec<SocketAddr> =
        entries.iter().map(|text| text.parse().expect("an address")).collect();
    let work = Duration::from_millis(work_ms.parse().expect("milliseconds"));
    let mut upstreams = Vec::new();
    for at in 0..count.parse().expect("a count") {
        let id = format!("runner-{at}");
        // Each settles on another entry.
        let mut order = entries.clone();
        order.rotate_left(at % entries.len());
        let upstream = Upstream::start(&id, &[kind], work, &order).await;
        println!("{id} {}", upstream.address);
        upstreams.push(upstream);
    }
    std::future::pending::<()>().await;
}
