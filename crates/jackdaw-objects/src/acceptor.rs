//! Checks change tickets, accepts them durably and reports their state.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use error_stack::Report;
use jackdaw_base::{
    CustomerId, DocumentBody, DocumentKey, ErrorKind, ServiceId, TicketNumber, plain_data,
};

use crate::cache::CatalogCache;
use crate::catalog::ConfigCatalog;
use crate::layout::{CatalogShard, HEAD_KEY, TicketHead, encode, group_by_shard, shard_key};
use crate::rollforward::{apply_tickets, read_ticket, succeeded};
use crate::store::ObjectStore;
use crate::ticket::{ChangeTicket, TicketEntry, TicketProblem};

plain_data! {
    copy
    /// State of a ticket on the platform.
    #[serde(rename_all = "kebab-case")]
    pub enum TicketStatus {
        /// No ticket with this number was accepted.
        Absent,
        /// The ticket is accepted and in force, but not yet written to the shards.
        Accepted,
        /// The ticket is in force and written to the shards.
        Applied,
    }
}

plain_data! {
    copy
    /// Confirms that a ticket is durable: it is in force and stays so.
    pub struct TicketAcceptance {
        /// The number of the ticket.
        pub number: TicketNumber,
        /// Whether the same ticket had been accepted before.
        pub repeated: bool,
        /// The state after the attempt to apply the ticket.
        pub status: TicketStatus,
    }
}

/// Accepts the tickets that operators submit.
///
/// A ticket is accepted only by the conditional update of the head object, so the tickets of
/// any number of acceptors have a single order. An acceptor first applies the tickets that are
/// pending in the head, so that it checks a ticket against everything accepted before.
pub struct TicketAcceptor<S> {
    store: S,
    cache: Rc<RefCell<Option<CatalogCache>>>,
}

impl<S: ObjectStore> TicketAcceptor<S> {
    /// Creates an acceptor, which reads the configuration on its first operation.
    pub fn open(store: S) -> TicketAcceptor<S> {
        TicketAcceptor { store, cache: Rc::default() }
    }

    /// Returns all problems for which a ticket would be refused; none if it would be accepted.
    pub async fn check(
        &self,
        ticket: &ChangeTicket,
    ) -> Result<Vec<TicketProblem>, Report<ErrorKind>> {
        let mut problems = ticket.problems();
        let mut cache = self.take_cache();
        cache.refresh(&self.store).await?;
        if let Some(earlier) = self.find_accepted(&cache, ticket.number).await? {
            if !earlier.is_equivalent(ticket) {
                problems.push(conflict_problem(ticket));
            }
        } else {
            problems.extend(state_problems(&cache.catalog, ticket));
        }
        self.put_cache(cache);
        Ok(problems)
    }

    /// Accepts a ticket: when this returns, the ticket is durable and in force.
    ///
    /// Fails with [`ErrorKind::TicketInvalid`], [`ErrorKind::TicketStale`] or
    /// [`ErrorKind::TicketConflict`] and every [`TicketProblem`] attached; then nothing has
    /// changed. After [`ErrorKind::PlatformUnavailable`] the ticket may have been accepted or may
    /// still be: submitting the same ticket again is safe and finds out.
    pub async fn accept(
        &self,
        ticket: &ChangeTicket,
    ) -> Result<TicketAcceptance, Report<ErrorKind>> {
        refuse_problems(&ticket.problems())?;
        let mut cache = self.take_cache();
        loop {
            cache.refresh(&self.store).await?;
            if let Some(earlier) = self.find_accepted(&cache, ticket.number).await? {
                if !earlier.is_equivalent(ticket) {
                    return Err(problem_report(&[conflict_problem(ticket)]));
                }
                return Ok(self.apply_accepted(&[earlier], ticket.number, true).await);
            }
            if !cache.head.pending.is_empty() {
                apply_tickets(&self.store, &cache.head.pending).await?;
                continue;
            }
            refuse_problems(&state_problems(&cache.catalog, ticket))?;
            let head = TicketHead { pending: vec![ticket.clone()] };
            let value = encode(HEAD_KEY, &head)?;
            let written = self.store.write(HEAD_KEY, cache.head_condition(), value).await;
            if succeeded(written)? {
                self.put_cache(cache);
                return Ok(self.apply_accepted(&head.pending, ticket.number, false).await);
            }
        }
    }

