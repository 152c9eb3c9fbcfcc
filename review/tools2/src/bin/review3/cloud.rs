//! The cloud of PROTOCOL, "Controller nodes -> cloud".

use crate::http::{Request, Response};
use crate::json::{decimal, int, object, text, Json};
use crate::worker::{self, Worker};
use crate::world::World;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Breed {
    pub name: &'static str,
    pub cpus: f64,
    pub ram: f64,
    pub price: f64,
    pub low_price: f64,
    pub boot: f64,
    pub fetch_gb_per_s: f64,
    /// Machines in each zone: ordinary and cheap ones.
    pub ordinary: usize,
    pub cheap: usize,
}

struct Machine {
    worker: Arc<Worker>,
    hired: Instant,
    up: Instant,
    gone: Option<Instant>,
}

#[derive(Default)]
struct Hired {
    machines: BTreeMap<String, Machine>,
    answered: BTreeMap<String, Vec<String>>,
    next: u64,
    calls: Option<(f64, Instant)>,
    /// The first machines, this many, are faulty.
    faulty_first: u64,
    /// Cheap machines are refused.
    no_cheap: bool,
}

pub struct Cloud {
    pub breeds: Vec<Breed>,
    pub zones: Vec<&'static str>,
    pub rps: f64,
    pub list_lag: Duration,
    pub world: Arc<World>,
    hired: Mutex<Hired>,
}

impl Cloud {
    pub fn new(
        breeds: Vec<Breed>,
        zones: Vec<&'static str>,
        rps: f64,
        lag: f64,
        world: Arc<World>,
    ) -> Cloud {
        Cloud {
            breeds,
            zones,
            rps,
            list_lag: Duration::from_secs_f64(lag),
            world,
            hired: Mutex::default(),
        }
    }

