//! Settings files of the controllers.

use crate::controllers::controller_name;
use crate::scenario::Scenario;
use crate::state::limits::{MAX_CHANGES, MAX_VALUE_KB};
use serde_json::{Value, json};
use std::net::SocketAddrV4;

/// Margin of the setting `cancel_s`, by which all tasks of a cancelled job must have ended, over the workers'
/// lease, in seconds.
const CANCELLATION_MARGIN_S: f64 = 22.0;

/// Addresses of the controllers and of the stand-in services.
pub(crate) struct Addresses {
    /// Address of each controller for users and workers.
    pub public: Vec<SocketAddrV4>,
    /// Address of each controller for its peers.
    pub peer: Vec<SocketAddrV4>,
    /// Address of the stand-in cloud.
    pub cloud: String,
    /// Address of the stand-in state service.
    pub state: String,
}

/// Returns the settings of one controller.
pub(crate) fn controller_settings(
    scenario: &Scenario,
    addresses: &Addresses,
    number: usize,
) -> Value {
    json!({
        "host_name": controller_name(number), "zone": zone(scenario, number),
        "public_addr": addresses.public[number].to_string(),
        "back": addresses.peer[number].to_string(),
        "peers": peers(scenario, addresses, number),
        "services": {"cloud": addresses.cloud, "state": addresses.state},
        "params": {
            "zones": scenario.zones, "objectives": objectives(scenario),
            "teams": [{"name": "all"}],
            "workers": {"report_s": scenario.report_s, "lease_s": scenario.lease_s,
                        "cancel_s": scenario.lease_s + CANCELLATION_MARGIN_S},
            "state": {"rps": 300.0, "write_rps": 120.0, "value_kb": MAX_VALUE_KB,
                      "txn_ops": MAX_CHANGES},
            "cloud": {"rps": 10.0, "list_lag_s": 0.1},
            "quota": {"mem_mb": scenario.memory_mb, "fd_limit": scenario.sockets}
        }
    })
}

/// Returns the zone of a controller; the controllers are assigned to the zones in turn.
fn zone(scenario: &Scenario, number: usize) -> &str {
    &scenario.zones[number % scenario.zones.len()]
}

fn peers(scenario: &Scenario, addresses: &Addresses, number: usize) -> Vec<Value> {
    let others = (0..addresses.peer.len()).filter(|other| *other != number);
    let peer = |other: usize| {
        json!({
            "host_name": controller_name(other),
            "zone": zone(scenario, other),
            "address": addresses.peer[other].to_string(),
        })
    };
    others.map(peer).collect()
}

/// Returns the service level objectives of the job classes.
fn objectives(scenario: &Scenario) -> Vec<Value> {
    let mut objectives = Vec::new();
    for job in &scenario.jobs {
        if let Some(within_s) = job.start_within_s {
            objectives.push(json!({
                "kind": "wait", "class": job.class, "within_s": within_s, "share": job.share}));
        }
        if job.deadline_s.is_some() {
            objectives.push(json!({
                "kind": "deadline", "class": job.class, "share": job.share}));
        }
    }
    objectives
}
