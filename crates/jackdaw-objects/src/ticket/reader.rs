//! Reader of the fields of one JSON object that collects every problem.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::TicketProblem;

/// Removes the known fields from an object; fields left at the end are unknown.
pub(super) struct FieldReader<'a> {
    path: String,
    fields: Map<String, Value>,
    known: Vec<&'static str>,
    problems: &'a mut Vec<TicketProblem>,
}

impl<'a> FieldReader<'a> {
    /// Creates a reader of the object at `path`; reports a value that is not an object.
    pub(super) fn new(
        path: String,
        value: Value,
        problems: &'a mut Vec<TicketProblem>,
    ) -> FieldReader<'a> {
        let mut reader = FieldReader { path, fields: Map::new(), known: Vec::new(), problems };
        match value {
            Value::Object(fields) => reader.fields = fields,
            other => reader.report("", &format!("expected an object, found `{other}`")),
        }
        reader
    }

    /// Takes a required field; reports it if it is missing or has the wrong type.
    pub(super) fn take<T: DeserializeOwned>(&mut self, name: &'static str) -> Option<T> {
        self.known.push(name);
        let Some(value) = self.fields.remove(name) else {
            self.report(name, "missing field");
            return None;
        };
        match T::deserialize(value) {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(name, &error.to_string());
                None
            }
        }
    }

    /// Takes an optional list, which is empty if the field is missing.
    pub(super) fn take_list(&mut self, name: &'static str) -> Vec<Value> {
        self.fields.entry(name).or_insert_with(|| Value::Array(Vec::new()));
        self.take(name).unwrap_or_default()
    }

    /// Takes an optional flag, which is `false` if the field is missing.
    pub(super) fn take_flag(&mut self, name: &'static str) -> bool {
        self.fields.entry(name).or_insert(Value::Bool(false));
        self.take(name).unwrap_or_default()
    }

    /// Reports a problem at a location within the object, or of the whole object if it is empty.
    pub(super) fn report(&mut self, location: &str, reason: &str) {
        let path = match (self.path.as_str(), location) {
            ("", "") => "ticket".to_owned(),
            (path, "") => path.to_owned(),
            ("", location) => location.to_owned(),
            (path, location) => format!("{path}.{location}"),
        };
        self.problems.push(TicketProblem::invalid(path, reason));
    }

    /// Reports each field that was not taken as unknown.
    pub(super) fn finish(mut self) {
        let fields = std::mem::take(&mut self.fields);
        let known = self.known.join("`, `");
        for name in fields.keys() {
            self.report(name, &format!("unknown field; expected one of `{known}`"));
        }
    }
}
