//! Change tickets, which carry a number and the complete new state of what they change.

use std::collections::HashMap;
use std::fmt;

use jackdaw_base::{
    CustomerId, CustomerRecord, CustomerShare, DocumentBody, DocumentKey, ErrorKind, KeyDigest,
    ServiceId, ServiceKind, ServiceRecord, TargetRecord, TicketNumber, VersionedDocument,
    plain_data,
};

use self::reader::FieldReader;
use self::strict::StrictValue;

mod reader;
mod strict;

/// Maximum length of a name in bytes.
pub const NAME_LIMIT_BYTES: usize = 40;
/// Maximum number of keys of one customer.
pub const KEY_LIMIT: usize = 4;
/// Minimum length of a customer's key in characters.
pub const KEY_MIN_CHARS: usize = 16;
/// Maximum number of models of one service.
pub const MODEL_LIMIT: usize = 64;
/// Maximum size of a ticket in the head object, in bytes.
pub const TICKET_LIMIT_BYTES: usize = 400_000;
/// Prefix of a key in a ticket that is given as its digest.
pub const DIGEST_PREFIX: &str = "blake3:";

plain_data! {
    /// A ticket: a number and the complete new state of everything that it changes.
    #[serde(deny_unknown_fields)]
    pub struct ChangeTicket {
        /// The number, at least 1; a higher one overrides a lower one for the same key.
        pub number: TicketNumber,
        /// The customers and services that the ticket changes, customers first.
        pub entries: Vec<TicketEntry>,
    }
}

plain_data! {
    /// The complete new state of one customer or service.
    #[serde(deny_unknown_fields)]
    pub struct TicketEntry {
        /// The key, derived from the name.
        pub key: DocumentKey,
        /// The name of the customer or service.
        pub name: String,
        /// The new state; `None` to remove it.
        pub body: Option<DocumentBody>,
    }
}

plain_data! {
    /// Why a ticket cannot be accepted.
    pub struct TicketProblem {
        /// The kind of error: invalid, stale or in conflict.
        pub kind: ErrorKind,
        /// The location in the ticket, such as `customers[3].share`.
        pub path: String,
        /// What is wrong at that location.
        pub reason: String,
    }
}

impl fmt::Display for TicketProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} ({})", self.path, self.reason, self.kind)
    }
}

impl TicketProblem {
    /// Creates a problem of kind [`ErrorKind::TicketInvalid`].
    pub fn invalid(path: impl Into<String>, reason: impl Into<String>) -> TicketProblem {
        TicketProblem { kind: ErrorKind::TicketInvalid, path: path.into(), reason: reason.into() }
    }
}

impl ChangeTicket {
    /// Creates a ticket without entries.
    pub fn new(number: TicketNumber) -> ChangeTicket {
        ChangeTicket { number, entries: Vec::new() }
    }

    /// Adds the new state of a customer.
    pub fn set_customer(&mut self, record: CustomerRecord) {
        let key = DocumentKey::Customer(CustomerId::from_name(&record.name));
        let name = record.name.clone();
        self.entries.push(TicketEntry { key, name, body: Some(DocumentBody::Customer(record)) });
    }

    /// Adds the new state of a service.
    pub fn set_service(&mut self, record: ServiceRecord) {
        let key = DocumentKey::Service(ServiceId::from_name(&record.name));
        let name = record.name.clone();
        self.entries.push(TicketEntry { key, name, body: Some(DocumentBody::Service(record)) });
    }

    /// Adds the removal of a customer.
    pub fn remove_customer(&mut self, name: &str) {
        let key = DocumentKey::Customer(CustomerId::from_name(name));
        self.entries.push(TicketEntry { key, name: name.to_owned(), body: None });
    }

    /// Adds the removal of a service.
    pub fn remove_service(&mut self, name: &str) {
        let key = DocumentKey::Service(ServiceId::from_name(name));
        self.entries.push(TicketEntry { key, name: name.to_owned(), body: None });
    }

    /// Parses a ticket from the JSON that an operator wrote and checks its content.
    ///
    /// Keys in plain text are replaced by their digests. Fails with all problems at once.
    pub fn parse(text: &str) -> Result<ChangeTicket, Vec<TicketProblem>> {
        let StrictValue(value) = serde_json::from_str(text)
            .map_err(|error| vec![TicketProblem::invalid("ticket", error.to_string())])?;
        let mut problems = Vec::new();
        let ticket = parse_ticket(value, &mut problems);
        problems.extend(ticket.problems());
        if problems.is_empty() { Ok(ticket) } else { Err(problems) }
    }

