//! The platform's settings file: read, checked, and turned into the standard library's types.

use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Peer {
    pub name: String,
    pub zone: String,
    pub addr: SocketAddrV4,
}

/// A team's guarantee and limit; 0 in the file means none and is `None` here for limits.
#[derive(Clone, Debug)]
pub struct Team {
    pub name: String,
    pub cpus: f64,
    pub gpus: f64,
    pub cpus_max: Option<f64>,
    pub gpus_max: Option<f64>,
}

/// An aim the users state for a class of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    pub kind: String,
    pub class: String,
    pub threshold: Option<Duration>,
    /// The part of the class that should meet it; `None` where the file says nothing.
    pub share: Option<f64>,
    /// Of a deadline: how many times as long counts.
    pub times: f64,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    pub zone: String,
    pub listen: SocketAddrV4,
    pub peer_listen: SocketAddrV4,
    pub peers: Vec<Peer>,
    pub cloud_addr: SocketAddrV4,
    pub store_addr: SocketAddrV4,
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    pub objectives: Vec<Objective>,
    pub heartbeat_interval: Duration,
    pub worker_lease: Duration,
    pub cancellation_deadline: Duration,
    /// The state service's limits: of those in force and those announced the smaller ones, since
    /// the announced ones come without notice.
    pub store_rps: f64,
    pub store_write_rps: f64,
    pub max_value_bytes: usize,
    pub max_transaction_changes: usize,
    pub cloud_rps: f64,
    pub machine_list_lag: Duration,
    pub memory_mb: f64,
    pub max_sockets: usize,
}

#[derive(Deserialize)]
struct RawFile {
    host_name: String,
    zone: String,
    public_addr: String,
    back: String,
    #[serde(default)]
    peers: Vec<RawPeer>,
    services: RawServices,
    params: RawParams,
}

#[derive(Deserialize)]
struct RawPeer {
    host_name: String,
    #[serde(default)]
    zone: String,
    address: String,
}

#[derive(Deserialize)]
struct RawServices {
    cloud: String,
    state: String,
}

#[derive(Deserialize)]
struct RawParams {
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    teams: Vec<RawTeam>,
    #[serde(default)]
    objectives: Vec<RawObjective>,
    workers: RawWorkers,
    state: RawState,
    cloud: RawCloud,
    #[serde(default)]
    quota: RawQuota,
}

#[derive(Deserialize)]
struct RawTeam {
    name: String,
    #[serde(default)]
    cpus: f64,
    #[serde(default)]
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}

#[derive(Deserialize)]
struct RawObjective {
    #[serde(default)]
    kind: String,
    #[serde(default)]
    class: String,
    within_s: Option<f64>,
    share: Option<f64>,
    times: Option<f64>,
}

#[derive(Deserialize)]
struct RawWorkers {
    report_s: f64,
    lease_s: f64,
    cancel_s: f64,
}

#[derive(Deserialize)]
struct RawState {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
    #[serde(default)]
    next: Option<RawLimits>,
}

/// Limits that the state service will have one day; those left out stay as they are.
#[derive(Deserialize, Default)]
struct RawLimits {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
}

/// The smaller one of a limit in force and the one announced, both checked.
fn lower(field: &str, now: f64, next: Option<f64>) -> Result<f64, String> {
    let now = positive(&format!("params.state.{field}"), now)?;
    match next {
        Some(x) => Ok(now.min(positive(&format!("params.state.next.{field}"), x)?)),
        None => Ok(now),
    }
}

#[derive(Deserialize)]
struct RawCloud {
    rps: f64,
    list_lag_s: f64,
}

/// What the process may use. A file that says nothing of it means a machine of its own.
#[derive(Deserialize)]
#[serde(default)]
struct RawQuota {
    cores: f64,
    mem_mb: f64,
    fd_limit: i64,
}

impl Default for RawQuota {
    fn default() -> RawQuota {
        RawQuota {
            cores: 1.0,
            mem_mb: 256.0,
            fd_limit: 1024,
        }
    }
}

/// A process that has just begun holds this much, and a little to work with.
const LEAST_MB: f64 = 32.0;
const LEAST_SOCKETS: i64 = 96;

fn at_least(field: &str, x: f64, least: f64) -> Result<f64, String> {
    match positive(field, x) {
        Ok(x) if x < least => Err(format!(
            "{field}: {x} is too little, at least {least} are needed"
        )),
        checked => checked,
    }
}

fn addr(field: &str, text: &str) -> Result<SocketAddrV4, String> {
    text.parse()
        .map_err(|_| format!("{field}: \"{text}\" is not an IPv4 address with a port"))
}

