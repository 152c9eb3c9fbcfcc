//! Log output: lines of text for people, or JSON objects in which the term, job, task and machine of
//! an event are separate fields.

use std::fmt;
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::subscriber::SetGlobalDefaultError;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::{FmtContext, MakeWriter};
use tracing_subscriber::registry::LookupSpan;

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    /// The message, then its fields as `name=value`.
    #[value(help = None::<&str>)]
    Text,
    /// One JSON object per line.
    #[value(help = None::<&str>)]
    Json,
}

/// Reason why logging cannot be initialised.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// `LOG_LEVEL` is not the name of a level.
    #[error(transparent)]
    Level(#[from] UnknownLevel),
    /// The process already has a global subscriber.
    #[error(transparent)]
    AlreadyStarted(#[from] SetGlobalDefaultError),
}

/// A value of `LOG_LEVEL` that is not the name of a level.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("LOG_LEVEL is {0:?}; it must be off, error, warn, info, debug or trace")]
pub struct UnknownLevel(String);

/// Initialises logging to standard error. `level` is the value of `LOG_LEVEL`; if it is unset or
/// empty, the level is `info`.
///
/// # Errors
/// Fails if the level is unknown, or if the process already has a global subscriber.
pub fn start(format: LogFormat, level: Option<&str>) -> Result<(), LoggingError> {
    let level = parse_level(level)?;
    let subscriber = subscriber(format, level, std::io::stderr);
    Ok(tracing::subscriber::set_global_default(subscriber)?)
}

fn parse_level(level: Option<&str>) -> Result<LevelFilter, UnknownLevel> {
    match level.map(str::trim).filter(|level| !level.is_empty()) {
        None => Ok(LevelFilter::INFO),
        Some(level) => level.parse().map_err(|_| UnknownLevel(level.to_string())),
    }
}

fn subscriber<W>(
    format: LogFormat,
    level: LevelFilter,
    writer: W,
) -> Box<dyn Subscriber + Send + Sync>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let builder = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(writer);
    match format {
        LogFormat::Text => Box::new(builder.event_format(TextLine).finish()),
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

/// Formats an event as a line of text: time, level, message, fields.
struct TextLine;

impl<S, N> FormatEvent<S, N> for TextLine
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
        let mut parts = TextParts::default();
        event.record(&mut parts);
        writeln!(writer, "{}{}", parts.message, parts.fields)
    }
}

/// Message of an event, and its fields as ` name=value`, each with a leading space.
#[derive(Default)]
struct TextParts {
    message: String,
    fields: String,
}

impl Visit for TextParts {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.record_debug(field, &format_args!("{value}"));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.message = format!("{value:?}");
        } else {
            self.fields += &format!(" {}={}", field.name(), quoted(format!("{value:?}")));
        }
    }
}

/// Quotes a value that is empty or contains whitespace, so that its end is visible in the line.
fn quoted(value: String) -> String {
    let is_plain = !value.is_empty() && !value.contains(char::is_whitespace);
    if is_plain || value.starts_with('"') {
        value
    } else {
        format!("{value:?}")
    }
}

#[cfg(test)]
mod tests;