    /// Returns the state of the ticket with the given number.
    pub async fn status(&self, number: TicketNumber) -> Result<TicketStatus, Report<ErrorKind>> {
        let mut cache = self.take_cache();
        cache.refresh(&self.store).await?;
        let pending = cache.head.pending.iter().any(|ticket| ticket.number == number);
        self.put_cache(cache);
        if pending {
            return Ok(TicketStatus::Accepted);
        }
        match read_ticket(&self.store, number).await? {
            Some(_) => Ok(TicketStatus::Applied),
            None => Ok(TicketStatus::Absent),
        }
    }

    /// Returns the configuration in force.
    pub async fn catalog(&self) -> Result<ConfigCatalog, Report<ErrorKind>> {
        let mut cache = self.take_cache();
        cache.refresh(&self.store).await?;
        let catalog = cache.catalog.clone();
        self.put_cache(cache);
        Ok(catalog)
    }

    /// Applies accepted tickets; after a failure, the next acceptor or feed applies them.
    async fn apply_accepted(
        &self,
        pending: &[ChangeTicket],
        number: TicketNumber,
        repeated: bool,
    ) -> TicketAcceptance {
        let status = match apply_tickets(&self.store, pending).await {
            Ok(()) => TicketStatus::Applied,
            Err(report) => {
                log::warn!("ticket {} is accepted but not yet applied: {report}", number.0);
                TicketStatus::Accepted
            }
        };
        TicketAcceptance { number, repeated, status }
    }

    /// Finds an accepted ticket, first in the head and then among the applied ones.
    ///
    /// This order misses none, since a ticket is stored under its number before it is removed
    /// from the head.
    async fn find_accepted(
        &self,
        cache: &CatalogCache,
        number: TicketNumber,
    ) -> Result<Option<ChangeTicket>, Report<ErrorKind>> {
        if let Some(ticket) = cache.head.pending.iter().find(|ticket| ticket.number == number) {
            return Ok(Some(ticket.clone()));
        }
        read_ticket(&self.store, number).await
    }

    /// Moves the cache out of its cell, so that no borrow is held across an await.
    fn take_cache(&self) -> CatalogCache {
        self.cache.borrow_mut().take().unwrap_or_default()
    }

    /// Puts the cache back for the next operation.
    fn put_cache(&self, cache: CatalogCache) {
        *self.cache.borrow_mut() = Some(cache);
    }
}

/// Fails with the given problems unless there are none.
fn refuse_problems(problems: &[TicketProblem]) -> Result<(), Report<ErrorKind>> {
    if problems.is_empty() { Ok(()) } else { Err(problem_report(problems)) }
}

/// Returns a report with the kind of the first problem and all problems attached.
fn problem_report(problems: &[TicketProblem]) -> Report<ErrorKind> {
    let kind = problems.first().map_or(ErrorKind::TicketInvalid, |first| first.kind);
    let attach =
        |report: Report<ErrorKind>, problem: &TicketProblem| report.attach(problem.clone());
    problems.iter().fold(Report::new(kind), attach)
}

fn conflict_problem(ticket: &ChangeTicket) -> TicketProblem {
    TicketProblem {
        kind: ErrorKind::TicketConflict,
        path: "number".to_owned(),
        reason: format!("ticket {} was accepted with other content", ticket.number.0),
    }
}

