//! Resource usage of a process, from `/proc`.

use std::fs;

/// Number of clock ticks per second in the CPU times of `/proc/<pid>/stat` (`USER_HZ`), the same on all common
/// architectures.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resource usage of a process at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// CPU time (user and system) since the start of the process, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in MB.
    pub memory_mb: f64,
    /// Number of threads.
    pub threads: u32,
    /// Number of open sockets.
    pub sockets: u32,
}

/// Returns the resource usage of a process; `None` if there is no such process.
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

/// Parses the CPU time from `/proc/<pid>/stat`: fields 14 and 15. The process name in field 2 may contain spaces and
/// parentheses, so the fields are counted from the last closing parenthesis.
fn cpu_seconds(stat: &str) -> Option<f64> {
    let (_, after_name) = stat.rsplit_once(')')?;
    let mut fields = after_name.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// Returns the number in the line of `/proc/<pid>/status` that begins with `name`.
fn status_field(status: &str, name: &str) -> Option<f64> {
    let line = status.lines().find(|l| l.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

#[cfg(test)]
mod tests;
