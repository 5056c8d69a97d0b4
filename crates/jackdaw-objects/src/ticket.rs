//! Change tickets: the numbered whole new state of what they touch.

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

/// The most bytes that a name may have.
pub const NAME_LIMIT_BYTES: usize = 40;
/// The most keys that one customer may have.
pub const KEY_LIMIT: usize = 4;
/// The least characters that a customer's key may have.
pub const KEY_MIN_CHARS: usize = 16;
/// The most models that one service may answer for.
pub const MODEL_LIMIT: usize = 64;
/// The most bytes that a ticket may take in the head object.
pub const TICKET_LIMIT_BYTES: usize = 400_000;
/// Marks a key in a ticket that is given as its digest.
pub const DIGEST_PREFIX: &str = "blake3:";

plain_data! {
    /// A ticket: a number and the whole new state of everything that it touches.
    #[serde(deny_unknown_fields)]
    pub struct ChangeTicket {
        /// The number.
        pub number: TicketNumber,
        /// What the ticket touches, customers first.
        pub entries: Vec<TicketEntry>,
    }
}

plain_data! {
    /// The whole new state of one customer or service.
    #[serde(deny_unknown_fields)]
    pub struct TicketEntry {
        /// The key.
        pub key: DocumentKey,
        /// The name.
        pub name: String,
        /// The new state; `None` to remove.
        pub body: Option<DocumentBody>,
    }
}

plain_data! {
    /// Why a ticket cannot be accepted.
    pub struct TicketProblem {
        /// The kind of error: invalid, stale or in conflict.
        pub kind: ErrorKind,
        /// The place in the ticket, such as `customers[3].share`.
        pub path: String,
        /// The reason.
        pub reason: String,
    }
}

impl fmt::Display for TicketProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} ({})", self.path, self.reason, self.kind)
    }
}

impl TicketProblem {
    /// Creates a problem of the ticket's content.
    pub fn invalid(path: impl Into<String>, reason: impl Into<String>) -> TicketProblem {
        TicketProblem { kind: ErrorKind::TicketInvalid, path: path.into(), reason: reason.into() }
    }
}

impl ChangeTicket {
    /// Creates a ticket that touches nothing yet.
    pub fn new(number: TicketNumber) -> ChangeTicket {
        ChangeTicket { number, entries: Vec::new() }
    }

    /// Adds a customer's new state.
    pub fn set_customer(&mut self, record: CustomerRecord) {
        let key = DocumentKey::Customer(CustomerId::from_name(&record.name));
        let name = record.name.clone();
        self.entries.push(TicketEntry { key, name, body: Some(DocumentBody::Customer(record)) });
    }

    /// Adds a service's new state.
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

    /// Reads a ticket from an operator's JSON and checks its content.
    ///
    /// Keys in plain text are replaced by their digests. Returns all problems at once.
    pub fn parse(text: &str) -> Result<ChangeTicket, Vec<TicketProblem>> {
        let StrictValue(value) = serde_json::from_str(text)
            .map_err(|error| vec![TicketProblem::invalid("ticket", error.to_string())])?;
        let mut problems = Vec::new();
        let ticket = read_ticket(value, &mut problems);
        problems.extend(ticket.problems());
        if problems.is_empty() { Ok(ticket) } else { Err(problems) }
    }

    /// Returns the problems that can be found without the platform.
    pub fn problems(&self) -> Vec<TicketProblem> {
        let mut problems = Vec::new();
        if self.number.0 == 0 {
            problems.push(TicketProblem::invalid("number", "a number is at least 1"));
        }
        if self.entries.is_empty() {
            problems.push(TicketProblem::invalid("ticket", "nothing is touched"));
        }
        if self.encoded_len() > TICKET_LIMIT_BYTES {
            let reason = format!("over {TICKET_LIMIT_BYTES} bytes: split it into several");
            problems.push(TicketProblem::invalid("ticket", reason));
        }
        let mut names: HashMap<DocumentKey, &str> = HashMap::new();
        for (path, entry) in self.entry_paths() {
            check_name(&path, &entry.name, &mut problems);
            if let Some(earlier) = names.insert(entry.key, &entry.name) {
                problems.push(TicketProblem::invalid(path.clone(), same_key(earlier, entry)));
            }
            match &entry.body {
                Some(DocumentBody::Customer(record)) => {
                    check_customer(&path, record, &mut problems);
                }
                Some(DocumentBody::Service(record)) => {
                    check_service(&path, record, &mut problems);
                }
                Some(DocumentBody::Vm(_)) => {
                    problems.push(TicketProblem::invalid(path, "VMs come from the VM list"));
                }
                None => {}
            }
        }
        problems
    }

    /// Returns each entry with its place in the ticket.
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

    /// Returns the documents that the ticket puts in force.
    pub fn documents(&self) -> Vec<VersionedDocument> {
        let number = self.number.0;
        let document = |entry: &TicketEntry| VersionedDocument {
            number,
            key: entry.key,
            body: entry.body.clone(),
        };
        self.entries.iter().map(document).collect()
    }

