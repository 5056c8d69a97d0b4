//! Which route and customer a request belongs to.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::direct::fleet_config::{CustomerConfig, FleetConfig, RouteConfig, ServiceConfig};

/// A configuration with indexes for look-ups.
#[derive(Debug, Clone)]
pub struct RouteTable {
    config: FleetConfig,
    /// The routes of each host, those with longer prefixes first.
    hosts: HashMap<String, Vec<usize>>,
    /// The customer of each key.
    keys: HashMap<String, usize>,
    /// The shortest latency objective of each service's routes, in the order of the services.
    service_objectives: HashMap<String, std::time::Duration>,
    /// The highest rank among each service's routes and the customers.
    first_priority: u32,
}

/// Why a request's key is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// The request brings no key.
    Missing,
    /// No customer has the key.
    Unknown,
}

impl RouteTable {
    /// Builds the indexes of a configuration.
    pub fn new(config: FleetConfig) -> RouteTable {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        let mut service_objectives = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
            for split in &route.services {
                let objective = service_objectives
                    .entry(split.service.clone())
                    .or_insert(route.latency_objective);
                *objective = route.latency_objective.min(*objective);
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
        RouteTable { config, hosts, keys, service_objectives, first_priority }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Returns the route with the longest matching prefix; the host may carry a port.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteConfig> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let mut found = routes.iter().map(|index| &self.config.routes[*index]);
        found.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the customer of a request; `None` on routes that need no key.
    ///
    /// # Errors
    ///
    /// [`KeyError`] where a needed key is missing or nobody's.
    pub fn authorize(
        &self,
        route: &RouteConfig,
        key: Option<&str>,
    ) -> Result<Option<&CustomerConfig>, KeyError> {
        let customer = key.and_then(|key| self.keys.get(key));
        let customer = customer.map(|index| &self.config.customers[*index]);
        if route.is_public || self.config.customers.is_empty() {
            return Ok(customer);
        }
        match (key, customer) {
            (_, Some(customer)) => Ok(Some(customer)),
            (None, None) => Err(KeyError::Missing),
            (Some(_), None) => Err(KeyError::Unknown),
        }
    }

    /// Picks the service of a request by the route's weights and the request's identifier.
    pub fn pick_service<'a>(&self, route: &'a RouteConfig, request: &str) -> Option<&'a str> {
        let total: u64 = route.services.iter().map(|split| u64::from(split.weight)).sum();
        if total == 0 {
            return route.services.first().map(|split| split.service.as_str());
        }
        let mut point = xxh3_64(request.as_bytes()) % total;
        for split in &route.services {
            let weight = u64::from(split.weight);
            if point < weight {
                return Some(&split.service);
            }
            point -= weight;
        }
        None
    }

    /// Returns what is stated of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.config.services.iter().find(|service| service.name == name)
    }

    /// Returns the shortest latency objective among a service's routes.
    pub fn service_objective(&self, service: &str) -> Option<std::time::Duration> {
        self.service_objectives.get(service).copied()
    }

    /// Returns the steps by which a request ranks below the first: the customer's rank goes
    /// before the route's.
    pub fn rank_below_first(&self, customer: Option<&CustomerConfig>) -> u32 {
        let priority = customer.and_then(|customer| customer.priority);
        priority.map_or(0, |priority| priority.saturating_sub(self.first_priority))
    }
}
