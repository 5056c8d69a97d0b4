//! Configuration as known to one process: the newest document of each key.

use std::collections::{BTreeMap, HashMap, HashSet};

use jackdaw_base::{
    CustomerId, CustomerRecord, DocumentBody, DocumentKey, KeyDigest, ServiceId, ServiceRecord,
    VersionedDocument, VmId, VmRecord,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::store::VmListing;

/// Number of buckets into which documents are divided to compare catalogs.
pub const DIGEST_BUCKETS: usize = 256;

/// The newest document of each key, with indexes for the lookups on the request path.
///
/// A document replaces another only if its number is higher. The state therefore depends on the
/// set of documents merged and not on their order, and no document reverts to an older one.
#[derive(Debug, Clone, Default)]
pub struct ConfigCatalog {
    documents: HashMap<DocumentKey, VersionedDocument>,
    /// Customers with a key, sorted by identifier; the key authenticates the lowest.
    key_owners: HashMap<KeyDigest, Vec<CustomerId>>,
    /// Services that serve a model, sorted by identifier; requests go to the lowest.
    model_owners: HashMap<String, Vec<ServiceId>>,
    /// Services that serve a path prefix, sorted by identifier; requests go to the lowest.
    prefix_owners: BTreeMap<String, Vec<ServiceId>>,
    /// The wrapping sum of the document hashes of each bucket; empty until the first document.
    buckets: Vec<u64>,
    vm_version: u64,
    number_conflicts: u64,
}

impl ConfigCatalog {
    /// Creates an empty catalog.
    pub fn new() -> ConfigCatalog {
        ConfigCatalog::default()
    }

    /// Merges documents and returns those that were new.
    pub fn merge(&mut self, documents: Vec<VersionedDocument>) -> Vec<VersionedDocument> {
        let mut changed = Vec::new();
        for document in documents {
            if self.insert(&document) {
                changed.push(document);
            }
        }
        changed
    }

    /// Merges the platform's VM list and returns the documents that were new.
    ///
    /// A VM missing from the list is removed; an unchanged one keeps its document. A list no
    /// newer than the last one is ignored.
    pub fn merge_vms(&mut self, listing: &VmListing) -> Vec<VersionedDocument> {
        if listing.version <= self.vm_version {
            return Vec::new();
        }
        self.vm_version = listing.version;
        let number = listing.version;
        let mut listed = HashSet::new();
        let mut documents = Vec::new();
        for vm in &listing.vms {
            let key = DocumentKey::Vm(VmId::from_name(&vm.name));
            listed.insert(key);
            let body = Some(DocumentBody::Vm(vm.clone()));
            if self.documents.get(&key).is_none_or(|known| known.body != body) {
                documents.push(VersionedDocument { number, key, body });
            }
        }
        for known in self.documents.values() {
            let is_vm = matches!(known.key, DocumentKey::Vm(_));
            if is_vm && known.body.is_some() && !listed.contains(&known.key) {
                documents.push(VersionedDocument { number, key: known.key, body: None });
            }
        }
        self.merge(documents)
    }

    /// Returns a hash of all documents, which is equal for equal catalogs.
    pub fn digest(&self) -> u64 {
        let mut digest: u64 = 0;
        for bucket in &self.buckets {
            digest = digest.wrapping_add(*bucket);
        }
        digest
    }

    /// Returns a hash of the documents of each bucket; there are [`DIGEST_BUCKETS`].
    pub fn bucket_digests(&self) -> Vec<u64> {
        let mut digests = self.buckets.clone();
        digests.resize(DIGEST_BUCKETS, 0);
        digests
    }

    /// Returns the documents of the given buckets.
    pub fn bucket_documents(&self, buckets: &[u16]) -> Vec<VersionedDocument> {
        let mut documents = Vec::new();
        for document in self.documents.values() {
            if buckets.contains(&(bucket_of(document.key) as u16)) {
                documents.push(document.clone());
            }
        }
        documents
    }

    /// Returns the number of documents, including removals.
    pub fn len(&self) -> usize {
        self.documents.len()
    }

    /// Returns whether there are no documents.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }

    /// Returns how often two different documents had the same key and number.
    pub fn number_conflicts(&self) -> u64 {
        self.number_conflicts
    }

    /// Returns all documents, including removals, in no particular order.
    pub fn documents(&self) -> impl Iterator<Item = &VersionedDocument> {
        self.documents.values()
    }

    /// Returns the document of a key, which may be a removal.
    pub fn document(&self, key: DocumentKey) -> Option<&VersionedDocument> {
        self.documents.get(&key)
    }

    /// Returns a customer's record; `None` if it is unknown or removed.
    pub fn customer(&self, id: CustomerId) -> Option<&CustomerRecord> {
        match self.body(DocumentKey::Customer(id))? {
            DocumentBody::Customer(record) => Some(record),
            DocumentBody::Service(_) | DocumentBody::Vm(_) => None,
        }
    }

    /// Returns a service's record; `None` if it is unknown or removed.
    pub fn service(&self, id: ServiceId) -> Option<&ServiceRecord> {
        match self.body(DocumentKey::Service(id))? {
            DocumentBody::Service(record) => Some(record),
            DocumentBody::Customer(_) | DocumentBody::Vm(_) => None,
        }
    }

    /// Returns a VM's record; `None` if it is unknown or removed.
    pub fn vm(&self, id: VmId) -> Option<&VmRecord> {
        match self.body(DocumentKey::Vm(id))? {
            DocumentBody::Vm(record) => Some(record),
            DocumentBody::Customer(_) | DocumentBody::Service(_) => None,
        }
    }

    /// Returns all VMs on the list, in no particular order.
    pub fn vms(&self) -> impl Iterator<Item = (VmId, &VmRecord)> {
        self.documents.values().filter_map(|document| match (document.key, &document.body) {
            (DocumentKey::Vm(id), Some(DocumentBody::Vm(record))) => Some((id, record)),
            _ => None,
        })
    }

    /// Returns the customer that a key authenticates.
    pub fn customer_by_key(&self, digest: &KeyDigest) -> Option<(CustomerId, &CustomerRecord)> {
        let id = *self.key_owners.get(digest)?.first()?;
        Some((id, self.customer(id)?))
    }

    /// Returns the service that serves a model.
    pub fn service_by_model(&self, model: &str) -> Option<(ServiceId, &ServiceRecord)> {
        let id = *self.model_owners.get(model)?.first()?;
        Some((id, self.service(id)?))
    }

    /// Returns the service with the longest prefix of a path, compared by whole segments.
    pub fn service_by_path(&self, path: &str) -> Option<(ServiceId, &ServiceRecord)> {
        let mut prefix = path;
        loop {
            if let Some(id) = self.prefix_owners.get(prefix).and_then(|services| services.first()) {
                return Some((*id, self.service(*id)?));
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }

    /// Returns all customers with a key; more than one only while a ticket that moves the key
    /// is not fully merged.
    pub fn key_owners(&self, digest: &KeyDigest) -> &[CustomerId] {
        self.key_owners.get(digest).map_or(&[], Vec::as_slice)
    }

    /// Returns all services that serve a model.
    pub fn model_owners(&self, model: &str) -> &[ServiceId] {
        self.model_owners.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns all services that serve a path prefix.
    pub fn prefix_owners(&self, prefix: &str) -> &[ServiceId] {
        self.prefix_owners.get(prefix).map_or(&[], Vec::as_slice)
    }

    fn body(&self, key: DocumentKey) -> Option<&DocumentBody> {
        self.documents.get(&key)?.body.as_ref()
    }

    /// Merges one document and returns whether it was new.
    fn insert(&mut self, document: &VersionedDocument) -> bool {
        let known = self.documents.get(&document.key);
        let number = known.map(|known| known.number);
        if number == Some(document.number) && known.is_some_and(|known| known != document) {
            self.number_conflicts += 1;
            log::error!("two documents of {:?} carry number {}", document.key, document.number);
        }
        if number >= Some(document.number) {
            return false;
        }
        if let Some(known) = self.documents.get_mut(&document.key)
            && matches!(document.key, DocumentKey::Vm(_))
            && known.body == document.body
        {
            // A process numbers an unchanged VM by the version of the list that it read first, so a
            // higher number alone is no change.
            known.number = document.number;
            return false;
        }
        let replaced = self.documents.insert(document.key, document.clone());
        if let Some(replaced) = replaced {
            assert!(replaced.number < document.number, "a document reverted to an older number");
            let bucket = self.bucket_mut(replaced.key);
            *bucket = bucket.wrapping_sub(hash_version(&replaced));
            self.unindex(&replaced);
        }
        let bucket = self.bucket_mut(document.key);
        *bucket = bucket.wrapping_add(hash_version(document));
        self.index(document);
        true
    }

    fn bucket_mut(&mut self, key: DocumentKey) -> &mut u64 {
        self.buckets.resize(DIGEST_BUCKETS, 0);
        &mut self.buckets[bucket_of(key)]
    }

    /// Adds a document to the indexes.
    fn index(&mut self, document: &VersionedDocument) {
        match (document.key, &document.body) {
            (DocumentKey::Customer(id), Some(DocumentBody::Customer(record))) => {
                for key in &record.keys {
                    add_owner(self.key_owners.entry(*key).or_default(), id);
                }
            }
            (DocumentKey::Service(id), Some(DocumentBody::Service(record))) => {
                for model in &record.models {
                    add_owner(self.model_owners.entry(model.clone()).or_default(), id);
                }
                if !record.path_prefix.is_empty() {
                    let prefix = record.path_prefix.clone();
                    add_owner(self.prefix_owners.entry(prefix).or_default(), id);
                }
            }
            _ => {}
        }
    }

    /// Removes a document from the indexes.
    fn unindex(&mut self, document: &VersionedDocument) {
        match (document.key, &document.body) {
            (DocumentKey::Customer(id), Some(DocumentBody::Customer(record))) => {
                for key in &record.keys {
                    if remove_owner(self.key_owners.get_mut(key), &id) {
                        self.key_owners.remove(key);
                    }
                }
            }
            (DocumentKey::Service(id), Some(DocumentBody::Service(record))) => {
                for model in &record.models {
                    if remove_owner(self.model_owners.get_mut(model), &id) {
                        self.model_owners.remove(model);
                    }
                }
                if remove_owner(self.prefix_owners.get_mut(&record.path_prefix), &id) {
                    self.prefix_owners.remove(&record.path_prefix);
                }
            }
            _ => {}
        }
    }
}

/// Adds an identifier to a sorted list unless it is there already.
fn add_owner<T: Ord>(owners: &mut Vec<T>, id: T) {
    if let Err(position) = owners.binary_search(&id) {
        owners.insert(position, id);
    }
}

/// Removes an identifier from a list and returns whether the list is now empty.
fn remove_owner<T: Ord>(owners: Option<&mut Vec<T>>, id: &T) -> bool {
    let Some(owners) = owners else {
        return false;
    };
    owners.retain(|owner| owner != id);
    owners.is_empty()
}

/// Returns the index of the bucket that a key belongs to.
fn bucket_of(key: DocumentKey) -> usize {
    let (kind, id) = key_parts(key);
    (xxh3_64(&id.to_le_bytes()).wrapping_add(kind) % DIGEST_BUCKETS as u64) as usize
}

/// Hashes a document's key together with what distinguishes its versions.
///
/// That is the number, or the body for VMs, since each process that reads the VM list numbers
/// its entries itself.
fn hash_version(document: &VersionedDocument) -> u64 {
    let (kind, id) = key_parts(document.key);
    let version = match document.key {
        DocumentKey::Customer(_) | DocumentKey::Service(_) => document.number,
        DocumentKey::Vm(_) => {
            let body =
                postcard::to_allocvec(&document.body).expect("records can always be encoded");
            xxh3_64(&body)
        }
    };
    let mut bytes = [0; 24];
    bytes[..8].copy_from_slice(&kind.to_le_bytes());
    bytes[8..16].copy_from_slice(&id.to_le_bytes());
    bytes[16..].copy_from_slice(&version.to_le_bytes());
    xxh3_64(&bytes)
}

/// Returns a number for the kind of a key, and its identifier.
fn key_parts(key: DocumentKey) -> (u64, u64) {
    match key {
        DocumentKey::Customer(id) => (1, id.0),
        DocumentKey::Service(id) => (2, id.0),
        DocumentKey::Vm(id) => (3, id.0),
    }
}