    /// Returns whether another ticket has the same number and content, in any order.
    pub fn is_equivalent(&self, other: &ChangeTicket) -> bool {
        let sorted = |ticket: &ChangeTicket| {
            let mut entries = ticket.entries.clone();
            entries.sort_by_key(|entry| entry.key);
            entries
        };
        self.number == other.number && sorted(self) == sorted(other)
    }

    /// Returns the bytes that the ticket takes in an object.
    pub fn encoded_len(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |bytes| bytes.len())
    }
}

/// Returns the digest under which a customer's key is stored.
pub fn digest_key(key: &str) -> KeyDigest {
    KeyDigest(*blake3::hash(key.as_bytes()).as_bytes())
}

fn same_key(earlier: &str, entry: &TicketEntry) -> String {
    if earlier == entry.name {
        format!("`{earlier}` is touched twice")
    } else {
        format!("the names `{earlier}` and `{}` have the same hash: choose another", entry.name)
    }
}

fn read_ticket(value: serde_json::Value, problems: &mut Vec<TicketProblem>) -> ChangeTicket {
    let mut reader = FieldReader::new(String::new(), value, problems);
    let number: u64 = reader.take("number").unwrap_or(u64::MAX);
    let customers = reader.take_list("customers");
    let services = reader.take_list("services");
    reader.finish();
    let mut ticket = ChangeTicket::new(TicketNumber(number));
    for (index, value) in customers.into_iter().enumerate() {
        let reader = FieldReader::new(format!("customers[{index}]"), value, problems);
        read_customer(reader, &mut ticket);
    }
    for (index, value) in services.into_iter().enumerate() {
        let reader = FieldReader::new(format!("services[{index}]"), value, problems);
        read_service(reader, &mut ticket);
    }
    ticket
}

fn read_customer(mut reader: FieldReader<'_>, ticket: &mut ChangeTicket) {
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
        match read_key(key) {
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

fn read_service(mut reader: FieldReader<'_>, ticket: &mut ChangeTicket) {
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

/// Reads a key in plain text or as a digest.
fn read_key(key: &str) -> Result<KeyDigest, String> {
    let Some(hex) = key.strip_prefix(DIGEST_PREFIX) else {
        if key.chars().count() < KEY_MIN_CHARS {
            return Err(format!("a key has at least {KEY_MIN_CHARS} characters"));
        }
        return Ok(digest_key(key));
    };
    blake3::Hash::from_hex(hex)
        .map(|hash| KeyDigest(*hash.as_bytes()))
        .map_err(|_| format!("`{DIGEST_PREFIX}` is followed by 64 hexadecimal digits"))
}

fn check_name(path: &str, name: &str, problems: &mut Vec<TicketProblem>) {
    let allowed = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | ' ');
    let fits = !name.is_empty() && name.len() <= NAME_LIMIT_BYTES;
    if !fits || !name.chars().all(allowed) {
        let reason = format!(
            "`{name}` is not a name: 1 to {NAME_LIMIT_BYTES} bytes of letters, digits, `-`, \
             `_`, `.` and spaces"
        );
        problems.push(TicketProblem::invalid(format!("{path}.name"), reason));
    }
}

fn check_customer(path: &str, record: &CustomerRecord, problems: &mut Vec<TicketProblem>) {
    if record.share.0 == 0 {
        problems.push(TicketProblem::invalid(format!("{path}.share"), "a share is at least 1"));
    }
    if record.queue_limit == 0 {
        let reason = "at least 1 request may wait";
        problems.push(TicketProblem::invalid(format!("{path}.queue_limit"), reason));
    }
    if record.keys.is_empty() || record.keys.len() > KEY_LIMIT {
        let reason = format!("a customer has 1 to {KEY_LIMIT} keys");
        problems.push(TicketProblem::invalid(format!("{path}.keys"), reason));
    }
}

fn check_service(path: &str, record: &ServiceRecord, problems: &mut Vec<TicketProblem>) {
    if record.target.place_limit == 0 {
        let reason = "a target runs at least 1 request";
        problems.push(TicketProblem::invalid(format!("{path}.place_limit"), reason));
    }
    let models = record.models.len();
    let prefix = &record.path_prefix;
    match record.kind {
        ServiceKind::Engine if models == 0 || models > MODEL_LIMIT || !prefix.is_empty() => {
            let reason = format!("an engine service has 1 to {MODEL_LIMIT} models and no prefix");
            problems.push(TicketProblem::invalid(format!("{path}.models"), reason));
        }
        ServiceKind::Plain if models > 0 || !is_prefix(prefix) => {
            let reason = format!("`{prefix}` is not a prefix such as `/booking`");
            problems.push(TicketProblem::invalid(format!("{path}.path_prefix"), reason));
        }
        ServiceKind::Engine | ServiceKind::Plain => {}
    }
    for (index, model) in record.models.iter().enumerate() {
        if model.is_empty() || record.models[..index].contains(model) {
            let reason = format!("the model `{model}` is empty or named twice");
            problems.push(TicketProblem::invalid(format!("{path}.models[{index}]"), reason));
        }
    }
}

fn is_prefix(prefix: &str) -> bool {
    let inner = prefix.strip_prefix('/').unwrap_or_default();
    !inner.is_empty() && !inner.ends_with('/') && !inner.contains(char::is_whitespace)
}
