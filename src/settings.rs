//! Reads and validates the platform's settings file and converts its values to types of the standard
//! library.
//!
//! The names of the file's fields are the platform's, and occur only in this module.

mod check;
mod error;
mod raw;

pub use error::{Reason, SettingsError};

use check::{address, at_least, not_negative, positive, seconds};
use raw::{RawFile, RawLimits, RawObjective, RawPeer, RawQuota, RawState, RawTeam};
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

/// Minimum memory quota: what a process uses right after its start, and a small working set.
const MIN_MEMORY_MB: f64 = 32.0;
/// Minimum limit of open sockets and files.
const MIN_SOCKETS: i64 = 96;
/// Number of changes in the smallest transaction that can store a job.
const MIN_TRANSACTION_CHANGES: usize = 4;
const BYTES_PER_KB: f64 = 1024.0;
const SECONDS_PER_HOUR: f64 = 3600.0;
const SECONDS_PER_DAY: f64 = 86400.0;
/// Maximum threshold of an objective, in seconds.
const MAX_OBJECTIVE_SECONDS: f64 = 1e7;

/// Another controller.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The controller's name.
    pub name: String,
    /// The zone it is in.
    pub zone: String,
    /// Address on which it serves the other controllers.
    pub addr: SocketAddrV4,
}

/// A team's quota: guaranteed resources and limits. A limit of 0 in the file means no limit, and is
/// `None` here.
#[derive(Clone, Debug)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Guaranteed CPUs.
    pub cpus: f64,
    /// Guaranteed GPUs.
    pub gpus: f64,
    /// Maximum number of CPUs; `None` for no limit.
    pub cpus_max: Option<f64>,
    /// Maximum number of GPUs; `None` for no limit.
    pub gpus_max: Option<f64>,
}

/// A service-level objective that the users have defined for a class of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// Measured quantity, such as the time until a job starts.
    pub kind: String,
    /// Class of jobs that the objective applies to.
    pub class: String,
    /// Maximum time for a job of the class.
    pub threshold: Option<Duration>,
    /// Fraction of the class's jobs that should meet the threshold; `None` if the file does not set it.
    pub share: Option<f64>,
    /// Factor on the deadline, for objectives about deadlines: a job that takes up to this many times
    /// as long still meets the objective.
    pub deadline_factor: f64,
}

/// The settings of one controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The controller's name.
    pub name: String,
    /// The zone it is in.
    pub zone: String,
    /// Address of the public HTTP interface.
    pub listen: SocketAddrV4,
    /// Address on which the other controllers are served.
    pub peer_listen: SocketAddrV4,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// Address of the cloud's API.
    pub cloud_addr: SocketAddrV4,
    /// Address of the state service.
    pub store_addr: SocketAddrV4,
    /// Zones in which machines may be provisioned.
    pub zones: Vec<String>,
    /// All teams, at least one.
    pub teams: Vec<Team>,
    /// The users' service-level objectives.
    pub objectives: Vec<Objective>,
    /// Interval between the heartbeats of a worker without changes; it varies by up to a quarter.
    pub heartbeat_interval: Duration,
    /// Lease of a worker: if its last answered heartbeat was sent longer ago than this, the worker
    /// stops all its tasks and begins its next incarnation.
    pub worker_lease: Duration,
    /// Time from a job's cancellation by which all its tasks must have ended.
    pub cancellation_deadline: Duration,
    /// Maximum requests per second to the state service, from all controllers together.
    ///
    /// The value is the smaller one of the limit in force and the one announced, as an announced limit
    /// comes into force without notice. The same holds for the three limits below.
    pub store_rps: f64,
    /// Maximum changes per second to the state service, from all controllers together.
    pub store_write_rps: f64,
    /// Maximum size of a value in the state service, in bytes.
    pub max_value_bytes: usize,
    /// Maximum number of changes in one transaction.
    pub max_transaction_changes: usize,
    /// Maximum requests per second to the cloud.
    pub cloud_rps: f64,
    /// Maximum lag of the cloud's list of machines behind their actual state.
    pub machine_list_lag: Duration,
    /// Memory that the process may use, in MB.
    pub memory_mb: f64,
    /// Maximum number of sockets and files that the process may have open.
    pub max_sockets: usize,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// The file cannot be read, or its contents are invalid.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_path_buf(),
            source,
        })?;
        Settings::parse(&text).map_err(|error| SettingsError::Contents {
            path: path.to_path_buf(),
            source: Box::new(error),
        })
    }

    /// Parses and validates the JSON text of a settings file.
    ///
    /// # Errors
    /// The first invalid field that is found, with the reason.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let RawFile {
            host_name,
            zone,
            public_addr,
            peer_listen,
            peers,
            services,
            params,
        } = serde_json::from_str(text)?;
        let teams = parse_teams(params.teams)?;
        let peers = parse_peers(peers)?;
        let objectives = parse_objectives(params.objectives)?;
        let max_transaction_changes = parse_transaction_limit(&params.state)?;
        let max_sockets = parse_max_sockets(&params.quota)?;
        if host_name.is_empty() {
            return Err(SettingsError::field("host_name", Reason::Empty));
        }
        let (workers, state) = (params.workers, params.state);
        let announced = state.announced.unwrap_or_default();
        let worker_seconds = |name: &str, value: f64, min: f64, max: f64| {
            seconds(&format!("params.workers.{name}"), value, min, max)
        };
        let listen = address("public_addr", &public_addr)?;
        let peer_listen = address("back", &peer_listen)?;
        let cloud_addr = address("services.cloud", &services.cloud)?;
        let store_addr = address("services.state", &services.state)?;
        Ok(Settings {
            listen,
            peer_listen,
            cloud_addr,
            store_addr,
            name: host_name,
            zone,
            peers,
            zones: params.zones,
            teams,
            objectives,
            heartbeat_interval: worker_seconds(
                "report_s",
                workers.report_s,
                0.05,
                SECONDS_PER_HOUR,
            )?,
            worker_lease: worker_seconds("lease_s", workers.lease_s, 0.5, SECONDS_PER_DAY)?,
            cancellation_deadline: worker_seconds(
                "cancel_s",
                workers.cancel_s,
                0.5,
                SECONDS_PER_DAY,
            )?,
            store_rps: lower_limit("rps", state.rps, announced.rps)?,
            store_write_rps: lower_limit("write_rps", state.write_rps, announced.write_rps)?,
            max_value_bytes: parse_max_value_bytes(state.value_kb, &announced)?,
            max_transaction_changes,
            cloud_rps: positive("params.cloud.rps", params.cloud.rps)?,
            machine_list_lag: seconds(
                "params.cloud.list_lag_s",
                params.cloud.list_lag_s,
                0.0,
                SECONDS_PER_HOUR,
            )?,
            memory_mb: at_least("params.quota.mem_mb", params.quota.mem_mb, MIN_MEMORY_MB)?,
            max_sockets,
        })
    }

    /// Returns the index of the team with this name in `teams`.
    pub fn team_index(&self, name: &str) -> Option<usize> {
        self.teams.iter().position(|team| team.name == name)
    }

    /// Returns the team with this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.team_index(name).map(|index| &self.teams[index])
    }

    /// Returns the maximum size of a stored job or of a part of one, in bytes. It is somewhat below the maximum size of
    /// a value, since the state service may write numbers in a longer form.
    pub fn usable_value_bytes(&self) -> usize {
        self.max_value_bytes / 16 * 15
    }
}

