//! Configuration as the operator writes it, with the routes and limits of a small deployment.

/// Service of the model servers.
pub const MODELS: &str = "modelos";

/// Plain service.
pub const ORDERS: &str = "pedidos";

/// Host of all routes.
pub const HOST: &str = "wuzi71.example";

/// A route; all other settings are those of the site's sheet.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
}

/// Route for idempotent requests to the plain service.
pub const STATUS: Route = Route {
    name: "order-status",
    prefix: "/status/",
    kind: "safe",
    service: ORDERS,
    timeout_ms: 600,
};

/// Route for requests that may run once.
pub const PAY: Route = Route {
    name: "pay-reserve",
    prefix: "/pay/",
    kind: "unsafe",
    service: ORDERS,
    timeout_ms: 600,
};

/// Route for streams of the model servers, which may run once.
pub const CHAT: Route = Route {
    name: "order-chat",
    prefix: "/chat/",
    kind: "streaming",
    service: MODELS,
    timeout_ms: 10_000,
};

/// Tenant of the small deployment.
pub const TENANT: &str = "hule930";

/// Configuration with these routes, and one tenant with these API keys.
#[must_use]
pub fn config(version: u64, routes: &[&Route], keys: &[&str]) -> String {
    config_with_tenants(version, routes, &[(TENANT, keys)])
}

/// Configuration with these routes and tenants; each tenant has a name and its API keys.
#[must_use]
pub fn config_with_tenants(version: u64, routes: &[&Route], tenants: &[(&str, &[&str])]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { name, prefix, kind, service, timeout_ms } = route;
            format!(
                "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"Prefix\":\"{prefix}\",\
                 \"RouteType\":\"{kind}\",\"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":100,\
                 \"Priority\":2,\"Service\":\"{service}\",\"MaxAttempts\":2}}"
            )
        })
        .collect();
    let services: Vec<String> = [MODELS, ORDERS]
        .iter()
        .map(|name| format!("{{\"Name\":\"{name}\",\"MaxConns\":110}}"))
        .collect();
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, keys)| {
            let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
            format!("{{\"Name\":\"{name}\",\"ApiKeys\":[{}]}}", keys.join(","))
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\
         \"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}
