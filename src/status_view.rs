//! The status view as a page of text for a terminal.

use serde_json::Value;
use std::fmt::Write;

fn text(v: &Value) -> String {
    match v {
        Value::String(s) => s.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

fn list<'a>(view: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> {
    view[name].as_array().into_iter().flatten()
}

/// A state service that has lost data: what it waits for, and what an operator may have to decide.
fn rebuild(r: &Value, line: &mut impl FnMut(String)) {
    line(format!(
        "\nTHE STATE SERVICE HAS LOST DATA: {}",
        text(&r["lost"])
    ));
    if r["memories"].is_null() {
        return line("the controller that leads knows more".into());
    }
    line(format!(
        "all that is remembered is known: {}; starts wait: {}; {} jobs to write back, {} brought by snapshots",
        text(&r["complete"]),
        text(&r["starts_wait"]),
        text(&r["jobs_to_write"]),
        text(&r["from_snapshots"])
    ));
    for m in list(r, "memories") {
        line(format!("{:<14} {}", text(&m["node"]), text(&m["standing"])));
    }
    line(format!(
        "of jobs that nobody remembers: {} tasks on machines, {} results",
        text(&r["held_tasks"]),
        text(&r["held_results"])
    ));
    for task in list(r, "held") {
        line(format!("    {}", text(task)));
    }
}

/// Renders what `GET /api/status` returns.
pub fn render(view: &Value) -> String {
    let mut out = String::new();
    let mut line = |s: String| {
        let _ = writeln!(out, "{s}");
    };
    if view["leads"] != Value::Bool(true) {
        line(format!(
            "{} does not lead; the leader is {}. Ask there for jobs and machines.",
            text(&view["node"]),
            text(&view["leader"])
        ));
    } else {
        line(format!(
            "{} leads in term {} for {} s; {} machines not heard of yet",
            text(&view["node"]),
            text(&view["term"]),
            text(&view["leads_s"]),
            text(&view["machines_not_heard_yet"])
        ));
        for offer in list(view, "refused_offers") {
            line(format!("the cloud refuses {}", text(offer)));
        }
        let bidding = &view["bidding"];
        if let Some(c) = bidding["cleared"].as_object() {
            line(format!(
                "\nMARKETS (last cleared by {}: saves {}, costs {}; {} tasks not worth a machine)",
                text(&c["by"]),
                text(&c["saves"]),
                text(&c["costs"]),
                text(&c["tasks_not_worth_a_machine"])
            ));
        } else {
            line("\nMARKETS (nothing bids)".into());
        }
        for m in list(bidding, "markets") {
            let spot = m["spot"] == Value::Bool(true);
            line(format!(
                "{:<12} {:<12} {:<9} price {:<7} up in {:>4} s, {:>6} lost an hour each, {} held, {} awarded{}",
                text(&m["type"]),
                text(&m["zone"]),
                if spot { "spot" } else { "ordinary" },
                text(&m["price"]),
                text(&m["ready_s"]),
                text(&m["lost_per_hour"]),
                text(&m["held"]),
                text(&m["awarded"]),
                match m["shut"].as_str() {
                    Some(why) => format!("; not asked: {why}"),
                    None => String::new(),
                }
            ));
        }
        line("\nMACHINES".into());
        for m in list(view, "machines") {
            let spot = m["spot"] == Value::Bool(true);
            let by = m["reports_to"].as_str();
            line(format!(
                "{:<12} {:<12} {:<12} {:<9} {}{}",
                text(&m["machine"]),
                text(&m["type"]),
                text(&m["zone"]),
                if spot { "spot" } else { "ordinary" },
                text(&m["state"]),
                by.map_or(String::new(), |node| format!(", reports to {node}"))
            ));
            for t in list(m, "tasks") {
                line(format!("    {}", text(t)));
            }
        }
        line(format!(
            "\nJOBS ({} live, {} finished)",
            text(&view["jobs_live"]),
            text(&view["jobs_finished"])
        ));
        for j in list(view, "jobs") {
            line(format!(
                "{:<14} {:<16} {:<12} {}/{} done, {} running, {} starting, {} waiting{}: {}",
                text(&j["job"]),
                text(&j["class"]),
                text(&j["team"]),
                text(&j["done"]),
                text(&j["tasks"]),
                text(&j["running"]),
                text(&j["starting"]),
                text(&j["waiting"]),
                match j["slack_s"].as_i64() {
                    Some(s) => format!(", slack {s} s"),
                    None => String::new(),
                },
                text(&j["why"])
            ));
        }
    }
    if !view["rebuild"].is_null() {
        rebuild(&view["rebuild"], &mut line);
    }
    line("\nMEMBERS".into());
    for m in list(view, "members") {
        line(format!(
            "{:<14} {:<12} {}, {} workers{}{}",
            text(&m["node"]),
            text(&m["zone"]),
            text(&m["standing"]),
            text(&m["workers"]),
            if m["takes_reports"] == Value::Bool(true) {
                ", takes reports"
            } else {
                ""
            },
            if m["granted"] == Value::Bool(true) {
                ", has a grant"
            } else {
                ""
            }
        ));
    }
    for name in ["accept_ms", "start_ms", "step_us"] {
        let h = &view[name];
        line(format!(
            "{name}: {} counted, p50 {}, p95 {}, p99 {}, max {}",
            h["count"], h["p50"], h["p95"], h["p99"], h["max"]
        ));
    }
    out
}

#[cfg(test)]
mod tests;
