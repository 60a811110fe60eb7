//! Groups, services, shards and replicas of all documents, in arenas.

use crate::arena::Arena;
use crate::config::{ReplicaSettings, ServiceSettings, ShardSettings};
use crate::ids::{GroupId, ReplicaId, ReplicaTag, ServiceId, ShardId};
use std::sync::Arc;

/// A group of services.
#[derive(Clone, Debug)]
pub struct Group {
    /// The name that documents give as their group.
    pub name: String,
    /// The shards of all its services, sorted; empty if no document names the group.
    pub shards: Vec<ShardId>,
}

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// The settings of the document in force.
    pub settings: Arc<ServiceSettings>,
    /// The group that it belongs to.
    pub group: GroupId,
    /// Its shards, sorted; empty if the document was deleted.
    pub shards: Vec<ShardId>,
}

/// A shard.
#[derive(Clone, Debug)]
pub struct Shard {
    /// The name, unique within its service.
    pub name: String,
    /// The service that it belongs to; never changes.
    pub service: ServiceId,
    /// Its replicas, sorted; empty if no document lists the shard.
    pub replicas: Vec<ReplicaId>,
}

/// A replica.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The shard that it belongs to; never changes.
    pub shard: ShardId,
    /// The settings in the most recent document that listed it.
    pub settings: ReplicaSettings,
    /// Whether a document in force lists it.
    pub listed: bool,
}

/// Groups, services, shards and replicas of all documents.
///
/// An id is valid and refers to the same object in every later topology of the same daemon, so
/// state that outlives a change of documents can be indexed by it.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    /// All groups ever known.
    pub groups: Arena<GroupId, Group>,
    /// All services ever known.
    pub services: Arena<ServiceId, Service>,
    /// All shards ever known.
    pub shards: Arena<ShardId, Shard>,
    /// All replicas ever known.
    pub replicas: Arena<ReplicaId, Replica>,
    /// Sorted by tag; holds every replica of the arena.
    by_tag: Vec<(ReplicaTag, ReplicaId)>,
    /// Sorted by name; holds every group of the arena.
    groups_by_name: Vec<(String, GroupId)>,
    /// Sorted by name; holds every service of the arena.
    services_by_name: Vec<(String, ServiceId)>,
    /// Sorted by service, then by the name of the shard; holds every shard of the arena.
    shards_by_name: Vec<(ServiceId, ShardId)>,
}

impl Topology {
    /// Returns the topology of the given documents, in which the ids of this topology stay valid.
    #[must_use]
    pub fn with_documents(&self, documents: &[Arc<ServiceSettings>]) -> Self {
        let mut next = self.clone();
        next.clear_all();
        for document in documents {
            next.add_service(document);
        }
        next
    }

    /// Returns a replica by its tag.
    pub fn replica(&self, tag: ReplicaTag) -> Option<ReplicaId> {
        let index = self.by_tag.binary_search_by_key(&tag, |(t, _)| *t).ok()?;
        Some(self.by_tag[index].1)
    }

    /// Returns a service by its name, unless its document was deleted.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let service = find_by_name(&self.services_by_name, name).map(|id| &self.services[id]);
        service.filter(|service| !service.shards.is_empty())
    }

    /// Returns the group and the shards of the service with a name or, if there is none, of the
    /// group with that name.
    pub fn target(&self, name: &str) -> Option<(GroupId, &[ShardId])> {
        if let Some(service) = self.service(name) {
            return Some((service.group, &service.shards));
        }
        let group = find_by_name(&self.groups_by_name, name)?;
        let shards = &self.groups[group].shards;
        (!shards.is_empty()).then_some((group, shards))
    }

    /// Returns the service that a replica belongs to.
    pub fn service_of(&self, replica: ReplicaId) -> &Service {
        let shard = self.replicas[replica].shard;
        &self.services[self.shards[shard].service]
    }

    fn clear_all(&mut self) {
        self.groups.iter_mut().for_each(|(_, group)| group.shards.clear());
        self.services.iter_mut().for_each(|(_, service)| service.shards.clear());
        self.shards.iter_mut().for_each(|(_, shard)| shard.replicas.clear());
        self.replicas.iter_mut().for_each(|(_, replica)| replica.listed = false);
    }

    fn add_service(&mut self, settings: &Arc<ServiceSettings>) {
        let group = self.get_or_insert_group(&settings.group);
        let service = self.upsert_service(settings, group);
        for shard_settings in &settings.shards {
            let shard = self.get_or_insert_shard(service, shard_settings);
            for replica_settings in &shard_settings.replicas {
                let replica = self.upsert_replica(shard, replica_settings);
                insert_sorted(&mut self.shards[shard].replicas, replica);
            }
            insert_sorted(&mut self.services[service].shards, shard);
            insert_sorted(&mut self.groups[group].shards, shard);
        }
    }

    fn get_or_insert_group(&mut self, name: &str) -> GroupId {
        let groups = &mut self.groups;
        find_or_insert(&mut self.groups_by_name, name, || {
            groups.push(Group { name: name.to_owned(), shards: Vec::new() })
        })
    }

    fn upsert_service(&mut self, settings: &Arc<ServiceSettings>, group: GroupId) -> ServiceId {
        let services = &mut self.services;
        let id = find_or_insert(&mut self.services_by_name, &settings.name, || {
            services.push(Service { settings: settings.clone(), group, shards: Vec::new() })
        });
        self.services[id].settings = settings.clone();
        self.services[id].group = group;
        id
    }

    fn get_or_insert_shard(&mut self, service: ServiceId, settings: &ShardSettings) -> ShardId {
        let name = settings.name.as_str();
        let shards = &mut self.shards;
        let found = self.shards_by_name.binary_search_by(|(other, shard)| {
            other.cmp(&service).then_with(|| shards[*shard].name.as_str().cmp(name))
        });
        match found {
            Ok(index) => self.shards_by_name[index].1,
            Err(index) => {
                let name = name.to_owned();
                let id = shards.push(Shard { name, service, replicas: Vec::new() });
                self.shards_by_name.insert(index, (service, id));
                id
            }
        }
    }

    fn upsert_replica(&mut self, shard: ShardId, settings: &ReplicaSettings) -> ReplicaId {
        let id = match self.by_tag.binary_search_by_key(&settings.tag, |(tag, _)| *tag) {
            Ok(index) => self.by_tag[index].1,
            Err(index) => {
                let settings = settings.clone();
                let id = self.replicas.push(Replica { shard, settings, listed: true });
                self.by_tag.insert(index, (self.replicas[id].settings.tag, id));
                id
            }
        };
        let replica = &mut self.replicas[id];
        replica.settings = settings.clone();
        replica.listed = true;
        id
    }
}

fn find_by_name<T>(names: &[(String, T)], name: &str) -> Option<T>
where
    T: Copy,
{
    let index = names.binary_search_by(|(n, _)| n.as_str().cmp(name)).ok()?;
    Some(names[index].1)
}

fn find_or_insert<T, F>(names: &mut Vec<(String, T)>, name: &str, create: F) -> T
where
    T: Copy,
    F: FnOnce() -> T,
{
    match names.binary_search_by(|(n, _)| n.as_str().cmp(name)) {
        Ok(index) => names[index].1,
        Err(index) => {
            let id = create();
            names.insert(index, (name.to_owned(), id));
            id
        }
    }
}

fn insert_sorted<T>(sorted: &mut Vec<T>, value: T)
where
    T: Copy + Ord,
{
    if let Err(index) = sorted.binary_search(&value) {
        sorted.insert(index, value);
    }
}

#[cfg(test)]
mod tests;