    /// All machines that are up and not gone.
    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let hired = self.hired.lock().unwrap();
        let now = Instant::now();
        let present = hired
            .machines
            .values()
            .filter(|m| m.gone.is_none_or(|gone| gone > now) && m.up <= now);
        present.map(|m| m.worker.clone()).collect()
    }

    pub fn handle(self: &Arc<Self>, r: &Request) -> Response {
        let mut hired = self.hired.lock().unwrap();
        let now = Instant::now();
        let (level, at) = hired.calls.unwrap_or((2.0 * self.rps, now));
        let level = (level + now.duration_since(at).as_secs_f64() * self.rps).min(2.0 * self.rps);
        hired.calls = Some(((level - 1.0).max(0.0), now));
        if level < 1.0 {
            return Response::error(429, "rate");
        }
        match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/flavors") => self.flavors(),
            ("GET", "/hosts") => self.list(&hired, r),
            ("POST", "/hosts") => self.hire(&mut hired, r),
            ("POST", "/hosts/delete") => {
                let body = Json::parse(&r.body).unwrap_or(Json::Null);
                for id in body
                    .get("drones")
                    .as_list()
                    .iter()
                    .filter_map(Json::as_text)
                {
                    if let Some(m) = hired.machines.get_mut(id) {
                        if m.gone.is_none_or(|gone| gone > now) {
                            m.gone = Some(now);
                            m.worker.end("deleted");
                        }
                    }
                }
                Response::new(200, "{}".into())
            }
            _ => Response::error(400, "malformed"),
        }
    }

    fn flavors(&self) -> Response {
        let zones = || Json::List(self.zones.iter().map(|z| text(z)).collect());
        let breeds = self.breeds.iter().map(|b| {
            object(vec![
                ("label", text(b.name)),
                ("cpus", decimal(b.cpus)),
                ("accelerators", decimal(0.0)),
                ("ram_gb", decimal(b.ram)),
                ("local_gb", decimal(50.0)),
                ("fetch_gb_per_s", decimal(b.fetch_gb_per_s)),
                ("rate", decimal(b.price)),
                ("low_price", decimal(b.low_price)),
                ("startup_s", decimal(b.boot)),
                ("parcels", zones()),
            ])
        });
        Response::new(
            200,
            object(vec![("breeds", Json::List(breeds.collect()))]).write(),
        )
    }

    /// The list as it was `list_lag` ago.
    fn list(&self, hired: &Hired, r: &Request) -> Response {
        let Some(then) = Instant::now().checked_sub(self.list_lag) else {
            return Response::error(503, "trouble");
        };
        let since = r.param("since").unwrap_or("");
        let most: usize = r
            .param("page")
            .and_then(|v| v.parse().ok())
            .unwrap_or(500)
            .min(500);
        let listed = hired.machines.iter().filter(|(id, m)| {
            id.as_str() > since && m.hired <= then && m.gone.is_none_or(|gone| gone > then)
        });
        let mut all: Vec<Json> = listed
            .take(most + 1)
            .map(|(id, m)| {
                object(vec![
                    ("name_id", text(id)),
                    ("endpoint", text(&m.worker.addr.to_string())),
                    ("breed", text(&m.worker.breed)),
                    ("parcel", text(&m.worker.zone)),
                    ("gleanable", Json::Bool(m.worker.cheap)),
                    (
                        "standing",
                        text(if m.up <= then { "running" } else { "starting" }),
                    ),
                    ("age_s", decimal(then.duration_since(m.hired).as_secs_f64())),
                ])
            })
            .collect();
        let more = all.len() > most;
        all.truncate(most);
        Response::new(
            200,
            object(vec![
                ("drones", Json::List(all)),
                ("more", Json::Bool(more)),
            ])
            .write(),
        )
    }

    fn hire(self: &Arc<Self>, hired: &mut Hired, r: &Request) -> Response {
        let body = Json::parse(&r.body).unwrap_or(Json::Null);
        let (Some(name), Some(breed), Some(zone), Some(count)) = (
            body.get("hire").as_text(),
            body.get("breed").as_text(),
            body.get("parcel").as_text(),
            body.get("count").as_u64().filter(|c| (1..=50).contains(c)),
        ) else {
            return Response::error(400, "malformed");
        };
        let answer = |ids: &[String]| {
            let ids = ids.iter().map(|id| text(id)).collect();
            Response::new(200, object(vec![("drones", Json::List(ids))]).write())
        };
        if let Some(ids) = hired.answered.get(name) {
            return answer(ids);
        }
        let cheap = body.get("gleanable").is_true();
        let Some(kind) = self.breeds.iter().find(|b| b.name == breed) else {
            return Response::error(400, "unknown breed");
        };
        if cheap && hired.no_cheap {
            return Response::error(503, "no capacity");
        }
        let capacity = if cheap { kind.cheap } else { kind.ordinary };
        let same = |m: &&Machine| {
            m.gone.is_none()
                && m.worker.breed == breed
                && m.worker.zone == zone
                && m.worker.cheap == cheap
        };
        let free = capacity.saturating_sub(hired.machines.values().filter(same).count());
        if free == 0 {
            return Response::error(503, "no capacity");
        }
        let mut ids = Vec::new();
        for _ in 0..free.min(count as usize) {
            let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
                break;
            };
            hired.next += 1;
            let id = format!("i-{:06}", hired.next);
            let now = Instant::now();
            let boot = Duration::from_secs_f64(kind.boot);
            let worker = Worker::new(&id, &listener, kind, zone, cheap, self.world.clone());
            if hired.next <= hired.faulty_first {
                worker.make_faulty();
            }
            self.world.note(&format!(
                "cloud: {id} hired, {breed} in {zone}, request {name}"
            ));
            worker::boot(worker.clone(), listener, boot);
            hired.machines.insert(
                id.clone(),
                Machine {
                    worker,
                    hired: now,
                    up: now + boot,
                    gone: None,
                },
            );
            ids.push(id);
        }
        hired.answered.insert(name.to_string(), ids.clone());
        answer(&ids)
    }

    /// The first machines that are rented are faulty, for as long as they exist.
    pub fn set_faulty_first(&self, count: u64) {
        self.hired.lock().unwrap().faulty_first = count;
    }

    /// Takes all cheap machines back after this notice, and rents no more of them. Returns how many there were.
    pub fn take_cheap_back(&self, notice: Duration) -> usize {
        let mut hired = self.hired.lock().unwrap();
        hired.no_cheap = true;
        let now = Instant::now();
        let mut taken = 0;
        for m in hired
            .machines
            .values_mut()
            .filter(|m| m.gone.is_none() && m.worker.cheap)
        {
            m.worker.notice(notice);
            // From then on it is not in the list.
            m.gone = Some(now + notice);
            taken += 1;
        }
        taken
    }

    /// How many machines exist, booting ones included.
    pub fn present(&self) -> usize {
        let now = Instant::now();
        let hired = self.hired.lock().unwrap();
        let exists = |m: &&Machine| m.gone.is_none_or(|gone| gone > now);
        hired.machines.values().filter(exists).count()
    }

    pub fn count(&self) -> Json {
        int(self.hired.lock().unwrap().next)
    }
}
