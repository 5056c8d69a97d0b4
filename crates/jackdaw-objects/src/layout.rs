//! Objects that hold the configuration: their keys and their content.

use std::collections::BTreeMap;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use jackdaw_base::{DocumentKey, ErrorKind, TicketNumber, VersionedDocument, plain_data};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::store::{OBJECT_LIMIT_BYTES, StoredObject};
use crate::ticket::ChangeTicket;

/// The prefix of all objects with configuration in force.
pub const CATALOG_PREFIX: &str = "catalog/";
/// The object whose conditional update accepts a ticket.
pub const HEAD_KEY: &str = "catalog/head";
/// The objects over which customers are spread.
pub const CUSTOMER_SHARDS: u64 = 64;

plain_data! {
    /// Tickets that are accepted and not yet written to the shards.
    #[derive(Default)]
    pub struct TicketHead {
        /// The tickets, in order of acceptance.
        pub pending: Vec<ChangeTicket>,
    }
}

plain_data! {
    /// Content of a shard.
    #[derive(Default)]
    pub struct CatalogShard {
        /// The newest document of each key, removals included, ordered by key.
        pub documents: Vec<VersionedDocument>,
    }
}

impl CatalogShard {
    /// Takes in documents and returns whether any was newer than what was there.
    pub fn merge(&mut self, documents: &[VersionedDocument]) -> bool {
        let mut changed = false;
        for document in documents {
            match self.documents.binary_search_by_key(&document.key, |known| known.key) {
                Ok(place) if self.documents[place].number >= document.number => continue,
                Ok(place) => self.documents[place] = document.clone(),
                Err(place) => self.documents.insert(place, document.clone()),
            }
            changed = true;
        }
        changed
    }
}

/// Returns the key of the shard that holds a document.
///
/// VMs have no shard; they stand in the platform's own list.
pub fn shard_key(key: DocumentKey) -> String {
    match key {
        DocumentKey::Customer(id) => format!("catalog/customers/{:02}", id.0 % CUSTOMER_SHARDS),
        DocumentKey::Service(_) | DocumentKey::Vm(_) => "catalog/services".to_owned(),
    }
}

/// Returns the key of the object that keeps an applied ticket.
pub fn ticket_key(number: TicketNumber) -> String {
    format!("tickets/{:020}", number.0)
}

/// Groups documents by the shards that hold them.
pub fn group_by_shard(
    documents: Vec<VersionedDocument>,
) -> BTreeMap<String, Vec<VersionedDocument>> {
    let mut groups: BTreeMap<String, Vec<VersionedDocument>> = BTreeMap::new();
    for document in documents {
        groups.entry(shard_key(document.key)).or_default().push(document);
    }
    groups
}

/// Reads an object's JSON; the default value where there is no object.
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

/// Encodes an object's JSON; fails with [`ErrorKind::TooLarge`] where it is over the limit.
pub fn encode<T: Serialize>(key: &str, value: &T) -> Result<Bytes, Report<ErrorKind>> {
    let bytes = serde_json::to_vec(value).change_context(ErrorKind::InvariantViolated)?;
    if bytes.len() > OBJECT_LIMIT_BYTES {
        return Err(Report::new(ErrorKind::TooLarge).attach(format!("object {key}")));
    }
    Ok(Bytes::from(bytes))
}
