//! Execution of a scenario's events on a running cluster.

use crate::cloud::Cloud;
use crate::controllers::Controllers;
use crate::scenario::EventAction;
use crate::state::StateService;
use crate::worker::ClusterState;
use burlusher::http;
use burlusher::wire::PATH_STATUS;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout for a controller's response to a request of the stand-ins.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Duration of the outage of the state service when its data is lost.
const OUTAGE_BEFORE_LOSS: Duration = Duration::from_secs(1);
/// Time after which attempts to restore a snapshot are given up.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(20);
const RESTORE_INTERVAL: Duration = Duration::from_millis(500);

/// The parts of a cluster that events act on.
pub(crate) struct EventTargets {
    pub cluster_state: Arc<ClusterState>,
    pub cloud: Arc<Cloud>,
    pub state: Arc<StateService>,
    pub controllers: Arc<Controllers>,
}

impl EventTargets {
    /// Carries out one event.
    pub(crate) fn perform(&self, action: &EventAction) {
        let seconds = Duration::from_secs_f64;
        match action {
            EventAction::DrainZone { zone, notice_s } => {
                self.cloud.drain_zone(zone, seconds(*notice_s))
            }
            EventAction::OpenZone { zone } => self.cloud.open_zone(zone),
            EventAction::CloudOutage { for_s } => self.cloud.start_outage(seconds(*for_s)),
            EventAction::StateOutage { for_s } => self.state.start_outage(seconds(*for_s)),
            EventAction::LoseState {} => {
                self.state.start_outage(OUTAGE_BEFORE_LOSS);
                self.state.erase();
            }
            EventAction::RollBackState { back_s } => self.state.roll_back(seconds(*back_s)),
            EventAction::KillController { number, back_s } => {
                self.restart(*number, seconds(*back_s));
            }
            EventAction::KillLeader { back_s } => match self.leader() {
                Some(number) => self.restart(number, seconds(*back_s)),
                None => println!("no controller leads now"),
            },
            EventAction::KillAll { back_s } => {
                let numbers = 0..self.cluster_state.controller_addrs.len();
                numbers.for_each(|number| self.restart(number, seconds(*back_s)));
            }
            EventAction::Restore {} => self.restore(),
        }
    }

    /// Returns the number of the controller that reports itself as the leader, if there is one.
    fn leader(&self) -> Option<usize> {
        let mut controllers = self.cluster_state.controller_addrs.iter();
        controllers.position(|(_, addr)| {
            let status = get(*addr, PATH_STATUS);
            let body = status.map(|(_, body)| body).unwrap_or_default();
            let view = serde_json::from_slice::<serde_json::Value>(&body);
            view.is_ok_and(|view| view["leads"] == true)
        })
    }

    /// Sends the newest snapshot to the leader until the leader accepts it, which it does only while it rebuilds
    /// its store.
    fn restore(&self) {
        let deadline = Instant::now() + RESTORE_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(leader) = self.leader() {
                match self
                    .controllers
                    .restore(self.cluster_state.controller_addrs[leader].1)
                {
                    Ok(true) => return println!("the leader accepted the snapshot"),
                    Ok(false) => {}
                    Err(e) => println!("cannot restore the snapshot: {e}"),
                }
            }
            std::thread::sleep(RESTORE_INTERVAL);
        }
        println!("no controller accepted the snapshot");
    }

    /// Kills a controller, and restarts it after a delay.
    fn restart(&self, number: usize, after: Duration) {
        self.controllers.kill(number);
        // The run may have ended by then, and a controller started after that would never be stopped.
        let controllers = Arc::downgrade(&self.controllers);
        std::thread::spawn(move || {
            std::thread::sleep(after);
            if let Some(controllers) = controllers.upgrade()
                && let Err(e) = controllers.start(number)
            {
                eprintln!("cannot restart controller {number}: {e}");
            }
        });
    }
}

/// Sends a GET request to a controller; returns the status and body of the response, if there is one.
pub(crate) fn get(addr: SocketAddrV4, path: &str) -> Option<(u16, Vec<u8>)> {
    let mut client = http::Client::new(addr, CONNECT_TIMEOUT);
    let response = client.call("GET", path, b"", RESPONSE_TIMEOUT).ok()?;
    Some((response.status, response.body))
}
