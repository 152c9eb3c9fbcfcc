//! Starts the controllers with the commands of the deploy file, and holds each to its memory.

use crate::json::{decimal, int, object, text, Json};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, a3: u64, a4: u64, a5: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

const SIGKILL: i32 = 9;

pub fn signal(pid: u32, number: i32) {
    // SAFETY: `kill` takes two integers; the process is a child of this one that has not been waited for.
    unsafe {
        kill(pid as i32, number);
    }
}

pub struct Site {
    pub zones: Vec<&'static str>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub cores: f64,
    pub mem_mb: f64,
    pub fd_limit: u64,
    pub state_rps: f64,
    pub state_write_rps: f64,
    pub txn_ops: u64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    /// Teams: name, guaranteed CPUs, most CPUs (0: no limit).
    pub teams: Vec<(&'static str, f64, f64)>,
    pub nodes: usize,
    /// How soon a controller is back after an end.
    pub back_s: f64,
}

pub struct Node {
    pub name: String,
    pub public: SocketAddr,
    pub child: Child,
    /// The most memory that it was seen to hold.
    pub most_mb: f64,
    settings: PathBuf,
    /// How often it was started.
    lives: u32,
    /// When it is started again, after it was ended for its memory.
    back_at: Option<Instant>,
}

/// The controllers. They are killed when this is dropped.
pub struct Controllers {
    pub nodes: Vec<Node>,
    root: PathBuf,
}

/// Starts a controller with the deploy file's `run`, the settings file as the last argument.
fn spawn(root: &Path, settings: &Path, life: u32) -> Option<Child> {
    let log = File::create(settings.with_extension(format!("{life}.log"))).ok()?;
    let mut command = Command::new("target/release/burlusher");
    command
        .args(["serve", "--policy", "deploy/service.policy", "--config"])
        .arg(settings)
        .current_dir(root)
        .env("LOG_LEVEL", "info")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log);
    // SAFETY: `prctl` is a system call that takes integers; it ends the controller with this program, however that ends.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        });
    }
    command.spawn().ok()
}

/// Memory that a process holds, in MB of 2^20 bytes.
fn held_mb(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    Some(line.split_whitespace().next()?.parse::<f64>().ok()? / 1024.0)
}

/// Returns as many loopback addresses that are free now. They are on an address of this process's own, so that no other
/// process is given one of their ports while a controller is away.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(127, 64 + high % 64, middle, low);
    let bind = |_| {
        TcpListener::bind((own, 0))
            .or_else(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
            .expect("a free port")
    };
    let held: Vec<TcpListener> = (0..count).map(bind).collect();
    let addresses = held.iter().map(|l| l.local_addr().expect("bound"));
    addresses.collect()
}

