//! Lookup of the route, the customer and the service of a request.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::direct::fleet_config::{CustomerConfig, FleetConfig, RouteConfig, ServiceConfig};

/// Configuration with lookup indexes.
#[derive(Debug, Clone)]
pub struct RouteTable {
    config: FleetConfig,
    /// Indexes of the routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    /// Index of the customer of each key.
    keys: HashMap<String, usize>,
    /// Shortest latency objective among the routes of each service.
    service_objectives: HashMap<String, Duration>,
    /// Shortest pause objective among the routes of each service.
    pause_objectives: HashMap<String, Duration>,
    /// Highest priority, which is the lowest number, among the customers.
    first_priority: u32,
}

/// Why a request's key is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// The request carries no key.
    Missing,
    /// The key belongs to no customer.
    Unknown,
}

impl RouteTable {
    /// Builds the lookup indexes of a configuration.
    pub fn new(config: FleetConfig) -> RouteTable {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        let mut service_objectives = HashMap::new();
        let mut pause_objectives = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
            for entry in &route.services {
                let objective = service_objectives
                    .entry(entry.service.clone())
                    .or_insert(route.latency_objective);
                *objective = route.latency_objective.min(*objective);
                if let Some(pause) = route.pause_objective {
                    let shortest = pause_objectives.entry(entry.service.clone()).or_insert(pause);
                    *shortest = pause.min(*shortest);
                }
            }
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].path_prefix.len()));
        }
        let mut keys = HashMap::new();
        for (index, customer) in config.customers.iter().enumerate() {
            for key in &customer.keys {
                keys.insert(key.clone(), index);
            }
        }
        let priorities = config.customers.iter().filter_map(|customer| customer.priority);
        let first_priority = priorities.min().unwrap_or(0);
        RouteTable { config, hosts, keys, service_objectives, pause_objectives, first_priority }
    }

    /// Returns the configuration that the table was built from.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Returns the route with the longest matching path prefix. The host is matched without regard
    /// to case and may include a port.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteConfig> {
        let host_name = host.split(':').next().unwrap_or(host);
        let routes = match self.hosts.get(host_name) {
            Some(routes) => routes,
            None => self.hosts.get(&host_name.to_ascii_lowercase())?,
        };
        let mut candidates = routes.iter().map(|index| &self.config.routes[*index]);
        candidates.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the customer that a key belongs to. Public routes and configurations without
    /// customers need no key; without a known key, `None` is returned for them.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError`] if a required key is missing or belongs to no customer.
    pub fn authorize(
        &self,
        route: &RouteConfig,
        key: Option<&str>,
    ) -> Result<Option<&CustomerConfig>, KeyError> {
        let index = key.and_then(|key| self.keys.get(key));
        let customer = index.map(|index| &self.config.customers[*index]);
        if route.is_public || self.config.customers.is_empty() {
            return Ok(customer);
        }
        match (key, customer) {
            (_, Some(customer)) => Ok(Some(customer)),
            (None, None) => Err(KeyError::Missing),
            (Some(_), None) => Err(KeyError::Unknown),
        }
    }

    /// Selects a service by the route's weights and a hash of the request identifier; `None` if the
    /// route has no services.
    pub fn pick_service<'a>(&self, route: &'a RouteConfig, request: &str) -> Option<&'a str> {
        let total: u64 = route.services.iter().map(|entry| u64::from(entry.weight)).sum();
        if total == 0 {
            return route.services.first().map(|entry| entry.service.as_str());
        }
        let mut point = xxh3_64(request.as_bytes()) % total;
        for entry in &route.services {
            let weight = u64::from(entry.weight);
            if point < weight {
                return Some(&entry.service);
            }
            point -= weight;
        }
        None
    }

    /// Returns the configuration of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.config.services.iter().find(|service| service.name == name)
    }

    /// Returns the shortest latency objective among a service's routes.
    pub fn service_objective(&self, service: &str) -> Option<Duration> {
        self.service_objectives.get(service).copied()
    }

    /// Returns the shortest pause objective among a service's routes.
    pub fn pause_objective(&self, service: &str) -> Option<Duration> {
        self.pause_objectives.get(service).copied()
    }

    /// Returns the number of priority steps between a customer and the customer with the highest
    /// priority; zero without a customer or without a priority. A customer's priority takes
    /// precedence over that of the route.
    pub fn rank_below_first(&self, customer: Option<&CustomerConfig>) -> u32 {
        let priority = customer.and_then(|customer| customer.priority);
        priority.map_or(0, |priority| priority.saturating_sub(self.first_priority))
    }
}
