//! Commands about an archive of snapshots.

use super::args::{ArchiveArgs, LineArgs, NodeArgs, SnapshotCommand};
use super::call::call;
use super::error::{CommandError, with_subject};
use burlusher::settings::Settings;
use burlusher::snapshotter::{self, Snapshotter};
use burlusher::{http, wire};
use burlusher_snapshot::archive::{Archive, ArchivedTimeline};
use burlusher_snapshot::timeline::RecordFault;
use serde_json::{Value, json};
use std::path::Path;
use std::time::SystemTime;

/// Runs one command.
pub fn run(command: SnapshotCommand) -> Result<(), CommandError> {
    match command {
        SnapshotCommand::List { archive } => {
            print(&archive, &all_lines(&archive)?);
            Ok(())
        }
        SnapshotCommand::Show { archive, line } => show(&archive, &line),
        SnapshotCommand::Verify { archive } => verify(&archive),
        SnapshotCommand::Take { archive, config } => take(&archive.dir, &config),
        SnapshotCommand::Restore {
            archive,
            line,
            node,
        } => restore(&archive, &line, &node),
    }
}

fn show(archive: &ArchiveArgs, line: &LineArgs) -> Result<(), CommandError> {
    let line = line_view(&find_line(archive, line)?, true);
    print(archive, std::slice::from_ref(&line));
    if !archive.json {
        let live = line["live"].as_array().into_iter().flatten();
        live.for_each(|id| println!("live {}", id.as_str().unwrap_or("-")));
    }
    Ok(())
}

fn verify(archive: &ArchiveArgs) -> Result<(), CommandError> {
    let lines = all_lines(archive)?;
    print(archive, &lines);
    let faults = lines.iter().filter_map(|line| line["faults"].as_array());
    match faults.map(Vec::len).sum::<usize>() {
        0 => Ok(()),
        count => Err(format!("{count} faults").into()),
    }
}

fn take(dir: &Path, config: &Path) -> Result<(), CommandError> {
    let settings = Settings::load(config)?;
    let revision = Snapshotter::open(settings.store_addr, dir)?.take()?;
    println!("{}", json!({"revision": revision}));
    Ok(())
}

/// Offers a line to the leader, page by page.
fn restore(archive: &ArchiveArgs, line: &LineArgs, node: &NodeArgs) -> Result<(), CommandError> {
    let listed = find_line(archive, line)?;
    let mut new_jobs = 0;
    for page in &snapshotter::pages(&listed)? {
        let body = wire::to_json(page);
        if body.len() > http::MAX_BODY {
            return Err("a job in it is too large for this way: start a controller with --snapshots and this folder".into());
        }
        let response = call(node, "POST", wire::PATH_SNAPSHOT, &body)?;
        let response: Value = serde_json::from_str(&response)?;
        new_jobs += response["new_jobs"].as_u64().unwrap_or(0);
    }
    println!("{}", json!({"line": listed.name, "new_jobs": new_jobs}));
    Ok(())
}

fn open(archive: &ArchiveArgs) -> Result<Archive, CommandError> {
    Ok(Archive::existing(&archive.dir).map_err(with_subject(archive.dir.display()))?)
}

fn all_lines(archive: &ArchiveArgs) -> Result<Vec<Value>, CommandError> {
    let lines = open(archive)?.list()?;
    Ok(lines.iter().map(|line| line_view(line, false)).collect())
}

/// The line that the arguments name, or the newest whole one.
fn find_line(archive: &ArchiveArgs, line: &LineArgs) -> Result<ArchivedTimeline, CommandError> {
    let opened = open(archive)?;
    let found = match &line.line {
        Some(name) => opened.find(name),
        None => opened.list().map(snapshotter::best),
    };
    let dir = archive.dir.display();
    let found = found.map_err(with_subject(&dir))?;
    found.ok_or_else(|| with_subject(&dir)("no such line").into())
}

/// One line of an archive, as it is shown.
fn line_view(listed: &ArchivedTimeline, with_jobs: bool) -> Value {
    let faults =
        |found: &[RecordFault]| found.iter().map(RecordFault::to_string).collect::<Vec<_>>();
    match &listed.timeline {
        Ok(line) => {
            let summary = snapshotter::summary(&line.image);
            let mut view = json!({
                "line": listed.name, "store": line.header.store, "revision": line.image.revision,
                "base_ms": line.header.at_ms, "newest_ms": line.newest_ms, "bytes": line.bytes,
                "changes": line.changes, "jobs_live": summary.live.len(),
                "jobs_ended": summary.ended, "machines": summary.machines, "term": summary.term,
                "faults": faults(&line.faults),
            });
            if with_jobs {
                view["live"] = summary.live.into();
            }
            view
        }
        Err(found) => json!({"line": listed.name, "faults": faults(found)}),
    }
}

fn print(archive: &ArchiveArgs, lines: &[Value]) {
    if archive.json {
        println!("{}", Value::from(lines));
    } else {
        print!("{}", table(lines));
    }
}

fn table(lines: &[Value]) -> String {
    let mut text = format!(
        "{:<26} {:>10} {:>8} {:>8} {:>8} {:>9}  newest change (s ago), faults\n",
        "line", "revision", "live", "ended", "machines", "bytes"
    );
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now_ms = now.unwrap_or_default().as_millis() as u64;
    for line in lines {
        text.push_str(&table_row(line, now_ms));
    }
    text
}

fn table_row(line: &Value, now_ms: u64) -> String {
    let age = line["newest_ms"].as_u64().map_or("-".into(), |at_ms| {
        format!("{:.1}", now_ms.saturating_sub(at_ms) as f64 / 1000.0)
    });
    let number = |name: &str| {
        let number = line[name].as_u64();
        number.map_or("-".into(), |number| number.to_string())
    };
    let faults = match line["faults"].as_array().map_or(0, Vec::len) {
        0 => "none".into(),
        count => format!("{count}: {}", line["faults"][0]),
    };
    format!(
        "{:<26} {:>10} {:>8} {:>8} {:>8} {:>9}  {age}, {faults}\n",
        line["line"].as_str().unwrap_or("-"),
        number("revision"),
        number("jobs_live"),
        number("jobs_ended"),
        number("machines"),
        number("bytes"),
    )
}
