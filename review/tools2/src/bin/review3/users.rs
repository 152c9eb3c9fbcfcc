//! Users behind their load balancer: PROTOCOL, "Users -> controller nodes".

use crate::http::Client;
use crate::json::{decimal, int, object, text, Json};
use crate::world::{Job, World};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Chooses a node that is healthy by its last probes; connections are spread in turn.
pub struct Balancer {
    nodes: Vec<(String, SocketAddr)>,
    healthy: Mutex<Vec<bool>>,
    turn: AtomicUsize,
}

impl Balancer {
    pub fn start(world: &Arc<World>) -> Arc<Balancer> {
        let nodes = world.nodes.clone();
        let count = nodes.len();
        let balancer = Arc::new(Balancer {
            nodes,
            healthy: Mutex::new(vec![false; count]),
            turn: AtomicUsize::new(0),
        });
        for node in 0..count {
            let (balancer, world) = (balancer.clone(), world.clone());
            std::thread::spawn(move || balancer.probe(node, &world));
        }
        balancer
    }

    fn probe(&self, node: usize, world: &World) {
        // The outcomes of the last probes, the newest first.
        let mut last: Vec<bool> = Vec::new();
        let mut ever = false;
        loop {
            let begun = Instant::now();
            let mut client = Client::new(self.nodes[node].1);
            let answer = client.call("GET", "/ready", "", Duration::from_secs(1));
            last.insert(0, answer.is_some_and(|a| a.status == 200));
            last.truncate(6);
            let failed = last.iter().filter(|ok| !**ok).count();
            let two = |wanted: bool| last.len() >= 2 && last[0] == wanted && last[1] == wanted;
            let mut healthy = self.healthy.lock().unwrap();
            let was = healthy[node];
            if was && (two(false) || failed >= 3) {
                healthy[node] = false;
            } else if !was && (two(true) || (!ever && last[0])) {
                healthy[node] = true;
                ever = true;
            }
            if was != healthy[node] {
                let state = if healthy[node] {
                    "healthy"
                } else {
                    "unhealthy"
                };
                world.note(&format!("load balancer: {} {state}", self.nodes[node].0));
            }
            drop(healthy);
            std::thread::sleep(Duration::from_secs(1).saturating_sub(begun.elapsed()));
        }
    }

    pub fn healthy(&self) -> usize {
        self.healthy.lock().unwrap().iter().filter(|h| **h).count()
    }

    /// A node for a new connection.
    fn pick(&self) -> Option<usize> {
        let healthy = self.healthy.lock().unwrap();
        let from = self.turn.fetch_add(1, Ordering::Relaxed);
        (0..healthy.len())
            .map(|i| (from + i) % healthy.len())
            .find(|n| healthy[*n])
    }

    /// One request on a new connection: the node's name and the answer.
    pub fn request(
        &self,
        method: &str,
        path: &str,
        body: &str,
        wait_s: u64,
    ) -> (String, u16, Json, Option<f64>) {
        // A node that does not accept the connection within 0.5 s is left for another one, up to three in total.
        let mut accepted = None;
        for _ in 0..3 {
            let Some(node) = self.pick() else { break };
            let mut client = Client::new(self.nodes[node].1);
            if client.connect(Duration::from_millis(500)) {
                accepted = Some((node, client));
                break;
            }
        }
        let Some((node, mut client)) = accepted else {
            return ("nobody".into(), 0, Json::Null, None);
        };
        let answer = client.call(method, path, body, Duration::from_secs(wait_s));
        let name = self.nodes[node].0.clone();
        match answer {
            Some(a) => (
                name,
                a.status,
                Json::parse(&a.body).unwrap_or(Json::Null),
                a.retry_after,
            ),
            None => (name, 0, Json::Null, None),
        }
    }
}

pub fn submission(job: &Job) -> String {
    let breeds = match &job.breeds {
        Some(names) => Json::List(names.iter().map(|n| text(n)).collect()),
        None => Json::Null,
    };
    object(vec![
        ("name_id", text(&job.id)),
        ("crop", text(&job.class)),
        ("steward", text(job.team)),
        ("shape", text("array")),
        ("rank", text(&job.rank)),
        ("rows", int(job.rows)),
        ("cpus", decimal(job.cpus)),
        ("accelerators", decimal(0.0)),
        ("ram_gb", decimal(job.ram)),
        ("seedstock", text(&job.image)),
        ("size_gb", decimal(job.image_gb)),
        ("breeds", breeds),
        (
            "parcel",
            job.parcel.as_ref().map_or(Json::Null, |p| text(p)),
        ),
        ("together", Json::Bool(false)),
        ("scatter", Json::Bool(false)),
        ("gleanable", Json::Bool(job.cheap)),
        ("reckon_s", decimal(job.reckon_s)),
        ("harvest_s", decimal(0.0)),
        ("bale_s", decimal(0.0)),
        ("due_s", job.due_s.map_or(Json::Null, decimal)),
        (
            "awaits",
            Json::List(job.awaits.iter().map(|id| text(id)).collect()),
        ),
    ])
    .write()
}

/// Submits a job as its user does, for up to 60 s. Returns when it was accepted.
pub fn submit(world: &World, balancer: &Balancer, job: &Job) -> Option<Instant> {
    world
        .jobs
        .lock()
        .unwrap()
        .insert(job.id.clone(), job.clone());
    let body = submission(job);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(60) {
        let (node, status, answer, retry) = balancer.request("POST", "/api/jobs", &body, 5);
        let standing = answer.get("standing").as_text().unwrap_or("-").to_string();
        world.note(&format!(
            "user: {} {} rows submitted to {node}: {status} {standing}",
            job.id, job.rows
        ));
        match status {
            200 | 201 => return Some(Instant::now()),
            400 | 422 => return None,
            _ => std::thread::sleep(Duration::from_secs_f64(
                retry.unwrap_or(1.0).clamp(1.0, 30.0),
            )),
        }
    }
    None
}

/// Polls a job once; returns its standing if there is an answer.
pub fn poll(world: &World, balancer: &Balancer, id: &str) -> Option<String> {
    let (node, status, answer, _) = balancer.request("GET", &format!("/api/jobs/{id}"), "", 2);
    let standing = answer.get("standing").as_text().map(str::to_string);
    world.note(&format!(
        "user: {id} polled at {node}: {status} {}",
        standing.as_deref().unwrap_or("-")
    ));
    standing.filter(|_| status == 200)
}

/// Asks to cancel a job until there is an answer, for up to `for_s`. Returns the standing that was answered.
pub fn withdraw(world: &World, balancer: &Balancer, id: &str, for_s: f64) -> Option<String> {
    let begun = Instant::now();
    while begun.elapsed().as_secs_f64() < for_s {
        let (node, status, answer, retry) =
            balancer.request("POST", &format!("/api/jobs/{id}/withdraw"), "", 5);
        let standing = answer.get("standing").as_text().map(str::to_string);
        world.note(&format!(
            "user: {id} withdrawn at {node}: {status} {}",
            standing.as_deref().unwrap_or("-")
        ));
        if status == 200 {
            return standing;
        }
        std::thread::sleep(Duration::from_secs_f64(
            retry.unwrap_or(1.0).clamp(1.0, 30.0),
        ));
    }
    None
}
