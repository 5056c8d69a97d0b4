//! Writes accepted tickets to the shards.
//!
//! Any process may do so any number of times, since merging the same documents again changes
//! nothing.

use error_stack::Report;
use jackdaw_base::{ErrorKind, TicketNumber, VersionedDocument};

use crate::layout::{
    CatalogShard, HEAD_KEY, TicketHead, decode, encode, group_by_shard, ticket_key,
};
use crate::store::{ObjectStore, StoredObject, WriteCondition};
use crate::ticket::ChangeTicket;

/// Applies accepted tickets in order.
///
/// Each is written to the shards first, then to its own object, and only then removed from the
/// head, so that a process that stops partway leaves it in the head for the next process.
pub(crate) async fn apply_tickets<S: ObjectStore>(
    store: &S,
    tickets: &[ChangeTicket],
) -> Result<(), Report<ErrorKind>> {
    for ticket in tickets {
        for (key, documents) in group_by_shard(ticket.documents()) {
            merge_shard(store, &key, &documents).await?;
        }
        store_ticket(store, ticket).await?;
        remove_pending(store, ticket.number).await?;
    }
    Ok(())
}

/// Merges documents into a shard, keeping the highest number of each key; retries on conflicts.
async fn merge_shard<S: ObjectStore>(
    store: &S,
    key: &str,
    documents: &[VersionedDocument],
) -> Result<(), Report<ErrorKind>> {
    loop {
        let object = store.read(key).await?;
        let mut shard: CatalogShard = decode(key, object.as_ref())?;
        if !shard.merge(documents) {
            return Ok(());
        }
        let value = encode(key, &shard)?;
        let condition = StoredObject::condition(object.as_ref());
        if succeeded(store.write(key, condition, value).await)? {
            return Ok(());
        }
    }
}

/// Stores the ticket permanently under its number.
async fn store_ticket<S: ObjectStore>(
    store: &S,
    ticket: &ChangeTicket,
) -> Result<(), Report<ErrorKind>> {
    let key = ticket_key(ticket.number);
    let value = encode(&key, ticket)?;
    if succeeded(store.write(&key, WriteCondition::Absent, value).await)? {
        return Ok(());
    }
    let stored = read_ticket(store, ticket.number).await?;
    if stored.is_some_and(|stored| stored.is_equivalent(ticket)) {
        return Ok(());
    }
    let report = Report::new(ErrorKind::InvariantViolated);
    Err(report
        .attach(format!("ticket {} was accepted with two different contents", ticket.number.0)))
}

/// Removes an applied ticket from the head; retries on conflicts.
async fn remove_pending<S: ObjectStore>(
    store: &S,
    number: TicketNumber,
) -> Result<(), Report<ErrorKind>> {
    loop {
        let object = store.read(HEAD_KEY).await?;
        let mut head: TicketHead = decode(HEAD_KEY, object.as_ref())?;
        let before = head.pending.len();
        head.pending.retain(|ticket| ticket.number != number);
        if head.pending.len() == before {
            return Ok(());
        }
        let value = encode(HEAD_KEY, &head)?;
        let condition = StoredObject::condition(object.as_ref());
        if succeeded(store.write(HEAD_KEY, condition, value).await)? {
            return Ok(());
        }
    }
}

/// Reads an applied ticket; `None` if no ticket with this number was applied.
pub(crate) async fn read_ticket<S: ObjectStore>(
    store: &S,
    number: TicketNumber,
) -> Result<Option<ChangeTicket>, Report<ErrorKind>> {
    let key = ticket_key(number);
    let object = store.read(&key).await?;
    decode::<Option<ChangeTicket>>(&key, object.as_ref())
}

/// Returns whether a write took effect, treating a version conflict as no error.
pub(crate) fn succeeded<T>(
    result: Result<T, Report<ErrorKind>>,
) -> Result<bool, Report<ErrorKind>> {
    match result {
        Ok(_) => Ok(true),
        Err(report) if *report.current_context() == ErrorKind::VersionConflict => Ok(false),
        Err(report) => Err(report),
    }
}