/// Returns the problems of a ticket given everything accepted before.
fn state_problems(catalog: &ConfigCatalog, ticket: &ChangeTicket) -> Vec<TicketProblem> {
    let mut problems = Vec::new();
    for (path, entry) in ticket.entry_paths() {
        problems.extend(entry_problems(catalog, ticket, &path, entry));
    }
    let mut after = catalog.clone();
    after.merge(ticket.documents());
    for (path, entry) in ticket.entry_paths() {
        problems.extend(owner_problems(&after, &path, entry));
    }
    problems.extend(size_problems(&after, ticket));
    problems
}

/// Checks one entry's number and name against the document of its key.
fn entry_problems(
    catalog: &ConfigCatalog,
    ticket: &ChangeTicket,
    path: &str,
    entry: &TicketEntry,
) -> Vec<TicketProblem> {
    let mut problems = Vec::new();
    let Some(known) = catalog.document(entry.key) else {
        return problems;
    };
    if known.number >= ticket.number.0 {
        problems.push(TicketProblem {
            kind: ErrorKind::TicketStale,
            path: path.to_owned(),
            reason: format!("`{}` already carries ticket {}", entry.name, known.number),
        });
    }
    let known_name = match &known.body {
        Some(DocumentBody::Customer(record)) => Some(&record.name),
        Some(DocumentBody::Service(record)) => Some(&record.name),
        Some(DocumentBody::Vm(_)) | None => None,
    };
    if let Some(name) = known_name.filter(|name| **name != entry.name) {
        let reason = format!("the name has the same hash as `{name}`; choose another name");
        problems.push(TicketProblem::invalid(format!("{path}.name"), reason));
    }
    problems
}

/// Checks that no other customer or service has the same keys, models or prefix once the ticket
/// is in force.
fn owner_problems(after: &ConfigCatalog, path: &str, entry: &TicketEntry) -> Vec<TicketProblem> {
    let mut problems = Vec::new();
    match (entry.key, &entry.body) {
        (DocumentKey::Customer(id), Some(DocumentBody::Customer(record))) => {
            for (index, key) in record.keys.iter().enumerate() {
                let is_shared = after.key_owners(key).iter().any(|owner: &CustomerId| *owner != id);
                if is_shared || record.keys[..index].contains(key) {
                    let reason = "the key is a duplicate or belongs to another customer";
                    let path = format!("{path}.keys[{index}]");
                    problems.push(TicketProblem::invalid(path, reason));
                }
            }
        }
        (DocumentKey::Service(id), Some(DocumentBody::Service(record))) => {
            let is_other = |owner: &&ServiceId| **owner != id;
            for (index, model) in record.models.iter().enumerate() {
                if after.model_owners(model).iter().any(|owner| is_other(&owner)) {
                    let reason = format!("another service serves the model `{model}`");
                    let path = format!("{path}.models[{index}]");
                    problems.push(TicketProblem::invalid(path, reason));
                }
            }
            let prefix = &record.path_prefix;
            if after.prefix_owners(prefix).iter().any(|owner| is_other(&owner)) {
                let reason = format!("another service serves the prefix `{prefix}`");
                problems.push(TicketProblem::invalid(format!("{path}.path_prefix"), reason));
            }
        }
        _ => {}
    }
    problems
}

/// Checks that each shard that the ticket changes still fits in one object.
fn size_problems(after: &ConfigCatalog, ticket: &ChangeTicket) -> Vec<TicketProblem> {
    let mut shards: BTreeMap<String, CatalogShard> = group_by_shard(ticket.documents())
        .into_keys()
        .map(|key| (key, CatalogShard::default()))
        .collect();
    for document in after.documents() {
        let key = shard_key(document.key);
        if let Some(shard) = shards.get_mut(&key)
            && !matches!(document.key, DocumentKey::Vm(_))
        {
            shard.documents.push(document.clone());
        }
    }
    let mut problems = Vec::new();
    for (key, shard) in shards {
        if let Err(report) = encode(&key, &shard) {
            let reason = format!("the object {key} would exceed the size limit ({report})");
            problems.push(TicketProblem::invalid("ticket", reason));
        }
    }
    problems
}