    /// Returns the problems that can be found without reading the platform.
    pub fn problems(&self) -> Vec<TicketProblem> {
        let mut problems = Vec::new();
        if self.number.0 == 0 {
            problems.push(TicketProblem::invalid("number", "the number must be at least 1"));
        }
        if self.entries.is_empty() {
            problems.push(TicketProblem::invalid("ticket", "the ticket has no entries"));
        }
        if self.encoded_len() > TICKET_LIMIT_BYTES {
            let reason = format!("larger than {TICKET_LIMIT_BYTES} bytes; split it into several");
            problems.push(TicketProblem::invalid("ticket", reason));
        }
        let mut names: HashMap<DocumentKey, &str> = HashMap::new();
        for (path, entry) in self.entry_paths() {
            check_name(&path, &entry.name, &mut problems);
            if let Some(earlier) = names.insert(entry.key, &entry.name) {
                problems
                    .push(TicketProblem::invalid(path.clone(), duplicate_reason(earlier, entry)));
            }
            match &entry.body {
                Some(DocumentBody::Customer(record)) => {
                    check_customer(&path, record, &mut problems);
                }
                Some(DocumentBody::Service(record)) => {
                    check_service(&path, record, &mut problems);
                }
                Some(DocumentBody::Vm(_)) => {
                    problems.push(TicketProblem::invalid(
                        path,
                        "VMs cannot be set by a ticket; they come from the VM list",
                    ));
                }
                None => {}
            }
        }
        problems
    }

    /// Returns each entry with its path in the ticket, such as `customers[3]`.
    pub fn entry_paths(&self) -> Vec<(String, &TicketEntry)> {
        let mut customers = 0;
        let mut services = 0;
        let mut paths = Vec::new();
        for entry in &self.entries {
            let (list, index) = match entry.key {
                DocumentKey::Customer(_) => ("customers", &mut customers),
                DocumentKey::Service(_) | DocumentKey::Vm(_) => ("services", &mut services),
            };
            paths.push((format!("{list}[{index}]"), entry));
            *index += 1;
        }
        paths
    }

    /// Returns the documents that take effect with the ticket.
    pub fn documents(&self) -> Vec<VersionedDocument> {
        let number = self.number.0;
        let document = |entry: &TicketEntry| VersionedDocument {
            number,
            key: entry.key,
            body: entry.body.clone(),
        };
        self.entries.iter().map(document).collect()
    }

    /// Returns whether another ticket has the same number and the same entries in any order.
    pub fn is_equivalent(&self, other: &ChangeTicket) -> bool {
        let sorted = |ticket: &ChangeTicket| {
            let mut entries = ticket.entries.clone();
            entries.sort_by_key(|entry| entry.key);
            entries
        };
        self.number == other.number && sorted(self) == sorted(other)
    }

    /// Returns the size in bytes that the ticket has in an object.
    pub fn encoded_len(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |bytes| bytes.len())
    }
}

/// Returns the digest under which a customer's API key or the operators' key is stored.
pub fn digest_key(key: &str) -> KeyDigest {
    KeyDigest(*blake3::hash(key.as_bytes()).as_bytes())
}

/// Describes why an entry may not have the same key as an earlier one.
fn duplicate_reason(earlier: &str, entry: &TicketEntry) -> String {
    if earlier == entry.name {
        format!("duplicate entry for `{earlier}`")
    } else {
        format!("the names `{earlier}` and `{}` have the same hash; choose another", entry.name)
    }
}

fn parse_ticket(value: serde_json::Value, problems: &mut Vec<TicketProblem>) -> ChangeTicket {
    let mut reader = FieldReader::new(String::new(), value, problems);
    let number: u64 = reader.take("number").unwrap_or(u64::MAX);
    let customers = reader.take_list("customers");
    let services = reader.take_list("services");
    reader.finish();
    let mut ticket = ChangeTicket::new(TicketNumber(number));
    for (index, value) in customers.into_iter().enumerate() {
        let reader = FieldReader::new(format!("customers[{index}]"), value, problems);
        parse_customer(reader, &mut ticket);
    }
    for (index, value) in services.into_iter().enumerate() {
        let reader = FieldReader::new(format!("services[{index}]"), value, problems);
        parse_service(reader, &mut ticket);
    }
    ticket
}

fn parse_customer(mut reader: FieldReader<'_>, ticket: &mut ChangeTicket) {
    let name: String = reader.take("name").unwrap_or_default();
    if reader.take_flag("removed") {
        reader.finish();
        ticket.remove_customer(&name);
        return;
    }
    let share = reader.take("share").unwrap_or(1);
    let keys: Vec<String> = reader.take("keys").unwrap_or_default();
    let queue_limit = reader.take("queue_limit").unwrap_or(1);
    let mut digests = Vec::new();
    for (index, key) in keys.iter().enumerate() {
        match parse_key(key) {
            Ok(digest) => digests.push(digest),
            Err(reason) => reader.report(&format!("keys[{index}]"), &reason),
        }
    }
    reader.finish();
    ticket.set_customer(CustomerRecord {
        name,
        share: CustomerShare(share),
        keys: digests,
        queue_limit,
    });
}

