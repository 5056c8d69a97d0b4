//! Configuration as read from the platform, read again only where it has changed.

use std::collections::HashMap;

use error_stack::Report;
use futures_util::{StreamExt, TryStreamExt, stream};
use jackdaw_base::{ErrorKind, VersionedDocument};

use crate::catalog::ConfigCatalog;
use crate::layout::{CATALOG_PREFIX, CatalogShard, HEAD_KEY, TicketHead, decode};
use crate::store::{ObjectStore, ObjectVersion, StoredObject, WriteCondition};

/// The reads that are under way at a time.
const PARALLEL_READS: usize = 8;

/// The catalog and the head with the versions of the objects that they were read from.
#[derive(Default)]
pub(crate) struct CatalogCache {
    pub(crate) catalog: ConfigCatalog,
    pub(crate) head: TicketHead,
    pub(crate) revision: ObjectVersion,
    versions: HashMap<String, ObjectVersion>,
    /// Documents that are in the catalog and were not yet taken by the reader.
    fresh: Vec<VersionedDocument>,
}

impl CatalogCache {
    /// Reads what has changed.
    ///
    /// Afterwards head and shards belong together: no ticket was accepted between the reads
    /// of the shards and the version of the head that [`CatalogCache::head_condition`] names.
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
                .filter(|change| self.versions.get(&change.key) != Some(&change.version))
                .map(|change| change.key);
            let objects: Vec<(String, Option<StoredObject>)> = stream::iter(stale)
                .map(|key| async move {
                    let object = store.read(&key).await?;
                    Ok::<_, Report<ErrorKind>>((key, object))
                })
                .buffer_unordered(PARALLEL_READS)
                .try_collect()
                .await?;
            for (key, object) in objects {
                self.take_object(key, object)?;
            }
            self.revision = listing.revision;
            if self.versions.get(HEAD_KEY).copied() == listed_head {
                return Ok(());
            }
        }
    }

    /// Returns the condition under which the head is as it was read.
    pub(crate) fn head_condition(&self) -> WriteCondition {
        match self.versions.get(HEAD_KEY) {
            Some(version) => WriteCondition::Version(*version),
            None => WriteCondition::Absent,
        }
    }

    /// Takes the documents that were new since the last call, also those of refreshes that
    /// failed halfway.
    pub(crate) fn take_fresh(&mut self) -> Vec<VersionedDocument> {
        std::mem::take(&mut self.fresh)
    }

    /// Takes in one object.
    fn take_object(
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
