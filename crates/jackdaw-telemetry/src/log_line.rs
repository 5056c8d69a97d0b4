//! Log output as JSON lines.

use std::fmt::Arguments;

use error_stack::{Report, ResultExt};
use fern::{Dispatch, FormatCallback};
use jackdaw_base::ErrorKind;
use jackdaw_settings::{LogOutput, LogSettings};
use log::Record;
use log::kv::{self, Key, VisitSource};
use serde_json::{Map, Value};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::log_buffer::LogBuffer;

/// The fields that every line has. Key-value fields with one of these names are omitted.
const FIXED_FIELDS: [&str; 5] = ["time", "level", "process", "target", "message"];

/// Installs the logger of a process.
///
/// # Errors
///
/// Returns `LocalResource` if the log file cannot be opened or a logger is already installed.
pub fn open_log(settings: &LogSettings, process: &str) -> Result<(), Report<ErrorKind>> {
    log_dispatch(settings, process)?
        .apply()
        .change_context(ErrorKind::LocalResource)
        .attach("a logger is already installed")
}

/// Builds the logger of a process without installing it.
///
/// # Errors
///
/// Returns `LocalResource` if the log file cannot be opened.
pub fn log_dispatch(settings: &LogSettings, process: &str) -> Result<Dispatch, Report<ErrorKind>> {
    let process = process.to_owned();
    let format = move |out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>| {
        out.finish(format_args!("{}", format_line(&process, message, record)));
    };
    let dispatch = Dispatch::new().level(settings.level).format(format);
    match &settings.output {
        LogOutput::StandardError => Ok(dispatch.chain(std::io::stderr())),
        LogOutput::StandardOutput => Ok(dispatch.chain(LogBuffer::shared().writer())),
        LogOutput::File(path) => {
            let file = fern::log_file(path)
                .change_context(ErrorKind::LocalResource)
                .attach_with(|| path.display().to_string())?;
            Ok(dispatch.chain(file))
        }
    }
}

fn format_line(process: &str, message: &Arguments<'_>, record: &Record<'_>) -> String {
    let time = OffsetDateTime::now_utc().format(&Rfc3339).unwrap_or_default();
    let mut fields = Map::new();
    fields.insert("time".into(), time.into());
    fields.insert("level".into(), record.level().as_str().to_ascii_lowercase().into());
    fields.insert("process".into(), process.into());
    fields.insert("target".into(), record.target().into());
    fields.insert("message".into(), message.to_string().into());
    // The visitor never fails. If the source of the fields fails, the fields before the failure
    // are kept.
    let _ = record.key_values().visit(&mut FieldCollector { fields: &mut fields });
    Value::Object(fields).to_string()
}

/// Visitor that adds the key-value fields of a record to its line.
struct FieldCollector<'a> {
    fields: &'a mut Map<String, Value>,
}

impl<'kvs> VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        if !FIXED_FIELDS.contains(&key.as_str()) {
            self.fields.insert(key.as_str().to_owned(), json_value(&value));
        }
        Ok(())
    }
}

fn json_value(value: &kv::Value<'_>) -> Value {
    if let Some(number) = value.to_u64() {
        return number.into();
    }
    if let Some(number) = value.to_i64() {
        return number.into();
    }
    if let Some(number) = value.to_f64() {
        return number.into();
    }
    if let Some(flag) = value.to_bool() {
        return flag.into();
    }
    value.to_string().into()
}
