//! How the log is written: lines of text for people, or JSON with the term, job, task and machine
//! that a line is about as fields of their own.

use std::fmt;
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::{FmtContext, MakeWriter};
use tracing_subscriber::registry::LookupSpan;

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

/// Starts the log of a process, on standard error. `level` is what `LOG_LEVEL` says; `info` if it
/// says nothing.
pub fn start(format: LogFormat, level: Option<&str>) -> Result<(), String> {
    let level = parse(level)?;
    let subscriber = make(format, level, std::io::stderr);
    tracing::subscriber::set_global_default(subscriber).map_err(|e| e.to_string())
}

fn parse(level: Option<&str>) -> Result<LevelFilter, String> {
    match level.map(str::trim).filter(|l| !l.is_empty()) {
        None => Ok(LevelFilter::INFO),
        Some(l) => (l.parse()).map_err(|_| {
            format!("LOG_LEVEL is {l:?}; it may be off, error, warn, info, debug or trace")
        }),
    }
}

fn make<W>(
    format: LogFormat,
    level: LevelFilter,
    writer: W,
) -> Box<dyn Subscriber + Send + std::marker::Sync>
where
    W: for<'a> MakeWriter<'a> + Send + std::marker::Sync + 'static,
{
    let builder = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(writer);
    match format {
        LogFormat::Text => Box::new(builder.event_format(Line).finish()),
        LogFormat::Json => Box::new(
            builder
                .json()
                .flatten_event(true)
                .with_target(false)
                .with_current_span(false)
                .with_span_list(false)
                .finish(),
        ),
    }
}

/// A line of text. Messages name what they are about themselves, so the fields are left out.
struct Line;

impl<S, N> FormatEvent<S, N> for Line
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        writer.write_char('[')?;
        SystemTime.format_time(&mut writer)?;
        write!(writer, " {:5}] ", event.metadata().level())?;
        let mut message = Message(writer, Ok(()));
        event.record(&mut message);
        let Message(mut writer, result) = message;
        result?;
        writeln!(writer)
    }
}

struct Message<'a>(Writer<'a>, fmt::Result);

impl Visit for Message<'_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" && self.1.is_ok() {
            self.1 = write!(self.0, "{value:?}");
        }
    }
}

#[cfg(test)]
mod tests;