impl Controllers {
    pub fn start(
        root: &Path,
        dir: &Path,
        site: &Site,
        state: &[SocketAddr],
        cloud: SocketAddr,
    ) -> Option<Controllers> {
        let names: Vec<String> = (0..state.len()).map(|n| format!("drone-{n}")).collect();
        let mut public = free_addresses(2 * names.len());
        let back = public.split_off(names.len());
        let zone = |n: usize| text(site.zones[n % site.zones.len()]);
        let mut nodes = Vec::new();
        for (n, name) in names.iter().enumerate() {
            let others = (0..names.len()).filter(|other| *other != n);
            let peers = others.map(|o| {
                object(vec![
                    ("host_name", text(&names[o])),
                    ("zone", zone(o)),
                    ("address", text(&back[o].to_string())),
                ])
            });
            let zones = site.zones.iter().map(|z| text(z)).collect();
            let teams = site.teams.iter().map(|(team, cpus, cpus_max)| {
                object(vec![
                    ("name", text(team)),
                    ("cpus", decimal(*cpus)),
                    ("cpus_max", decimal(*cpus_max)),
                    ("gpus", decimal(0.0)),
                    ("gpus_max", decimal(0.0)),
                ])
            });
            let settings = object(vec![
                ("host_name", text(name)),
                ("zone", zone(n)),
                ("public_addr", text(&public[n].to_string())),
                ("back", text(&back[n].to_string())),
                ("peers", Json::List(peers.collect())),
                (
                    "services",
                    object(vec![
                        ("cloud", text(&cloud.to_string())),
                        ("state", text(&state[n].to_string())),
                    ]),
                ),
                (
                    "params",
                    object(vec![
                        ("size", int(names.len() as u64)),
                        ("zones", Json::List(zones)),
                        ("teams", Json::List(teams.collect())),
                        ("objectives", Json::List(Vec::new())),
                        (
                            "workers",
                            object(vec![
                                ("report_s", decimal(site.report_s)),
                                ("lease_s", decimal(site.lease_s)),
                                ("gang_wait_s", decimal(50.0)),
                                ("gang_peer_s", decimal(8.0)),
                                ("cancel_s", decimal(site.cancel_s)),
                            ]),
                        ),
                        (
                            "state",
                            object(vec![
                                ("rps", decimal(site.state_rps)),
                                ("write_rps", decimal(site.state_write_rps)),
                                ("value_kb", decimal(8.0)),
                                ("txn_ops", int(site.txn_ops)),
                            ]),
                        ),
                        (
                            "cloud",
                            object(vec![
                                ("rps", decimal(site.cloud_rps)),
                                ("list_lag_s", decimal(site.list_lag_s)),
                            ]),
                        ),
                        (
                            "quota",
                            object(vec![
                                ("cores", decimal(site.cores)),
                                ("mem_mb", decimal(site.mem_mb)),
                                ("fd_limit", int(site.fd_limit)),
                            ]),
                        ),
                        ("clock_off_ms", decimal(25.0)),
                    ]),
                ),
            ]);
            let file: PathBuf = dir.join(format!("{name}.json"));
            std::fs::write(&file, settings.write()).ok()?;
            let child = spawn(root, &file, 1)?;
            nodes.push(Node {
                name: name.clone(),
                public: public[n],
                child,
                most_mb: 0.0,
                settings: file,
                lives: 1,
                back_at: None,
            });
        }
        Some(Controllers {
            nodes,
            root: root.to_path_buf(),
        })
    }

    /// Kills all controllers; `enforce_memory` starts them again after `back_s`.
    pub fn crash_all(&mut self, back_s: f64) {
        for node in self.nodes.iter_mut().filter(|n| n.back_at.is_none()) {
            signal(node.child.id(), SIGKILL);
            let _ = node.child.wait();
            node.back_at = Some(Instant::now() + Duration::from_secs_f64(back_s));
            node.most_mb = 0.0;
        }
    }

    /// Acts as the platform of DEPLOY, "Memory": ends each controller that holds more than `limit_mb`, and starts it again
    /// with the same settings after `back_s`. Returns what it ended, each with the memory that it held in MB.
    pub fn enforce_memory(&mut self, limit_mb: f64, back_s: f64) -> Vec<(String, f64)> {
        let mut ended = Vec::new();
        for node in &mut self.nodes {
            if let Some(at) = node.back_at {
                if Instant::now() >= at {
                    node.lives += 1;
                    if let Some(child) = spawn(&self.root, &node.settings, node.lives) {
                        node.child = child;
                        node.back_at = None;
                    }
                }
                continue;
            }
            let held = held_mb(node.child.id()).unwrap_or(0.0);
            node.most_mb = node.most_mb.max(held);
            if held > limit_mb {
                signal(node.child.id(), SIGKILL);
                let _ = node.child.wait();
                node.back_at = Some(Instant::now() + Duration::from_secs_f64(back_s));
                ended.push((node.name.clone(), held));
            }
        }
        ended
    }

    /// Names of the controllers that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = self.nodes.iter_mut().filter(|n| n.back_at.is_none());
        let ended = ended.filter_map(|n| match n.child.try_wait() {
            Ok(None) => None,
            _ => Some(n.name.clone()),
        });
        ended.collect()
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            // One that was ended for its memory has been waited for.
            if node.back_at.is_none() && matches!(node.child.try_wait(), Ok(None)) {
                signal(node.child.id(), SIGKILL);
                let _ = node.child.wait();
            }
        }
    }
}
