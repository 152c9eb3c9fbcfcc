//! Stand-ins of the third review, and its cases: `review3 CASE ROOT DIR RECORD TROUBLE`. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod case_history;
mod case_huge;
mod case_leftover;
mod case_memory;
mod case_pipeline;
mod case_suspect;
mod cloud;
mod governor;
mod http;
mod json;
mod platform;
mod state;
mod users;
mod worker;
mod world;

use cloud::{Breed, Cloud};
use platform::{Controllers, Site};
use state::{Limits, State};
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use users::Balancer;
use world::World;

pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

/// The small deployment of BRIEF, "Furrowline": sizes and prices of its machines. Boot times are 0.6 of the announced
/// ones, as PROTOCOL allows.
pub fn furrowline_breeds() -> Vec<Breed> {
    let breed = |name, cpus, ram, price, low_price, boot, fetch_gb_per_s, ordinary, cheap| Breed {
        name,
        cpus,
        ram,
        price,
        low_price,
        boot,
        fetch_gb_per_s,
        ordinary,
        cheap,
    };
    vec![
        breed("sprout", 4.0, 32.0, 0.34, 0.13, 9.0, 0.25, 6, 5),
        breed("combine", 16.0, 128.0, 1.35, 0.52, 21.0, 0.8, 1, 1),
        breed("silo", 64.0, 512.0, 5.44, 2.38, 9.0, 0.6, 1, 1),
    ]
}

pub fn furrowline() -> Site {
    Site {
        zones: vec!["erie-east", "huron-west"],
        report_s: 3.0,
        lease_s: 26.0,
        cancel_s: 51.0,
        cores: 0.096,
        mem_mb: 136.0,
        fd_limit: 1800,
        state_rps: 100.0,
        state_write_rps: 40.0,
        txn_ops: 32,
        cloud_rps: 4.0,
        list_lag_s: 3.0,
        teams: vec![("agronomy", 0.0, 0.0)],
        nodes: 3,
        back_s: 5.0,
    }
}

/// A whole deployment: stand-ins of the platform and three controllers.
pub struct Deployment {
    pub world: Arc<World>,
    pub cloud: Arc<Cloud>,
    pub state: Arc<State>,
    pub controllers: Controllers,
    pub balancer: Arc<Balancer>,
}

pub struct Args {
    root: PathBuf,
    dir: PathBuf,
    record: PathBuf,
    pub trouble: bool,
}

impl Deployment {
    pub fn start(args: &Args, site: &Site, breeds: Vec<Breed>) -> Option<Deployment> {
        let record = File::create(&args.record).ok()?;
        let state = Arc::new(State::new(Limits {
            rps: site.state_rps,
            write_rps: site.state_write_rps,
            value_bytes: 8192,
            txn_ops: site.txn_ops as usize,
        }));
        let mut state_addresses: Vec<SocketAddr> = Vec::new();
        for _ in 0..site.nodes {
            let listener = TcpListener::bind("127.0.0.1:0").ok()?;
            state_addresses.push(listener.local_addr().ok()?);
            let state = state.clone();
            http::serve(listener, Arc::new(move |r| Some(state.handle(&r))));
        }
        let cloud_listener = TcpListener::bind("127.0.0.1:0").ok()?;
        let cloud_address = cloud_listener.local_addr().ok()?;
        let controllers =
            Controllers::start(&args.root, &args.dir, site, &state_addresses, cloud_address)?;
        let nodes = controllers
            .nodes
            .iter()
            .map(|n| (n.name.clone(), n.public))
            .collect();
        let world = Arc::new(World::new(record, nodes, site.report_s, site.lease_s));
        let cloud = Arc::new(Cloud::new(
            breeds,
            site.zones.clone(),
            site.cloud_rps,
            site.list_lag_s,
            world.clone(),
        ));
        let serving = cloud.clone();
        http::serve(cloud_listener, Arc::new(move |r| Some(serving.handle(&r))));
        let balancer = Balancer::start(&world);
        let begun = Instant::now();
        while balancer.healthy() < site.nodes {
            if begun.elapsed() > Duration::from_secs(20) {
                return None;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        world.note("all controllers are ready");
        Some(Deployment {
            world,
            cloud,
            state,
            controllers,
            balancer,
        })
    }

    pub fn sleep_until(&self, second: f64) {
        let left = second - self.world.now_s();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.len() != 6 {
        eprintln!("usage: review3 CASE ROOT DIR RECORD TROUBLE");
        std::process::exit(2);
    }
    let parsed = Args {
        root: PathBuf::from(&args[2]),
        dir: PathBuf::from(&args[3]),
        record: PathBuf::from(&args[4]),
        trouble: args[5] != "0",
    };
    let verdict = match args[1].as_str() {
        "history" => case_history::run(&parsed),
        "leftover" => case_leftover::run(&parsed),
        "suspect" => case_suspect::run(&parsed),
        "huge" => case_huge::run(&parsed),
        "memory" => case_memory::run(&parsed),
        "pipeline" => case_pipeline::run(&parsed, false),
        "drawn" => case_pipeline::run(&parsed, true),
        other => Verdict::CouldNotRun(format!("unknown case {other}")),
    };
    let (code, line) = match verdict {
        Verdict::Held(why) => (0, format!("HELD: {why}")),
        Verdict::Broken(why) => (1, format!("BROKEN: {why}")),
        Verdict::CouldNotRun(why) => (2, format!("COULD NOT RUN: {why}")),
    };
    println!("{line}");
    std::process::exit(code);
}
