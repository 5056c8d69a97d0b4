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
/// Key of the shard that holds the services.
const SERVICE_SHARD_KEY: &str = "catalog/services";
/// Beginning of the keys of the shards that hold customers, before the number of the shard.
const CUSTOMER_SHARD_PREFIX: &str = "catalog/customers/";
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
        DocumentKey::Customer(id) => customer_shard_key(id.0 % CUSTOMER_SHARDS),
        DocumentKey::Service(_) | DocumentKey::Vm(_) => SERVICE_SHARD_KEY.to_owned(),
    }
}

fn customer_shard_key(number: u64) -> String {
    format!("{CUSTOMER_SHARD_PREFIX}{number:02}")
}

/// Returns whether a key is that of a shard. Other writers may leave objects beside the shards.
pub fn is_shard_key(key: &str) -> bool {
    let number = key.strip_prefix(CUSTOMER_SHARD_PREFIX).and_then(|number| number.parse().ok());
    let is_customer_shard =
        number.is_some_and(|number| number < CUSTOMER_SHARDS && customer_shard_key(number) == key);
    is_customer_shard || key == SERVICE_SHARD_KEY
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
