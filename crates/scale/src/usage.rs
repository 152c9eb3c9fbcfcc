//! What a process takes, as the kernel accounts for it in `/proc`.

use std::fs;

/// The kernel counts processor time in hundredths of a second there, on every architecture.
const TICKS_PER_SECOND: f64 = 100.0;

/// What a process has taken up to now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time since the process began, in seconds.
    pub cpu_s: f64,
    /// Resident memory.
    pub memory_mb: f64,
    /// Threads that it has now.
    pub threads: u32,
    /// Sockets that it has open now.
    pub sockets: u32,
}

/// What a process has taken up to now; `None` if it is gone.
pub fn process_usage(pid: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let files = fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
    let is_socket = |f: &fs::DirEntry| {
        let target = fs::read_link(f.path());
        target.is_ok_and(|t| t.to_string_lossy().starts_with("socket:"))
    };
    Some(Usage {
        cpu_s: cpu_seconds(&stat)?,
        memory_mb: status_field(&status, "VmRSS:")? / 1000.0,
        threads: status_field(&status, "Threads:")? as u32,
        sockets: files.flatten().filter(is_socket).count() as u32,
    })
}

/// Fields 14 and 15; the name in field 2 may hold spaces.
fn cpu_seconds(stat: &str) -> Option<f64> {
    let (_, after_name) = stat.rsplit_once(')')?;
    let mut fields = after_name.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// The number in a line of `/proc/<pid>/status`.
fn status_field(status: &str, name: &str) -> Option<f64> {
    let line = status.lines().find(|l| l.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

#[cfg(test)]
mod tests;
