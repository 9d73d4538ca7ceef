//! Configurations as the operator sends them, and jobs as clients do.

use std::collections::BTreeSet;

use crate::json::quote;

/// A queue.
pub struct Route<'a> {
    pub name: &'a str,
    pub host: &'a str,
    pub prefix: &'a str,
    pub priority: u32,
    pub is_anonymous: bool,
    pub service: &'a str,
}

/// A tenant with one key.
pub struct Tenant<'a> {
    pub name: &'a str,
    pub key: &'a str,
}

/// Service that runs the tasks, where a script needs one only.
pub const SERVICE: &str = "huvo11a";

/// A complete configuration, with the services that the routes name.
pub fn document(version: u64, routes: &[Route<'_>], tenants: &[Tenant<'_>]) -> String {
    let names: BTreeSet<&str> = routes.iter().map(|route| route.service).collect();
    let services: Vec<String> = names.into_iter().map(service).collect();
    let routes: Vec<String> = routes.iter().map(route).collect();
    let tenants: Vec<String> = tenants.iter().map(tenant).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}

fn service(name: &str) -> String {
    format!(
        "{{\"name\":{},\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\",\
         \"tls\":false,\"rejects_overload\":true,\"standby\":false}}",
        quote(name)
    )
}

fn route(route: &Route<'_>) -> String {
    format!(
        "{{\"name\":{},\"host\":{},\"path_prefix\":{},\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\
         \"target_latency_ms\":1500,\"priority\":{},\"service\":{},\"max_attempts\":3,\
         \"stretch\":3.0,\"anonymous\":{}}}",
        quote(route.name),
        quote(route.host),
        quote(route.prefix),
        route.priority,
        quote(route.service),
        route.is_anonymous
    )
}

fn tenant(tenant: &Tenant<'_>) -> String {
    format!(
        "{{\"name\":{},\"api_keys\":[{}],\"priority\":1,\"guaranteed\":{{\"gpu\":8}}}}",
        quote(tenant.name),
        quote(tenant.key)
    )
}

/// A job of one step.
pub struct Job {
    pub spec: &'static str,
    pub count: usize,
    pub cpu: u64,
    pub mem_mb: u64,
    pub estimate_ms: u64,
}

impl Job {
    pub fn body(&self) -> String {
        format!(
            "{{\"spec\":{},\"phases\":[{{\"count\":{},\"cpu\":{},\"mem_mb\":{},\"estimate_ms\":{}}}]}}",
            quote(self.spec),
            self.count,
            self.cpu,
            self.mem_mb,
            self.estimate_ms
        )
    }
}
