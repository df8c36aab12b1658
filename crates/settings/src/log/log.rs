//! Logger with numbered events, as text or as JSON lines.

use super::{Drops, Flushing, Limiter, Limits, Queue};
use crate::Error;
use env_logger::fmt::Formatter;
use log::Record;
use log::kv::{Key, VisitSource};
use serde_json::{Map, json};
use std::io::{self, Write};

/// Output format of log events.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// One JSON object per line.
    Json,
    /// Human-readable lines.
    #[default]
    Text,
}

/// Installs the global logger, which writes to standard error.
///
/// ```
/// settings::log::init("info", settings::log::Format::Json)?;
/// assert!(settings::log::init("info", settings::log::Format::Json).is_err());
/// # Ok::<(), settings::Error>(())
/// ```
pub fn init(filter: &str, format: Format) -> Result<(), Error> {
    builder(filter, format).try_init()?;
    Ok(())
}

/// Installs the global logger, which writes to standard output from a thread of its own. Lines over
/// the rate limits are dropped and counted, and so are lines that find the queue full. A flush of
/// the logger waits for the queued lines.
pub fn init_limited(filter: &str, format: Format, limits: Limits) -> Result<Drops, Error> {
    let queue = Queue::start(limits.queue_capacity)?;
    let (drops, backlog) = (queue.drops(), queue.backlog());
    let mut builder = builder(filter, format);
    builder.target(env_logger::Target::Pipe(Box::new(queue)));
    let logger = builder.build();
    log::set_max_level(logger.filter());
    let logger = Flushing::new(logger, backlog);
    let limiter = Limiter::new(logger, limits, drops.clone());
    log::set_boxed_logger(Box::new(limiter))?;
    Ok(drops)
}

fn builder(filter: &str, format: Format) -> env_logger::Builder {
    let mut builder = env_logger::Builder::new();
    // The HTTP library's own lines aren't events of the catalogue (docs/EVENTS.md).
    builder.filter_module("rocket", log::LevelFilter::Error);
    builder.parse_filters(filter);
    match format {
        Format::Json => builder.format(write_json),
        Format::Text => builder.format(write_text),
    };
    builder
}

/// Collects the key-value pairs of a record.
#[derive(Default)]
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = match value.to_u64() {
            Some(number) => json!(number),
            None => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn fields(record: &Record) -> Map<String, serde_json::Value> {
    let mut fields = Fields::default();
    // A pair that can't be formatted is left out; the event itself is still written.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

fn write_json(out: &mut Formatter, record: &Record) -> io::Result<()> {
    let mut line = fields(record);
    line.insert("time".into(), json!(out.timestamp_millis().to_string()));
    line.insert("level".into(), json!(record.level().as_str()));
    line.insert("target".into(), json!(record.target()));
    line.insert("message".into(), json!(record.args().to_string()));
    writeln!(out, "{}", serde_json::Value::Object(line))
}

fn write_text(out: &mut Formatter, record: &Record) -> io::Result<()> {
    let time = out.timestamp_millis();
    let (level, target) = (record.level(), record.target());
    let mut fields = fields(record);
    let event = fields
        .remove("event")
        .map_or(String::new(), |event| format!(" {event}"));
    write!(out, "{time} {level:<5}{event} {target}: {}", record.args())?;
    for (key, value) in &fields {
        write!(out, " {key}={value}")?;
    }
    writeln!(out)
}
