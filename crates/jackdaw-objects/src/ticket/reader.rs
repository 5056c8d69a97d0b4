//! Reads the fields of one JSON object and notes every problem.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::TicketProblem;

/// Takes fields out of an object; what is left at the end is unknown.
pub(super) struct FieldReader<'a> {
    path: String,
    fields: Map<String, Value>,
    known: Vec<&'static str>,
    problems: &'a mut Vec<TicketProblem>,
}

impl<'a> FieldReader<'a> {
    /// Starts to read the object at `path`.
    pub(super) fn new(
        path: String,
        value: Value,
        problems: &'a mut Vec<TicketProblem>,
    ) -> FieldReader<'a> {
        let mut reader = FieldReader { path, fields: Map::new(), known: Vec::new(), problems };
        match value {
            Value::Object(fields) => reader.fields = fields,
            other => reader.report("", &format!("`{other}` is not an object")),
        }
        reader
    }

    /// Takes a field that must be there.
    pub(super) fn take<T: DeserializeOwned>(&mut self, name: &'static str) -> Option<T> {
        self.known.push(name);
        let Some(value) = self.fields.remove(name) else {
            self.report(name, "the field is missing");
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

    /// Takes a list that may be missing.
    pub(super) fn take_list(&mut self, name: &'static str) -> Vec<Value> {
        self.fields.entry(name).or_insert_with(|| Value::Array(Vec::new()));
        self.take(name).unwrap_or_default()
    }

    /// Takes a flag that may be missing.
    pub(super) fn take_flag(&mut self, name: &'static str) -> bool {
        self.fields.entry(name).or_insert(Value::Bool(false));
        self.take(name).unwrap_or_default()
    }

    /// Notes a problem at a place within the object.
    pub(super) fn report(&mut self, place: &str, reason: &str) {
        let path = match (self.path.as_str(), place) {
            ("", "") => "ticket".to_owned(),
            (path, "") => path.to_owned(),
            ("", place) => place.to_owned(),
            (path, place) => format!("{path}.{place}"),
        };
        self.problems.push(TicketProblem::invalid(path, reason));
    }

    /// Notes each field that was not taken.
    pub(super) fn finish(mut self) {
        let fields = std::mem::take(&mut self.fields);
        let known = self.known.join("`, `");
        for name in fields.keys() {
            self.report(name, &format!("the field is unknown; known are `{known}`"));
        }
    }
}
