//! Commands for an archive of snapshots.

use super::args::{ArchiveArgs, NodeArgs, SnapshotCommand, TimelineArgs};
use super::call::call_when_ready;
use super::error::{CommandError, with_subject};
use burlusher::settings::Settings;
use burlusher::snapshotter::{self, Snapshotter};
use burlusher::{http, wire};
use burlusher_snapshot::archive::{Archive, ArchivedTimeline};
use burlusher_snapshot::timeline::RecordFault;
use serde_json::{Value, json};
use std::path::Path;
use std::time::SystemTime;

/// Runs one of the snapshot commands.
pub fn run(command: SnapshotCommand) -> Result<(), CommandError> {
    match command {
        SnapshotCommand::List { archive } => {
            print(&archive, &all_timelines(&archive)?);
            Ok(())
        }
        SnapshotCommand::Show { archive, timeline } => show(&archive, &timeline),
        SnapshotCommand::Verify { archive } => verify(&archive),
        SnapshotCommand::Take { archive, config } => take(&archive.dir, &config),
        SnapshotCommand::Restore {
            archive,
            timeline,
            node,
        } => restore(&archive, &timeline, &node),
    }
}

fn show(archive: &ArchiveArgs, timeline: &TimelineArgs) -> Result<(), CommandError> {
    let view = timeline_view(&find_timeline(archive, timeline)?, true);
    print(archive, std::slice::from_ref(&view));
    if !archive.json {
        let live = view["live"].as_array().into_iter().flatten();
        live.for_each(|id| println!("live {}", id.as_str().unwrap_or("-")));
    }
    Ok(())
}

fn verify(archive: &ArchiveArgs) -> Result<(), CommandError> {
    let views = all_timelines(archive)?;
    print(archive, &views);
    let faults = views.iter().filter_map(|view| view["faults"].as_array());
    match faults.map(Vec::len).sum::<usize>() {
        0 => Ok(()),
        count => Err(format!("{count} faults").into()),
    }
}

fn take(dir: &Path, config: &Path) -> Result<(), CommandError> {
    let settings = Settings::load(config)?;
    let limiter = snapshotter::archive_limiter(&settings);
    let revision = Snapshotter::open(settings.store_addr, limiter, dir)?.take_snapshot()?;
    println!("{}", json!({"revision": revision}));
    Ok(())
}

/// Uploads a timeline to the leader, page by page.
fn restore(
    archive: &ArchiveArgs,
    timeline: &TimelineArgs,
    node: &NodeArgs,
) -> Result<(), CommandError> {
    let listed = find_timeline(archive, timeline)?;
    let mut new_jobs = 0;
    for page in &snapshotter::snapshot_pages(&listed)? {
        let body = wire::to_json(page);
        if body.len() > http::MAX_BODY {
            return Err("the snapshot contains a job that is too large for an upload; start a controller with --snapshots and this folder instead".into());
        }
        let response = call_when_ready(node, "POST", wire::PATH_SNAPSHOT, &body)?;
        let response: Value = serde_json::from_str(&response)?;
        new_jobs += response["new_jobs"].as_u64().unwrap_or(0);
    }
    println!("{}", json!({"line": listed.name, "new_jobs": new_jobs}));
    Ok(())
}

fn open(archive: &ArchiveArgs) -> Result<Archive, CommandError> {
    Ok(Archive::open_existing(&archive.dir).map_err(with_subject(archive.dir.display()))?)
}

fn all_timelines(archive: &ArchiveArgs) -> Result<Vec<Value>, CommandError> {
    let timelines = open(archive)?.list()?;
    Ok(timelines
        .iter()
        .map(|listed| timeline_view(listed, false))
        .collect())
}

/// Returns the timeline named by the arguments, or else the newest complete one.
fn find_timeline(
    archive: &ArchiveArgs,
    timeline: &TimelineArgs,
) -> Result<ArchivedTimeline, CommandError> {
    let opened = open(archive)?;
    let found = match &timeline.name {
        Some(name) => opened.find(name),
        None => opened.list().map(snapshotter::select_timeline),
    };
    let dir = archive.dir.display();
    let found = found.map_err(with_subject(&dir))?;
    found.ok_or_else(|| with_subject(&dir)("no such line").into())
}

/// Returns the JSON description of one timeline of an archive.
fn timeline_view(listed: &ArchivedTimeline, with_jobs: bool) -> Value {
    let faults =
        |found: &[RecordFault]| found.iter().map(RecordFault::to_string).collect::<Vec<_>>();
    match &listed.timeline {
        Ok(timeline) => {
            let summary = snapshotter::summary(&timeline.image);
            let mut view = json!({
                "line": listed.name, "store": timeline.header.store, "revision": timeline.image.revision,
                "base_ms": timeline.header.at_ms, "newest_ms": timeline.newest_ms, "bytes": timeline.bytes,
                "changes": timeline.changes, "jobs_live": summary.live.len(),
                "jobs_ended": summary.ended, "machines": summary.machines, "term": summary.term,
                "faults": faults(&timeline.faults),
            });
            if with_jobs {
                view["live"] = summary.live.into();
            }
            view
        }
        Err(found) => json!({"line": listed.name, "faults": faults(found)}),
    }
}

fn print(archive: &ArchiveArgs, views: &[Value]) {
    if archive.json {
        println!("{}", Value::from(views));
    } else {
        print!("{}", table(views));
    }
}

fn table(views: &[Value]) -> String {
    let mut text = format!(
        "{:<26} {:>10} {:>8} {:>8} {:>8} {:>9}  newest change (s ago), faults\n",
        "line", "revision", "live", "ended", "machines", "bytes"
    );
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now_ms = now.unwrap_or_default().as_millis() as u64;
    for view in views {
        text.push_str(&table_row(view, now_ms));
    }
    text
}

fn table_row(view: &Value, now_ms: u64) -> String {
    let age = view["newest_ms"].as_u64().map_or("-".into(), |at_ms| {
        format!("{:.1}", now_ms.saturating_sub(at_ms) as f64 / 1000.0)
    });
    let number = |name: &str| {
        let number = view[name].as_u64();
        number.map_or("-".into(), |number| number.to_string())
    };
    let faults = match view["faults"].as_array().map_or(0, Vec::len) {
        0 => "none".into(),
        count => format!("{count}: {}", view["faults"][0]),
    };
    format!(
        "{:<26} {:>10} {:>8} {:>8} {:>8} {:>9}  {age}, {faults}\n",
        view["line"].as_str().unwrap_or("-"),
        number("revision"),
        number("jobs_live"),
        number("jobs_ended"),
        number("machines"),
        number("bytes"),
    )
}
