//! Configuration as one process knows it: the newest document of each key.

use std::collections::{BTreeMap, HashMap, HashSet};

use jackdaw_base::{
    CustomerId, CustomerRecord, DocumentBody, DocumentKey, KeyDigest, ServiceId, ServiceRecord,
    VersionedDocument, VmId, VmRecord,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::store::VmListing;

/// The buckets into which documents are divided for comparison.
pub const DIGEST_BUCKETS: usize = 256;

/// The newest document of each key, with the lookups that serving needs.
///
/// A document replaces another only if its number is higher, so the state depends on the set
/// of documents seen and not on their order, and nothing reverts.
#[derive(Debug, Clone, Default)]
pub struct ConfigCatalog {
    documents: HashMap<DocumentKey, VersionedDocument>,
    /// Customers that hold a key; the lowest identifier answers for it.
    keys: HashMap<KeyDigest, Vec<CustomerId>>,
    /// Services that answer for a model; the lowest identifier answers for it.
    models: HashMap<String, Vec<ServiceId>>,
    /// Services that answer for a path prefix; the lowest identifier answers for it.
    prefixes: BTreeMap<String, Vec<ServiceId>>,
    /// The sum of the hashes of the documents of each bucket; empty until there is one.
    buckets: Vec<u64>,
    vm_version: u64,
    number_conflicts: u64,
}

impl ConfigCatalog {
    /// Creates an empty catalog.
    pub fn new() -> ConfigCatalog {
        ConfigCatalog::default()
    }

    /// Takes in documents and returns those that were new.
    pub fn merge(&mut self, documents: Vec<VersionedDocument>) -> Vec<VersionedDocument> {
        let mut changed = Vec::new();
        for document in documents {
            if self.insert(&document) {
                changed.push(document);
            }
        }
        changed
    }

    /// Takes in the platform's VM list and returns the documents that were new.
    ///
    /// A VM that the list lacks is removed; one that is unchanged keeps its document.
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

    /// Returns a hash of all documents; equal for equal catalogs.
    pub fn digest(&self) -> u64 {
        let mut digest: u64 = 0;
        for bucket in &self.buckets {
            digest = digest.wrapping_add(*bucket);
        }
        digest
    }

    /// Returns a hash of the documents of each of [`DIGEST_BUCKETS`] buckets.
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

    /// Returns the number of documents, removals included.
    pub fn len(&self) -> usize {
        self.documents.len()
    }

    /// Returns whether there are no documents.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }

    /// Returns how often two documents of the same key and number differed.
    pub fn number_conflicts(&self) -> u64 {
        self.number_conflicts
    }

    /// Returns all documents, removals included, in no particular order.
    pub fn documents(&self) -> impl Iterator<Item = &VersionedDocument> {
        self.documents.values()
    }

    /// Returns the document of a key, which may be a removal.
    pub fn document(&self, key: DocumentKey) -> Option<&VersionedDocument> {
        self.documents.get(&key)
    }

    /// Returns a customer.
    pub fn customer(&self, id: CustomerId) -> Option<&CustomerRecord> {
        match self.body(DocumentKey::Customer(id))? {
            DocumentBody::Customer(record) => Some(record),
            DocumentBody::Service(_) | DocumentBody::Vm(_) => None,
        }
    }

    /// Returns a service.
    pub fn service(&self, id: ServiceId) -> Option<&ServiceRecord> {
        match self.body(DocumentKey::Service(id))? {
            DocumentBody::Service(record) => Some(record),
            DocumentBody::Customer(_) | DocumentBody::Vm(_) => None,
        }
    }

    /// Returns a VM.
    pub fn vm(&self, id: VmId) -> Option<&VmRecord> {
        match self.body(DocumentKey::Vm(id))? {
            DocumentBody::Vm(record) => Some(record),
            DocumentBody::Customer(_) | DocumentBody::Service(_) => None,
        }
    }

    /// Returns the VMs, in no particular order.
    pub fn vms(&self) -> impl Iterator<Item = (VmId, &VmRecord)> {
        self.documents.values().filter_map(|document| match (document.key, &document.body) {
            (DocumentKey::Vm(id), Some(DocumentBody::Vm(record))) => Some((id, record)),
            _ => None,
        })
    }

    /// Returns the customer that a key authenticates.
    pub fn customer_by_key(&self, digest: &KeyDigest) -> Option<(CustomerId, &CustomerRecord)> {
        let id = *self.keys.get(digest)?.first()?;
        Some((id, self.customer(id)?))
    }

    /// Returns the service that answers for a model.
    pub fn service_by_model(&self, model: &str) -> Option<(ServiceId, &ServiceRecord)> {
        let id = *self.models.get(model)?.first()?;
        Some((id, self.service(id)?))
    }

    /// Returns the service with the longest prefix of a path, compared by whole segments.
    pub fn service_by_path(&self, path: &str) -> Option<(ServiceId, &ServiceRecord)> {
        let mut prefix = path;
        loop {
            if let Some(id) = self.prefixes.get(prefix).and_then(|services| services.first()) {
                return Some((*id, self.service(*id)?));
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }

    /// Returns all customers that hold a key; more than one only between crossed tickets.
    pub fn key_owners(&self, digest: &KeyDigest) -> &[CustomerId] {
        self.keys.get(digest).map_or(&[], Vec::as_slice)
    }

    /// Returns all services that answer for a model.
    pub fn model_owners(&self, model: &str) -> &[ServiceId] {
        self.models.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns all services that answer for a path prefix.
    pub fn prefix_owners(&self, prefix: &str) -> &[ServiceId] {
        self.prefixes.get(prefix).map_or(&[], Vec::as_slice)
    }

    fn body(&self, key: DocumentKey) -> Option<&DocumentBody> {
        self.documents.get(&key)?.body.as_ref()
    }

    /// Takes in one document and returns whether it was new.
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
            // Each reader of the list numbers its unchanged entries anew; that is no news.
            known.number = document.number;
            return false;
        }
        let before = self.documents.insert(document.key, document.clone());
        if let Some(before) = before {
            assert!(before.number < document.number, "a document went back to an older number");
            let bucket = self.bucket_mut(before.key);
            *bucket = bucket.wrapping_sub(hash_version(&before));
            self.unlink(&before);
        }
        let bucket = self.bucket_mut(document.key);
        *bucket = bucket.wrapping_add(hash_version(document));
        self.link(document);
        true
    }

    fn bucket_mut(&mut self, key: DocumentKey) -> &mut u64 {
        self.buckets.resize(DIGEST_BUCKETS, 0);
        &mut self.buckets[bucket_of(key)]
    }

    /// Adds a document to the lookups.
    fn link(&mut self, document: &VersionedDocument) {
        match (document.key, &document.body) {
            (DocumentKey::Customer(id), Some(DocumentBody::Customer(record))) => {
                for key in &record.keys {
                    add_holder(self.keys.entry(*key).or_default(), id);
                }
            }
            (DocumentKey::Service(id), Some(DocumentBody::Service(record))) => {
                for model in &record.models {
                    add_holder(self.models.entry(model.clone()).or_default(), id);
                }
                if !record.path_prefix.is_empty() {
                    let prefix = record.path_prefix.clone();
                    add_holder(self.prefixes.entry(prefix).or_default(), id);
                }
            }
            _ => {}
        }
    }

    /// Removes a document from the lookups.
    fn unlink(&mut self, document: &VersionedDocument) {
        match (document.key, &document.body) {
            (DocumentKey::Customer(id), Some(DocumentBody::Customer(record))) => {
                for key in &record.keys {
                    if drop_holder(self.keys.get_mut(key), &id) {
                        self.keys.remove(key);
                    }
                }
            }
            (DocumentKey::Service(id), Some(DocumentBody::Service(record))) => {
                for model in &record.models {
                    if drop_holder(self.models.get_mut(model), &id) {
                        self.models.remove(model);
                    }
                }
                if drop_holder(self.prefixes.get_mut(&record.path_prefix), &id) {
                    self.prefixes.remove(&record.path_prefix);
                }
            }
            _ => {}
        }
    }
}

/// Adds an identifier to a sorted list.
fn add_holder<T: Ord>(holders: &mut Vec<T>, id: T) {
    if let Err(place) = holders.binary_search(&id) {
        holders.insert(place, id);
    }
}

/// Removes an identifier from a list and returns whether none is left.
fn drop_holder<T: Ord>(holders: Option<&mut Vec<T>>, id: &T) -> bool {
    let Some(holders) = holders else {
        return false;
    };
    holders.retain(|holder| holder != id);
    holders.is_empty()
}

/// Returns the bucket of a key.
fn bucket_of(key: DocumentKey) -> usize {
    let (kind, id) = key_parts(key);
    (xxh3_64(&id.to_le_bytes()).wrapping_add(kind) % DIGEST_BUCKETS as u64) as usize
}

/// Hashes a document's key with what tells its versions apart: the number, or for VMs, which
/// each reader of the list numbers for itself, the body.
fn hash_version(document: &VersionedDocument) -> u64 {
    let (kind, id) = key_parts(document.key);
    let version = match document.key {
        DocumentKey::Customer(_) | DocumentKey::Service(_) => document.number,
        DocumentKey::Vm(_) => {
            let body = postcard::to_allocvec(&document.body).expect("records are encodable");
            xxh3_64(&body)
        }
    };
    let mut bytes = [0; 24];
    bytes[..8].copy_from_slice(&kind.to_le_bytes());
    bytes[8..16].copy_from_slice(&id.to_le_bytes());
    bytes[16..].copy_from_slice(&version.to_le_bytes());
    xxh3_64(&bytes)
}

fn key_parts(key: DocumentKey) -> (u64, u64) {
    match key {
        DocumentKey::Customer(id) => (1, id.0),
        DocumentKey::Service(id) => (2, id.0),
        DocumentKey::Vm(id) => (3, id.0),
    }
}
