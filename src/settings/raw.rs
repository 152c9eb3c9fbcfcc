//! The settings file as deserialised, in the platform's names and units. Unknown fields are ignored.

use serde::Deserialize;

#[derive(Deserialize)]
pub(super) struct RawFile {
    pub(super) host_name: String,
    pub(super) zone: String,
    pub(super) public_addr: String,
    #[serde(rename = "back")]
    pub(super) peer_listen: String,
    #[serde(default)]
    pub(super) peers: Vec<RawPeer>,
    pub(super) services: RawServices,
    pub(super) params: RawParams,
}

#[derive(Deserialize)]
pub(super) struct RawPeer {
    pub(super) host_name: String,
    #[serde(default)]
    pub(super) zone: String,
    pub(super) address: String,
}

#[derive(Deserialize)]
pub(super) struct RawServices {
    pub(super) cloud: String,
    pub(super) state: String,
}

#[derive(Deserialize)]
pub(super) struct RawParams {
    #[serde(default)]
    pub(super) zones: Vec<String>,
    #[serde(default)]
    pub(super) teams: Vec<RawTeam>,
    #[serde(default)]
    pub(super) objectives: Vec<RawObjective>,
    pub(super) workers: RawWorkers,
    pub(super) state: RawState,
    pub(super) cloud: RawCloud,
    #[serde(default)]
    pub(super) quota: RawQuota,
}

#[derive(Deserialize)]
pub(super) struct RawTeam {
    pub(super) name: String,
    #[serde(default)]
    pub(super) cpus: f64,
    #[serde(default)]
    pub(super) cpus_max: f64,
    #[serde(default)]
    pub(super) gpus: f64,
    #[serde(default)]
    pub(super) gpus_max: f64,
}

#[derive(Deserialize)]
pub(super) struct RawObjective {
    #[serde(default)]
    pub(super) kind: String,
    #[serde(default)]
    pub(super) class: String,
    pub(super) within_s: Option<f64>,
    pub(super) share: Option<f64>,
    pub(super) times: Option<f64>,
}

#[derive(Deserialize)]
pub(super) struct RawWorkers {
    pub(super) report_s: f64,
    pub(super) lease_s: f64,
    pub(super) cancel_s: f64,
}

#[derive(Deserialize)]
pub(super) struct RawState {
    pub(super) rps: f64,
    pub(super) write_rps: f64,
    pub(super) value_kb: f64,
    pub(super) txn_ops: usize,
    #[serde(rename = "next", default)]
    pub(super) announced: Option<RawLimits>,
}

/// Limits that the state service has announced for the future; a limit left out does not change.
#[derive(Deserialize, Default)]
pub(super) struct RawLimits {
    pub(super) rps: Option<f64>,
    pub(super) write_rps: Option<f64>,
    pub(super) value_kb: Option<f64>,
    pub(super) txn_ops: Option<usize>,
}

#[derive(Deserialize)]
pub(super) struct RawCloud {
    pub(super) rps: f64,
    pub(super) list_lag_s: f64,
}

/// Resource limits of the process. A file without a quota means that the process has the machine to
/// itself; the defaults apply then.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct RawQuota {
    pub(super) cores: f64,
    pub(super) mem_mb: f64,
    pub(super) fd_limit: i64,
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