fn parse_teams(teams: Vec<RawTeam>) -> Result<Vec<Team>, SettingsError> {
    if teams.is_empty() {
        return Err(SettingsError::field("params.teams", Reason::NoTeam));
    }
    teams.into_iter().map(parse_team).collect()
}

fn parse_team(team: RawTeam) -> Result<Team, SettingsError> {
    let field = |name: &str| format!("params.teams.{}.{name}", team.name);
    let amount = |name: &str, value: f64| not_negative(&field(name), value);
    let limit =
        |name: &str, value: f64| amount(name, value).map(|max| Some(max).filter(|max| *max > 0.0));
    Ok(Team {
        cpus: amount("cpus", team.cpus)?,
        gpus: amount("gpus", team.gpus)?,
        cpus_max: limit("cpus_max", team.cpus_max)?,
        gpus_max: limit("gpus_max", team.gpus_max)?,
        name: team.name,
    })
}

fn parse_peers(peers: Vec<RawPeer>) -> Result<Vec<Peer>, SettingsError> {
    let parse = |peer: RawPeer| {
        Ok(Peer {
            addr: address(&format!("peers.{}.address", peer.host_name), &peer.address)?,
            name: peer.host_name,
            zone: peer.zone,
        })
    };
    peers.into_iter().map(parse).collect()
}

fn parse_objectives(objectives: Vec<RawObjective>) -> Result<Vec<Objective>, SettingsError> {
    let threshold = |within: Option<f64>| {
        let check = |x| seconds("params.objectives.within_s", x, 0.0, MAX_OBJECTIVE_SECONDS);
        within.map(check).transpose()
    };
    let parse = |objective: RawObjective| {
        Ok(Objective {
            threshold: threshold(objective.within_s)?,
            kind: objective.kind,
            class: objective.class,
            share: objective.share.filter(|s| (0.0..=1.0).contains(s)),
            deadline_factor: (objective.times)
                .filter(|t| t.is_finite() && *t > 0.0)
                .unwrap_or(1.0),
        })
    };
    objectives.into_iter().map(parse).collect()
}

/// Returns the smaller one of the limit in force and the announced one.
fn parse_transaction_limit(state: &RawState) -> Result<usize, SettingsError> {
    let announced = state.announced.as_ref().and_then(|limits| limits.txn_ops);
    let in_force = ("params.state.txn_ops", Some(state.txn_ops));
    for (field, changes) in [in_force, ("params.state.next.txn_ops", announced)] {
        if changes.is_some_and(|n| n < MIN_TRANSACTION_CHANGES) {
            let reason = Reason::TooFew(MIN_TRANSACTION_CHANGES);
            return Err(SettingsError::field(field, reason));
        }
    }
    Ok(state.txn_ops.min(announced.unwrap_or(usize::MAX)))
}

fn parse_max_value_bytes(value_kb: f64, announced: &RawLimits) -> Result<usize, SettingsError> {
    Ok((lower_limit("value_kb", value_kb, announced.value_kb)? * BYTES_PER_KB) as usize)
}

/// Validates a limit of the state service, in force and as announced, and returns the smaller one.
fn lower_limit(name: &str, in_force: f64, announced: Option<f64>) -> Result<f64, SettingsError> {
    let in_force = positive(&format!("params.state.{name}"), in_force)?;
    match announced {
        Some(limit) => {
            let limit = positive(&format!("params.state.next.{name}"), limit)?;
            Ok(in_force.min(limit))
        }
        None => Ok(in_force),
    }
}

fn parse_max_sockets(quota: &RawQuota) -> Result<usize, SettingsError> {
    positive("params.quota.cores", quota.cores)?;
    if quota.fd_limit < MIN_SOCKETS {
        let (value, min) = (quota.fd_limit as f64, MIN_SOCKETS as f64);
        let reason = Reason::TooLittle { value, min };
        return Err(SettingsError::field("params.quota.fd_limit", reason));
    }
    Ok(quota.fd_limit as usize)
}

#[cfg(test)]
mod tests;
