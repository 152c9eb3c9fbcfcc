//! Runs the controller as a process in front of a state service with a long history, and checks its memory.

use burlusher::http::{Request, Response, serve};
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Jobs that the store holds, all of which have ended. The copy and the list of them took 160 bytes each.
const ENDED_JOBS: usize = 400_000;
/// Memory that the settings grant to the controller, in MB.
const MEMORY_MB: u64 = 40;
/// Time within which the controller has to be ready; a debug build parses the pages slowly.
const READY_TIMEOUT: Duration = Duration::from_secs(90);
/// Items in a page of the store; the most that the state service returns.
const PAGE_ITEMS: usize = 1000;
const PREFIX: &str = "burlusher/j/wk-";

fn loopback() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap()
}

/// Returns the page of the store after the key `since`.
fn page(since: &str) -> String {
    let after = since.strip_prefix(PREFIX).map(|n| n.parse::<usize>());
    let first = after.map_or(0, |n| n.unwrap() + 1);
    let last = (first + PAGE_ITEMS).min(ENDED_JOBS);
    let mut items = String::new();
    for n in first..last {
        let comma = if n == first { "" } else { "," };
        let stamp = n + 1;
        write!(
            items,
            r#"{comma}{{"key":"{PREFIX}{n:07}","data":{{"end":"Done"}},"stamp":{stamp}}}"#
        )
        .unwrap();
    }
    let more = last < ENDED_JOBS;
    format!(r#"{{"items":[{items}],"more":{more},"ledger":{ENDED_JOBS}}}"#)
}

/// Responds like a state service that serves reads only.
fn respond(request: &Request) -> Response {
    let Some((_, query)) = request.path.split_once("/kv?") else {
        return Response::new(503, b"{}".to_vec());
    };
    let mut parameters = query.split('&').filter_map(|p| p.split_once('='));
    let since = parameters.find(|(name, _)| *name == "since");
    let page = page(since.map_or("", |(_, key)| key));
    Response::new(200, page.into_bytes())
}

/// Writes the settings of a single controller. Returns its public address.
fn write_settings(path: &Path, store: SocketAddr) -> SocketAddr {
    let free = [loopback(), loopback(), loopback()];
    let [public, back, cloud] = free.map(|listener| listener.local_addr().unwrap());
    let text = serde_json::json!({
        "host_name": "n0", "zone": "a", "peers": [],
        "public_addr": public.to_string(), "back": back.to_string(),
        "services": {"cloud": cloud.to_string(), "state": store.to_string()},
        "params": {
            "zones": ["a"], "teams": [{"name": "t"}], "objectives": [],
            "workers": {"report_s": 3.0, "lease_s": 30.0, "cancel_s": 60.0},
            "state": {"rps": 10_000.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 40},
            "cloud": {"rps": 5.0, "list_lag_s": 3.0},
            "quota": {"mem_mb": MEMORY_MB, "fd_limit": 500}
        }
    });
    std::fs::write(path, text.to_string()).unwrap();
    public
}

/// A controller, which ends with the test.
struct Controller(Child);

impl Controller {
    fn start(settings: &Path) -> Controller {
        let mut command = Command::new(env!("CARGO_BIN_EXE_burlusher"));
        command.args(["serve", "--config"]).arg(settings);
        command.stderr(Stdio::null());
        Controller(command.spawn().unwrap())
    }

    /// Returns the most memory that the process has held, in MB.
    fn peak_memory_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.0.id());
        let status = std::fs::read_to_string(path).unwrap();
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kilobytes = peak.unwrap().trim().trim_end_matches(" kB");
        kilobytes.parse::<u64>().unwrap() / 1000
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns whether the controller reports that it is ready.
fn is_ready(addr: SocketAddr) -> bool {
    use std::io::{Read, Write};
    let Ok(mut stream) = TcpStream::connect(addr) else {
        return false;
    };
    let request = "GET /ready HTTP/1.1\r\nhost: n0\r\nconnection: close\r\n\r\n";
    let mut response = String::new();
    let timeout = Some(Duration::from_secs(1));
    stream.set_read_timeout(timeout).unwrap();
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read_to_string(&mut response).is_ok()
        && response.starts_with("HTTP/1.1 200")
}

/// Guards against controllers that are ended for memory while they read a store with a long history, again and again
/// (review/8): the list and the copy of the store held every job that had ever ended.
#[test]
fn a_controller_reads_a_long_history_within_its_memory() {
    let listener = loopback();
    let store = listener.local_addr().unwrap();
    let handle = |request: Request| Some(respond(&request));
    std::thread::spawn(move || serve(listener, 16, Arc::new(handle)));
    let dir = tempfile::tempdir().unwrap();
    let settings = dir.path().join("settings.json");
    let public = write_settings(&settings, store);
    let controller = Controller::start(&settings);
    let begun = Instant::now();
    while !is_ready(public) {
        assert!(
            begun.elapsed() < READY_TIMEOUT,
            "the controller is not ready"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    let peak = controller.peak_memory_mb();
    assert!(peak < MEMORY_MB, "{peak} MB of {MEMORY_MB} MB");
}
