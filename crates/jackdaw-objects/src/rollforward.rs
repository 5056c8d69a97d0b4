//! Writes accepted tickets to the shards; any process may do so, any number of times.

use error_stack::Report;
use jackdaw_base::{ErrorKind, TicketNumber, VersionedDocument};

use crate::layout::{
    CatalogShard, HEAD_KEY, TicketHead, decode, encode, group_by_shard, ticket_key,
};
use crate::store::{ObjectStore, StoredObject, WriteCondition};
use crate::ticket::ChangeTicket;

/// Applies accepted tickets in order: shards first, then the ticket's own object, then the
/// head, so that a process that stops halfway leaves the ticket in the head for the next one.
pub(crate) async fn apply_tickets<S: ObjectStore>(
    store: &S,
    tickets: &[ChangeTicket],
) -> Result<(), Report<ErrorKind>> {
    for ticket in tickets {
        for (key, documents) in group_by_shard(ticket.documents()) {
            merge_shard(store, &key, &documents).await?;
        }
        keep_ticket(store, ticket).await?;
        drop_pending(store, ticket.number).await?;
    }
    Ok(())
}

/// Merges documents into a shard; the highest number of each key wins.
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

/// Keeps the ticket under its number for good.
async fn keep_ticket<S: ObjectStore>(
    store: &S,
    ticket: &ChangeTicket,
) -> Result<(), Report<ErrorKind>> {
    let key = ticket_key(ticket.number);
    let value = encode(&key, ticket)?;
    if succeeded(store.write(&key, WriteCondition::Absent, value).await)? {
        return Ok(());
    }
    let kept = read_ticket(store, ticket.number).await?;
    if kept.is_some_and(|kept| kept.is_equivalent(ticket)) {
        return Ok(());
    }
    let report = Report::new(ErrorKind::InvariantViolated);
    Err(report.attach(format!("ticket {} was accepted with two contents", ticket.number.0)))
}

/// Removes a ticket from the head.
async fn drop_pending<S: ObjectStore>(
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

/// Reads an applied ticket.
pub(crate) async fn read_ticket<S: ObjectStore>(
    store: &S,
    number: TicketNumber,
) -> Result<Option<ChangeTicket>, Report<ErrorKind>> {
    let key = ticket_key(number);
    let object = store.read(&key).await?;
    decode::<Option<ChangeTicket>>(&key, object.as_ref())
}

/// Returns whether a write took effect; a version conflict is no error here.
pub(crate) fn succeeded<T>(
    result: Result<T, Report<ErrorKind>>,
) -> Result<bool, Report<ErrorKind>> {
    match result {
        Ok(_) => Ok(true),
        Err(report) if *report.current_context() == ErrorKind::VersionConflict => Ok(false),
        Err(report) => Err(report),
    }
}
