//! The stand-in cloud: provisions, lists and deletes machines. Each machine type has a fixed capacity in each
//! zone, separately for ordinary (on-demand) and spot machines.

use crate::scenario::Scenario;
use crate::state::query;
use crate::worker::{ClusterState, Worker};
use burlusher::http::{self, Request, Response};
use burlusher::job::Resources;
use burlusher::wire::{
    ListedMachine, ListedState, MachineIds, MachineListPage, MachineType, MachineTypeList,
    PATH_DELETE_MACHINES, PATH_MACHINE_TYPES, PATH_MACHINES, ScaleOutRequest, to_json,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Machine type, zone, and whether the machines are spot machines.
type Offer = (String, String, bool);

#[derive(Default)]
struct CloudState {
    /// Machines that are not deleted, with the time of their provisioning, by id.
    machines: BTreeMap<String, (Arc<Worker>, Instant)>,
    /// Number of machines that are not deleted, by offer.
    in_use: BTreeMap<Offer, u32>,
    /// Machines that each request for machines provisioned, by request id: a repeated request gets the same
    /// response.
    answered_requests: BTreeMap<String, Vec<burlusher::job::MachineId>>,
    drained: BTreeSet<String>,
    down_until: Option<Instant>,
    next_machine: u64,
    /// Cost of the machines that are deleted.
    spent: f64,
    /// Number of ordinary and of spot machines that were provisioned.
    provisioned_count: (u64, u64),
    refused_requests: u64,
}

/// Strategy for running the workers of machines.
pub trait MachineLauncher: Send + Sync {
    /// Runs a machine, which is up after `boot` and from then on accepts direct commands on `listener`.
    fn launch(&self, worker: Arc<Worker>, listener: TcpListener, boot: Duration);
}

/// Launcher that uses two threads per machine, and one per connection to it.
pub struct ThreadLauncher;

impl MachineLauncher for ThreadLauncher {
    fn launch(&self, worker: Arc<Worker>, listener: TcpListener, boot: Duration) {
        std::thread::spawn(move || {
            std::thread::sleep(boot);
            let serving = worker.clone();
            std::thread::spawn(move || {
                let respond = move |r: Request| serving.handle_request(&r);
                http::serve(listener, 16, Arc::new(respond));
            });
            worker.run();
        });
    }
}

/// The stand-in cloud.
pub struct Cloud {
    launcher: Arc<dyn MachineLauncher>,
    types: Vec<MachineType>,
    capacity: BTreeMap<Offer, u32>,
    cluster_state: Arc<ClusterState>,
    state: Mutex<CloudState>,
}

/// Totals of provisioned machines and their cost.
pub struct Bill {
    /// Cost of all machines.
    pub spent: f64,
    /// Number of ordinary machines that were provisioned.
    pub ordinary: u64,
    /// Number of spot machines that were provisioned.
    pub spot: u64,
    /// Number of requests for machines that were refused.
    pub refused: u64,
}

impl Cloud {
    /// Creates a cloud with the scenario's capacity and no provisioned machines.
    pub fn new(
        scenario: &Scenario,
        cluster_state: Arc<ClusterState>,
        launcher: Arc<dyn MachineLauncher>,
    ) -> Cloud {
        let mut capacity = BTreeMap::new();
        let mut types = Vec::new();
        for m in &scenario.machines {
            for z in &scenario.zones {
                capacity.insert((m.name.clone(), z.clone(), false), m.ordinary);
                capacity.insert((m.name.clone(), z.clone(), true), m.spot);
            }
            types.push(MachineType {
                name: m.name.clone(),
                cpus: m.cpus,
                gpus: 0.0,
                ram: m.ram_gb,
                cache_gb: 50.0,
                fetch_gb_per_s: 1.0,
                price: m.price,
                spot_price: m.spot_price,
                boot_s: m.boot_s,
                zones: scenario.zones.clone(),
            });
        }
        Cloud {
            launcher,
            types,
            capacity,
            cluster_state,
            state: Mutex::new(CloudState::default()),
        }
    }

    /// Responds with 503 to every request for this long.
    pub fn start_outage(&self, duration: Duration) {
        self.state.lock().expect("lock is not poisoned").down_until =
            Some(Instant::now() + duration);
    }

    /// Stops provisioning in a zone, and reclaims its machines after the notice period.
    pub fn drain_zone(&self, zone: &str, notice: Duration) {
        let mut c = self.state.lock().expect("lock is not poisoned");
        c.drained.insert(zone.into());
        let present = c.machines.values().filter(|(w, _)| w.zone == zone);
        present.for_each(|(w, _)| w.announce_reclaim(notice));
    }

    /// Allows provisioning in a drained zone again.
    pub fn open_zone(&self, zone: &str) {
        self.state
            .lock()
            .expect("lock is not poisoned")
            .drained
            .remove(zone);
    }

    /// Returns the number of machines that are up or booting, by zone.
    pub fn machines_by_zone(&self) -> BTreeMap<String, usize> {
        let c = self.state.lock().expect("lock is not poisoned");
        let mut by_zone = BTreeMap::new();
        for (w, _) in c.machines.values().filter(|(w, _)| !w.is_gone()) {
            *by_zone.entry(w.zone.clone()).or_default() += 1;
        }
        by_zone
    }

    /// Returns the totals up to now; running machines are charged up to now.
    pub fn bill(&self) -> Bill {
        let c = self.state.lock().expect("lock is not poisoned");
        let running = c.machines.values().map(|(w, since)| self.price(w, *since));
        Bill {
            spent: c.spent + running.sum::<f64>(),
            ordinary: c.provisioned_count.0,
            spot: c.provisioned_count.1,
            refused: c.refused_requests,
        }
    }

    fn price(&self, w: &Worker, since: Instant) -> f64 {
        let t = self.types.iter().find(|t| t.name == w.machine_type);
        let hourly = t.map_or(0.0, |t| {
            let spot = t.spot_price.filter(|_| w.spot);
            spot.unwrap_or(t.price)
        });
        hourly * since.elapsed().as_secs_f64().max(60.0) / 3600.0
    }

    /// Handles one request of a controller.
    pub fn handle_request(&self, r: &Request) -> Response {
        let mut c = self.state.lock().expect("lock is not poisoned");
        if c.down_until.is_some_and(|t| Instant::now() < t) {
            return Response::error(503, "trouble");
        }
        let path = r.path.split('?').next().unwrap_or("");
        match (r.method.as_str(), path) {
            ("GET", PATH_MACHINE_TYPES) => {
                let types = self.types.clone();
                Response::new(200, to_json(&MachineTypeList { types }))
            }
            ("GET", PATH_MACHINES) => {
                let since = query(&r.path, "since").unwrap_or("").to_string();
                let present = c.machines.values().filter(|(w, _)| !w.is_gone());
                let listed = present
                    .filter(|(w, _)| w.id > since)
                    .map(|(w, provisioned)| {
                        let machine_type = self.types.iter().find(|t| t.name == w.machine_type);
                        let up = provisioned.elapsed().as_secs_f64()
                            > machine_type.map_or(0.0, |t| t.boot_s);
                        ListedMachine {
                            id: w.id.as_str().into(),
                            addr: Some(w.addr.to_string()),
                            machine_type: w.machine_type.clone(),
                            zone: w.zone.clone(),
                            spot: w.spot,
                            state: if up {
                                ListedState::Running
                            } else {
                                ListedState::Booting
                            },
                            age_s: provisioned.elapsed().as_secs_f64(),
                        }
                    });
                let machines = listed.collect();
                Response::new(
                    200,
                    to_json(&MachineListPage {
                        machines,
                        more: false,
                    }),
                )
            }
            ("POST", PATH_DELETE_MACHINES) => match serde_json::from_slice::<MachineIds>(&r.body) {
                Ok(ids) => {
                    for id in &ids.machines {
                        self.delete_machine(&mut c, id);
                    }
                    Response::new(200, b"{}".to_vec())
                }
                Err(e) => Response::error(400, &e.to_string()),
            },
            ("POST", PATH_MACHINES) => match serde_json::from_slice::<ScaleOutRequest>(&r.body) {
                Ok(body) if body.count <= 50 => self.scale_out(&mut c, body),
                Ok(_) => Response::error(400, "count: at most 50"),
                Err(e) => Response::error(400, &e.to_string()),
            },
            _ => Response::error(400, "malformed"),
        }
    }

    fn delete_machine(&self, c: &mut CloudState, id: &str) {
        if let Some((w, since)) = c.machines.remove(id) {
            w.remove();
            c.spent += self.price(&w, since);
            let offer = (w.machine_type.clone(), w.zone.clone(), w.spot);
            if let Some(n) = c.in_use.get_mut(&offer) {
                *n -= 1;
            }
        }
    }

    fn scale_out(&self, c: &mut CloudState, body: ScaleOutRequest) -> Response {
        let response = |machines| Response::new(200, to_json(&MachineIds { machines }));
        if let Some(machines) = c.answered_requests.get(&body.request_id) {
            return response(machines.clone());
        }
        let reclaimed: Vec<String> = c
            .machines
            .iter()
            .filter(|(_, (w, _))| w.is_gone())
            .map(|(id, _)| id.clone())
            .collect();
        for id in reclaimed {
            self.delete_machine(c, &id);
        }
        let offer = (body.machine_type, body.zone, body.spot);
        let capacity = self.capacity.get(&offer).copied().unwrap_or(0);
        let in_use = c.in_use.get(&offer).copied().unwrap_or(0);
        let count = body.count.min(capacity.saturating_sub(in_use));
        let t = self.types.iter().find(|t| t.name == offer.0);
        let (Some(t), true) = (t, count > 0 && !c.drained.contains(&offer.1)) else {
            c.refused_requests += 1;
            return Response::error(503, "no capacity");
        };
        let mut machines = Vec::new();
        for _ in 0..count {
            let Some(worker) = self.boot(c, &offer, t) else {
                break;
            };
            machines.push(worker.id.as_str().into());
            c.machines
                .insert(worker.id.clone(), (worker, Instant::now()));
        }
        let provisioned = machines.len() as u64;
        *c.in_use.entry(offer.clone()).or_default() += provisioned as u32;
        match offer.2 {
            true => c.provisioned_count.1 += provisioned,
            false => c.provisioned_count.0 += provisioned,
        }
        c.answered_requests
            .insert(body.request_id, machines.clone());
        response(machines)
    }

    fn boot(&self, c: &mut CloudState, offer: &Offer, t: &MachineType) -> Option<Arc<Worker>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).ok()?;
        let SocketAddr::V4(addr) = listener.local_addr().ok()? else {
            return None;
        };
        c.next_machine += 1;
        let id = format!("i-{:06}", c.next_machine);
        let capacity = Resources {
            cpus: t.cpus,
            gpus: t.gpus,
            ram: t.ram,
        };
        let worker = Worker::new(
            id,
            addr,
            offer.clone(),
            capacity,
            self.cluster_state.clone(),
        );
        let worker = Arc::new(worker);
        let boot = Duration::from_secs_f64(t.boot_s);
        self.launcher.launch(worker.clone(), listener, boot);
        Some(worker)
    }
}
