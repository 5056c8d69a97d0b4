//! Cache of the platform's configuration that reads only changed objects again.

use std::collections::HashMap;

use error_stack::Report;
use futures_util::{StreamExt, TryStreamExt, stream};
use jackdaw_base::{ErrorKind, VersionedDocument};

use crate::catalog::ConfigCatalog;
use crate::layout::{CATALOG_PREFIX, CatalogShard, HEAD_KEY, TicketHead, decode, is_shard_key};
use crate::store::{ObjectStore, ObjectVersion, StoredObject, WriteCondition};

/// Maximum number of concurrent reads.
const MAX_CONCURRENT_READS: usize = 8;

/// The catalog and the ticket head, with the versions of the objects they were read from.
#[derive(Default)]
pub(crate) struct CatalogCache {
    pub(crate) catalog: ConfigCatalog,
    pub(crate) head: TicketHead,
    pub(crate) revision: ObjectVersion,
    versions: HashMap<String, ObjectVersion>,
    /// Documents merged into the catalog and not yet returned by [`CatalogCache::take_fresh`].
    fresh: Vec<VersionedDocument>,
}

impl CatalogCache {
    /// Reads the objects that have changed.
    ///
    /// Afterwards head and shards are consistent: no ticket was accepted between the reads of
    /// the shards and the version of the head that [`CatalogCache::head_condition`] names.
    pub(crate) async fn refresh<S: ObjectStore>(
        &mut self,
        store: &S,
    ) -> Result<(), Report<ErrorKind>> {
        loop {
            let listing = store.list(CATALOG_PREFIX).await?;
            let listed_head = listing
                .changes
                .iter()
                .find(|change| change.key == HEAD_KEY)
                .map(|change| change.version);
            let stale = listing
                .changes
                .into_iter()
                .filter(|change| change.key == HEAD_KEY || is_shard_key(&change.key))
                .filter(|change| self.versions.get(&change.key) != Some(&change.version))
                .map(|change| change.key);
            let objects: Vec<(String, Option<StoredObject>)> = stream::iter(stale)
                .map(|key| async move {
                    let object = store.read(&key).await?;
                    Ok::<_, Report<ErrorKind>>((key, object))
                })
                .buffer_unordered(MAX_CONCURRENT_READS)
                .try_collect()
                .await?;
            for (key, object) in objects {
                self.merge_object(key, object)?;
            }
            self.revision = listing.revision;
            if self.versions.get(HEAD_KEY).copied() == listed_head {
                return Ok(());
            }
        }
    }

    /// Returns the write condition that holds while the head is unchanged since it was read.
    pub(crate) fn head_condition(&self) -> WriteCondition {
        match self.versions.get(HEAD_KEY) {
            Some(version) => WriteCondition::Version(*version),
            None => WriteCondition::Absent,
        }
    }

    /// Returns the documents that are new since the last call, including those of refreshes
    /// that failed partway.
    pub(crate) fn take_fresh(&mut self) -> Vec<VersionedDocument> {
        std::mem::take(&mut self.fresh)
    }

    /// Merges one object that was read into the cache.
    fn merge_object(
        &mut self,
        key: String,
        object: Option<StoredObject>,
    ) -> Result<(), Report<ErrorKind>> {
        let Some(object) = object else {
            return Ok(());
        };
        let documents = if key == HEAD_KEY {
            self.head = decode(&key, Some(&object))?;
            self.head.pending.iter().flat_map(|ticket| ticket.documents()).collect()
        } else {
            decode::<CatalogShard>(&key, Some(&object))?.documents
        };
        self.versions.insert(key, object.version);
        self.fresh.extend(self.catalog.merge(documents));
        Ok(())
    }
}