fn parse_service(mut reader: FieldReader<'_>, ticket: &mut ChangeTicket) {
    let name: String = reader.take("name").unwrap_or_default();
    if reader.take_flag("removed") {
        reader.finish();
        ticket.remove_service(&name);
        return;
    }
    let Some(kind) = reader.take("kind") else {
        reader.finish();
        return;
    };
    let (models, path_prefix) = match kind {
        ServiceKind::Engine => (reader.take("models").unwrap_or_default(), String::new()),
        ServiceKind::Plain => (Vec::new(), reader.take("path_prefix").unwrap_or_default()),
    };
    let target = TargetRecord {
        place_limit: reader.take("place_limit").unwrap_or(1),
        checks_fencing: reader.take("checks_fencing").unwrap_or_default(),
    };
    reader.finish();
    ticket.set_service(ServiceRecord { name, kind, models, path_prefix, target });
}

/// Parses a key, given in plain text or as a digest, into its digest.
fn parse_key(key: &str) -> Result<KeyDigest, String> {
    let Some(hex) = key.strip_prefix(DIGEST_PREFIX) else {
        if key.chars().count() < KEY_MIN_CHARS {
            return Err(format!("a key must have at least {KEY_MIN_CHARS} characters"));
        }
        return Ok(digest_key(key));
    };
    blake3::Hash::from_hex(hex)
        .map(|hash| KeyDigest(*hash.as_bytes()))
        .map_err(|_| format!("`{DIGEST_PREFIX}` must be followed by 64 hexadecimal digits"))
}

fn check_name(path: &str, name: &str, problems: &mut Vec<TicketProblem>) {
    let allowed = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | ' ');
    let has_valid_length = !name.is_empty() && name.len() <= NAME_LIMIT_BYTES;
    if !has_valid_length || !name.chars().all(allowed) {
        let reason = format!(
            "invalid name `{name}`; a name has 1 to {NAME_LIMIT_BYTES} bytes of letters, digits, \
             `-`, `_`, `.` and spaces"
        );
        problems.push(TicketProblem::invalid(format!("{path}.name"), reason));
    }
}

fn check_customer(path: &str, record: &CustomerRecord, problems: &mut Vec<TicketProblem>) {
    if record.share.0 == 0 {
        problems
            .push(TicketProblem::invalid(format!("{path}.share"), "the share must be at least 1"));
    }
    if record.queue_limit == 0 {
        let reason = "the queue limit must be at least 1";
        problems.push(TicketProblem::invalid(format!("{path}.queue_limit"), reason));
    }
    if record.keys.is_empty() || record.keys.len() > KEY_LIMIT {
        let reason = format!("a customer must have 1 to {KEY_LIMIT} keys");
        problems.push(TicketProblem::invalid(format!("{path}.keys"), reason));
    }
}

fn check_service(path: &str, record: &ServiceRecord, problems: &mut Vec<TicketProblem>) {
    if record.target.place_limit == 0 {
        let reason = "the place limit must be at least 1";
        problems.push(TicketProblem::invalid(format!("{path}.place_limit"), reason));
    }
    let models = record.models.len();
    let prefix = &record.path_prefix;
    match record.kind {
        ServiceKind::Engine if models == 0 || models > MODEL_LIMIT || !prefix.is_empty() => {
            let reason =
                format!("an engine service must have 1 to {MODEL_LIMIT} models and no prefix");
            problems.push(TicketProblem::invalid(format!("{path}.models"), reason));
        }
        ServiceKind::Plain if models > 0 || !is_path_prefix(prefix) => {
            let reason = format!("invalid path prefix `{prefix}`; expected one such as `/booking`");
            problems.push(TicketProblem::invalid(format!("{path}.path_prefix"), reason));
        }
        ServiceKind::Engine | ServiceKind::Plain => {}
    }
    for (index, model) in record.models.iter().enumerate() {
        if model.is_empty() || record.models[..index].contains(model) {
            let reason = format!("the model name `{model}` is empty or a duplicate");
            problems.push(TicketProblem::invalid(format!("{path}.models[{index}]"), reason));
        }
    }
}

fn is_path_prefix(prefix: &str) -> bool {
    let inner = prefix.strip_prefix('/').unwrap_or_default();
    !inner.is_empty() && !inner.ends_with('/') && !inner.contains(char::is_whitespace)
}