fn seconds(field: &str, x: f64, least: f64, most: f64) -> Result<Duration, String> {
    if x.is_finite() && (least..=most).contains(&x) {
        Ok(Duration::from_secs_f64(x))
    } else {
        Err(format!(
            "{field}: {x} is not between {least} and {most} seconds"
        ))
    }
}

fn positive(field: &str, x: f64) -> Result<f64, String> {
    if x.is_finite() && x > 0.0 {
        Ok(x)
    } else {
        Err(format!("{field}: {x} must be above 0"))
    }
}

fn amount(field: &str, x: f64) -> Result<f64, String> {
    if x.is_finite() && x >= 0.0 {
        Ok(x)
    } else {
        Err(format!("{field}: {x} must not be negative"))
    }
}

impl Settings {
    pub fn load(path: &Path) -> Result<Settings, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Settings::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Reads and checks the JSON text; an error names the field.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let raw: RawFile = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let p = raw.params;
        let mut teams = Vec::new();
        for t in p.teams {
            let at = |f: &str| format!("params.teams.{}.{f}", t.name);
            let limit = |f: &str, x: f64| amount(&at(f), x).map(|x| (x > 0.0).then_some(x));
            teams.push(Team {
                cpus: amount(&at("cpus"), t.cpus)?,
                gpus: amount(&at("gpus"), t.gpus)?,
                cpus_max: limit("cpus_max", t.cpus_max)?,
                gpus_max: limit("gpus_max", t.gpus_max)?,
                name: t.name,
            });
        }
        if teams.is_empty() {
            return Err("params.teams: at least one team is needed".into());
        }
        let mut peers = Vec::new();
        for x in raw.peers {
            peers.push(Peer {
                addr: addr(&format!("peers.{}.address", x.host_name), &x.address)?,
                name: x.host_name,
                zone: x.zone,
            });
        }
        let mut objectives = Vec::new();
        for o in p.objectives {
            let within = match o.within_s {
                Some(x) => Some(seconds("params.objectives.within_s", x, 0.0, 1e7)?),
                None => None,
            };
            objectives.push(Objective {
                kind: o.kind,
                class: o.class,
                threshold: within,
                share: o.share.filter(|s| (0.0..=1.0).contains(s)),
                times: o.times.filter(|t| t.is_finite() && *t > 0.0).unwrap_or(1.0),
            });
        }
        let w = &p.workers;
        let next = p.state.next.unwrap_or_default();
        for (field, ops) in [("", Some(p.state.txn_ops)), ("next.", next.txn_ops)] {
            if ops.is_some_and(|n| n < 4) {
                return Err(format!(
                    "params.state.{field}txn_ops: at least 4 are needed"
                ));
            }
        }
        positive("params.quota.cores", p.quota.cores)?;
        if p.quota.fd_limit < LEAST_SOCKETS {
            let (given, least) = (p.quota.fd_limit, LEAST_SOCKETS);
            return Err(format!(
                "params.quota.fd_limit: {given} is too little, at least {least} are needed"
            ));
        }
        if raw.host_name.is_empty() {
            return Err("host_name: must not be empty".into());
        }
        Ok(Settings {
            listen: addr("public_addr", &raw.public_addr)?,
            peer_listen: addr("back", &raw.back)?,
            cloud_addr: addr("services.cloud", &raw.services.cloud)?,
            store_addr: addr("services.state", &raw.services.state)?,
            name: raw.host_name,
            zone: raw.zone,
            peers,
            zones: p.zones,
            teams,
            objectives,
            heartbeat_interval: seconds("params.workers.report_s", w.report_s, 0.05, 3600.0)?,
            worker_lease: seconds("params.workers.lease_s", w.lease_s, 0.5, 86400.0)?,
            cancellation_deadline: seconds("params.workers.cancel_s", w.cancel_s, 0.5, 86400.0)?,
            store_rps: lower("rps", p.state.rps, next.rps)?,
            store_write_rps: lower("write_rps", p.state.write_rps, next.write_rps)?,
            max_value_bytes: (lower("value_kb", p.state.value_kb, next.value_kb)? * 1024.0)
                as usize,
            max_transaction_changes: p.state.txn_ops.min(next.txn_ops.unwrap_or(usize::MAX)),
            cloud_rps: positive("params.cloud.rps", p.cloud.rps)?,
            machine_list_lag: seconds("params.cloud.list_lag_s", p.cloud.list_lag_s, 0.0, 3600.0)?,
            memory_mb: at_least("params.quota.mem_mb", p.quota.mem_mb, LEAST_MB)?,
            max_sockets: p.quota.fd_limit as usize,
        })
    }

    pub fn team_index(&self, name: &str) -> Option<usize> {
        self.teams.iter().position(|t| t.name == name)
    }

    pub fn team(&self, name: &str) -> Option<&Team> {
        self.team_index(name).map(|i| &self.teams[i])
    }
}

#[cfg(test)]
mod tests;
