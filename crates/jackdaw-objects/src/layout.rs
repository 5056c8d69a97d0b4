//! Keys and content of the objects that store the configuration.

use std::collections::BTreeMap;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use jackdaw_base::{DocumentKey, ErrorKind, TicketNumber, VersionedDocument, plain_data};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::store::{OBJECT_LIMIT_BYTES, StoredObject};
use crate::ticket::ChangeTicket;

/// Prefix of the keys of all objects that hold the configuration in force.
pub const CATALOG_PREFIX: &str = "catalog/";
/// Key of the ticket head, the object whose conditional update accepts a ticket.
pub const HEAD_KEY: &str = "catalog/head";
/// Number of shards over which customers are distributed.
pub const CUSTOMER_SHARDS: u64 = 64;

plain_data! {
    /// Tickets that are accepted but not yet written to the shards.
    #[derive(Default)]
    pub struct TicketHead {
        /// The tickets, in the order in which they were accepted.
        pub pending: Vec<ChangeTicket>,
    }
}

plain_data! {
    /// Content of one shard of the configuration.
    #[derive(Default)]
    pub struct CatalogShard {
        /// The newest document of each key, including removals, ordered by key.
        pub documents: Vec<VersionedDocument>,
    }
}

impl CatalogShard {
    /// Merges documents and returns whether any was newer than the one in the shard.
    pub fn merge(&mut self, documents: &[VersionedDocument]) -> bool {
        let mut changed = false;
        for document in documents {
            match self.documents.binary_search_by_key(&document.key, |known| known.key) {
                Ok(index) if self.documents[index].number >= document.number => continue,
                Ok(index) => self.documents[index] = document.clone(),
                Err(index) => self.documents.insert(index, document.clone()),
            }
            changed = true;
        }
        changed
    }
}

/// Returns the key of the shard that holds a document.
///
/// VMs are not stored in shards, since they come from the platform's own list.
pub fn shard_key(key: DocumentKey) -> String {
    match key {
        DocumentKey::Customer(id) => format!("catalog/customers/{:02}", id.0 % CUSTOMER_SHARDS),
        DocumentKey::Service(_) | DocumentKey::Vm(_) => "catalog/services".to_owned(),
    }
}

/// Returns the key of the object that stores an applied ticket for good.
pub fn ticket_key(number: TicketNumber) -> String {
    format!("tickets/{:020}", number.0)
}

/// Groups documents by the keys of the shards that hold them.
pub fn group_by_shard(
    documents: Vec<VersionedDocument>,
) -> BTreeMap<String, Vec<VersionedDocument>> {
    let mut groups: BTreeMap<String, Vec<VersionedDocument>> = BTreeMap::new();
    for document in documents {
        groups.entry(shard_key(document.key)).or_default().push(document);
    }
    groups
}

/// Decodes the JSON content of an object; a missing object decodes to the default value.
///
/// Fails with [`ErrorKind::ProtocolViolation`] if the content is malformed.
pub fn decode<T: DeserializeOwned + Default>(
    key: &str,
    object: Option<&StoredObject>,
) -> Result<T, Report<ErrorKind>> {
    let Some(object) = object else {
        return Ok(T::default());
    };
    serde_json::from_slice(&object.value)
        .change_context(ErrorKind::ProtocolViolation)
        .attach_with(|| format!("object {key}"))
}

/// Encodes the content of an object as JSON; fails with [`ErrorKind::TooLarge`] if it exceeds
/// [`OBJECT_LIMIT_BYTES`].
pub fn encode<T: Serialize>(key: &str, value: &T) -> Result<Bytes, Report<ErrorKind>> {
    let bytes = serde_json::to_vec(value).change_context(ErrorKind::InvariantViolated)?;
    if bytes.len() > OBJECT_LIMIT_BYTES {
        return Err(Report::new(ErrorKind::TooLarge).attach(format!("object {key}")));
    }
    Ok(Bytes::from(bytes))
}
