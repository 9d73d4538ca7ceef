//! Settings of a daemon that takes part in the mesh only.

use std::net::SocketAddr;

use eelgrassvalve::settings::Settings;

/// An address of this host with a free port.
pub fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound address")
}

/// Settings of a daemon of batch work that listens for links at an address and is named after it.
pub fn settings(address: SocketAddr) -> Settings {
    let file = format!("eelgrassvalve-daemon-{}-{}.toml", std::process::id(), address.port());
    let path = std::env::temp_dir().join(file);
    let text = format!(
        "[daemon]\nname = \"host\"\nzone = \"zone\"\n[listen]\nmesh = \"{address}\"\n\
         [discovery]\nseeds = []\n[batch]\non = true\n[tokens]\nnone = true\n"
    );
    std::fs::write(&path, text).expect("the settings are written");
    let settings = Settings::load(&path).expect("the settings are valid");
    std::fs::remove_file(&path).expect("the settings are removed");
    Settings { name: address.to_string(), ..settings }
}
