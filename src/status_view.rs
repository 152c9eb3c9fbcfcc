//! Renders the status view as text for a terminal.
//!
//! The view is read as untyped JSON, so that the command also shows the view of a controller of another
//! version: missing values appear as "-".

use serde_json::Value;
use std::fmt::Write;

/// Renders the response to `GET /api/status`.
pub fn render(view: &Value) -> String {
    let mut page = Page::default();
    if is_true(&view["leads"]) {
        render_leader(&mut page, view);
    } else {
        page.line(format!(
            "{} does not lead; the leader is {}. Ask the leader for jobs and machines.",
            text(&view["node"]),
            text(&view["leader"])
        ));
    }
    if !view["rebuild"].is_null() {
        render_rebuild(&mut page, &view["rebuild"]);
    }
    page.line("\nMEMBERS");
    for member in list(view, "members") {
        render_member(&mut page, member);
    }
    for name in ["accept_ms", "start_ms", "step_us"] {
        render_histogram(&mut page, name, &view[name]);
    }
    page.0
}

#[derive(Default)]
struct Page(String);

impl Page {
    fn line(&mut self, line: impl AsRef<str>) {
        // Writing into a string does not fail.
        let _ = writeln!(self.0, "{}", line.as_ref());
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

fn list<'a>(view: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> {
    view[name].as_array().into_iter().flatten()
}

fn is_true(value: &Value) -> bool {
    *value == Value::Bool(true)
}

fn spot_or_ordinary(value: &Value) -> &'static str {
    if is_true(&value["spot"]) {
        "spot"
    } else {
        "ordinary"
    }
}

fn render_leader(page: &mut Page, view: &Value) {
    page.line(format!(
        "{} leads in term {} for {} s; {} machines not heard of yet",
        text(&view["node"]),
        text(&view["term"]),
        text(&view["leads_s"]),
        text(&view["machines_not_heard_yet"])
    ));
    for offer in list(view, "refused_offers") {
        page.line(format!("the cloud refuses {}", text(offer)));
    }
    render_markets(page, &view["bidding"]);
    page.line("\nMACHINES");
    for machine in list(view, "machines") {
        render_machine(page, machine);
    }
    page.line(format!(
        "\nJOBS ({} live, {} finished)",
        text(&view["jobs_live"]),
        text(&view["jobs_finished"])
    ));
    for job in list(view, "jobs") {
        render_job(page, job);
    }
}

fn render_markets(page: &mut Page, bidding: &Value) {
    let cleared = &bidding["cleared"];
    if cleared.is_object() {
        page.line(format!(
            "\nMARKETS (last cleared by {}: saves {}, costs {}; {} tasks not worth a machine)",
            text(&cleared["by"]),
            text(&cleared["saves"]),
            text(&cleared["costs"]),
            text(&cleared["tasks_not_worth_a_machine"])
        ));
    } else {
        page.line("\nMARKETS (no bids)");
    }
    for market in list(bidding, "markets") {
        render_market(page, market);
    }
}

fn render_market(page: &mut Page, market: &Value) {
    let closed = match market["shut"].as_str() {
        Some(reason) => format!("; not asked: {reason}"),
        None => String::new(),
    };
    page.line(format!(
        "{:<12} {:<12} {:<9} price {:<7} up in {:>4} s, {:>6} lost an hour each, {} held, {} awarded{closed}",
        text(&market["type"]),
        text(&market["zone"]),
        spot_or_ordinary(market),
        text(&market["price"]),
        text(&market["ready_s"]),
        text(&market["lost_per_hour"]),
        text(&market["held"]),
        text(&market["awarded"]),
    ));
}

fn render_machine(page: &mut Page, machine: &Value) {
    let reports_to = match machine["reports_to"].as_str() {
        Some(controller) => format!(", reports to {controller}"),
        None => String::new(),
    };
    page.line(format!(
        "{:<12} {:<12} {:<12} {:<9} {}{reports_to}",
        text(&machine["machine"]),
        text(&machine["type"]),
        text(&machine["zone"]),
        spot_or_ordinary(machine),
        text(&machine["state"]),
    ));
    for task in list(machine, "tasks") {
        page.line(format!("    {}", text(task)));
    }
}

fn render_job(page: &mut Page, job: &Value) {
    let slack = match job["slack_s"].as_i64() {
        Some(seconds) => format!(", slack {seconds} s"),
        None => String::new(),
    };
    page.line(format!(
        "{:<14} {:<16} {:<12} {}/{} done, {} running, {} starting, {} waiting{slack}: {}",
        text(&job["job"]),
        text(&job["class"]),
        text(&job["team"]),
        text(&job["done"]),
        text(&job["tasks"]),
        text(&job["running"]),
        text(&job["starting"]),
        text(&job["waiting"]),
        text(&job["why"])
    ));
}

/// Renders the rebuild of a state service that has lost data: what the rebuild waits for, and what an
/// operator may have to decide.
fn render_rebuild(page: &mut Page, rebuild: &Value) {
    page.line(format!(
        "\nTHE STATE SERVICE HAS LOST DATA: {}",
        text(&rebuild["lost"])
    ));
    if rebuild["memories"].is_null() {
        page.line("the controller that leads knows more");
        return;
    }
    page.line(format!(
        "all cached state recovered: {}; starts wait: {}; {} jobs to write back, {} from snapshots",
        text(&rebuild["complete"]),
        text(&rebuild["starts_wait"]),
        text(&rebuild["jobs_to_write"]),
        text(&rebuild["from_snapshots"])
    ));
    for memory in list(rebuild, "memories") {
        page.line(format!(
            "{:<14} {}",
            text(&memory["node"]),
            text(&memory["standing"])
        ));
    }
    page.line(format!(
        "of jobs that are not recovered: {} tasks on machines, {} results",
        text(&rebuild["held_tasks"]),
        text(&rebuild["held_results"])
    ));
    for task in list(rebuild, "held") {
        page.line(format!("    {}", text(task)));
    }
}

fn render_member(page: &mut Page, member: &Value) {
    let if_true = |name: &str, text: &'static str| match is_true(&member[name]) {
        true => text,
        false => "",
    };
    page.line(format!(
        "{:<14} {:<12} {}, {} workers{}{}",
        text(&member["node"]),
        text(&member["zone"]),
        text(&member["standing"]),
        text(&member["workers"]),
        if_true("takes_reports", ", takes reports"),
        if_true("granted", ", has a grant")
    ));
}

fn render_histogram(page: &mut Page, name: &str, histogram: &Value) {
    page.line(format!(
        "{name}: {} counted, p50 {}, p95 {}, p99 {}, max {}",
        histogram["count"], histogram["p50"], histogram["p95"], histogram["p99"], histogram["max"]
    ));
}

#[cfg(test)]
mod tests;
